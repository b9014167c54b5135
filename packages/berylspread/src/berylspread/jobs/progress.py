"""The progress of one job at its home: pending, handed out and ended tasks."""

import collections
from typing import Final, final

from berylspread.kernel import check
from berylspread.model import (
    TERMINAL_STATES,
    JobKind,
    JobSpec,
    TaskKey,
    TaskState,
)
from berylspread.partition.messages import (
    UNKNOWN_FAILURES,
    HeldTask,
    UnitEpoch,
)


@final
class HandedOutAttempt:
    """An attempt that is handed out to a partition owner under one epoch."""

    __slots__ = ('attempt', 'epoch', 'state', 'unit', 'worker')

    def __init__(self, attempt: int, unit: str, epoch: int) -> None:
        self.attempt = attempt
        self.unit = unit
        self.epoch = epoch
        self.state = TaskState.starting
        self.worker = ''

    def is_from_earlier_epoch(self, partition: UnitEpoch) -> bool:
        """Return whether an earlier owner of the partition got the attempt."""
        return self.unit == partition.unit and self.epoch < partition.epoch


@final
class JobProgress:
    """The tasks of a job by state; each is in exactly one of four collections.

    Tasks in ``pending`` wait to be handed out.  Tasks in ``unsure`` may run
    somewhere and wait for the inventories of the partitions.  Tasks in
    ``handed_out`` are with a partition owner.  Tasks in ``ended`` have a
    terminal state.

    ``attempts`` numbers what was handed out.  ``failures`` counts the attempts
    that have failed: those of each task, or the runs of a gang.
    """

    __slots__ = (
        'accepted_at',
        'attempts',
        'avoid_workers',
        'cancelled',
        'checkpoints',
        'ended',
        'failures',
        'handed_out',
        'newest_failed_run',
        'newest_run',
        'pending',
        'spec',
        'started',
        'unsure',
    )

    def __init__(self, spec: JobSpec, accepted_at: float) -> None:
        """Make every task pending; ``accepted_at`` is the loop's time."""
        self.spec = spec
        self.accepted_at = accepted_at
        self.pending: collections.deque[int] = collections.deque(
            range(spec.tasks)
        )
        self.unsure: set[int] = set()
        self.handed_out: dict[int, HandedOutAttempt] = {}
        self.ended: dict[int, TaskState] = {}
        self.attempts: collections.Counter[int] = collections.Counter()
        self.failures: collections.Counter[int] = collections.Counter()
        #: The number of a gang's newest run, and of the newest that has failed.
        self.newest_run = 0
        self.newest_failed_run = -1
        self.started: set[int] = set()
        self.checkpoints: dict[int, str] = {}
        self.avoid_workers: set[str] = set()
        self.cancelled = False

    @classmethod
    def from_log(
        cls,
        spec: JobSpec,
        accepted_at: float,
        started: set[int],
        ended: dict[int, TaskState],
    ) -> 'JobProgress':
        """Rebuild from the log; tasks without a recorded outcome are unsure."""
        progress = cls(spec, accepted_at)
        progress.pending.clear()
        progress.ended = dict(ended)
        progress.started = set(started)
        progress.unsure = set(range(spec.tasks)) - ended.keys()
        return progress

    def task_key(self, index: int) -> TaskKey:
        """Return the key of one of the job's tasks."""
        return TaskKey(self.spec.job_id, index)

    def hand_out(self, unit: str, epoch: int) -> tuple[int, HandedOutAttempt]:
        """Hand out the first pending task under a new attempt number."""
        index = self.pending.popleft()
        check(
            'task-handed-out-once',
            index not in self.handed_out
            and index not in self.ended
            and index not in self.unsure,
            job=self.spec.job_id,
            index=index,
        )
        if not self.handed_out:
            self.newest_run += 1
        self.attempts[index] += 1
        self.started.add(index)
        attempt = HandedOutAttempt(self.attempts[index], unit, epoch)
        self.handed_out[index] = attempt
        return index, attempt

    def adopt_attempt(self, held: HeldTask, partition: UnitEpoch) -> None:
        """Record an attempt from a partition's inventory as handed out."""
        index = held.task.index
        self.unsure.discard(index)
        counted = self._counted_index(index)
        self.failures[counted] = max(
            self.failures[counted], self._earlier_failures(held)
        )
        self.attempts[index] = max(self.attempts[index], held.attempt)
        self.started.add(index)
        attempt = HandedOutAttempt(
            held.attempt, partition.unit, partition.epoch
        )
        attempt.worker = held.worker
        attempt.state = held.state
        self.handed_out[index] = attempt

    def failures_of(self, index: int) -> int:
        """Return how many attempts of a task, or of its gang, have failed."""
        return self.failures[self._counted_index(index)]

    def record_failure(self, index: int) -> None:
        """Count a failed attempt; the members of a gang fail together."""
        if self.is_gang and self.newest_failed_run == self.newest_run:
            return
        self.newest_failed_run = self.newest_run
        self.failures[self._counted_index(index)] += 1

    def requeue(self, index: int) -> None:
        """Make a task pending again; it must not run anywhere."""
        self.handed_out.pop(index, None)
        self.unsure.discard(index)
        self.pending.append(index)

    def record_outcome(self, index: int, state: TaskState) -> None:
        """Record the terminal state of a task."""
        check('end-is-terminal', state in TERMINAL_STATES, state=state.value)
        self.handed_out.pop(index, None)
        self.unsure.discard(index)
        self.ended[index] = state

    def cancel_pending(self) -> list[int]:
        """Drop the pending tasks and return their indexes."""
        dropped = list(self.pending)
        self.pending.clear()
        self.cancelled = True
        return dropped

    @property
    def is_ended(self) -> bool:
        """Whether every task has ended."""
        return len(self.ended) == self.spec.tasks

    @property
    def is_gang(self) -> bool:
        """Whether the tasks start either all at once or not at all."""
        return self.spec.kind is JobKind.gang

    @property
    def has_failed_for_good(self) -> bool:
        """Whether a task that has ended did not succeed."""
        return any(
            state is not TaskState.succeeded for state in self.ended.values()
        )

    def _earlier_failures(self, held: HeldTask) -> int:
        """Return how many attempts before a held one may have failed."""
        if held.failures != UNKNOWN_FAILURES:
            return held.failures
        has_handed_out = held.task.index in self.attempts
        return 0 if has_handed_out else held.attempt - 1

    def _counted_index(self, index: int) -> int:
        return 0 if self.is_gang else index

    def summary_state(self) -> TaskState:
        """Return the worst state among the tasks that have ended."""
        states = set(self.ended.values())
        return next(
            (state for state in STATES_WORST_FIRST if state in states),
            TaskState.succeeded,
        )

    def count_by_state(self) -> dict[str, int]:
        """Return the number of tasks by state; zero counts are left out."""
        counted = collections.Counter(
            attempt.state.value for attempt in self.handed_out.values()
        )
        counted.update(state.value for state in self.ended.values())
        counted['pending'] += len(self.pending) + len(self.unsure)
        return {name: count for name, count in counted.items() if count}


STATES_WORST_FIRST: Final = (
    TaskState.unknown,
    TaskState.lost,
    TaskState.failed,
    TaskState.cancelled,
    TaskState.succeeded,
)
