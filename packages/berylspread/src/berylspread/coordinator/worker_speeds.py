"""Learns how fast workers are, from the durations of the tasks of a step.

Load pattern: the kinds of workers of a fleet differ in speed by a factor of two
and more, and a step waits for its slowest task.  Callers' estimates are wrong
by half, and all tasks of a step take seven times as long now and then.  Some
workers are slow for some seconds.

A task is compared with the other tasks of its step once all have ended; the
first to end would make the later ones seem slow.  The factor of a kind, and of
a worker among its kind, is a median of such ratios.
"""

import collections
import math
import statistics
from collections.abc import Iterable, Iterator
from typing import Final, NamedTuple, final

from berylspread.coordinator.fleet import Run, Worker
from berylspread.coordinator.interface import WorkerEntry
from berylspread.coordinator.model import Step

#: The labels of a worker without its rack.
Kind = tuple[str, ...]

#: The tasks of a step are compared if the durations of at least this many are
#: known.
MIN_MEASURED_TASKS: Final = 3
#: The newest ratios that are kept of a kind and of a worker.
KIND_RATIOS: Final = 301
WORKER_RATIOS: Final = 31
#: A factor is learned from at least this many ratios.
MIN_KIND_RATIOS: Final = 24
MIN_WORKER_RATIOS: Final = 12
#: Older ratios of a worker are forgotten: workers are slow for five to seven
#: seconds at a time.
WORKER_AGE_S: Final = 20.0
#: Older ratios of a kind are forgotten.
KIND_AGE_S: Final = 300.0
#: Kinds whose factors differ by less are taken as alike.
MIN_KIND_DIFFERENCE: Final = 0.1
#: The same between a worker and its kind.
MIN_WORKER_DIFFERENCE: Final = 0.3
#: A difference counts only if it is this many standard errors of the median.
CERTAIN_ERRORS: Final = 4.0
#: The standard error of a median of n values is this many of their median
#: absolute deviations, divided by the root of n.
MEDIAN_ERROR: Final = 1.86
#: Workers whose factors differ by less than about this share are in one tier.
TIER_SIZE: Final = 0.2
#: Fast workers are scarce if less than this share of their processors is free.
SCARCE_SHARE: Final = 0.3
#: The shortest time between two updates of the factors; one takes 6 ms for 350
#: workers.
UPDATE_INTERVAL_S: Final = 1.0


class Measurement(NamedTuple):
    """A measured task: its worker, the life that ran it, and the duration."""

    worker: Worker
    born_ms: int
    log_duration: float


class Level(NamedTuple):
    """The logarithm of a factor, and how far it may be off."""

    log_factor: float
    error: float


@final
class Ratios:
    """The newest logarithms of ratios of durations, with their times."""

    __slots__ = ('age_s', 'min_count', 'rows')

    def __init__(self, count: int, min_count: int, age_s: float) -> None:
        self.age_s = age_s
        self.min_count = min_count
        self.rows: collections.deque[tuple[float, float]] = collections.deque(
            maxlen=count
        )

    def add(self, ratio: float, moment: float) -> None:
        """Add a ratio."""
        self.rows.append((moment, ratio))

    def level(self, moment: float) -> Level | None:
        """Return the median, ``None`` if there are too few ratios."""
        while self.rows and self.rows[0][0] < moment - self.age_s:
            self.rows.popleft()
        if len(self.rows) < self.min_count:
            return None
        ratios = [ratio for _, ratio in self.rows]
        middle = statistics.median(ratios)
        deviation = statistics.median(abs(each - middle) for each in ratios)
        return Level(middle, MEDIAN_ERROR * deviation / math.sqrt(len(ratios)))


