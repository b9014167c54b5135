"""The coordinator's state of the workers and of the runs on them."""

import enum
from collections.abc import Container
from typing import Final, final

from berylspread.coordinator.blame import WorkerHealth
from berylspread.coordinator.interface import WorkerEntry
from berylspread.coordinator.model import (
    MS_PER_S,
    WHOLE_PERCENT,
    JobStatus,
    Step,
    Task,
)
from berylspread.model import ZERO

#: The lowest rate of a worker's steady clock; the platform guarantees it.
MIN_CLOCK_RATE: Final = 0.98
#: A run that did a smaller part of its task gives no estimate of the whole:
#: progress is reported in whole percents, and one second late.
MIN_MEASURED_PERCENT: Final = 20
#: How long a worker gets no new runs after it refused an order as unhealthy, or
#: did not reply to an order.
AVOID_WORKER_S: Final = 1.5
#: Runs of a worker at a time, above what its resources have room for.
MAX_RUNS: Final = 1000


def placeholder_entry(worker: str) -> WorkerEntry:
    """Return an entry for a worker that has none, as after a network cut."""
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
    """The stage of a run, from the order to start it on."""

    #: Its record is being stored, or the order is on its way.
    ordered = 'ordered'
    #: The order got no reply; it may have been carried out or may still be.
    uncertain = 'uncertain'
    #: Placed by an earlier coordinator; the worker has not reported it yet.
    inherited = 'inherited'
    running = 'running'


@final
class RunProgress:
    """The progress of a run, from the worker's reports."""

    __slots__ = (
        'changed_at',
        'measured_from',
        'measured_from_percent',
        'percent',
        'starts_at_zero',
    )

    def __init__(self, since: float, *, starts_at_zero: bool) -> None:
        self.starts_at_zero = starts_at_zero
        self.percent = 0
        #: The time of the last known change of the percentage.
        self.changed_at = since
        #: The percentage at the start of the measurement; -1 until the first
        #: report if the run does not start at zero.
        self.measured_from_percent = 0 if starts_at_zero else -1
        self.measured_from = since

    def record_start(self, moment: float) -> None:
        """Record that the run is ordered, or is known to have started."""
        self.changed_at = moment
        self.measured_from = moment

    def record_report(self, percent: int, moment: float) -> None:
        """Record the percentage in a report."""
        if self.measured_from_percent < 0:
            self.measured_from_percent = percent
            self.measured_from = moment
        if percent != self.percent:
            self.percent = percent
            self.changed_at = moment

    def gained_percent(self) -> int:
        """Return the progress since the start of the measurement."""
        return max(self.percent - max(self.measured_from_percent, 0), 0)

    def projected_duration_s(self, moment: float) -> float | None:
        """Return the duration of the whole task, from the progress so far.

        ``None`` if there is too little progress.
        """
        gained = self.gained_percent()
        if gained < MIN_MEASURED_PERCENT:
            return None
        return (moment - self.measured_from) * WHOLE_PERCENT / gained

    def full_duration_s(self, ended_at: float) -> float | None:
        """Return the duration of the whole task, from the measured part.

        ``None`` if the measured part is too small.
        """
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
        'is_suspect',
        'latency_or_cpu',
        'listed_at',
        'may_count_crash',
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
        self.task = task
        self.number = task.run_number
        self.worker = worker
        self.stage = stage
        self.since = since
        #: Whether ``since`` is the start; it is not for an inherited run.
        self.is_start_known = stage is not Stage.inherited
        #: Whether a crash of the worker may count against the task: once, and
        #: only if the run has been ordered.
        self.may_count_crash = stage is Stage.inherited and bool(
            task.worker_born_ms
        )
        #: Whether workers may have crashed under the task.
        self.is_suspect = task.is_suspect
        self.reserved = task.step.spec.reserved_resources()
        self.confirmed_at: float | None = None
        #: When a report last listed the run.
        self.listed_at: float | None = None
        #: When the worker's present life confirmed that this run can no longer
        #: start.
        self.start_prevented_at: float | None = None
        self.stop_reason = ''
        self.progress = RunProgress(
            since, starts_at_zero=self.is_start_known and not task.checkpoint
        )
        self.latency_or_cpu = 0
        self.pace_percent = 100

    def record_order(self, moment: float) -> None:
        """Record that the order to start the run is sent."""
        self.since = moment
        self.may_count_crash = True
        self.progress.record_start(moment)

    def full_duration_s(self, ended_at: float) -> float | None:
        """Return the duration of the whole task, from a run that has ended.

        ``None`` if the start is unknown, or if the run resumed from a
        checkpoint and too little of it was measured.
        """
        if self.progress.starts_at_zero:
            return ended_at - self.since
        return (
            self.progress.full_duration_s(ended_at)
            if self.is_start_known
            else None
        )

    def record_crash(self) -> None:
        """Record that a crash has been counted, also for later coordinators."""
        self.may_count_crash = False
        self.task.worker_born_ms = 0

    def record_running(self) -> None:
        """Record that the worker has confirmed the run."""
        self.stage = Stage.running
        job = self.task.step.job
        if job.status is JobStatus.queued:
            job.status = JobStatus.running


