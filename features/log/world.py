"""A log service in one process, and the parts that use it."""

import asyncio
import random
from collections.abc import Coroutine
from types import TracebackType
from typing import Any, Self

from berylspread.kernel import WallClock
from berylspread.log import (
    Appender,
    AppenderSettings,
    ClusterState,
    KeyCreated,
    LogReader,
    ReaderSettings,
    StoreSource,
)
from berylspread_standins.log_service import LocalLog, LogService, Retention

#: The store's clock at the start of a scenario, in seconds since the epoch.
EPOCH_S = 1_700_000_000.0


class World:
    """Starts parts as tasks and ends them with the scenario."""

    def __init__(self, retention: Retention | None = None):
        self.wall = WallClock(EPOCH_S)
        self.service = LogService(retention=retention, wall=self.wall)
        self.rng = random.Random(1)
        self.tasks: list[asyncio.Task[Any]] = []

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        await self.close()

    async def close(self) -> None:
        """Cancel what runs, and raise what ended by itself."""
        failed = [task for task in self.tasks if task.done()]
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for task in failed:
            if not task.cancelled():
                task.result()

    def start_task(self, main: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        task = asyncio.create_task(main)
        self.tasks.append(task)
        return task

    def client(self) -> LocalLog:
        return LocalLog(self.service, self.rng, timeout_s=0.5)

    def appender(self, writer: str, store: LocalLog, **limits) -> Appender:
        appender = Appender(
            store, writer, AppenderSettings(**limits), rng=self.rng
        )
        self.start_task(appender.run())
        return appender

    def reader(self, store: LocalLog, **limits) -> LogReader:
        reader = LogReader(
            StoreSource(store),
            ClusterState(),
            ReaderSettings(**limits),
            rng=self.rng,
        )
        self.start_task(reader.run())
        return reader


def key_record(number: int) -> KeyCreated:
    """Return a small record that can be told from others."""
    return KeyCreated(f'key-{number}', 'proofs', b'digest')


def replay(service: LogService) -> ClusterState:
    """Fold everything that the service retains."""
    state = ClusterState()
    for entry in service.entries:
        state.apply_entry(entry)
    return state
