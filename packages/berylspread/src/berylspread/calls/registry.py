"""Registry of non-idempotent calls at the home, by request id.

An id is kept until its deadline has passed; a later copy is refused because of
its deadline.  A new home does not have the ids of its predecessor, so it is
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
    """Maps request ids to the entry node that registered them first."""

    __slots__ = ('certain_from', 'expiries', 'first_entry_nodes', 'wall')

    def __init__(self, wall: WallClock, epoch: int = 1) -> None:
        """Create a registry that is certain about requests issued from now on.

        In the first epoch it is certain about all requests, because there was
        no predecessor.
        """
        self.wall = wall
        self.certain_from = (
            wall.time() + MAX_CALLER_SKEW_S if epoch > 1 else 0.0
        )
        self.first_entry_nodes: dict[str, str] = {}
        self.expiries: list[tuple[float, str]] = []

    def register(
        self, request: RegisterAsk
    ) -> Registered | DeadlineExceeded | Overloaded:
        """Register a request; the reply says whether this is its first copy."""
        self._remove_expired()
        if request.deadline + MAX_CALLER_SKEW_S < self.wall.time():
            return DeadlineExceeded('the deadline has passed')
        if request.request_id in self.first_entry_nodes:
            return Registered(request.request_id, is_first=False)
        if request.issued_at < self.certain_from:
            return Registered(
                request.request_id, is_first=False, is_certain=False
            )
        if len(self.first_entry_nodes) >= MAX_REQUEST_IDS:
            return Overloaded('too many requests are registered')
        self.first_entry_nodes[request.request_id] = request.entry
        heapq.heappush(
            self.expiries,
            (request.deadline + 2 * MAX_CALLER_SKEW_S, request.request_id),
        )
        return Registered(request.request_id, is_first=True)

    def _remove_expired(self) -> None:
        while self.expiries and self.expiries[0][0] < self.wall.time():
            _expiry, request_id = heapq.heappop(self.expiries)
            self.first_entry_nodes.pop(request_id, None)
