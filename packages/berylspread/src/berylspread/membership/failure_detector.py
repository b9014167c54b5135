"""Detects from the gaps between replies that a peer is suspect or dead."""

import collections
from typing import Final, final

from berylspread.membership.interface import Liveness
from berylspread.membership.settings import MembershipSettings

GAPS_KEPT: Final = 16
GAP_FACTOR: Final = 1.5


@final
class FailureDetector:
    """Judges one peer by the time since its last reply.

    The timeouts grow with the largest recent gap between replies, so that a
    slow link, or a pause as long as an earlier one, does not make the peer
    suspect again.  Hysteresis: a peer that was suspect or dead must reply
    ``replies_to_recover`` times in a row before it is alive.
    """

    __slots__ = (
        'consecutive_replies',
        'gap_timeout_s',
        'interval_s',
        'last_reply_at',
        'reply_gaps_s',
        'settings',
        'state',
    )

    def __init__(
        self, settings: MembershipSettings, interval_s: float, now: float
    ) -> None:
        """Start as suspect, until the peer has replied."""
        self.settings = settings
        self.interval_s = interval_s
        self.last_reply_at = now
        self.reply_gaps_s: collections.deque[float] = collections.deque(
            maxlen=GAPS_KEPT
        )
        self.gap_timeout_s = 0.0
        self.consecutive_replies = 0
        self.state = Liveness.suspect

    def record_reply(self, now: float) -> None:
        """Record a reply received at ``now``."""
        self.update(now)
        self.reply_gaps_s.append(now - self.last_reply_at)
        self.gap_timeout_s = GAP_FACTOR * max(self.reply_gaps_s)
        self.last_reply_at = now
        self.consecutive_replies += 1
        if self.consecutive_replies >= self._replies_needed():
            self.state = Liveness.alive

    def update(self, now: float) -> Liveness:
        """Update the state to the silence so far and return it."""
        silence_s = now - self.last_reply_at
        if silence_s >= self.dead_after_s():
            self._degrade(Liveness.dead)
        elif (
            self.state is Liveness.alive and silence_s >= self.suspect_after_s()
        ):
            self._degrade(Liveness.suspect)
        return self.state

    def discount_stall(self, stall_s: float) -> None:
        """Do not count seconds in which this node itself did not run."""
        self.last_reply_at += stall_s

    def suspect_after_s(self) -> float:
        """Return the silence in seconds after which the peer is suspect."""
        return max(
            self.settings.suspect_after * self.interval_s, self.gap_timeout_s
        )

    def dead_after_s(self) -> float:
        """Return the silence in seconds after which the peer is dead."""
        limit_s = self.settings.max_dead_after * self.interval_s
        return max(
            self.settings.dead_after * self.interval_s,
            min(GAP_FACTOR * self.gap_timeout_s, limit_s),
        )

    def _degrade(self, state: Liveness) -> None:
        self.state = state
        self.consecutive_replies = 0

    def _replies_needed(self) -> int:
        never_alive = not self.reply_gaps_s or self.state is Liveness.alive
        return 1 if never_alive else self.settings.replies_to_recover
