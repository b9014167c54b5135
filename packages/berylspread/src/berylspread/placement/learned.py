"""Estimates of the peak usage and run time of each job class.

Declared sizes are up to ten times too large or too small.  Once enough tasks of
a class have ended, its grants are estimated from their peak usage.  In any case
the grants on a worker never add up to more than its capacity.  The memory for
the estimates is bounded.
"""

import collections
import math
from typing import Final, final

from berylspread.model import Resources

MAX_CLASSES: Final = 2000
USAGE_HALF_LIFE_S: Final = 21_600.0
#: Buckets from a value to its double; each is about 9 % wide.
BUCKETS_PER_DOUBLING: Final = 8
MIN_TASKS: Final = 8.0
PEAK_QUANTILE: Final = 0.95
RUN_QUANTILE: Final = 0.5
#: Factor from the quantile of the peak usage to the grant.
GRANT_MARGIN: Final = 1.15
#: Bounds of a grant as factors of the declared size.
MIN_GRANT_FACTOR: Final = 0.1
MAX_GRANT_FACTOR: Final = 10.0


@final
class DecayingHistogram:
    """Exponentially decayed counts of values in logarithmic buckets."""

    __slots__ = ('counts', 'total', 'updated_at')

    def __init__(self, now: float) -> None:
        self.counts: dict[int, float] = {}
        self.total: float = 0
        self.updated_at = now

    def add(self, value: float, now: float) -> None:
        """Add a value; one below 1 is counted as 1."""
        self._decay(now)
        bucket = round(math.log2(max(value, 1)) * BUCKETS_PER_DOUBLING)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1
        self.total += 1

    def quantile(self, part: float) -> float:
        """Return the value up to which a part of the counts, 0 to 1, lies."""
        wanted = self.total * part
        cumulative = 0.0
        last = 0
        for bucket in sorted(self.counts):
            cumulative += self.counts[bucket]
            last = bucket
            if cumulative >= wanted:
                break
        return math.exp2(last / BUCKETS_PER_DOUBLING)

    def _decay(self, now: float) -> None:
        elapsed_s = now - self.updated_at
        if elapsed_s < USAGE_HALF_LIFE_S / BUCKETS_PER_DOUBLING:
            return
        kept = math.exp2(-elapsed_s / USAGE_HALF_LIFE_S)
        self.updated_at = now
        self.total *= kept
        for bucket in self.counts:
            self.counts[bucket] *= kept


@final
class ClassUsage:
    """The peak usage and the run times of one job class."""

    __slots__ = ('cpu', 'memory', 'run_ms')

    def __init__(self, now: float) -> None:
        self.cpu = DecayingHistogram(now)
        self.memory = DecayingHistogram(now)
        self.run_ms = DecayingHistogram(now)


@final
class UsageEstimator:
    """Estimates for the ``MAX_CLASSES`` job classes that were used last."""

    __slots__ = ('classes',)

    def __init__(self) -> None:
        self.classes: collections.OrderedDict[str, ClassUsage] = (
            collections.OrderedDict()
        )

    def record_task(
        self, job_class: str, peak: Resources, run_s: float, now: float
    ) -> None:
        """Record the peak usage and run time of a task that succeeded."""
        usage = self.classes.get(job_class)
        if usage is None:
            usage = ClassUsage(now)
            self.classes[job_class] = usage
            if len(self.classes) > MAX_CLASSES:
                self.classes.popitem(last=False)
        self.classes.move_to_end(job_class)
        usage.cpu.add(peak.cpu_milli, now)
        usage.memory.add(peak.memory_mib, now)
        usage.run_ms.add(run_s * 1000, now)

    def record_overuse(
        self, job_class: str, peak: Resources, now: float
    ) -> None:
        """Record the peak usage of a task that exceeded its grant."""
        usage = self.classes.get(job_class)
        if usage is not None:
            usage.cpu.add(peak.cpu_milli, now)
            usage.memory.add(peak.memory_mib, now)

    def estimate_grant(self, job_class: str, declared: Resources) -> Resources:
        """Return the resources to grant to a task.

        The declared ones are returned until ``MIN_TASKS`` tasks have ended.
        Accelerators and slots are not divisible and are granted as declared.
        """
        usage = self.classes.get(job_class)
        if usage is None or usage.cpu.total < MIN_TASKS:
            return declared
        return Resources(
            _bounded_grant(usage.cpu, declared.cpu_milli),
            _bounded_grant(usage.memory, declared.memory_mib),
            declared.accelerators,
            declared.slots,
        )

    def expected_run_s(self, job_class: str, declared_s: float) -> float:
        """Return the expected run time in seconds.

        The declared one is returned until ``MIN_TASKS`` tasks have ended.
        """
        usage = self.classes.get(job_class)
        if usage is None or usage.run_ms.total < MIN_TASKS:
            return declared_s
        return usage.run_ms.quantile(RUN_QUANTILE) / 1000


def _bounded_grant(peak_usage: DecayingHistogram, declared: int) -> int:
    wanted = peak_usage.quantile(PEAK_QUANTILE) * GRANT_MARGIN
    bounded = min(
        max(wanted, declared * MIN_GRANT_FACTOR), declared * MAX_GRANT_FACTOR
    )
    return math.ceil(bounded)
