"""Calls to the store and to workers, of which a chooser decides the course."""

import asyncio
import collections
import functools
from collections.abc import Awaitable, Callable
from typing import Any, Final, final

from berylspread.coordinator.interface import (
    Appended,
    Producer,
    Record,
    StartOrder,
    WorkerEntry,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, LogUnavailable
from berylspread_standins.coordinated.store import StoreView
from berylspread_standins.coordinated.worker import WorkerPool
from berylspread_standins.exchange import detach
from berylspread_standins.explorer.choices import Chooser

DELIVERED: Final = 'delivered'
LOST: Final = 'lost'
REPLY_LOST: Final = 'reply lost'
#: Delays of calls that are carried out late and not answered, in seconds.
LATE_S: Final = {'1.2 s late': 1.2, '3 s late': 3.0}
COURSES: Final = (DELIVERED, LOST, REPLY_LOST, *LATE_S)


@final
class TokenLog:
    """Which nodes have ordered with each token."""

    __slots__ = ('nodes',)

    def __init__(self) -> None:
        self.nodes: dict[int, set[str]] = collections.defaultdict(set)


@final
class ExploredStore:
    """A node's way to the store; implements ``KeyedStore``."""

    __slots__ = ('chooser', 'node', 'view')

    def __init__(self, view: StoreView, node: str, chooser: Chooser) -> None:
        self.view = view
        self.node = node
        self.chooser = chooser

    async def append(
        self,
        topic: str,
        records: list[Record],
        *,
        producer: Producer | None = None,
        at: int | None = None,
        timeout_s: float,
    ) -> Appended | Failure:
        """Append, unless the schedule decides otherwise."""
        kind = 'claim' if at is not None else 'append'
        label = f'{self.node} {kind} to {topic}'
        course = self.chooser.choose(now(), label, COURSES)
        append = functools.partial(
            self.view.append,
            topic,
            records,
            producer=producer,
            at=at,
            timeout_s=timeout_s,
        )
        if course == DELIVERED:
            return await append()
        if course != LOST:
            detach(_run_late(append, LATE_S.get(course, 0.0)))
        await asyncio.sleep(timeout_s)
        return LogUnavailable('no answer', done=None)

    async def read_newest(self, topic: str, *, timeout_s: float) -> Any:
        """Read the newest records."""
        return await self.view.read_newest(topic, timeout_s=timeout_s)

    async def read_from(
        self, topic: str, offset: int, *, wait_s: float, timeout_s: float
    ) -> Any:
        """Read the records from an offset on."""
        return await self.view.read_from(
            topic, offset, wait_s=wait_s, timeout_s=timeout_s
        )


@final
class ExploredWorkers:
    """A node's calls to the workers; implements ``WorkerApi``."""

    __slots__ = ('chooser', 'node', 'pool', 'tokens')

    def __init__(
        self, pool: WorkerPool, node: str, chooser: Chooser, tokens: TokenLog
    ) -> None:
        self.pool = pool
        self.node = node
        self.chooser = chooser
        self.tokens = tokens

    async def start(
        self, entry: WorkerEntry, order: StartOrder
    ) -> int | Failure:
        """Order a start, unless the schedule decides otherwise."""
        self.tokens.nodes[order.token].add(self.node)
        label = f'{self.node} starts {order.task} on {entry.worker}'
        self._decide(label, entry.worker)
        return await self.pool.start(entry, order)

    async def stop(
        self, entry: WorkerEntry, task: str, run: int, token: int
    ) -> int | Failure:
        """Order a stop, unless the schedule decides otherwise."""
        self.tokens.nodes[token].add(self.node)
        self._decide(f'{self.node} stops {task}', entry.worker)
        return await self.pool.stop(entry, task, run, token)

    async def renew(self, entry: WorkerEntry, renewal: Any) -> Any:
        """Renew the leases."""
        self.tokens.nodes[renewal.token].add(self.node)
        return await self.pool.renew(entry, renewal)

    async def set_pace(
        self, entry: WorkerEntry, task: str, run: int, percent: int, token: int
    ) -> int | Failure:
        """Set a run's pace."""
        return await self.pool.set_pace(entry, task, run, percent, token)

    def _decide(self, label: str, worker: str) -> None:
        options = (DELIVERED, REPLY_LOST, *LATE_S)
        course = self.chooser.choose(now(), label, options)
        standin = self.pool.by_name.get(worker)
        if course != DELIVERED and standin is not None:
            standin.orders.mute += 1
            standin.orders.delay_s = LATE_S.get(course, 0.0)


async def _run_late(
    call: Callable[[], Awaitable[object]], delay_s: float
) -> None:
    await asyncio.sleep(delay_s)
    await call()