@final
class WorkerClock:
    """A worker's steady clock, estimated from its replies."""

    __slots__ = ('clock_ms', 'observed_at')

    def __init__(self) -> None:
        self.clock_ms = 0
        self.observed_at: float | None = None

    def observe(self, clock_ms: int, received_at: float) -> None:
        """Record the reading in a reply."""
        self.clock_ms = clock_ms
        self.observed_at = received_at

    def lower_bound_ms(self, moment: float) -> int:
        """Return a reading in ms that the clock has certainly reached.

        What expires at a time on this clock is sent with this reading, as a
        later one would make a lease longer than other coordinators assume.
        """
        if self.observed_at is None:
            return 0
        passed_ms = (moment - self.observed_at) * MS_PER_S
        return self.clock_ms + int(passed_ms * MIN_CLOCK_RATE)


@final
class FormerLeases:
    """What is known of the leases that earlier coordinators have granted."""

    __slots__ = ('settled_born_ms', 'until')

    def __init__(self) -> None:
        #: The time of the loop at which they are over.  It applies until the
        #: worker replies to this coordinator.
        self.until = 0.0
        #: The start of the life that is settled, see ``contacts``; 0 if none
        #: is, ``None`` if no coordinator has reached the worker.
        self.settled_born_ms: int | None = None


