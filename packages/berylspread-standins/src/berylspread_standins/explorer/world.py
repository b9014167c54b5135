"""A small cell on which a schedule runs."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

import msgspec

from berylspread.coordinator.leader_record import LeaderRecord
from berylspread.coordinator.messages import (
    AskJobStatus,
    JobAccepted,
    JobStatusReply,
    SubmitJob,
)
from berylspread.coordinator.model import (
    JobSpec,
    PermissionTerms,
    Queue,
    StepSpec,
)
from berylspread.kernel.clock import now
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import (
    CAPACITY,
    TASK,
    TOPICS,
    job,
)
from berylspread_standins.coordinated.gangs import Gangs
from berylspread_standins.coordinated.worker import RunLog, WorkerStandin
from berylspread_standins.explorer.choices import Chooser
from berylspread_standins.explorer.faults import (
    ExploredStore,
    ExploredWorkers,
    TokenLog,
)
from berylspread_standins.explorer.scripts import SCRIPTS

WORKERS: Final = 2
#: The time until a coordinator has begun.
START_S: Final = 1.0
#: How long choices may deviate.
WINDOW_S: Final = 4.0
#: By this long after the window every job has ended: the longest lease of a
#: former coordinator, the runs of both steps and their retries.
HORIZON_S: Final = 30.0
POLL_S: Final = 0.5
REQUEST_TIMEOUT_S: Final = 2.5
#: Seconds of work of each task.
WORK_S: Final = 1.5
ESTIMATE_MS: Final = 1500
REQUEST_BASE_MS: Final = 30.0
REQUEST_EACH_MS: Final = 1.0
TICKET_VALID_MS: Final = 2000.0
QUEUE: Final = Queue(
    'q',
    'desk',
    max_attempts=2,
    permission_terms=PermissionTerms(
        REQUEST_BASE_MS, REQUEST_EACH_MS, TICKET_VALID_MS
    ),
)
STEPS: Final = (
    StepSpec(3, TASK, estimate_ms=ESTIMATE_MS),
    StepSpec(2, TASK, estimate_ms=ESTIMATE_MS, after=(0,)),
)
GANG: Final = StepSpec(3, TASK, estimate_ms=ESTIMATE_MS, gang=True)
#: When each job is submitted, in seconds after the start of the window.
SUBMITTED_S: Final = {'a': 0.1, 'b': 0.9, 'c': 2.2}


@final
class World:
    """The cell, the jobs that callers have submitted and their replies."""

    __slots__ = (
        'accepted',
        'chooser',
        'expected',
        'fleet',
        'gangs',
        'lost_workers',
        'nodes',
        'statuses',
        'tokens',
    )

    def __init__(self, nodes: int, chooser: Chooser) -> None:
        self.chooser = chooser
        self.nodes = [f'n{index}' for index in range(nodes)]
        self.fleet = CoordinatedFleet(WORKERS)
        self.tokens = TokenLog()
        #: Jobs that were acknowledged.
        self.accepted: set[str] = set()
        self.statuses: dict[str, str] = {}
        #: How the jobs must end.
        self.expected = dict.fromkeys(SUBMITTED_S, 'succeeded')
        self.gangs = Gangs()
        #: Workers that were replaced, whose ends may be lost.
        self.lost_workers: set[str] = set()
        for job_id in SUBMITTED_S:
            for number, step in enumerate(STEPS):
                for index in range(step.count):
                    name = f'{job_id}.0.{number}.{index}'
                    self.fleet.work[name] = (WORK_S, 'done')

    async def run(self, script: str) -> None:
        """Run a script and the callers until all jobs have ended."""
        random.seed(0)
        for name in self.nodes:
            self.start_node(name)
        await asyncio.sleep(START_S)
        self.chooser.is_open = True
        work = [
            asyncio.create_task(
                self.submit(job(job_id, *STEPS, queue=QUEUE), after_s)
            )
            for job_id, after_s in SUBMITTED_S.items()
        ]
        work.append(asyncio.create_task(SCRIPTS[script](self)))
        await asyncio.sleep(WINDOW_S)
        self.chooser.is_open = False
        await asyncio.gather(*work)
        await self._await_ends()
        self.stop()

    def start_node(self, name: str) -> None:
        """Start a node whose calls the chooser decides."""
        chooser, tokens = self.chooser, self.tokens
        self.fleet.start_node(
            name,
            queue=QUEUE,
            wrap_store=lambda view: ExploredStore(view, name, chooser),
            wrap_workers=lambda pool: ExploredWorkers(
                pool, name, chooser, tokens
            ),
        )

    def kill(self, name: str) -> None:
        """Kill a node."""
        self.fleet.kill(name)

    def lose_worker(self, name: str) -> None:
        """End a worker for good; its entry goes."""
        worker = self.fleet.workers[name]
        worker.is_cut = True
        worker.restart()
        self.fleet.withdraw(name)
        self.lost_workers.add(name)
        del self.fleet.workers[name]

    def coordinator(self) -> str | None:
        """Return the node that coordinates, if there is one."""
        return self.fleet.leader()

    def newest_worker(self) -> WorkerStandin | None:
        """Return the worker with the newest run, if there is a run."""
        runs = self.fleet.runs()
        return self.fleet.workers.get(runs[-1].worker) if runs else None

    async def submit_gang(self, job_id: str, failing_runs: int) -> None:
        """Submit a gang of which two members fail together in some runs."""
        size = GANG.count
        self.gangs.sizes[f'{job_id}.0.0'] = size
        for run in range(failing_runs):
            for index in (run, run + 1):
                task = f'{job_id}.0.0.{index % size}'
                self.gangs.failing.add((task, run + 1))
        for worker in self.fleet.workers.values():
            worker.gangs = self.gangs
        is_last = failing_runs >= QUEUE.max_attempts
        self.expected[job_id] = 'failed' if is_last else 'succeeded'
        await self.submit(job(job_id, GANG, queue=QUEUE))

    def queue(self) -> Queue:
        """Return the queue of the jobs."""
        return QUEUE

    async def sleep(self, seconds: float) -> None:
        """Wait in virtual time."""
        await asyncio.sleep(seconds)

    def stop(self) -> None:
        """Stop all nodes."""
        for name in list(self.fleet.nodes):
            self.fleet.kill(name)

    def leader_records(self) -> list[LeaderRecord]:
        """Return the leader's records in the order of the store."""
        return [
            msgspec.msgpack.decode(blob, type=LeaderRecord)
            for _, blob in self.fleet.store.topic(TOPICS.leader).records
        ]

    def runs_by_task(self) -> dict[str, list[RunLog]]:
        """Return the runs that workers saw, by task, oldest first."""
        found: dict[str, list[RunLog]] = {}
        for log in self.fleet.runs():
            found.setdefault(log.task, []).append(log)
        return found

    async def submit(self, spec: JobSpec, after_s: float = 0.0) -> None:
        """Submit a job until it is accepted."""
        await asyncio.sleep(after_s)
        job_id = spec.job_id
        while job_id not in self.accepted:
            gateway = next(iter(self.fleet.nodes.values())).node.gateway
            assert gateway is not None
            reply = await gateway.send_request(
                SubmitJob(spec),
                JobAccepted,
                request=job_id,
                timeout_s=REQUEST_TIMEOUT_S,
            )
            if isinstance(reply, JobAccepted):
                self.accepted.add(job_id)
            else:
                await asyncio.sleep(POLL_S)

    async def _await_ends(self) -> None:
        ends_at = now() + HORIZON_S
        while now() < ends_at and not self._has_ended():
            await asyncio.sleep(POLL_S)
            for job_id in self.accepted:
                self.statuses[job_id] = await self._ask_status(job_id)

    def _has_ended(self) -> bool:
        return self.statuses == self.expected

    async def _ask_status(self, job_id: str) -> str:
        gateway = next(iter(self.fleet.nodes.values())).node.gateway
        assert gateway is not None
        reply = await gateway.send_request(
            AskJobStatus(job_id, QUEUE.name, 'acme'),
            JobStatusReply,
            request=job_id,
            timeout_s=REQUEST_TIMEOUT_S,
        )
        return reply.status if isinstance(reply, JobStatusReply) else reply.name


Check = Callable[[World], list[str]]
ROOM: Final = CAPACITY.cpu_milli // TASK.cpu_milli
