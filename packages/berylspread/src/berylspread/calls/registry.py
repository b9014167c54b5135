"""The non-idempotent calls that a home has let through, by request id.

An id is kept until its deadline has passed; a copy that comes later is refused
by its deadline.  A new home does not know the ids of its predecessor, so it is
not certain about requests that were issued before it took over.
"""

import heapq
from typing import Final, final

from berylspread.calls.messages import RegisterAsk, Registered
from berylspread.kernel import WallClock
from berylspread.kernel.errors import DeadlineExceeded, Overloaded

#: Largest difference between the clocks of callers and nodes.
MAX_CALLER_SKEW_S: Final = 5.0
MAX_REQUEST_IDS: Final = 200_000


@final
class RequestRegistry:
    """Request ids with the entry node that was first, until their deadlines."""

    __slots__ = ('certain_from', 'expiries', 'first_entry_nodes', 'wall')

    def __init__(self, wall: WallClock, epoch: int = 1) -> None:
        """Start empty, certain about requests issued from now on.

        Under the first epoch there was no predecessor to know of others.
        """
        self.wall = wall
        self.certain_from = (
            wall.time() + MAX_CALLER_SKEW_S if epoch > 1 else 0.0
        )
        self.first_entry_nodes: dict[str, str] = {}
        self.expiries: list[tuple[float, str]] = []

    def register(
        self, ask: RegisterAsk
    ) -> Registered | DeadlineExceeded | Overloaded:
        """Let the first copy of a request through, and no other."""
        self._remove_expired()
        if ask.deadline + MAX_CALLER_SKEW_S < self.wall.time():
            return DeadlineExceeded('the deadline has passed')
        if ask.request_id in self.first_entry_nodes:
            return Registered(ask.request_id, is_first=False)
        if ask.issued_at < self.certain_from:
            return Registered(ask.request_id, is_first=False, is_certain=False)
        if len(self.first_entry_nodes) >= MAX_REQUEST_IDS:
            return Overloaded('too many requests are registered')
        self.first_entry_nodes[ask.request_id] = ask.entry
        heapq.heappush(
            self.expiries,
            (ask.deadline + 2 * MAX_CALLER_SKEW_S, ask.request_id),
        )
        return Registered(ask.request_id, is_first=True)

    def _remove_expired(self) -> None:
        while self.expiries and self.expiries[0][0] < self.wall.time():
            _deadline, request_id = heapq.heappop(self.expiries)
            self.first_entry_nodes.pop(request_id, None)
