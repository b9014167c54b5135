"""A seeded day in miniature: calls, batch runs, gangs and watchers."""

import asyncio
import collections
import random
from typing import Final, final

from berylspread.backend import CallReply
from berylspread.kernel import Failure, RunState, now
from berylspread.model import JobSpec
from berylspread_standins.cluster import Cluster

CALL_QUEUES: Final = ('proof', 'proof', 'proof', 'quote', 'order-status')
CALLS_PER_S: Final = 4.0
CALL_RUN_S: Final = 0.2
BATCH_EVERY_S: Final = 15.0
BATCH_TASKS: Final = (4, 40)
GANG_EVERY_S: Final = 45.0
GANG_TASKS: Final = (2, 12)
MEAN_RUN_S: Final = 6.0
LONGEST_RUN_S: Final = 60.0
WATCHERS: Final = 24


@final
class CallRecord:
    """One call as its caller saw it."""

    __slots__ = ('outcome', 'queue', 'request_id', 'waited_s')

    def __init__(
        self,
        request_id: str,
        queue: str,
        waited_s: float,
        outcome: CallReply | Failure,
    ) -> None:
        """Keep the request and its outcome."""
        self.request_id = request_id
        self.queue = queue
        self.waited_s = waited_s
        self.outcome = outcome


@final
class Load:
    """Drives a cluster from callers that choose a running node at random."""

    __slots__ = (
        'calls',
        'cluster',
        'counts',
        'jobs',
        'rng',
        'tasks',
        'watchers',
    )

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        """Start without work."""
        self.cluster = cluster
        self.rng = rng
        self.calls: list[CallRecord] = []
        self.jobs: list[JobSpec] = []
        self.watchers: list[JobSpec] = []
        self.counts: collections.Counter[str] = collections.Counter()
        self.tasks: set[asyncio.Task[None]] = set()

    async def start_watchers(self, count: int = WATCHERS) -> None:
        """Submit one watcher for each head."""
        for _ in range(count):
            spec = await self._submit('loom-watcher', 1, None)
            if spec is not None:
                self.watchers.append(spec)

    async def run(self, duration_s: float) -> None:
        """Offer work for a while; return when no more is offered."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._call_for(duration_s))
            group.create_task(self._batch_for(duration_s))
            group.create_task(self._gang_for(duration_s))

    async def finish(self) -> None:
        """Wait until every call has been answered."""
        while self.tasks:
            await asyncio.gather(*self.tasks)

    async def _call_for(self, duration_s: float) -> None:
        ends_at = now() + duration_s
        while now() < ends_at:
            await asyncio.sleep(self.rng.expovariate(CALLS_PER_S))
            task = asyncio.create_task(self._call())
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _batch_for(self, duration_s: float) -> None:
        ends_at = now() + duration_s
        while now() < ends_at:
            queue = self.rng.choice(('pattern-run', 'inspect', 'label-print'))
            tasks = self.rng.randint(*BATCH_TASKS)
            await self._add_job(queue, tasks)
            await asyncio.sleep(self.rng.expovariate(1 / BATCH_EVERY_S))

    async def _gang_for(self, duration_s: float) -> None:
        ends_at = now() + duration_s
        while now() < ends_at:
            await self._add_job('pattern-proof', self.rng.randint(*GANG_TASKS))
            await asyncio.sleep(self.rng.expovariate(1 / GANG_EVERY_S))

    async def _add_job(self, queue: str, tasks: int) -> None:
        run_s = min(self.rng.expovariate(1 / MEAN_RUN_S), LONGEST_RUN_S)
        spec = await self._submit(queue, tasks, run_s)
        if spec is not None:
            self.jobs.append(spec)

    async def _submit(
        self, queue: str, tasks: int, run_s: float | None
    ) -> JobSpec | None:
        node = self._choose_node()
        if not node:
            return None
        spec = await self.cluster.submit(
            queue, tasks=tasks, run_s=run_s, node=node
        )
        outcome = 'unsure' if isinstance(spec, Failure) else 'accepted'
        self.counts[f'jobs {outcome}'] += 1
        return None if isinstance(spec, Failure) else spec

    async def _call(self) -> None:
        node = self._choose_node()
        if not node:
            return
        queue = self.rng.choice(CALL_QUEUES)
        request_id = self.cluster.new_request_id()
        started = now()
        outcome = await self.cluster.call(
            queue,
            run_s=self.rng.expovariate(1 / CALL_RUN_S),
            node=node,
            request_id=request_id,
        )
        record = CallRecord(request_id, queue, now() - started, outcome)
        self.calls.append(record)
        self.counts[f'calls {_label(outcome)}'] += 1

    def _choose_node(self) -> str:
        ready = [
            name
            for name, sim in self.cluster.nodes.items()
            if sim.node is not None
            and sim.node.is_ready
            and not sim.gate.is_paused
        ]
        return self.rng.choice(ready) if ready else ''


def _label(outcome: CallReply | Failure) -> str:
    if not isinstance(outcome, Failure):
        return 'answered'
    if outcome.run_state is RunState.not_run:
        return f'not run: {outcome.name}'
    return f'unknown: {outcome.name}'
