"""The slices of the call allowance that an entry node has borrowed."""

from typing import final


@final
class CallAllowance:
    """One team's slice at one entry node, as the home last granted it.

    The slice is valid for ``ttl_s`` from the time at which the request was
    sent.  The home counts from a later time, so a node that was paused finds
    its slice lapsed before the home lends it to others.  Times are loop
    seconds.
    """

    __slots__ = (
        'granted',
        'in_flight',
        'requested_at',
        'sequence',
        'valid_until',
    )

    def __init__(self) -> None:
        self.granted = 0
        self.in_flight = 0
        self.sequence = 0
        self.requested_at: float = 0
        self.valid_until: float = 0

    def start_request(self, now: float, wanted: int) -> int:
        """Start a request for a slice and return its sequence number.

        Replies to earlier requests are ignored from now on.  Calls that are
        granted above ``wanted`` are given up at once.
        """
        self.sequence += 1
        self.requested_at = now
        self.granted = min(self.granted, wanted)
        return self.sequence

    def held_calls(self, now: float) -> int:
        """Return how many calls may be in flight until a request's reply."""
        if now >= self.valid_until:
            return self.in_flight
        return max(self.granted, self.in_flight)

    def apply_reply(self, sequence: int, offered: int, ttl_s: float) -> bool:
        """Apply a reply; return ``False`` if it is to an earlier request."""
        if sequence != self.sequence:
            return False
        self.granted = offered
        self.valid_until = self.requested_at + ttl_s
        return True

    def has_room(self, now: float) -> bool:
        """Return whether the slice allows one more call."""
        return now < self.valid_until and self.in_flight < self.granted

    def acquire(self, now: float) -> bool:
        """Count a call as started, if the slice allows one more."""
        if not self.has_room(now):
            return False
        self.in_flight += 1
        return True

    def release(self) -> None:
        """Count a call as ended."""
        self.in_flight -= 1