@final
class WorkerSpeeds:
    """The factors by kind and by worker; sets those of the workers.

    The state is lost with the coordinator; a successor learns anew from the
    first steps that end.
    """

    __slots__ = (
        'by_kind',
        'by_worker',
        'factors',
        'fastest',
        'is_fast_scarce',
        'measurements',
        'slowest',
        'updated_at',
    )

    def __init__(self) -> None:
        self.by_kind: dict[Kind, Ratios] = {}
        #: By worker: when its life began, and the ratios of that life.
        self.by_worker: dict[str, tuple[int, Ratios]] = {}
        #: The time that a task takes on each kind, relative to a typical
        #: worker.
        self.factors: dict[Kind, float] = {}
        #: The smallest and the largest of the factors.
        self.fastest = 1.0
        self.slowest = 1.0
        #: Whether the workers of the fastest tier have little room left.
        self.is_fast_scarce = False
        #: By step, for steps that have not ended.
        self.measurements: dict[str, list[Measurement]] = {}
        self.updated_at = -math.inf

    def record_task(self, run: Run, duration_s: float, moment: float) -> None:
        """Record the duration of a whole task, in seconds."""
        step, worker = run.task.step, run.worker
        if duration_s > 0 and _is_comparable(run, moment):
            self.measurements.setdefault(step.name, []).append(
                Measurement(worker, worker.born_ms, math.log(duration_s))
            )

    def finish_step(self, step: Step, moment: float) -> None:
        """Compare the tasks of a step that has ended."""
        rows = self.measurements.pop(step.name, [])
        if len(rows) < MIN_MEASURED_TASKS:
            return
        reference = _typical_log(rows)
        kinds = {kind_of(row.worker.entry) for row in rows}
        for row in rows:
            ratio = row.log_duration - reference
            if len(kinds) > 1:
                # Tasks on one kind of worker say nothing about other kinds.
                self._ratios_of_kind(row.worker).add(ratio, moment)
            if row.born_ms == row.worker.born_ms:
                self._ratios_of(row.worker).add(ratio, moment)

    def typical_s(self, step: Step) -> float | None:
        """Return how long the tasks of a step take on a typical worker.

        ``None`` before half of them have ended; the first to end are short.
        """
        rows = self.measurements.get(step.name, [])
        if len(rows) < max(MIN_MEASURED_TASKS, step.spec.count / 2):
            return None
        return math.exp(_typical_log(rows))

    def forget_step(self, step: Step) -> None:
        """Forget the tasks of a step that will not end."""
        self.measurements.pop(step.name, None)

    def update(self, workers: Iterable[Worker], moment: float) -> bool:
        """Look at the room of the fast workers, and rate all now and then.

        Returns whether a kind has changed its tier.
        """
        fleet = list(workers)
        self.is_fast_scarce = _free_share(fleet) < SCARCE_SHARE
        if moment - self.updated_at < UPDATE_INTERVAL_S:
            return False
        self.updated_at = moment
        former = self.tiers()
        self._update_factors(fleet, moment)
        for worker in fleet:
            self._rate(worker, moment)
        return self.tiers() != former

    def tiers(self) -> dict[Kind, int]:
        """Return the tiers of the kinds that are not typical."""
        tiers = {kind: tier(factor) for kind, factor in self.factors.items()}
        return {kind: each for kind, each in tiers.items() if each}

    def forget_workers(self, names: Iterable[str]) -> None:
        """Forget all workers but those that are named."""
        for name in self.by_worker.keys() - set(names):
            del self.by_worker[name]

    def _ratios_of_kind(self, worker: Worker) -> Ratios:
        kind = kind_of(worker.entry)
        ratios = self.by_kind.get(kind)
        if ratios is None:
            ratios = Ratios(KIND_RATIOS, MIN_KIND_RATIOS, KIND_AGE_S)
            self.by_kind[kind] = ratios
        return ratios

    def _ratios_of(self, worker: Worker) -> Ratios:
        """Return the ratios of the present life of a worker."""
        born_ms, ratios = self.by_worker.get(worker.name, (-1, None))
        if ratios is None or born_ms != worker.born_ms:
            ratios = Ratios(WORKER_RATIOS, MIN_WORKER_RATIOS, WORKER_AGE_S)
            self.by_worker[worker.name] = (worker.born_ms, ratios)
        return ratios

    def _update_factors(self, workers: list[Worker], moment: float) -> None:
        """Compute the factors of the kinds; their mean over workers is 1."""
        levels = {
            kind: level
            for kind, ratios in self.by_kind.items()
            if (level := ratios.level(moment)) is not None
        }
        counts = collections.Counter(
            kind_of(worker.entry) for worker in workers
        )
        present = {kind: counts[kind] for kind in levels if counts[kind]}
        if not present:
            self.factors = {}
            self.fastest = 1.0
            self.slowest = 1.0
            return
        middle = _weighted_median(
            (levels[kind].log_factor, count) for kind, count in present.items()
        )
        factors = {
            kind: _factor(levels[kind], middle, MIN_KIND_DIFFERENCE)
            for kind in present
        }
        mean = sum(
            factors[kind] * count for kind, count in present.items()
        ) / sum(present.values())
        self.factors = {kind: factor / mean for kind, factor in factors.items()}
        self.fastest = min(self.factors.values())
        self.slowest = max(self.factors.values())

    def _rate(self, worker: Worker, moment: float) -> None:
        """Set the factor and the tiers of a worker.

        A worker that differs from its kind for certain has a factor of its own,
        any other that of its kind.
        """
        kind_factor = self.factors.get(kind_of(worker.entry), 1.0)
        born_ms, ratios = self.by_worker.get(worker.name, (-1, None))
        level = None
        if ratios is not None and born_ms == worker.born_ms:
            level = ratios.level(moment)
        own = 1.0
        if level is not None:
            own = _factor(level, math.log(kind_factor), MIN_WORKER_DIFFERENCE)
        worker.health.slowness = kind_factor * own
        worker.health.kind_tier = tier(kind_factor)
        worker.health.own_tier = tier(own)