@final
class Worker:
    """A worker with its runs, its free resources and its last report."""

    __slots__ = (
        '_closed_zones',
        'acked_seq',
        'avoid_until',
        'born_ms',
        'clock',
        'draining_since',
        'entry',
        'former_leases',
        'free',
        'health',
        'is_present',
        'is_reachable',
        'lease_until_ms',
        'runs',
        'serving_count',
        'stray_tasks',
        'suspect_count',
    )

    def __init__(
        self,
        entry: WorkerEntry,
        closed_zones: Container[str] = (),
    ) -> None:
        self.entry = entry
        #: The zones in which nothing may start, as they change.
        self._closed_zones = closed_zones
        self.runs: dict[str, Run] = {}
        self.free = entry.capacity
        self.clock = WorkerClock()
        self.born_ms = 0
        self.acked_seq = 0
        #: The latest end of the requested leases, on the worker's clock.
        self.lease_until_ms = 0
        self.former_leases = FormerLeases()
        self.is_reachable = False
        self.is_present = True
        self.avoid_until = 0.0
        #: When the entry first announced that the worker leaves.
        self.draining_since = 0.0
        self.serving_count = 0
        #: The tasks of stray runs, which are being stopped; the resources that
        #: they use are unknown.
        self.stray_tasks: frozenset[str] = frozenset()
        #: The number of runs of tasks under which workers may have crashed.
        self.suspect_count = 0
        self.health = WorkerHealth()

    @property
    def name(self) -> str:
        """Return the worker's name."""
        return self.entry.worker

    @property
    def slowness(self) -> float:
        """Return the time of a task here, relative to a typical worker."""
        return self.health.slowness

    @property
    def is_leaving(self) -> bool:
        """Return whether the worker has announced that it leaves."""
        return bool(self.entry.address) and not self.entry.is_ready

    @property
    def is_zone_closed(self) -> bool:
        """Return whether nothing may start in the worker's zone."""
        return self.entry.zone in self._closed_zones

    def accepts_runs(self, moment: float) -> bool:
        """Return whether new runs may be placed on the worker."""
        is_usable = (
            self.is_present
            and self.is_reachable
            and not self.stray_tasks
            and len(self.runs) < MAX_RUNS
        )
        is_open = moment >= self.avoid_until and not self.is_zone_closed
        return is_usable and self.entry.is_ready and is_open

    def add_run(self, run: Run) -> None:
        """Reserve the resources of a run."""
        self.runs[run.task.name] = run
        self.free -= run.reserved
        self.suspect_count += run.is_suspect
        if run.task.step.spec.latency_target_ms:
            self.serving_count += 1

    def remove_run(self, run: Run) -> None:
        """Free the resources of a run that has ended or never started."""
        if self.runs.get(run.task.name) is run:
            del self.runs[run.task.name]
            self.free += run.reserved
            self.suspect_count -= run.is_suspect
            if run.task.step.spec.latency_target_ms:
                self.serving_count -= 1

    def unused_limit(self, step: Step) -> int:
        """Return how many more tasks the step's limit per worker allows."""
        limit = step.spec.max_per_worker
        if not limit:
            return MAX_RUNS
        siblings = sum(run.task.step is step for run in self.runs.values())
        return max(limit - siblings, 0)

    def review_suspicion(self, run: Run) -> None:
        """Apply that a worker has not crashed under the task of a run."""
        if run.is_suspect and not run.task.is_suspect:
            run.is_suspect = False
            self.suspect_count -= 1

    def update_entry(self, entry: WorkerEntry) -> None:
        """Apply a newer entry of the worker."""
        reserved = self.entry.capacity - self.free
        if entry.born_ms not in {0, self.entry.born_ms, self.born_ms}:
            # Its clock is not known, so no lease may be requested of it.
            self.is_reachable = False
        self.entry = entry
        self.free = entry.capacity - reserved
        self.is_present = True

    def last_news(self) -> tuple[object, ...]:
        """Return what identifies the latest entry and the latest report.

        If it has changed since a call was sent, a refusal by another instance
        is none by the worker's present life.
        """
        entry = self.entry
        seen_at = self.clock.observed_at
        return entry.address, entry.born_ms, self.born_ms, seen_at

    def forget_prevented_starts(self) -> None:
        """Apply that the next life does not know which runs were stopped."""
        for run in self.runs.values():
            run.start_prevented_at = None

    def is_settled(self, born_ms: int) -> bool:
        """Return whether a life of the worker is settled, see ``contacts``.

        Without a contact and a run nothing is known to have been ordered.
        """
        if self.former_leases.settled_born_ms is None:
            return not self.runs
        return self.former_leases.settled_born_ms == born_ms

    def may_have_unsettled_life(self) -> bool:
        """Return whether a life that has not reported may be unsettled.

        An order that bears the clock of a former life may have reached it.
        """
        born_ms = self.entry.born_ms
        if self.clock.observed_at is not None:
            return born_ms not in {0, self.born_ms}
        return not self.former_leases.settled_born_ms or born_ms not in {
            0,
            self.former_leases.settled_born_ms,
        }

    def lease_is_over(self, moment: float) -> bool:
        """Return whether every lease of the worker has certainly expired."""
        if self.clock.observed_at is None:
            return moment >= self.former_leases.until
        return self.clock.lower_bound_ms(moment) > self.lease_until_ms


def find_run(workers: dict[str, Worker], task: Task) -> Run | None:
    """Return the run of a task on its worker, if there is one."""
    worker = workers.get(task.worker)
    return None if worker is None else worker.runs.get(task.name)
