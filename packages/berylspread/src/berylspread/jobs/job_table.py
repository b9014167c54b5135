"""The jobs of one home: demand classes, hand-outs, retries and outcomes."""

import collections
import heapq
from typing import Final, final

import msgspec
import xxhash

from berylspread.jobs.progress import HandedOutAttempt, JobProgress
from berylspread.kernel import WallClock, now
from berylspread.limits import QuotaLedger
from berylspread.model import (
    Constraints,
    JobKind,
    JobSpec,
    Resources,
    TaskEnd,
    TaskKey,
    TaskState,
)
from berylspread.partition.messages import TaskEvent, TaskGrant
from berylspread.placement.demand import DemandClass

RETRY_BASE_S: Final = 1.0
MAX_RETRY_S: Final = 60.0
MAX_FORGOTTEN_JOBS: Final = 10_000
MAX_DUPLICATE_EVENTS: Final = 100


@final
class ClassKey(msgspec.Struct, frozen=True, array_like=True):
    """What tasks of one demand class have in common."""

    home: str
    team: str
    queue: str
    job_class: str
    kind: JobKind
    shape: Resources
    priority: int
    preemptible: bool
    expected_run_s: float
    deadline: float | None
    constraints: Constraints

    @classmethod
    def from_spec(cls, spec: JobSpec) -> 'ClassKey':
        """Return the key of a job's tasks."""
        return cls(
            home=spec.home,
            team=spec.team,
            queue=spec.queue,
            job_class=spec.job_class,
            kind=spec.kind,
            shape=spec.shape,
            priority=spec.priority,
            # A task that must not run again is not stopped for another.
            preemptible=spec.preemptible and spec.idempotent,
            expected_run_s=spec.expected_run_s,
            deadline=spec.deadline,
            constraints=spec.constraints,
        )

    @property
    def class_id(self) -> str:
        """A short digest that both sides of a pull use as a name."""
        return xxhash.xxh64_hexdigest(msgspec.msgpack.encode(self))


@final
class DemandClassJobs:
    """The jobs of one demand class, in order of acceptance."""

    __slots__ = ('class_id', 'jobs', 'key')

    def __init__(self, key: ClassKey) -> None:
        """Start without jobs."""
        self.key = key
        self.class_id = key.class_id
        self.jobs: dict[str, JobProgress] = {}

    @property
    def pending_count(self) -> int:
        """How many tasks wait."""
        return sum(len(job.pending) for job in self.jobs.values())


