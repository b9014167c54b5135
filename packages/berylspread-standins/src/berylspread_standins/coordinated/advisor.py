"""The service that grants permissions, one request at a time for each node."""

import asyncio
from typing import final

from berylspread.coordinator.interface import Permissions
from berylspread.kernel.errors import Failure
from berylspread_standins.exchange import call_outside


@final
class PermissionServiceStandin:
    """Answers one node's requests in turn."""

    __slots__ = ('asked', 'bad', 'base_s', 'each_s', 'named', 'turn', 'valid_s')

    def __init__(
        self,
        *,
        base_s: float = 0.03,
        each_s: float = 0.001,
        valid_s: float = 2.0,
    ) -> None:
        """Take what a request costs and how long an answer holds."""
        self.base_s = base_s
        self.each_s = each_s
        self.valid_s = valid_s
        #: Workers that may run nothing.
        self.bad: set[str] = set()
        self.asked: list[tuple[str, int]] = []
        #: All workers that requests have named.
        self.named: set[str] = set()
        self.turn = asyncio.Lock()

    async def request_permissions(
        self, step: str, workers: list[str], timeout_s: float
    ) -> Permissions | Failure:
        """Return a ticket for each worker that is not bad."""
        return await call_outside(self._decide(step, workers))

    async def _decide(self, step: str, workers: list[str]) -> Permissions:
        async with self.turn:
            await asyncio.sleep(self.base_s + self.each_s * len(workers))
        self.asked.append((step, len(workers)))
        self.named.update(workers)
        return Permissions(
            {
                worker: f'{step}@{worker}'
                for worker in workers
                if worker not in self.bad
            },
            self.valid_s,
        )