def kind_of(entry: WorkerEntry) -> Kind:
    """Return the kind of a worker."""
    return tuple(label for label in entry.labels if label != entry.rack)


def tier(factor: float) -> int:
    """Return the tier of a factor; 0 is typical and larger ones are slower."""
    return round(math.log(factor) / TIER_SIZE)


def _free_share(workers: list[Worker]) -> float:
    """Return the free share of the processors of the fastest tier."""
    fastest = min((worker.health.kind_tier for worker in workers), default=0)
    fast = [worker for worker in workers if worker.health.kind_tier == fastest]
    free = sum(worker.free.cpu_milli for worker in fast)
    return free / max(
        sum(worker.entry.capacity.cpu_milli for worker in fast), 1
    )


def _typical_log(rows: list[Measurement]) -> float:
    """Return the logarithm of the usual duration on a typical worker."""
    return statistics.median(
        row.log_duration - math.log(row.worker.slowness) for row in rows
    )


def _is_comparable(run: Run, moment: float) -> bool:
    # Members of a gang wait for each other, fillers wait for leftover cpu, and
    # the durations on an unhealthy worker say nothing about its later ones.
    spec = run.task.step.spec
    is_alone = not (spec.gang or spec.is_filler or spec.data_rack)
    ends = not spec.long_running
    return is_alone and ends and not run.worker.health.is_unhealthy(moment)


def _factor(level: Level, middle: float, min_difference: float) -> float:
    """Return a factor relative to the middle, 1 if it may be the same."""
    difference = level.log_factor - middle
    if abs(difference) <= max(min_difference, CERTAIN_ERRORS * level.error):
        return 1.0
    return math.exp(difference)


def _weighted_median(rows: Iterator[tuple[float, int]]) -> float:
    ordered = sorted(rows)
    half = sum(count for _, count in ordered) / 2
    below = 0
    for each, count in ordered:
        below += count
        if below >= half:
            return each
    return 0.0
