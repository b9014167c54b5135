"""The active jobs, and a bounded number of ended ones."""

import collections
from typing import Final, final

import msgspec

from berylspread.log.folds.base import Context, Fold, handles
from berylspread.log.folds.index_set import IndexSet
from berylspread.log.records import (
    JobAccepted,
    JobCancelled,
    JobEnded,
    TasksEnded,
    TasksStarted,
)
from berylspread.model import JobSpec, TaskEnd, TaskState

#: Ended jobs that are kept for status queries.
MAX_ENDED_JOBS: Final = 2000
#: Longest time in seconds of log time for which an ended job is kept.
MAX_ENDED_AGE_S: Final = 86_400.0
#: Number of ``TaskEnd`` records that a job keeps, the first ones in the log.
MAX_TASK_ENDS: Final = 8


@final
class JobWire(msgspec.Struct, frozen=True, array_like=True):
    """A job in a snapshot; index sets are encoded by ``IndexSet.to_bytes``."""

    spec: JobSpec
    accepted_offset: int
    started: bytes
    ended: dict[str, bytes]
    ends: tuple[TaskEnd, ...]
    cancel_reason: str | None


@final
class EndedJob(msgspec.Struct, frozen=True, array_like=True):
    """A job that ended; ``counts`` is the number of tasks by state.

    ``offset`` is that of the record that ended the job, and ``log_time`` the
    log time of that record, in seconds since the epoch by the store's clock.
    """

    spec: JobSpec
    state: TaskState
    reason: str
    ended_at: float
    counts: dict[str, int]
    ends: tuple[TaskEnd, ...]
    offset: int
    log_time: float


@final
class JobsWire(msgspec.Struct, frozen=True, array_like=True):
    """Active jobs in order of acceptance, ended ones in order of their end."""

    active: tuple[JobWire, ...] = ()
    ended: tuple[EndedJob, ...] = ()


@final
class JobState:
    """A job that has not ended.

    ``accepted_offset`` is the offset of its acceptance; ``cancel_reason`` the
    reason of a cancellation or ``None``; ``started`` the tasks of a
    non-idempotent job that may have been started; ``ended_by_state`` the
    indexes of the ended tasks by terminal state.
    """

    __slots__ = (
        'accepted_offset',
        'cancel_reason',
        'ended_by_state',
        'ends',
        'spec',
        'started',
    )

    def __init__(self, spec: JobSpec, accepted_offset: int) -> None:
        self.spec = spec
        self.accepted_offset = accepted_offset
        self.started = IndexSet()
        self.ended_by_state: dict[TaskState, IndexSet] = {}
        self.ends: list[TaskEnd] = []
        self.cancel_reason: str | None = None

    def terminal_state(self, index: int) -> TaskState | None:
        """Return the terminal state of a task, or ``None``."""
        return next(
            (
                state
                for state, found in self.ended_by_state.items()
                if index in found
            ),
            None,
        )

    @property
    def terminal_states(self) -> dict[int, TaskState]:
        """The terminal states of the ended tasks by task index."""
        return {
            index: state
            for state, indexes in self.ended_by_state.items()
            for index in indexes
        }

    def count_by_state(self) -> dict[str, int]:
        """Return the number of ended tasks by the name of their state."""
        return {
            state.value: len(indexes)
            for state, indexes in self.ended_by_state.items()
        }

    def record_end(self, end: TaskEnd) -> None:
        """Record the end of a task; only the first one in the log counts."""
        if not 0 <= end.index < self.spec.tasks:
            return
        if self.terminal_state(end.index) is not None:
            return
        self.ended_by_state.setdefault(end.state, IndexSet()).add(end.index)
        if len(self.ends) < MAX_TASK_ENDS:
            self.ends.append(end)

    def to_wire(self) -> JobWire:
        """Return the contents for a snapshot."""
        return JobWire(
            self.spec,
            self.accepted_offset,
            self.started.to_bytes(),
            {
                state.value: found.to_bytes()
                for state, found in self.ended_by_state.items()
            },
            tuple(self.ends),
            self.cancel_reason,
        )

    @classmethod
    def from_wire(cls, wire: JobWire) -> 'JobState':
        """Restore the contents from a snapshot."""
        job = cls(wire.spec, wire.accepted_offset)
        job.started = IndexSet.from_bytes(wire.started)
        job.ended_by_state = {
            TaskState(name): IndexSet.from_bytes(blob)
            for name, blob in wire.ended.items()
        }
        job.ends = list(wire.ends)
        job.cancel_reason = wire.cancel_reason
        return job


