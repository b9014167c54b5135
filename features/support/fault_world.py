"""A fleet in virtual time whose parts the failure scenarios break."""

import asyncio
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, TypeVar

from berylspread.jobs.shards import home_unit
from berylspread.kernel import Failure, now
from berylspread.log.folds.jobs import EndedJob
from berylspread.model import JobSpec
from berylspread.partition.owner import PartitionOwner
from berylspread_standins.cluster import Cluster, Place, SimNode
from berylspread_standins.network import Endpoint
from berylspread_standins.observer import Execution, Observer
from berylspread_standins.virtual_time import VirtualTimeLoop
from berylspread_standins.worker import Worker

ResultT = TypeVar('ResultT')

EXAMPLE = Path(__file__).resolve().parents[2] / 'examples' / 'suryadi.ini'
CENTRAL = 'central-java'
EAST = 'east-java'
#: A queue whose tasks may be started once only.
ONCE_QUEUE = """
[queue billing]
team = accounts
kind = batch
idempotent = no
cpu = 1
memory_gib = 1
"""
#: Fleets by the name that the scenarios use.
FLEETS = {
    'one rack': (Place(CENTRAL, 'pekalongan', 5, 1, 2),),
    'three nodes': (Place(CENTRAL, 'pekalongan', 3, 1, 1),),
    'two small regions': (
        Place(CENTRAL, 'pekalongan', 2, 1, 1),
        Place(EAST, 'sidoarjo', 1, 1, 1),
    ),
    'three racks': (
        Place(CENTRAL, 'pekalongan', 2, 1, 2),
        Place(CENTRAL, 'batang', 2, 2, 2),
    ),
    'two regions': (
        Place(CENTRAL, 'pekalongan', 3, 1, 2),
        Place(EAST, 'sidoarjo', 2, 1, 2),
    ),
}
#: Virtual seconds that one step may take.
LIMIT_S = 8000.0
POLL_S = 0.05
#: What a fleet needs after its start until every part knows the others.
WARM_UP_S = 3.0


class StartNotes:
    """An observer for the workers that also notes when tasks start."""

    def __init__(
        self, inner: Observer, started: Callable[[Execution], None]
    ) -> None:
        self.started = started
        self.ended = inner.ended


class LossyNetwork:
    """The network of the peers, which loses the next messages of a type."""

    def __init__(self, inner: Any, message: str, count: int) -> None:
        self.inner = inner
        self.message = message
        self.left = count

    def arrivals(
        self, source: Endpoint, target: Endpoint, size: int, purpose: str
    ) -> list[float]:
        """Return when a message arrives; never if it is to be lost."""
        if purpose == self.message and self.left:
            self.left -= 1
            return []
        return self.inner.arrivals(source, target, size, purpose)


