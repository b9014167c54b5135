"""What the coordinator believes of each worker and of the runs on it."""

import enum
from typing import Final, final

from berylspread.coordinator.blame import WorkerHealth
from berylspread.coordinator.interface import WorkerEntry
from berylspread.coordinator.model import (
    MS_PER_S,
    WHOLE_PERCENT,
    JobStatus,
    Task,
)
from berylspread.model import ZERO

#: A worker's steady clock may run this much slow; the platform's figure.
MIN_CLOCK_RATE: Final = 0.98
#: A run that did less of its task tells little of the whole: progress is
#: reported in whole percents, and a second late.
MIN_MEASURED_PERCENT: Final = 20
#: How long a worker that refused as unhealthy gets no new runs.
AVOID_WORKER_S: Final = 1.5


def placeholder_entry(worker: str) -> WorkerEntry:
    """Return an entry for a worker that has none, as after a cut."""
    return WorkerEntry(
        worker=worker,
        service='',
        address='',
        zone='',
        is_ready=False,
        capacity=ZERO,
    )


@final
class Stage(enum.Enum):
    """How far an order to start a run has come."""

    #: Its record is being stored, or the order is on its way.
    ordered = 'ordered'
    #: The order got no answer: it may have been carried out, or may yet be.
    uncertain = 'uncertain'
    #: Placed by an earlier coordinator; the worker has not been asked yet.
    inherited = 'inherited'
    running = 'running'


@final
class RunProgress:
    """How far a run has come, by the worker's reports."""

    __slots__ = (
        'changed_at',
        'measured_from',
        'measured_from_percent',
        'percent',
        'starts_at_zero',
    )

    def __init__(self, since: float, *, starts_at_zero: bool) -> None:
        """Know nothing; ``is_fresh`` tells that it begins with nothing done."""
        self.starts_at_zero = starts_at_zero
        self.percent = 0
        #: When it last changed, as far as is known.
        self.changed_at = since
        #: From where it is measured: the first report, unless it is fresh.
        self.measured_from_percent = 0 if starts_at_zero else -1
        self.measured_from = since

    def record_start(self, moment: float) -> None:
        """Note that the run is ordered, or known to have begun."""
        self.changed_at = moment
        self.measured_from = moment

    def record_report(self, percent: int, moment: float) -> None:
        """Take what a report gives."""
        if self.measured_from_percent < 0:
            self.measured_from_percent = percent
            self.measured_from = moment
        if percent != self.percent:
            self.percent = percent
            self.changed_at = moment

    def gained_percent(self) -> int:
        """Return what was done since it is measured, in percent."""
        return max(self.percent - max(self.measured_from_percent, 0), 0)

    def full_duration_s(self, ended_at: float) -> float | None:
        """Return what the whole task takes, by the part that was measured."""
        worked = WHOLE_PERCENT - self.measured_from_percent
        if self.measured_from_percent < 0 or worked < MIN_MEASURED_PERCENT:
            return None
        return (ended_at - self.measured_from) * WHOLE_PERCENT / worked


@final
class Run:
    """One run of a task on a worker."""

    __slots__ = (
        'confirmed_at',
        'is_start_known',
        'latency_or_cpu',
        'number',
        'pace_percent',
        'progress',
        'reserved',
        'since',
        'stage',
        'start_prevented_at',
        'stop_reason',
        'task',
        'worker',
    )

    def __init__(
        self, task: Task, worker: 'Worker', stage: Stage, since: float
    ) -> None:
        """Take the task's newest run."""
        self.task = task
        self.number = task.run_number
        self.worker = worker
        self.stage = stage
        self.since = since
        #: Whether ``since`` is when it began: not for an inherited run.
        self.is_start_known = stage is not Stage.inherited
        self.reserved = task.step.spec.reserved_resources()
        self.confirmed_at: float | None = None
        #: When the worker confirmed that this run can no longer begin.
        self.start_prevented_at: float | None = None
        self.stop_reason = ''
        self.progress = RunProgress(
            since, starts_at_zero=self.is_start_known and not task.checkpoint
        )
        self.latency_or_cpu = 0
        self.pace_percent = 100

    def record_order(self, moment: float) -> None:
        """Note that the order to start it is sent."""
        self.since = moment
        self.progress.record_start(moment)

    def full_duration_s(self, ended_at: float) -> float | None:
        """Return what the whole task takes, by a run of it that has ended.

        ``None`` if it went on from a checkpoint and little is known of that.
        """
        if self.progress.starts_at_zero:
            return ended_at - self.since
        return (
            self.progress.full_duration_s(ended_at)
            if self.is_start_known
            else None
        )

    def record_running(self) -> None:
        """Note that the worker has confirmed the run."""
        self.stage = Stage.running
        job = self.task.step.job
        if job.status is JobStatus.queued:
            job.status = JobStatus.running


