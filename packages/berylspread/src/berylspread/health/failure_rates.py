"""Decaying failure rates, and the attribution of a failure to its cause.

A failed task counts against its worker only as far as tasks of the same job
class succeed on other workers, and against its job class only as far as the
class fails on other workers, too.
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
    """Exponentially decayed counts of ended and failed tasks."""

    __slots__ = ('ended', 'failed', 'updated_at')

    def __init__(self, now: float) -> None:
        self.ended: float = 0
        self.failed: float = 0
        self.updated_at = now

    def record(self, now: float, *, failed: float, ended: float = 1) -> None:
        """Decay the counts up to ``now``, then add the given tasks."""
        self.decay(now)
        self.ended += ended
        self.failed += failed

    def decay(self, now: float) -> None:
        """Decay the counts up to ``now``, a loop time."""
        elapsed_s = now - self.updated_at
        if elapsed_s > 0:
            kept = math.exp2(-elapsed_s / FAILURE_HALF_LIFE_S)
            self.ended *= kept
            self.failed *= kept
            self.updated_at = now

    def estimate(self, prior: float = PRIOR_RATE) -> float:
        """Return the share of failed tasks, 0 to 1, weighted with the prior.

        The prior counts as ``PRIOR_TASKS`` ended tasks.
        """
        return (self.failed + prior * PRIOR_TASKS) / (self.ended + PRIOR_TASKS)


@final
class WorkerRecord:
    """The failures of one worker.

    ``failure_streak`` adds up the worker's share of the fault for the failures
    since its last success, so that a long history of successes does not hide
    that every task fails now.
    """

    __slots__ = ('failure_rate', 'failure_streak')

    def __init__(self, now: float) -> None:
        self.failure_rate = FailureRate(now)
        self.failure_streak: float = 0

    def record(self, now: float, *, failed: bool, blame: float) -> None:
        """Add an ended task with the worker's share of the fault, 0 to 1."""
        self.failure_rate.record(now, failed=blame)
        self.failure_streak = self.failure_streak + blame if failed else 0


@final
class ClassRecord:
    """The failures of one job class, in total and by worker.

    ``failed_on`` and ``succeeded_on`` hold the loop time of the last outcome
    on each of the last ``MAX_REMEMBERED_WORKERS`` workers.
    """

    __slots__ = ('failed_on', 'failure_rate', 'succeeded_on')

    def __init__(self, now: float) -> None:
        self.failure_rate = FailureRate(now)
        self.failed_on: dict[str, float] = {}
        self.succeeded_on: dict[str, float] = {}

    def record(self, worker: str, now: float, *, failed: bool) -> None:
        """Add an ended task and remember its worker."""
        self.failure_rate.record(now, failed=float(failed))
        workers = self.failed_on if failed else self.succeeded_on
        workers.pop(worker, None)
        workers[worker] = now
        if len(workers) > MAX_REMEMBERED_WORKERS:
            workers.pop(next(iter(workers)))

    def fault_share(self, worker: str) -> float:
        """Return the class's share of the fault for a failure, 0 to 1.

        The share is high for a class that failed on several other workers and
        succeeded on none, and low for one that succeeded on several others.
        """
        failed = _count_others(self.failed_on, worker)
        succeeded = _count_others(self.succeeded_on, worker)
        return failed / (failed + succeeded + 1)


def _count_others(workers: dict[str, float], worker: str) -> int:
    return len(workers) - (worker in workers)
