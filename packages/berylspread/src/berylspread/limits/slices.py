"""The entry node's side of lent slices of the call allowance."""

from typing import final


@final
class CallAllowance:
    """One team's slice at one entry node, as the home last granted it.

    The slice is valid for ``ttl_s`` from when the question was sent, which is
    earlier than the home counts from; a holder that was paused past it finds
    it lapsed.  Times are loop seconds.
    """

    __slots__ = (
        'granted',
        'in_flight',
        'requested_at',
        'sequence',
        'valid_until',
    )

    def __init__(self) -> None:
        """Start with nothing granted."""
        self.granted = 0
        self.in_flight = 0
        self.sequence = 0
        self.requested_at: float = 0
        self.valid_until: float = 0

    def start_request(self, now: float, wanted: int) -> int:
        """Start a question; return its number.  Earlier ones are given up.

        What is held above ``wanted`` is given up at once.
        """
        self.sequence += 1
        self.requested_at = now
        self.granted = min(self.granted, wanted)
        return self.sequence

    def held_calls(self, now: float) -> int:
        """Return what may be used until the reply, for the question."""
        if now >= self.valid_until:
            return self.in_flight
        return max(self.granted, self.in_flight)

    def apply_reply(self, sequence: int, offered: int, ttl_s: float) -> bool:
        """Take in a reply; return ``False`` for one to an earlier question."""
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