@final
class WorkerClock:
    """A worker's steady clock, estimated from its answers."""

    __slots__ = ('clock_ms', 'observed_at')

    def __init__(self) -> None:
        """Know nothing yet."""
        self.clock_ms = 0
        self.observed_at: float | None = None

    def observe(self, clock_ms: int, received_at: float) -> None:
        """Take the reading in an answer."""
        self.clock_ms = clock_ms
        self.observed_at = received_at

    def estimate_ms(self, moment: float) -> int:
        """Return the likely reading in ms; it may lag by a round trip."""
        if self.observed_at is None:
            return 0
        return self.clock_ms + int((moment - self.observed_at) * MS_PER_S)

    def lower_bound_ms(self, moment: float) -> float:
        """Return a reading that the clock has surely reached, in ms."""
        if self.observed_at is None:
            return 0
        return (
            self.clock_ms
            + (moment - self.observed_at) * MS_PER_S * MIN_CLOCK_RATE
        )


@final
class Worker:
    """A worker, what is reserved on it, and what it last answered."""

    __slots__ = (
        'acked_seq',
        'avoid_until',
        'born_ms',
        'clock',
        'draining_since',
        'entry',
        'free',
        'health',
        'inherited_until',
        'is_present',
        'is_reachable',
        'lease_until_ms',
        'runs',
        'serving_count',
        'stray_count',
    )

    def __init__(self, entry: WorkerEntry) -> None:
        """Start with an empty worker that has not answered yet."""
        self.entry = entry
        self.runs: dict[str, Run] = {}
        self.free = entry.capacity
        self.clock = WorkerClock()
        self.born_ms = 0
        self.acked_seq = 0
        #: The latest end of a lease that was asked for, on the worker's clock.
        self.lease_until_ms = 0
        #: The loop's time from which runs of an earlier coordinator are over,
        #: as long as the worker has not answered this one.
        self.inherited_until = 0.0
        self.is_reachable = False
        self.is_present = True
        self.avoid_until = 0.0
        #: When the entry first said that the worker leaves.
        self.draining_since = 0.0
        self.serving_count = 0
        #: Runs of ended jobs that are being stopped; what they take is unknown.
        self.stray_count = 0
        self.health = WorkerHealth()

    @property
    def name(self) -> str:
        """Return the worker's identity."""
        return self.entry.worker

    def accepts_runs(self, moment: float) -> bool:
        """Return whether new runs may be placed here."""
        is_known = (
            self.is_present and self.is_reachable and not self.stray_count
        )
        return is_known and self.entry.is_ready and moment >= self.avoid_until

    def add_run(self, run: Run) -> None:
        """Reserve room for a run."""
        self.runs[run.task.name] = run
        self.free -= run.reserved
        if run.task.step.spec.latency_target_ms:
            self.serving_count += 1

    def remove_run(self, run: Run) -> None:
        """Free the room of a run that has ended or never began."""
        if self.runs.get(run.task.name) is run:
            del self.runs[run.task.name]
            self.free += run.reserved
            if run.task.step.spec.latency_target_ms:
                self.serving_count -= 1

    def update_entry(self, entry: WorkerEntry) -> None:
        """Take a newer entry of the same worker."""
        reserved = self.entry.capacity - self.free
        self.entry = entry
        self.free = entry.capacity - reserved
        self.is_present = True

    def lease_is_over(self, moment: float) -> bool:
        """Return whether nothing can run here any more, by the clock."""
        if self.clock.observed_at is None:
            return moment >= self.inherited_until
        return self.clock.lower_bound_ms(moment) > self.lease_until_ms


def find_run(workers: dict[str, Worker], task: Task) -> Run | None:
    """Return the run of a task that has been placed."""
    worker = workers.get(task.worker)
    return None if worker is None else worker.runs.get(task.name)