class FaultWorld:
    """One fleet of its own for a scenario."""

    def __init__(self, fleet: str, text: str = '', **options: Any) -> None:
        # Closing a runner cancels what the stand-ins left behind.
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.jobs: list[JobSpec] = []
        self.before: dict[str, list[Execution]] = {}
        #: When each task was started, and its name.
        self.start_times: list[tuple[float, str]] = []
        self.broken_at = 0.0
        self.killed: list[str] = []
        self.answers: list[Any] = []
        self.cluster: Cluster
        self.run(self._start(fleet, text, options))

    def run(self, work: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Run a coroutine in the world's virtual time."""
        return self.runner.run(_bounded(work))

    def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(asyncio.sleep(seconds))

    def wait(self, holds: Callable[[], bool], limit_s: float) -> float:
        """Wait until a condition holds; return the seconds it took."""
        return self.run(_wait(holds, limit_s))

    def time(self) -> float:
        """Return the loop's time."""
        return self.runner.get_loop().time()

    def submit(self, queue: str, tasks: int = 1, **options: Any) -> JobSpec:
        """Submit a job that must be accepted."""
        spec = self.run(self.cluster.submit(queue, tasks=tasks, **options))
        assert not isinstance(spec, Failure), spec
        self.jobs.append(spec)
        return spec

    @property
    def job(self) -> JobSpec:
        """The job submitted last."""
        return self.jobs[-1]

    def home_name(self, team: str, region: str = CENTRAL) -> str:
        """Return the node that is home to a team."""
        context = self.cluster.node().context
        return self.owner_name(home_unit(context, team, region))

    def owner_name(self, unit: str) -> str:
        """Return the node that owns a unit now."""
        return next(
            name
            for name, sim in self.cluster.nodes.items()
            if sim.node is not None
            for tenure in sim.node.ownership.owned()
            if tenure.unit == unit and tenure.is_valid(self.time())
        )

    def partition_of(self, worker: str) -> str:
        """Return the unit of a worker's rack."""
        vm = self.worker(worker).vm
        return f'workers/{vm.region}/{vm.rack}'

    def partition(self, unit: str) -> PartitionOwner:
        """Return the running owner of a partition."""
        node = self.cluster.nodes[self.owner_name(unit)].running
        return node.partitions.placer.owners[unit]

    def sim(self, name: str) -> SimNode:
        """Return a node's VM by name."""
        return self.cluster.nodes[name]

    def worker(self, vm_id: str) -> Worker:
        """Return a worker by its VM's id."""
        return next(
            worker
            for worker in self.cluster.workers.values()
            if worker.vm.vm_id == vm_id
        )

    def runs(self) -> list[Execution]:
        """Return what really runs, calls left out."""
        return [
            run
            for runs in self.cluster.observer.running.values()
            for run in runs
            if not run.is_call
        ]

    def runs_of(self, spec: JobSpec) -> list[Execution]:
        """Return the running tasks of a job."""
        return [run for run in self.runs() if run.name.startswith(spec.job_id)]

    def starts(self) -> int:
        """Return how many tasks were ever started."""
        return self.cluster.observer.counts['tasks']

    def ended(self, spec: JobSpec) -> EndedJob | None:
        """Return a job's end as the log shows it at a running node."""
        return self.cluster.node().state.jobs.ended.get(spec.job_id)

    def lose(self, message: str, count: int) -> None:
        """Lose the next messages of a type."""
        peers = self.cluster.peers
        peers.network = LossyNetwork(peers.network, message, count)

    def fail(self, names: set[str]) -> None:
        """Kill nodes at one moment."""
        self.broken_at = self.time()
        self.killed.extend(sorted(names))
        for name in sorted(names):
            self.run(self.sim(name).kill())

    def call_soon(self, work: Callable[[], object]) -> None:
        """Call a plain function in the loop."""
        self.run(_call(work))

    def violations(self) -> list[str]:
        """Return what the observer saw against the guarantees."""
        return [
            f'{violation.kind}: {violation.subject}: {violation.evidence}'
            for violation in self.cluster.observer.violations
        ]

    def close(self) -> None:
        """End everything."""
        self.run(self.cluster.close())
        self.runner.close()

    async def _start(
        self, fleet: str, text: str, options: dict[str, Any]
    ) -> None:
        self.cluster = Cluster(
            text or document(),
            places=FLEETS[fleet],
            **options,
        )
        started = self.cluster.observer.started

        def note(run: Execution) -> None:
            self.start_times.append((now(), run.name))
            started(run)

        for worker in self.cluster.workers.values():
            worker.observer = StartNotes(self.cluster.observer, note)
        await self.cluster.start()
        await self.cluster.until_ready()
        await asyncio.sleep(WARM_UP_S)


def document(changes: dict[str, str] | None = None) -> str:
    """Return the example's text with some passages replaced."""
    text = EXAMPLE.read_text(encoding='utf-8') + ONCE_QUEUE
    for old, new in (changes or {}).items():
        assert old in text, old
        text = text.replace(old, new)
    return text


async def _bounded(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    async with asyncio.timeout(LIMIT_S):
        return await work


async def _call(work: Callable[[], object]) -> None:
    work()


async def _wait(holds: Callable[[], bool], limit_s: float) -> float:
    started_at = now()
    while not holds():
        if now() - started_at > limit_s:
            raise AssertionError(f'not within {limit_s} s')
        await asyncio.sleep(POLL_S)
    return now() - started_at
