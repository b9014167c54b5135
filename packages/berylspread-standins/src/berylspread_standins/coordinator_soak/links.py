"""A node's calls to the store and to workers, through the faults of a run."""

import asyncio
import collections
import contextlib
import random
from collections.abc import Awaitable, Callable, Coroutine, Iterator
from typing import Any, Final, TypeVar, final

from berylspread.coordinator.interface import (
    Producer,
    Record,
    Renewal,
    StartOrder,
    WorkerEntry,
    WorkerReport,
)
from berylspread.kernel.errors import (
    Failure,
    LogUnavailable,
    WorkerUnreachable,
)
from berylspread_standins.coordinated import StoreView, WorkerStandin
from berylspread_standins.coordinated.worker import TIMEOUT_S, WorkerPool
from berylspread_standins.coordinator_soak.plan import ANY
from berylspread_standins.exchange import call_outside, detach
from berylspread_standins.virtual_time import process_context

ReplyT = TypeVar('ReplyT')

STORE: Final = 'store'
MS_PER_S: Final = 1000
MIN_LATE_S: Final = 2.0
MAX_LATE_S: Final = 12.0
MAX_LATE_RENEWAL_S: Final = 4.0

#: What leaves a node, as triggers name it.
APPEND: Final = 'append'
ORDER: Final = 'order'


@final
class Disturbances:
    """The faults of all links that last at present.

    Cuts name a node and a worker or ``store``; shares are those of the calls to
    a worker that are lost or late.
    """

    __slots__ = (
        'crosses_lives',
        'cuts',
        'late_orders',
        'late_renewals',
        'lost_orders',
        'on_leaving',
        'rng',
        'tokens',
    )

    def __init__(
        self,
        rng: random.Random,
        on_leaving: Callable[[str, str], None],
        *,
        crosses_lives: bool,
    ) -> None:
        self.rng = rng
        self.on_leaving = on_leaving
        #: Whether a late order is carried out by the worker's next life.
        self.crosses_lives = crosses_lives
        self.cuts: collections.Counter[tuple[str, str]] = collections.Counter()
        self.lost_orders: dict[str, float] = {}
        self.late_orders: dict[str, float] = {}
        self.late_renewals: dict[str, float] = {}
        #: Which nodes have called workers with each token.
        self.tokens: dict[int, set[str]] = collections.defaultdict(set)

    @contextlib.contextmanager
    def cut(self, pairs: list[tuple[str, str]]) -> Iterator[None]:
        """Cut links; overlapping cuts are counted."""
        self.cuts.update(pairs)
        try:
            yield
        finally:
            self.cuts.subtract(pairs)

    def is_cut(self, node: str, target: str) -> bool:
        """Return whether a node's calls to a worker or the store are lost."""
        return any(
            self.cuts[pair] > 0
            for pair in ((node, target), (node, ANY), (ANY, target))
        )

    def happens(self, shares: dict[str, float], worker: str) -> bool:
        """Return whether a fault of a worker's calls concerns this one."""
        share = shares.get(worker, 0.0)
        return share > 0 and self.rng.random() < share


@final
class SoakStore:
    """A node's way to the store; implements ``KeyedStore``."""

    __slots__ = ('disturbances', 'node', 'view')

    def __init__(
        self, view: StoreView, node: str, disturbances: Disturbances
    ) -> None:
        self.view = view
        self.node = node
        self.disturbances = disturbances

    async def append(
        self,
        topic: str,
        records: list[Record],
        *,
        producer: Producer | None = None,
        at: int | None = None,
        timeout_s: float,
    ) -> Any:
        """Append."""
        call = self._call(
            lambda: self.view.append(
                topic, records, producer=producer, at=at, timeout_s=timeout_s
            ),
            timeout_s,
        )
        sent = detach_outside(call)
        self.disturbances.on_leaving(self.node, APPEND)
        return await sent

    async def read_newest(self, topic: str, *, timeout_s: float) -> Any:
        """Read the newest records."""
        return await call_outside(
            self._call(
                lambda: self.view.read_newest(topic, timeout_s=timeout_s),
                timeout_s,
            )
        )

    async def read_from(
        self, topic: str, offset: int, *, wait_s: float, timeout_s: float
    ) -> Any:
        """Read the records from an offset on."""
        return await call_outside(
            self._call(
                lambda: self.view.read_from(
                    topic, offset, wait_s=wait_s, timeout_s=timeout_s
                ),
                timeout_s,
            )
        )

    async def _call(
        self, call: Callable[[], Awaitable[Any]], timeout_s: float
    ) -> Any:
        if not self.disturbances.is_cut(self.node, STORE):
            reply = await call()
            if not self.disturbances.is_cut(self.node, STORE):
                return reply
        await asyncio.sleep(timeout_s)
        return LogUnavailable('no answer')


