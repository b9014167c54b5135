"""The jobs of one home: demand classes, hand-outs, retries, outcomes."""

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
    """The properties that all tasks of a demand class share."""

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
        """Return the key of the demand class of a job's tasks."""
        return cls(
            home=spec.home,
            team=spec.team,
            queue=spec.queue,
            job_class=spec.job_class,
            kind=spec.kind,
            shape=spec.shape,
            priority=spec.priority,
            # A task that must not run twice is never preempted.
            preemptible=spec.preemptible and spec.idempotent,
            expected_run_s=spec.expected_run_s,
            deadline=spec.deadline,
            constraints=spec.constraints,
        )

    @property
    def class_id(self) -> str:
        """A hexadecimal digest that names the class in pull requests."""
        return xxhash.xxh64_hexdigest(msgspec.msgpack.encode(self))


@final
class DemandClassJobs:
    """The jobs of one demand class, in order of acceptance."""

    __slots__ = ('class_id', 'jobs', 'key')

    def __init__(self, key: ClassKey) -> None:
        self.key = key
        self.class_id = key.class_id
        self.jobs: dict[str, JobProgress] = {}

    @property
    def pending_count(self) -> int:
        """The number of pending tasks."""
        return sum(len(job.pending) for job in self.jobs.values())


@final
class JobTable:
    """The progress of every job of a home; it does no input or output.

    ``unlogged_outcomes`` collects the outcomes that are not in the log yet.
    ``duplicate_events`` collects the events of attempts that run at the same
    time as the attempt that is handed out.
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
        """``quota`` counts every task that is handed out or unsure."""
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
        """Add a new or recovered job; a known job is left unchanged."""
        spec = progress.spec
        if spec.job_id in self.jobs or spec.job_id in self.forgotten_jobs:
            return
        self.jobs[spec.job_id] = progress
        self.quota.restore(spec.team, spec.shape, len(progress.unsure))
        key = ClassKey.from_spec(spec)
        class_jobs = self.demand_classes.get(key.class_id)
        if class_jobs is None:
            class_jobs = DemandClassJobs(key)
            self.demand_classes[class_jobs.class_id] = class_jobs
        class_jobs.jobs[spec.job_id] = progress

    def pending_demand(self, home: str, epoch: int) -> list[DemandClass]:
        """Return the demand classes with tasks that may start now.

        Gangs are left out, since they start by reservation.
        """
        self.requeue_due_retries()
        return [
            self._demand_class(class_jobs, home, epoch, count)
            for class_jobs in self.demand_classes.values()
            if (count := self._startable_count(class_jobs))
        ]

    def hand_out(
        self, class_id: str, count: int, unit: str, epoch: int
    ) -> list[TaskGrant]:
        """Hand out up to ``count`` tasks of a class, within the quota."""
        class_jobs = self.demand_classes.get(class_id)
        if class_jobs is None:
            return []
        key = class_jobs.key
        allowed = self.quota.acquire(
            key.team, key.shape, min(count, class_jobs.pending_count)
        )
        task_jobs = (
            job for job in list(class_jobs.jobs.values()) for _ in job.pending
        )
        chosen = [
            job for job, _ in zip(list(task_jobs), range(allowed), strict=False)
        ]
        return [self.hand_out_next(job, unit, epoch) for job in chosen]

    def hand_out_next(
        self, progress: JobProgress, unit: str, epoch: int
    ) -> TaskGrant:
        """Hand out the job's first pending task, whose quota is acquired."""
        index, attempt = progress.hand_out(unit, epoch)
        spec = progress.spec
        return TaskGrant(
            task=progress.task_key(index),
            attempt=attempt.attempt,
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
            failures=progress.failures_of(index),
        )

    def apply_event(self, event: TaskEvent) -> bool:
        """Apply an event and return whether the attempt has ended.

        An event of another attempt than the one handed out is dropped.
        """
        progress = self.jobs.get(event.task.job_id)
        if progress is None:
            return False
        attempt = progress.handed_out.get(event.task.index)
        if attempt is None or attempt.attempt != event.attempt:
            self._record_duplicate(event, attempt)
            return False
        if event.state in _ACTIVE_STATES:
            attempt.state = event.state
            attempt.worker = event.worker
            return False
        if event.checkpoint:
            progress.checkpoints[event.task.index] = event.checkpoint
        self._finish_attempt(progress, event)
        return True

    def return_unstarted(self, task: TaskKey, attempt: int) -> None:
        """Make a task pending again whose attempt reached no worker."""
        self.apply_event(TaskEvent(task, attempt, TaskState.pending))

    def mark_unsure_lost(self) -> None:
        """Mark the unsure tasks as lost; no inventory lists them."""
        for progress in list(self.jobs.values()):
            for index in sorted(progress.unsure):
                self._mark_lost(progress, index, 'no worker has the task')

    def mark_lost(self, task: TaskKey, reason: str) -> None:
        """Mark a handed-out task as lost; it must not run anywhere any more."""
        progress = self.jobs.get(task.job_id)
        if progress is not None and task.index in progress.handed_out:
            self._mark_lost(progress, task.index, reason)

    def cancel_job(self, job_id: str, reason: str) -> list[TaskKey]:
        """Cancel a job and return the tasks that must be stopped."""
        progress = self.jobs.get(job_id)
        if progress is None:
            return []
        for index in progress.cancel_pending():
            self._record_outcome(
                progress, TaskEnd(index, TaskState.cancelled, 0, reason)
            )
        return [progress.task_key(index) for index in progress.handed_out]

    def take_outcomes(self) -> dict[str, list[TaskEnd]]:
        """Return the outcomes that are not in the log yet and clear them."""
        ends, self.unlogged_outcomes = self.unlogged_outcomes, {}
        return ends

    def forget_job(self, job_id: str) -> None:
        """Remove an ended job."""
        progress = self.jobs.pop(job_id, None)
        if progress is None:
            return
        # A snapshot may list the job as active after its end was appended;
        # the id keeps the job from being added again.
        self.forgotten_jobs[job_id] = None
        if len(self.forgotten_jobs) > MAX_FORGOTTEN_JOBS:
            self.forgotten_jobs.pop(next(iter(self.forgotten_jobs)))
        class_id = ClassKey.from_spec(progress.spec).class_id
        class_jobs = self.demand_classes[class_id]
        class_jobs.jobs.pop(job_id, None)
        if not class_jobs.jobs:
            self.demand_classes.pop(class_id)

    def _demand_class(
        self, class_jobs: DemandClassJobs, home: str, epoch: int, count: int
    ) -> DemandClass:
        key = class_jobs.key
        oldest_accepted_at = next(
            job.accepted_at for job in class_jobs.jobs.values() if job.pending
        )
        return DemandClass(
            class_id=class_jobs.class_id,
            home=home,
            home_epoch=epoch,
            team=key.team,
            queue=key.queue,
            job_class=key.job_class,
            kind=key.kind,
            shape=key.shape,
            count=count,
            priority=key.priority,
            oldest_age_s=now() - oldest_accepted_at,
            deadline_slack_s=self._deadline_slack_s(key),
            expected_run_s=key.expected_run_s,
            constraints=key.constraints,
            preemptible=key.preemptible,
        )

    def _startable_count(self, class_jobs: DemandClassJobs) -> int:
        """Return how many pending tasks may start under the team's limit."""
        if class_jobs.key.kind is JobKind.gang:
            return 0
        quota = self.quota.teams.get(class_jobs.key.team)
        room = quota.room(class_jobs.key.shape) if quota else 0
        pending = class_jobs.pending_count
        return pending if room is None else min(pending, room)

    def _deadline_slack_s(self, key: ClassKey) -> float | None:
        if key.deadline is None:
            return None
        return key.deadline - self.wall.time()

    def requeue_due_retries(self) -> None:
        """Make the tasks pending whose retry delay is over."""
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
        self, event: TaskEvent, attempt: HandedOutAttempt | None
    ) -> None:
        """Record an event that shows a task running on two workers at once."""
        if attempt is None or attempt.worker in {'', event.worker}:
            return
        if {event.state, attempt.state} == {TaskState.running}:
            self.duplicate_events.append(event)

    def _finish_attempt(self, progress: JobProgress, event: TaskEvent) -> None:
        index = event.task.index
        if event.state is TaskState.pending:
            progress.started.discard(index)
        if event.state is TaskState.failed:
            progress.avoid_workers.add(event.worker)
        if _has_ended_by_itself(progress, event.state):
            progress.record_failure(index)
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
            return progress.failures_of(index) < spec.max_attempts
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
            RETRY_BASE_S * 2 ** (progress.failures_of(index) - 1), MAX_RETRY_S
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


def _has_ended_by_itself(progress: JobProgress, state: TaskState) -> bool:
    return state is TaskState.failed or (
        state is TaskState.succeeded and progress.spec.kind is JobKind.service
    )


def _outcome_state(progress: JobProgress, state: TaskState) -> TaskState:
    if progress.cancelled and state in {TaskState.lost, TaskState.pending}:
        return TaskState.cancelled
    if state is TaskState.lost and not progress.spec.idempotent:
        return TaskState.unknown
    return state
