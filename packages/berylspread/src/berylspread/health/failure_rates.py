"""Failure rates with decay, and whose fault a failure is.

A task that fails says something of its worker only as far as tasks of its job
class succeed elsewhere, and something of its class only as far as its worker
serves other work well.
"""

import math
from typing import Final, final

FAILURE_HALF_LIFE_S: Final = 900.0
#: Weight of the prior, in tasks.
PRIOR_TASKS: Final = 2.0
PRIOR_RATE: Final = 0.05
MAX_REMEMBERED_WORKERS: Final = 16


@final
class FailureRate:
    """Decayed counts of ended and failed tasks."""

    __slots__ = ('ended', 'failed', 'updated_at')

    def __init__(self, now: float) -> None:
        """Start without counts."""
        self.ended: float = 0
        self.failed: float = 0
        self.updated_at = now

    def record(self, now: float, *, failed: float, ended: float = 1) -> None:
        """Count ended tasks, after letting the older counts decay."""
        self.decay(now)
        self.ended += ended
        self.failed += failed

    def decay(self, now: float) -> None:
        """Let the counts decay up to now."""
        elapsed_s = now - self.updated_at
        if elapsed_s > 0:
            kept = math.exp2(-elapsed_s / FAILURE_HALF_LIFE_S)
            self.ended *= kept
            self.failed *= kept
            self.updated_at = now

    def estimate(self, prior: float = PRIOR_RATE) -> float:
        """Return the failed part from 0 to 1, drawn to the prior."""
        return (self.failed + prior * PRIOR_TASKS) / (self.ended + PRIOR_TASKS)


@final
class WorkerRecord:
    """How one worker does.

    ``streak`` is the blame for the failures since its last success, so that a
    long good history does not hide that it fails everything now.
    """

    __slots__ = ('failure_rate', 'failure_streak')

    def __init__(self, now: float) -> None:
        """Start without counts."""
        self.failure_rate = FailureRate(now)
        self.failure_streak: float = 0

    def record(self, now: float, *, failed: bool, fault_share: float) -> None:
        """Count an ended task with the worker's part of the blame."""
        self.failure_rate.record(now, failed=fault_share)
        self.failure_streak = self.failure_streak + fault_share if failed else 0


@final
class ClassRecord:
    """How one job class does: in all, and on which workers it failed."""

    __slots__ = ('failed_on', 'failure_rate', 'succeeded_on')

    def __init__(self, now: float) -> None:
        """Start without counts."""
        self.failure_rate = FailureRate(now)
        self.failed_on: dict[str, float] = {}
        self.succeeded_on: dict[str, float] = {}

    def record(self, worker: str, now: float, *, failed: bool) -> None:
        """Count an ended task; the workers met last are remembered."""
        self.failure_rate.record(now, failed=float(failed))
        met = self.failed_on if failed else self.succeeded_on
        met.pop(worker, None)
        met[worker] = now
        if len(met) > MAX_REMEMBERED_WORKERS:
            met.pop(next(iter(met)))

    def fault_share(self, worker: str) -> float:
        """Return how far a failure on a worker is the class's fault, 0 to 1.

        A class that failed on several other workers and succeeded on none is
        at fault; one that succeeded on several others is not.
        """
        failed = _count_others(self.failed_on, worker)
        succeeded = _count_others(self.succeeded_on, worker)
        return failed / (failed + succeeded + 1)


def _count_others(met: dict[str, float], worker: str) -> int:
    return len(met) - (worker in met)