@final
class SoakWorkers:
    """A node's calls to the workers; implements ``WorkerApi``."""

    __slots__ = ('disturbances', 'node', 'pool')

    def __init__(
        self, pool: WorkerPool, node: str, disturbances: Disturbances
    ) -> None:
        self.pool = pool
        self.node = node
        self.disturbances = disturbances

    async def start(
        self, entry: WorkerEntry, order: StartOrder
    ) -> int | Failure:
        """Order a start."""
        sent = self._send(order.token, entry, lambda to: to.start(order))
        self.disturbances.on_leaving(self.node, ORDER)
        return await sent

    async def stop(
        self, entry: WorkerEntry, task: str, run: int, token: int
    ) -> int | Failure:
        """Order a stop."""
        return await self._send(
            token, entry, lambda to: to.stop(task, run, token)
        )

    async def renew(
        self, entry: WorkerEntry, renewal: Renewal
    ) -> WorkerReport | Failure:
        """Renew the leases."""
        self.disturbances.tokens[renewal.token].add(self.node)
        return await call_outside(self._renew(entry, renewal))

    async def set_pace(
        self, entry: WorkerEntry, task: str, run: int, percent: int, token: int
    ) -> int | Failure:
        """Set a run's pace."""
        return await self.pool.set_pace(entry, task, run, percent, token)

    def _send(
        self,
        token: int,
        entry: WorkerEntry,
        call: Callable[[WorkerStandin], Coroutine[Any, Any, int | Failure]],
    ) -> Awaitable[int | Failure]:
        self.disturbances.tokens[token].add(self.node)
        return detach_outside(self._order(entry, call))

    async def _order(
        self,
        entry: WorkerEntry,
        call: Callable[[WorkerStandin], Coroutine[Any, Any, int | Failure]],
    ) -> int | Failure:
        if not entry.address:
            return WorkerUnreachable('the address is unknown', sent=False)
        faults = self.disturbances
        worker = self._find(entry)
        is_lost = faults.happens(faults.lost_orders, entry.worker)
        if worker is None or is_lost:
            return await _lose(TIMEOUT_S)
        if faults.happens(faults.late_orders, entry.worker):
            late_s = faults.rng.uniform(MIN_LATE_S, MAX_LATE_S)
            detach(self._arrive_late(worker, call, late_s))
            return await _lose(TIMEOUT_S)
        reply = await call(worker)
        is_cut = self._find(entry) is None
        return await _lose(TIMEOUT_S) if is_cut else reply

    async def _renew(
        self, entry: WorkerEntry, renewal: Renewal
    ) -> WorkerReport | Failure:
        if not entry.address:
            return WorkerUnreachable('the address is unknown', sent=False)
        faults = self.disturbances
        worker = self._find(entry)
        limit_s = renewal.wait_ms / MS_PER_S + renewal.patience_s
        if worker is None:
            return await _lose(limit_s)
        if faults.happens(faults.late_renewals, entry.worker):
            late_s = faults.rng.uniform(0, MAX_LATE_RENEWAL_S)
            detach(
                self._arrive_late(worker, lambda to: to.renew(renewal), late_s)
            )
            return await _lose(limit_s)
        reply = await worker.renew(renewal)
        return await _lose(limit_s) if self._find(entry) is None else reply

    async def _arrive_late(
        self,
        worker: WorkerStandin,
        call: Callable[[WorkerStandin], Coroutine[Any, Any, Any]],
        late_s: float,
    ) -> None:
        born_ms = worker.entry.born_ms
        await asyncio.sleep(late_s)
        if self.disturbances.crosses_lives or worker.entry.born_ms == born_ms:
            await call(worker)

    def _find(self, entry: WorkerEntry) -> WorkerStandin | None:
        is_cut = self.pool.is_cut or self.disturbances.is_cut(
            self.node, entry.worker
        )
        return None if is_cut else self.pool.by_name.get(entry.worker)


def detach_outside(
    work: Coroutine[Any, Any, ReplyT],
) -> Awaitable[ReplyT]:
    """Start a call that has left its node when this returns."""
    return asyncio.shield(detach(work, process_context('')))


async def _lose(limit_s: float) -> Failure:
    await asyncio.sleep(limit_s)
    return WorkerUnreachable('no answer', sent=True)
