"""The coordinator's state of jobs, steps and tasks."""

import asyncio
import collections
import enum
from typing import Final, final

import msgspec

from berylspread.coordinator.occurrences import Occurrences
from berylspread.coordinator.specs import (
    JobSpec,
    PermissionTerms,
    Queue,
    StepSpec,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure
from berylspread.kernel.turns import Work, complete

__all__ = (
    'FINAL_STATUSES',
    'HIGHEST_PRIORITY',
    'MS_PER_S',
    'TASKS_PER_RECORD',
    'WHOLE_PERCENT',
    'Job',
    'JobSpec',
    'JobStatus',
    'PermissionTerms',
    'Phase',
    'Queue',
    'SilentLoss',
    'Step',
    'StepSpec',
    'StepTickets',
    'Task',
)

MS_PER_S: Final = 1000
WHOLE_PERCENT: Final = 100
#: The priority of the queues that are placed before all others.
HIGHEST_PRIORITY: Final = 0
#: The tasks of a step that share a record in the store.
TASKS_PER_RECORD: Final = 100
#: The tasks whose creation is a unit of work, see ``kernel.turns``.
TASKS_PER_UNIT: Final = 10


@final
class JobStatus(enum.Enum):
    """The status of a job."""

    queued = 'queued'
    running = 'running'
    succeeded = 'succeeded'
    failed = 'failed'
    cancelled = 'cancelled'

    @property
    def is_final(self) -> bool:
        """Return whether the job has ended."""
        return self in FINAL_STATUSES


FINAL_STATUSES: Final = frozenset(
    (JobStatus.succeeded, JobStatus.failed, JobStatus.cancelled)
)


@final
class Phase(enum.IntEnum):
    """The phase of a task; the numbers are stored."""

    waiting = 0
    placed = 1
    done = 2


@final
class SilentLoss:
    """The loss of a run on a worker that was silent until its leases were over.

    The worker, which was born at ``born_ms``, may have crashed, or may have
    been cut off.  ``since_ms`` is in milliseconds since the epoch, ``lost_at``
    the same moment in loop time.
    """

    __slots__ = (
        'address',
        'born_ms',
        'counts_as_crash',
        'lost_at',
        'score',
        'since_ms',
        'worker',
    )

    def __init__(
        self,
        worker: str,
        address: str,
        born_ms: int,
        score: int,
        since_ms: int,
        lost_at: float,
    ) -> None:
        self.worker = worker
        self.address = address
        self.born_ms = born_ms
        #: What a crash of the worker adds to the score of the task.
        self.score = score
        self.since_ms = since_ms
        self.lost_at = lost_at
        #: Whether the worker has been silent for so long that it counts as
        #: crashed.
        self.counts_as_crash = False


@final
class Task:  # noqa: WPS230
    """One task of a step, with its newest run and its failures."""

    __slots__ = (
        'avoided_workers',
        'checkpoint',
        'crash_score',
        'failed_run',
        'failures',
        'has_crawled',
        'has_moved',
        'index',
        'phase',
        'progress_percent',
        'requeued_at',
        'run_number',
        'silent_losses',
        'step',
        'was_placed',
        'worker',
        'worker_born_ms',
    )

    def __init__(self, step: 'Step', index: int) -> None:
        self.step = step
        self.index = index
        self.phase = Phase.waiting
        self.run_number = 0
        self.worker = ''
        #: When the worker of the run started; it tells one life from the next.
        self.worker_born_ms = 0
        #: Failed attempts, see ``attempts``.
        self.failures = 0
        #: The newest run that ended as failed, 0 if none did.
        self.failed_run = 0
        #: Evidence that the task crashes its workers, see ``crashes``.
        self.crash_score = 0
        self.silent_losses: list[SilentLoss] = []
        self.checkpoint = ''
        #: The last known percentage of work that the checkpoint contains.
        self.progress_percent = 0
        self.was_placed = False
        #: The time of the loop at which its last run was known to be over.
        self.requeued_at: float | None = None
        #: Whether a run was moved since it was slow, not stalled.
        self.has_crawled = False
        #: Whether a run was stopped for a faster worker, see ``moves``.
        self.has_moved = False
        self.avoided_workers: set[str] = set()

    @property
    def name(self) -> str:
        """Return the name that workers know the task by."""
        return f'{self.step.name}.{self.index}'

    def away_s(self, moment: float) -> float:
        """Return for how long it has had no run since its last, or 0."""
        return 0.0 if self.requeued_at is None else moment - self.requeued_at

    @property
    def is_suspect(self) -> bool:
        """Return whether workers have, or may have, crashed under the task."""
        return bool(self.crash_score or self.silent_losses)


@final
class Step:
    """One step of one occurrence of a job."""

    __slots__ = (
        'blocked_by',
        'broken_run',
        'has_long_record',
        'held_tasks',
        'job',
        'name',
        'number',
        'occurrence',
        'preempt_after',
        'spec',
        'speed_preference',
        'tasks',
        'tickets',
        'unfinished_count',
        'waiting_tasks',
    )

    def __init__(self, job: 'Job', occurrence: int, number: int) -> None:
        """Create a step without tasks; ``create_tasks`` adds them."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.spec = job.spec.steps[number]
        self.name = f'{job.spec.job_id}.{occurrence}.{number}'
        self.tasks: list[Task] = []
        self.waiting_tasks: collections.deque[Task] = collections.deque()
        #: Tasks that wait and must not be placed, see ``silent_losses``.
        self.held_tasks: list[Task] = []
        self.unfinished_count = self.spec.count
        #: The number of the newest run of the gang that has lost a member.
        self.broken_run = 0
        #: Whether the first record, of an earlier version, holds all tasks.
        self.has_long_record = False
        self.tickets: StepTickets | None = None
        #: No run is preempted for this step before this time of the loop.
        self.preempt_after = 0.0
        #: Why the last pass did not place all waiting tasks.
        self.blocked_by = ''
        #: Which workers the step prefers, see ``speed_choice``.
        self.speed_preference = 0

    def create_tasks(self) -> Work[None]:
        """Create the tasks, all of them waiting."""
        for index in range(self.spec.count):
            task = Task(self, index)
            self.tasks.append(task)
            self.waiting_tasks.append(task)
            if index % TASKS_PER_UNIT == 0:
                yield 1

    @property
    def unfinished_tasks(self) -> int:
        """Return how many tasks have not succeeded."""
        return self.unfinished_count

    @unfinished_tasks.setter
    def unfinished_tasks(self, count: int) -> None:
        was_done = self.is_done()
        self.job.occurrences.record_change(self, count - self.unfinished_count)
        self.unfinished_count = count
        self.job.unfinished_steps += was_done - self.is_done()

    @property
    def priority(self) -> int:
        """Return the priority of the job's queue; 0 is the most urgent."""
        return self.job.spec.queue.priority

    @property
    def part_count(self) -> int:
        """Return the number of records that the tasks are divided among."""
        return -(-self.spec.count // TASKS_PER_RECORD)

    def is_done(self) -> bool:
        """Return whether all tasks have succeeded."""
        return self.unfinished_count == 0

    def has_task_away(self) -> bool:
        """Return whether a long-running task waits that was placed before."""
        return self.spec.long_running and any(
            task.was_placed for task in self.waiting_tasks
        )

    def unfinished_share(self) -> float:
        """Return the largest share of unfinished work of a waiting task."""
        lowest_percent = WHOLE_PERCENT
        for task in self.waiting_tasks:
            if not task.progress_percent:
                return 1.0
            lowest_percent = min(lowest_percent, task.progress_percent)
        return 1 - lowest_percent / WHOLE_PERCENT if self.waiting_tasks else 1.0

    def release(self) -> None:
        """Drop the tasks; those of runs that are stopping stay with these."""
        self.tasks = []
        self.waiting_tasks = collections.deque()
        self.held_tasks = []

    def requeue(self, task: Task, *, is_held: bool) -> None:
        """Put a task back among the waiting, or the held tasks."""
        task.phase = Phase.waiting
        task.worker = ''
        task.worker_born_ms = 0
        task.requeued_at = now()
        if task.progress_percent:
            self.job.occurrences.saved_steps[self.name] = self
        self.add_waiting(task, is_held=is_held)

    def add_waiting(self, task: Task, *, is_held: bool) -> None:
        """Add a task to the waiting, or the held tasks."""
        if is_held:
            self.held_tasks.append(task)
        else:
            self.waiting_tasks.append(task)

    def remove_waiting(self, task: Task) -> None:
        """Remove a task that waits or is held."""
        if task in self.held_tasks:
            self.held_tasks.remove(task)
        else:
            self.waiting_tasks.remove(task)


@final
class StepTickets:
    """The tickets of a step, with their expiry, and its pending requests."""

    __slots__ = (
        'answered_workers',
        'by_worker',
        'next_check_at',
        'pending_requests',
        'pending_workers',
    )

    def __init__(self) -> None:
        #: By worker: the ticket and the time of the loop at which it expires.
        self.by_worker: dict[str, tuple[str, float]] = {}
        self.answered_workers: set[str] = set()
        #: Workers that are named in a pending request.
        self.pending_workers: set[str] = set()
        self.pending_requests = 0
        #: No request is considered before this time of the loop.
        self.next_check_at = 0.0

    def begin_request(self, workers: list[str]) -> None:
        """Record that a request for the workers is sent."""
        self.pending_requests += 1
        self.pending_workers.update(workers)

    def end_request(self, workers: list[str]) -> None:
        """Record that a request has been answered or has failed."""
        self.pending_requests -= 1
        self.pending_workers.difference_update(workers)
        self.next_check_at = 0.0


@final
class Job:
    """A job with the state of its steps."""

    __slots__ = (
        'critical_paths_ms',
        'deadline_ms',
        'occurrences',
        'record_parts',
        'share_step',
        'size_core_s',
        'spec',
        'status',
        'status_stored',
        'steps',
        'stored_queue',
        'task_durations_ms',
        'unfinished_steps',
        'usual_size_core_s',
    )

    def __init__(self, spec: JobSpec, *, is_complete: bool = True) -> None:
        """Create the job with its steps, or without if not ``is_complete``.

        ``create_steps`` then adds them.
        """
        self.spec = spec
        #: The queue in the job's record, which may have changed since.
        self.stored_queue = spec.queue
        self.status = JobStatus.queued
        #: By occurrence and number, in this order.
        self.steps: dict[tuple[int, int], Step] = {}
        self.unfinished_steps = 0
        self.occurrences = Occurrences(self)
        #: The most parts that the record was divided into, 0 if it was not.
        self.record_parts = 0
        #: How many times its share the organisation had used up on acceptance.
        self.share_step = 0
        #: Done when the newest status is stored.
        self.status_stored: asyncio.Future[Failure | None] | None = None
        #: When the objective is missed, in ms since the epoch.
        self.deadline_ms = 0.0
        #: The expected core-seconds of one occurrence.
        self.size_core_s = 0.0
        #: The mean size of the jobs of its queue on acceptance.
        self.usual_size_core_s = 0.0
        #: For each step, the critical path from its start on, in ms.
        self.critical_paths_ms: list[float] = []
        #: For each step, the expected duration of its slowest task, in ms.
        self.task_durations_ms: list[float] = []
        if is_complete:
            complete(self.create_steps())

    def create_steps(self) -> Work[None]:
        """Create the steps of all occurrences, with their tasks."""
        for occurrence in range(self.spec.occurrence_count()):
            for number, _ in enumerate(self.spec.steps):
                step = Step(self, occurrence, number)
                self.steps[occurrence, number] = step
                self.unfinished_steps += 1
                yield from step.create_tasks()
            self.occurrences.created_count += 1

    def find_task(self, name: str) -> Task | None:
        """Return the task of a name, if the job has it and has not ended."""
        step_name, _, index = name.rpartition('.')
        place = step_name.split('.')[1:]
        if len(place) != 2 or not all(map(str.isdecimal, (*place, index))):
            return None
        step = self.steps.get((int(place[0]), int(place[1])))
        if step is None or int(index) >= len(step.tasks):
            return None
        return step.tasks[int(index)]

    @property
    def over_share(self) -> bool:
        """Return whether the organisation had used up its share."""
        return self.share_step > 0

    def update_queue(self, queue: Queue, config_version: int) -> bool:
        """Apply the queue's policy; return whether it is another and newer."""
        spec = self.spec
        if queue == spec.queue or config_version <= spec.config_version:
            return False
        if queue.permission_terms != spec.queue.permission_terms:
            for step in self.steps.values():
                step.tickets = None
        self.spec = msgspec.structs.replace(
            spec, queue=queue, config_version=config_version
        )
        return True

    def release(self) -> list[Step]:
        """Drop what only a job that has not ended needs; return the steps.

        Their tasks are left to the caller, as they may be many.  The payload
        stays, as an order to start may be under way, and so do the estimates,
        by which runs that are stopping are still judged.
        """
        steps = list(self.steps.values())
        self.steps = {}
        self.occurrences.close()
        self.spec = msgspec.structs.replace(self.spec, steps=())
        return steps

    def is_runnable(self, step: Step, wall_ms: float) -> bool:
        """Return whether a step is due and all steps before it are done."""
        return wall_ms >= self.spec.due_ms(step.occurrence) and all(
            before.is_done()
            for before in self.occurrences.find_prerequisites(step)
        )
