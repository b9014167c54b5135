"""Decides how long requests wait while no coordinator replies.

Load pattern: all nodes have been killed, or the store is lossy, while callers
send as many requests as before.  A successor is there within about 1.5 s, and a
request that waits for it is served the soonest.  After that time nothing
suggests that a coordinator is near.  A request in a while then looks for one,
and the others are refused at once.
"""

import random
from typing import Final, final

#: A successor claims 1 s after the last renewal, and loads the jobs.
TAKEOVER_S: Final = 1.5
#: The shortest time between requests that look for an overdue coordinator.
PROBE_INTERVAL_S: Final = 0.2
#: Bounds of the time after which a refused caller is asked to come back.  The
#: callers return at different times.
MIN_RETRY_AFTER_S: Final = 1
MAX_RETRY_AFTER_S: Final = 2


@final
class CoordinatorAbsence:
    """Since when no coordinator has replied to requests."""

    __slots__ = ('began_at', 'leader', 'probed_at')

    def __init__(self) -> None:
        #: The time of the loop, ``None`` while the coordinator replies.
        self.began_at: float | None = None
        #: The last node that was known as the leader.
        self.leader: str | None = None
        self.probed_at = 0.0

    def record_reply(self) -> None:
        """Record that a coordinator has replied."""
        self.began_at = None

    def record_failure(self, leader: str | None, moment: float) -> None:
        """Record that the leader, if one is known, did not reply.

        The time to wait begins anew with each successor.
        """
        is_successor = leader is not None and leader != self.leader
        self.leader = leader or self.leader
        if self.began_at is None or is_successor:
            self.began_at = moment

    def may_wait(self, leader: str | None, moment: float) -> bool:
        """Return whether a request should wait for the coordinator.

        ``leader`` is the node that is known as the coordinator.  Once a
        coordinator is overdue, this returns true only for a probe in a while,
        or if another node is known that no request has been sent to.
        """
        if self.began_at is None or moment - self.began_at < TAKEOVER_S:
            return True
        if leader is not None and leader != self.leader:
            return True
        if moment - self.probed_at < PROBE_INTERVAL_S:
            return False
        self.probed_at = moment
        return True


def retry_after_s() -> int:
    """Return after how many seconds a refused caller should come back."""
    return random.randint(MIN_RETRY_AFTER_S, MAX_RETRY_AFTER_S)