@final
class JobTable:
    """Where every task of the home's jobs stands; no input or output.

    ``ends`` collects the outcomes that the home has still to append to the log,
    ``duplicates`` the events of attempts that run beside the one handed out.
    """

    __slots__ = (
        'delayed_retries',
        'demand_classes',
        'duplicate_events',
        'forgotten_jobs',
        'jobs',
        'quota',
        'unlogged_outcomes',
        'wall',
    )

    def __init__(self, quota: QuotaLedger, wall: WallClock) -> None:
        """Start empty; ``quota`` counts every task that is out or unsure."""
        self.wall = wall
        self.quota = quota
        self.jobs: dict[str, JobProgress] = {}
        self.demand_classes: dict[str, DemandClassJobs] = {}
        self.delayed_retries: list[tuple[float, str, int]] = []
        self.unlogged_outcomes: dict[str, list[TaskEnd]] = {}
        self.forgotten_jobs: dict[str, None] = {}
        self.duplicate_events: collections.deque[TaskEvent] = collections.deque(
            maxlen=MAX_DUPLICATE_EVENTS
        )

    def add_job(self, progress: JobProgress) -> None:
        """Take up a job, new or recovered; a repeat changes nothing."""
        spec = progress.spec
        if spec.job_id in self.jobs or spec.job_id in self.forgotten_jobs:
            return
        self.jobs[spec.job_id] = progress
        self.quota.restore(spec.team, spec.shape, len(progress.unsure))
        key = ClassKey.from_spec(spec)
        job_class = self.demand_classes.get(key.class_id)
        if job_class is None:
            job_class = DemandClassJobs(key)
            self.demand_classes[job_class.class_id] = job_class
        job_class.jobs[spec.job_id] = progress

    def pending_demand(self, home: str, epoch: int) -> list[DemandClass]:
        """Return the pending classes, gangs left out: those are reserved."""
        self.requeue_due_retries()
        return [
            self._demand_class(job_class, home, epoch, pending)
            for job_class in self.demand_classes.values()
            if (pending := self._startable_count(job_class))
        ]

    def hand_out(
        self, class_id: str, count: int, unit: str, epoch: int
    ) -> list[TaskGrant]:
        """Hand out up to ``count`` tasks of a class to a partition."""
        job_class = self.demand_classes.get(class_id)
        if job_class is None:
            return []
        key = job_class.key
        allowed = self.quota.acquire(
            key.team, key.shape, min(count, job_class.pending_count)
        )
        waiting = (
            job for job in list(job_class.jobs.values()) for _ in job.pending
        )
        chosen = [
            job for job, _ in zip(list(waiting), range(allowed), strict=False)
        ]
        return [self.hand_out_next(job, unit, epoch) for job in chosen]

    def hand_out_next(
        self, progress: JobProgress, unit: str, epoch: int
    ) -> TaskGrant:
        """Hand out the job's first pending task; its quota has been taken."""
        index, handed = progress.hand_out(unit, epoch)
        spec = progress.spec
        return TaskGrant(
            task=progress.task_key(index),
            attempt=handed.attempt,
            team=spec.team,
            queue=spec.queue,
            job_class=spec.job_class,
            kind=spec.kind,
            shape=spec.shape,
            priority=spec.priority,
            preemptible=spec.preemptible,
            expected_run_s=spec.expected_run_s,
            payload=spec.payload,
            checkpoint=progress.checkpoints.get(index, ''),
            constraints=spec.constraints,
        )

    def apply_event(self, event: TaskEvent) -> bool:
        """Apply an event; return whether the attempt has ended.

        An event of an attempt that is not the one handed out is dropped.
        """
        progress = self.jobs.get(event.task.job_id)
        if progress is None:
            return False
        handed = progress.handed_out.get(event.task.index)
        if handed is None or handed.attempt != event.attempt:
            self._record_duplicate(event, handed)
            return False
        if event.state in _ACTIVE_STATES:
            handed.state = event.state
            handed.worker = event.worker
            return False
        if event.checkpoint:
            progress.checkpoints[event.task.index] = event.checkpoint
        self._finish_attempt(progress, event)
        return True

    def return_unstarted(self, task: TaskKey, attempt: int) -> None:
        """Take back a hand-out that certainly reached no worker."""
        self.apply_event(TaskEvent(task, attempt, TaskState.pending))

    def mark_unsure_lost(self) -> None:
        """Decide the tasks that no inventory showed: they run nowhere."""
        for progress in list(self.jobs.values()):
            for index in sorted(progress.unsure):
                self._mark_lost(progress, index, 'no worker has the task')

    def mark_lost(self, task: TaskKey, reason: str) -> None:
        """Decide a handed-out task that certainly runs nowhere any more."""
        progress = self.jobs.get(task.job_id)
        if progress is not None and task.index in progress.handed_out:
            self._mark_lost(progress, task.index, reason)

    def cancel_job(self, job_id: str, reason: str) -> list[TaskKey]:
        """Cancel a job; return the tasks that have to be stopped."""
        progress = self.jobs.get(job_id)
        if progress is None:
            return []
        for index in progress.cancel_pending():
            self._record_outcome(
                progress, TaskEnd(index, TaskState.cancelled, 0, reason)
            )
        return [progress.task_key(index) for index in progress.handed_out]

    def take_outcomes(self) -> dict[str, list[TaskEnd]]:
        """Return and clear the outcomes that are not in the log yet."""
        ends, self.unlogged_outcomes = self.unlogged_outcomes, {}
        return ends

    def forget_job(self, job_id: str) -> None:
        """Drop an ended job."""
        progress = self.jobs.pop(job_id, None)
        if progress is None:
            return
        # A snapshot may show the job as open after its end was appended.
        self.forgotten_jobs[job_id] = None
        if len(self.forgotten_jobs) > MAX_FORGOTTEN_JOBS:
            self.forgotten_jobs.pop(next(iter(self.forgotten_jobs)))
        class_id = ClassKey.from_spec(progress.spec).class_id
        job_class = self.demand_classes[class_id]
        job_class.jobs.pop(job_id, None)
        if not job_class.jobs:
            self.demand_classes.pop(class_id)

    def _demand_class(
        self, job_class: DemandClassJobs, home: str, epoch: int, pending: int
    ) -> DemandClass:
        key = job_class.key
        oldest = next(
            job.accepted_at for job in job_class.jobs.values() if job.pending
        )
        return DemandClass(
            class_id=job_class.class_id,
            home=home,
            home_epoch=epoch,
            team=key.team,
            queue=key.queue,
            job_class=key.job_class,
            kind=key.kind,
            shape=key.shape,
            count=pending,
            priority=key.priority,
            oldest_age_s=now() - oldest,
            deadline_slack_s=self._deadline_slack_s(key),
            expected_run_s=key.expected_run_s,
            constraints=key.constraints,
            preemptible=key.preemptible,
        )

    def _startable_count(self, job_class: DemandClassJobs) -> int:
        """Return how many pending tasks the team's limit lets start."""
        if job_class.key.kind is JobKind.gang:
            return 0
        quota = self.quota.teams.get(job_class.key.team)
        room = quota.room(job_class.key.shape) if quota else 0
        pending = job_class.pending_count
        return pending if room is None else min(pending, room)

    def _deadline_slack_s(self, key: ClassKey) -> float | None:
        if key.deadline is None:
            return None
        return key.deadline - self.wall.time()

    def requeue_due_retries(self) -> None:
        """Make the retries pending whose backoff is over."""
        while self.delayed_retries and self.delayed_retries[0][0] <= now():
            _due, job_id, index = heapq.heappop(self.delayed_retries)
            progress = self.jobs.get(job_id)
            if progress is None:
                continue
            if progress.cancelled:
                self._record_outcome(
                    progress, TaskEnd(index, TaskState.cancelled)
                )
            else:
                progress.requeue(index)

    def _record_duplicate(
        self, event: TaskEvent, handed: HandedOutAttempt | None
    ) -> None:
        """Keep evidence of a task that runs on two workers at one time."""
        if handed is None or handed.worker in {'', event.worker}:
            return
        if {event.state, handed.state} == {TaskState.running}:
            self.duplicate_events.append(event)

    def _finish_attempt(self, progress: JobProgress, event: TaskEvent) -> None:
        index = event.task.index
        if event.state is TaskState.pending:
            progress.started.discard(index)
        if event.state is TaskState.failed:
            progress.avoid_workers.add(event.worker)
        resumes = bool(event.checkpoint) and not progress.cancelled
        if resumes or self._may_retry(progress, index, event.state):
            self._retry(progress, index, event.state)
            return
        self._record_outcome(
            progress,
            TaskEnd(
                index,
                _outcome_state(progress, event.state),
                event.exit_code,
                event.reason,
                event.output,
            ),
        )

    def _mark_lost(
        self, progress: JobProgress, index: int, reason: str
    ) -> None:
        if self._may_retry(progress, index, TaskState.lost):
            self._retry(progress, index, TaskState.pending)
            return
        state = _outcome_state(progress, TaskState.lost)
        self._record_outcome(progress, TaskEnd(index, state, 0, reason))

    def _may_retry(
        self, progress: JobProgress, index: int, state: TaskState
    ) -> bool:
        spec = progress.spec
        if progress.cancelled:
            return False
        if state is TaskState.pending or index not in progress.started:
            return True
        if spec.kind is JobKind.service:
            return True
        if not spec.idempotent or state not in _RETRIABLE_STATES:
            return False
        if state is TaskState.failed:
            return progress.attempts[index] < spec.max_attempts
        return True

    def _retry(
        self, progress: JobProgress, index: int, state: TaskState
    ) -> None:
        self._release_quota(progress, index)
        if state is not TaskState.failed and state is not TaskState.succeeded:
            progress.requeue(index)
            return
        progress.handed_out.pop(index, None)
        backoff = min(
            RETRY_BASE_S * 2 ** (progress.attempts[index] - 1), MAX_RETRY_S
        )
        heapq.heappush(
            self.delayed_retries, (now() + backoff, progress.spec.job_id, index)
        )

    def _release_quota(self, progress: JobProgress, index: int) -> None:
        if index in progress.handed_out or index in progress.unsure:
            self.quota.release(progress.spec.team, progress.spec.shape, 1)

    def _record_outcome(self, progress: JobProgress, end: TaskEnd) -> None:
        self._release_quota(progress, end.index)
        progress.record_outcome(end.index, end.state)
        self.unlogged_outcomes.setdefault(progress.spec.job_id, []).append(end)


_ACTIVE_STATES: Final = frozenset(
    (
        TaskState.starting,
        TaskState.running,
        TaskState.stopping,
    )
)
_RETRIABLE_STATES: Final = frozenset(
    (
        TaskState.failed,
        TaskState.lost,
        TaskState.cancelled,
    )
)


def _outcome_state(progress: JobProgress, state: TaskState) -> TaskState:
    if progress.cancelled and state in {TaskState.lost, TaskState.pending}:
        return TaskState.cancelled
    if state is TaskState.lost and not progress.spec.idempotent:
        return TaskState.unknown
    return state
