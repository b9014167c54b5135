"""A log service and its clients in one process."""

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
    """Runs clients of the log as tasks until the scenario ends."""

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
        """Cancel the running tasks; raise the errors of tasks that failed."""
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
    """Return a small record that is distinct for each number."""
    return KeyCreated(f'key-{number}', 'proofs', b'digest')


def replay(service: LogService) -> ClusterState:
    """Fold all entries that the service retains."""
    state = ClusterState()
    for entry in service.entries:
        state.apply_entry(entry)
    return state