@final
class JobFold(Fold):
    """Keeps jobs by id, in order of acceptance."""

    __slots__ = ('active', 'ended')

    def __init__(self) -> None:
        self.active: dict[str, JobState] = {}
        self.ended: collections.OrderedDict[str, EndedJob] = (
            collections.OrderedDict()
        )

    def active_jobs_of(self, unit: str) -> list[JobState]:
        """Return the active jobs of a home unit."""
        return [job for job in self.active.values() if job.spec.home == unit]

    def is_known(self, job_id: str) -> bool:
        """Return whether a job is active or one of the ended jobs kept."""
        return job_id in self.active or job_id in self.ended

    @handles(JobAccepted)
    def on_accepted(self, context: Context, record: JobAccepted) -> None:
        """Add a job; ignore a known id, since it is a repeated request."""
        spec = record.spec
        if not self.is_known(spec.job_id):
            self.active[spec.job_id] = JobState(spec, context.offset)

    @handles(JobCancelled)
    def on_cancelled(self, context: Context, record: JobCancelled) -> None:
        """Record the reason of the first cancellation."""
        job = self.active.get(record.job_id)
        if job is not None and job.cancel_reason is None:
            job.cancel_reason = record.reason

    @handles(TasksStarted)
    def on_started(self, context: Context, record: TasksStarted) -> None:
        """Record tasks that may have been started from now on."""
        job = self.active.get(record.job_id)
        if job is not None:
            job.started.update(
                index for index in record.indexes if 0 <= index < job.spec.tasks
            )

    @handles(TasksEnded)
    def on_tasks_ended(self, context: Context, record: TasksEnded) -> None:
        """Record the ends of tasks."""
        job = self.active.get(record.job_id)
        if job is not None:
            for end in record.ends:
                job.record_end(end)

    @handles(JobEnded)
    def on_ended(self, context: Context, record: JobEnded) -> None:
        """Move the job to the ended jobs, without its payload."""
        job = self.active.pop(record.job_id, None)
        if job is None:
            return
        self.ended[record.job_id] = EndedJob(
            msgspec.structs.replace(job.spec, payload=''),
            record.state,
            record.reason,
            record.ended_at,
            job.count_by_state(),
            tuple(job.ends),
            context.offset,
            context.log_time,
        )
        self._drop_old_jobs(context.log_time)

    def _drop_old_jobs(self, log_time: float) -> None:
        while self.ended:
            oldest = next(iter(self.ended.values()))
            is_recent = oldest.log_time > log_time - MAX_ENDED_AGE_S
            if is_recent and len(self.ended) <= MAX_ENDED_JOBS:
                return
            self.ended.popitem(last=False)

    def to_wire(self) -> JobsWire:
        """Return the contents for a snapshot."""
        return JobsWire(
            tuple(job.to_wire() for job in self.active.values()),
            tuple(self.ended.values()),
        )

    @classmethod
    def from_wire(cls, wire: JobsWire) -> 'JobFold':
        """Restore the contents from a snapshot."""
        fold = cls()
        for active in wire.active:
            fold.active[active.spec.job_id] = JobState.from_wire(active)
        for ended in wire.ended:
            fold.ended[ended.spec.job_id] = ended
        return fold
