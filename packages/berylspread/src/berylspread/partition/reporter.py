"""Reports changes of attempts to their homes until they are acknowledged."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from berylspread.kernel import Failure
from berylspread.partition.attempts import Attempt
from berylspread.partition.demands import DemandTable
from berylspread.partition.messages import (
    EventsTaken,
    TaskEvent,
    TaskEvents,
    UnitEpoch,
)
from berylspread.runtime import NodeContext

REPORT_TIMEOUT_S: Final = 6.0
RETRY_S: Final = 0.5
MAX_EVENTS: Final = 500


@final
class HomeReporter:
    """Queues the attempts to report and sends their events, by home.

    One request to a home is open at a time.  ``on_recorded`` is called with
    each attempt whose outcome the home has recorded.
    """

    __slots__ = (
        'context',
        'demands',
        'on_recorded',
        'partition',
        'queues',
        'tasks',
    )

    def __init__(
        self,
        context: NodeContext,
        partition: UnitEpoch,
        demands: DemandTable,
        on_recorded: Callable[[Attempt], None],
    ) -> None:
        self.context = context
        self.partition = partition
        self.demands = demands
        self.on_recorded = on_recorded
        self.queues: dict[str, dict[str, Attempt]] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def enqueue(self, attempt: Attempt) -> None:
        """Report an attempt's newest event in place of an older unsent one."""
        self.queues.setdefault(attempt.home, {})[attempt.name] = attempt
        task = self.tasks.get(attempt.home)
        if task is None or task.done():
            self.tasks[attempt.home] = asyncio.create_task(
                self._send_queued(attempt.home)
            )

    def close(self) -> None:
        """Stop reporting; the next owner reports what the workers list."""
        for task in self.tasks.values():
            task.cancel()
        self.tasks.clear()

    async def _send_queued(self, home: str) -> None:
        queue = self.queues[home]
        while queue:
            batch = list(queue.values())[:MAX_EVENTS]
            events = [item.event for item in batch if item.event is not None]
            if await self._send(home, events):
                self._mark_recorded(queue, batch, events)
            else:
                await asyncio.sleep(RETRY_S)

    async def _send(self, home: str, events: list[TaskEvent]) -> bool:
        owner = self.context.owner(home)
        if owner is None:
            return False
        ref, epoch = owner
        reply = await self.context.peers.request(
            ref.node,
            TaskEvents(self.partition, UnitEpoch(home, epoch), events),
            EventsTaken,
            timeout_s=REPORT_TIMEOUT_S,
        )
        return not isinstance(reply, Failure)

    def _mark_recorded(
        self,
        queue: dict[str, Attempt],
        batch: list[Attempt],
        events: list[TaskEvent],
    ) -> None:
        sent = {id(event) for event in events}
        for attempt in batch:
            if id(attempt.event) not in sent:
                continue
            if queue.get(attempt.name) is attempt:
                queue.pop(attempt.name)
            attempt.reported = True
            if attempt.is_ended:
                self.on_recorded(attempt)
