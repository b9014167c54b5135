"""Jobs, steps and tasks as the coordinator keeps them."""

import asyncio
import collections
import enum
from typing import Final, final

import msgspec

from berylspread.kernel.errors import Failure
from berylspread.model import Resources

MS_PER_S: Final = 1000
WHOLE_PERCENT: Final = 100
#: The priority of queues that go before all others.
HIGHEST_PRIORITY: Final = 0


@final
class PermissionTerms(msgspec.Struct, frozen=True, array_like=True):
    """What permission requests of a queue cost, and how long answers hold.

    All three are milliseconds; an answer takes ``base_ms`` and ``each_ms`` for
    every worker that the request names.
    """

    base_ms: float
    each_ms: float
    valid_ms: float


@final
class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue's policy, as of the newest configuration that had it.

    ``priority`` 0 is the most urgent.  ``stretch`` is the factor by which a
    job may exceed its longest chain of work, and ``target_ms`` what it may
    wait besides.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    permission_terms: PermissionTerms | None = None


@final
class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job: ``count`` tasks that are alike."""

    count: int
    demand: Resources
    estimate_ms: int = 0
    #: Earlier steps whose tasks must all have succeeded first.
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    #: Most tasks of one occurrence of the step on a worker; 0 is unlimited.
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpoints: bool = False
    image: str = ''
    latency_target_ms: int = 0
    #: The tasks use what the others leave; their cpu is not reserved.
    is_filler: bool = False
    may_miss: int = 0

    def reserved_resources(self) -> Resources:
        """Return what one task takes of a worker's capacity."""
        if self.is_filler:
            return Resources(
                0, self.demand.memory_mib, self.demand.accelerators
            )
        return self.demand


@final
class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """A job as it was accepted; times are milliseconds since the epoch."""

    job_id: str
    queue: Queue
    tenant: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int
    first_ms: int = 0
    interval_ms: int = 0
    repeat: int = 0

    def occurrence_count(self) -> int:
        """Return how many times the steps run."""
        return max(self.repeat, 1)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start; 0 is at once."""
        if not self.repeat:
            # Not the time of acceptance: the clock of the node that accepted
            # the job may be ahead of the coordinator's.
            return 0
        return self.first_ms + occurrence * self.interval_ms


@final
class JobStatus(enum.Enum):
    """How far a job has come."""

    queued = 'queued'
    running = 'running'
    succeeded = 'succeeded'
    failed = 'failed'
    cancelled = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Return whether nothing of the job runs again."""
        return self in FINAL_STATUSES


FINAL_STATUSES: Final = frozenset(
    (JobStatus.succeeded, JobStatus.failed, JobStatus.cancelled)
)


@final
class Phase(enum.IntEnum):
    """Where a task stands; the numbers are stored."""

    waiting = 0
    placed = 1
    done = 2


@final
class Task:
    """One task of a step: its newest run and what it has behind it."""

    __slots__ = (
        'avoided_workers',
        'checkpoint',
        'failures',
        'index',
        'phase',
        'progress_percent',
        'run_number',
        'step',
        'was_placed',
        'worker',
    )

    def __init__(self, step: 'Step', index: int) -> None:
        """Start without a run."""
        self.step = step
        self.index = index
        self.phase = Phase.waiting
        self.run_number = 0
        self.worker = ''
        self.failures = 0
        self.checkpoint = ''
        #: Percent of the work that its checkpoint holds, as far as is known.
        self.progress_percent = 0
        self.was_placed = False
        self.avoided_workers: set[str] = set()

    @property
    def name(self) -> str:
        """Return the task's name at the workers."""
        return f'{self.step.name}.{self.index}'


