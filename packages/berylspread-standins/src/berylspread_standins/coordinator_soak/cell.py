"""The cell of a run, its callers and the lines of its nodes."""

import asyncio
import collections
import random
from typing import Any, Final, final

import msgspec

from berylspread.coordinator.messages import JobAccepted, SubmitJob
from berylspread.coordinator.model import JobSpec, StepSpec
from berylspread.kernel.clock import now
from berylspread_standins.coordinated import CoordinatedFleet, StoreView
from berylspread_standins.coordinated.fleet import TASK, TOPICS, job
from berylspread_standins.coordinated.gangs import Gangs
from berylspread_standins.coordinated.lease import draw_kill_s
from berylspread_standins.coordinated.worker import WorkerPool
from berylspread_standins.coordinator_soak.links import (
    Disturbances,
    SoakStore,
    SoakWorkers,
)
from berylspread_standins.coordinator_soak.plan import (
    COORDINATOR,
    Plan,
    PlannedJob,
)
from berylspread_standins.network import Endpoint

#: The longest lease of the workers, in ms.
HOLD_MAX_MS: Final = 10_000
CLIENT: Final = 'client'
SUBMIT_TIMEOUT_S: Final = 1.0
RETRY_S: Final = 0.3
#: The greatest reading of a worker's clock at the start, in ms.
MAX_CLOCK_MS: Final = 5_000_000


class TimedLines(list[dict[str, Any]]):
    """Log lines with the loop's time, in seconds, in place of the wall's."""

    def append(self, line: dict[str, Any]) -> None:
        """Add a line that is written now."""
        super().append({**line, 'at': round(now(), 3)})


class _Unlimited(dict[str, int]):
    """Lines in a second of the wall clock, which virtual time exceeds."""

    def __setitem__(self, event: str, spent: int) -> None:
        """Keep no count."""


@final
class Cell:
    """The nodes, the workers and the faults that last at present."""

    __slots__ = (
        'disturbances',
        'fleet',
        'gangs',
        'plan',
        'stills',
        'triggers',
    )

    def __init__(self, plan: Plan, seed: int, *, crosses_lives: bool) -> None:
        """Start the workers and the nodes."""
        rng = random.Random(seed)
        self.plan = plan
        self.fleet = CoordinatedFleet(0, seed)
        self.fleet.lines = TimedLines()
        self.fleet.store.rng = random.Random(seed)
        self.fleet.hold_max_ms = HOLD_MAX_MS
        self.gangs = Gangs()
        self.disturbances = Disturbances(
            rng, self._on_leaving, crosses_lives=crosses_lives
        )
        #: The faults for which each node is paused.
        self.stills: dict[str, set[int]] = collections.defaultdict(set)
        #: What each node has to send to be paused, and for which fault.
        self.triggers: dict[str, tuple[str, int]] = {}
        for index, rate in enumerate(plan.worker_rates):
            self.fleet.add_worker(f'w{index}')
            worker = self.fleet.workers[f'w{index}']
            worker.gangs = self.gangs
            worker.lease.clock.set(rng.randrange(MAX_CLOCK_MS), rate)
        for index in range(plan.nodes):
            self.start_node(f'n{index}')
        self.fleet.peers.start(Endpoint(CLIENT, 'r', 'z'))

    def let_kill_late(self, rng: random.Random) -> None:
        """Draw how long each worker needs to kill a run."""
        for worker in self.fleet.workers.values():
            worker.lease.kill_s = draw_kill_s(rng)

    def start_node(self, name: str) -> None:
        """Start a node, or start it again."""

        def wrap_store(view: StoreView) -> SoakStore:
            return SoakStore(view, name, self.disturbances)

        def wrap_workers(pool: WorkerPool) -> SoakWorkers:
            return SoakWorkers(pool, name, self.disturbances)

        standin = self.fleet.start_node(
            name, wrap_store=wrap_store, wrap_workers=wrap_workers
        )
        standin.node.log.lines_in_window = _Unlimited()

    def kill_node(self, name: str) -> None:
        """End a node, if it runs."""
        if name in self.fleet.nodes:
            self.stills[name].clear()
            self.triggers.pop(name, None)
            self.fleet.kill(name)

    def find_node(self, node: str) -> str:
        """Return the node that a fault concerns: the leader of the store."""
        if node != COORDINATOR:
            return node
        records = self.fleet.store.newest(TOPICS.leader).items
        if not records:
            return 'n0'
        return str(msgspec.msgpack.decode(records[0].blob)[1])

    def stand_still(self, node: str, fault: int) -> None:
        """Let a node stand still until ``go_on``."""
        if node in self.fleet.nodes:
            self.stills[node].add(fault)
            self.fleet.pause(node)

    def go_on(self, node: str, fault: int) -> None:
        """Let a node go on, unless another fault keeps it still."""
        self.stills[node].discard(fault)
        if not self.stills[node]:
            self.fleet.resume(node)

    async def submit_all(self) -> None:
        """Submit the jobs at their times."""
        async with asyncio.TaskGroup() as group:
            for planned in self.plan.jobs:
                group.create_task(self._submit(planned))

    def stop(self) -> None:
        """End all nodes."""
        for name in list(self.fleet.nodes):
            self.kill_node(name)

    async def _submit(self, planned: PlannedJob) -> None:
        for index in range(planned.tasks):
            task = f'{planned.name}.0.0.{index}'
            self.fleet.work[task] = (planned.work_s, 'done')
        if planned.gang:
            self.gangs.sizes[f'{planned.name}.0.0'] = planned.tasks
        await asyncio.sleep(planned.at_s)
        spec = _make_spec(planned)
        turn = 0
        while not await self._submit_to(f'n{turn % self.plan.nodes}', spec):
            turn += 1
            await asyncio.sleep(RETRY_S)

    async def _submit_to(self, node: str, spec: JobSpec) -> bool:
        reply = await self.fleet.peers.nodes[CLIENT].request(
            node, SubmitJob(spec), JobAccepted, timeout_s=SUBMIT_TIMEOUT_S
        )
        return isinstance(reply, JobAccepted)

    def _on_leaving(self, node: str, sent: str) -> None:
        trigger = self.triggers.get(node)
        if trigger is not None and trigger[0] == sent:
            del self.triggers[node]
            self.stand_still(node, trigger[1])


def _make_spec(planned: PlannedJob) -> JobSpec:
    step = StepSpec(
        planned.tasks,
        TASK,
        estimate_ms=int(min(planned.work_s, 60.0) * 1000),
        gang=planned.gang,
        long_running=planned.long_running,
    )
    return job(planned.name, step)
