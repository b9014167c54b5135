"""Learned sizes and run times per job class, in bounded memory.

Declared sizes are wrong by up to ten times either way.  A grant follows the
class's peak use once enough tasks have ended; whatever it is, a worker's grants
never add up to more than the worker holds.
"""

import collections
import math
from typing import Final, final

from berylspread.model import Resources

MAX_CLASSES: Final = 2000
USAGE_HALF_LIFE_S: Final = 21_600.0
#: Width of a bucket: eight to a doubling, so within 9 % of the value.
BUCKETS_PER_DOUBLING: Final = 8
MIN_TASKS: Final = 8.0
PEAK_QUANTILE: Final = 0.95
RUN_QUANTILE: Final = 0.5
#: Room above the quantile for the next task.
GRANT_MARGIN: Final = 1.15
#: A grant stays within these factors of what was declared.
MIN_GRANT_FACTOR: Final = 0.1
MAX_GRANT_FACTOR: Final = 10.0


@final
class DecayingHistogram:
    """Counts of values in logarithmic buckets, older ones counting less."""

    __slots__ = ('counts', 'total', 'updated_at')

    def __init__(self, now: float) -> None:
        """Start empty."""
        self.counts: dict[int, float] = {}
        self.total: float = 0
        self.updated_at = now

    def add(self, value: float, now: float) -> None:
        """Count a value; 0 and below count as 1."""
        self._decay(now)
        bucket = round(math.log2(max(value, 1)) * BUCKETS_PER_DOUBLING)
        self.counts[bucket] = self.counts.get(bucket, 0) + 1
        self.total += 1

    def quantile(self, part: float) -> float:
        """Return the value below which a part of the counts lies."""
        wanted = self.total * part
        seen = 0.0
        last = 0
        for bucket in sorted(self.counts):
            seen += self.counts[bucket]
            last = bucket
            if seen >= wanted:
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
    """What one job class uses at its peak, and how long it runs."""

    __slots__ = ('cpu', 'memory', 'run_ms')

    def __init__(self, now: float) -> None:
        """Start without tasks."""
        self.cpu = DecayingHistogram(now)
        self.memory = DecayingHistogram(now)
        self.run_ms = DecayingHistogram(now)


@final
class UsageEstimator:
    """The job classes met last."""

    __slots__ = ('classes',)

    def __init__(self) -> None:
        """Start without classes."""
        self.classes: collections.OrderedDict[str, ClassUsage] = (
            collections.OrderedDict()
        )

    def record_task(
        self, job_class: str, peak: Resources, run_s: float, now: float
    ) -> None:
        """Take in a task that succeeded, with its peak use."""
        use = self.classes.get(job_class)
        if use is None:
            use = ClassUsage(now)
            self.classes[job_class] = use
            if len(self.classes) > MAX_CLASSES:
                self.classes.popitem(last=False)
        self.classes.move_to_end(job_class)
        use.cpu.add(peak.cpu_milli, now)
        use.memory.add(peak.memory_mib, now)
        use.run_ms.add(run_s * 1000, now)

    def record_overuse(
        self, job_class: str, peak: Resources, now: float
    ) -> None:
        """Take in the use of a task that was stopped for it."""
        use = self.classes.get(job_class)
        if use is not None:
            use.cpu.add(peak.cpu_milli, now)
            use.memory.add(peak.memory_mib, now)

    def estimate_grant(self, job_class: str, declared: Resources) -> Resources:
        """Return what to grant a task: learned, or declared if too new.

        Accelerators and slots are whole things and granted as declared.
        """
        use = self.classes.get(job_class)
        if use is None or use.cpu.total < MIN_TASKS:
            return declared
        return Resources(
            _bounded_grant(use.cpu, declared.cpu_milli),
            _bounded_grant(use.memory, declared.memory_mib),
            declared.accelerators,
            declared.slots,
        )

    def expected_run_s(self, job_class: str, declared_s: float) -> float:
        """Return the expected run time in seconds."""
        use = self.classes.get(job_class)
        if use is None or use.run_ms.total < MIN_TASKS:
            return declared_s
        return use.run_ms.quantile(RUN_QUANTILE) / 1000


def _bounded_grant(peaks: DecayingHistogram, declared: int) -> int:
    wanted = peaks.quantile(PEAK_QUANTILE) * GRANT_MARGIN
    bounded = min(
        max(wanted, declared * MIN_GRANT_FACTOR), declared * MAX_GRANT_FACTOR
    )
    return math.ceil(bounded)