@final
class Step:
    """One step of one occurrence of a job."""

    __slots__ = (
        'blocked_by',
        'job',
        'name',
        'number',
        'occurrence',
        'preempt_after',
        'spec',
        'tasks',
        'tickets',
        'unfinished_tasks',
        'waiting_tasks',
    )

    def __init__(self, job: 'Job', occurrence: int, number: int) -> None:
        """Start with all tasks waiting."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = job.spec.steps[number]
        self.name = f'{job.spec.job_id}.{occurrence}.{number}'
        self.tasks = [Task(self, index) for index in range(self.spec.count)]
        self.waiting_tasks: collections.deque[Task] = collections.deque(
            self.tasks
        )
        self.unfinished_tasks = self.spec.count
        self.tickets: StepTickets | None = None
        #: The loop's time before which no run is stopped for this step.
        self.preempt_after = 0.0
        #: Why its waiting tasks were not all placed in the last pass.
        self.blocked_by = ''

    @property
    def priority(self) -> int:
        """Return the priority of the job's queue; 0 is the most urgent."""
        return self.job.spec.queue.priority

    def is_done(self) -> bool:
        """Return whether all tasks have succeeded."""
        return self.unfinished_tasks == 0

    def unfinished_share(self) -> float:
        """Return the largest part of its work that a waiting task lacks."""
        least = min(
            (task.progress_percent for task in self.waiting_tasks), default=0
        )
        return 1 - least / WHOLE_PERCENT

    def requeue(self, task: Task) -> None:
        """Let a task wait for another run."""
        task.phase = Phase.waiting
        task.worker = ''
        self.waiting_tasks.append(task)


@final
class StepTickets:
    """Which workers may run a step, and until when each ticket holds."""

    __slots__ = (
        'answered_workers',
        'by_worker',
        'next_check_at',
        'pending_requests',
        'pending_workers',
    )

    def __init__(self) -> None:
        """Know nothing yet."""
        #: Ticket and the loop's time at which it expires, by worker.
        self.by_worker: dict[str, tuple[str, float]] = {}
        self.answered_workers: set[str] = set()
        #: Workers that a request under way is about.
        self.pending_workers: set[str] = set()
        #: How many requests are under way.
        self.pending_requests = 0
        #: The loop's time before which no request is considered.
        self.next_check_at = 0.0

    def begin_request(self, workers: list[str]) -> None:
        """Note a request that is sent."""
        self.pending_requests += 1
        self.pending_workers.update(workers)

    def end_request(self, workers: list[str]) -> None:
        """Note that a request is over."""
        self.pending_requests -= 1
        self.pending_workers.difference_update(workers)
        self.next_check_at = 0.0


@final
class Job:
    """A job and the state of its steps."""

    __slots__ = (
        'critical_paths_ms',
        'deadline_ms',
        'over_share',
        'size_core_s',
        'spec',
        'status',
        'status_stored',
        'steps',
        'task_durations_ms',
    )

    def __init__(self, spec: JobSpec) -> None:
        """Start with every step of every occurrence waiting."""
        self.spec = spec
        self.status = JobStatus.queued
        self.steps = {
            (occurrence, number): Step(self, occurrence, number)
            for occurrence in range(spec.occurrence_count())
            for number in range(len(spec.steps))
        }
        #: Whether the organisation had used up its share when it was accepted.
        self.over_share = False
        #: Done once the newest status is stored.
        self.status_stored: asyncio.Future[Failure | None] | None = None
        #: When the job is late, ms since the epoch.
        self.deadline_ms = 0.0
        #: What all tasks are expected to take, in core-seconds.
        self.size_core_s = 0.0
        #: For each step, the longest chain of work from it on, in ms.
        self.critical_paths_ms: list[float] = []
        #: For each step, what one task takes, in ms.
        self.task_durations_ms: list[float] = []

    def is_runnable(self, step: Step, wall_ms: float) -> bool:
        """Return whether a step's time has come and all before it is done."""
        return wall_ms >= self.spec.due_ms(step.occurrence) and all(
            self.steps[step.occurrence, number].is_done()
            for number in step.spec.after
        )
