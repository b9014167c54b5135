"""Decides whether the coordinator's memory has room for another job.

Load pattern: callers that the operators do not control submit jobs of legal
size with tens of thousands of steps or tasks.  A few of them take the memory of
a small VM.  A job that finds no room is refused as not run, and one that never
would as too large.  A part of the memory is left to small jobs.
"""

import sys
from collections.abc import Iterable
from typing import Final, final

from berylspread.coordinator.model import Job, JobSpec
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, Overloaded, failure

#: What the objects of a step, and of each of its tasks, take.
STEP_BYTES: Final = 2300
TASK_BYTES: Final = 470
#: Jobs that have ended are counted out at most this often.
RECOUNT_S: Final = 1.0
#: The part of the memory that only small jobs get: hundreds of them, also on
#: the smallest VM, while callers with large jobs take the rest.
SMALL_JOBS_PART: Final = 0.125
#: A small job has some hundred tasks, or two dozen steps.
SMALL_JOB_BYTES: Final = 65_536
#: Used if the memory of the VM is not known.
DEFAULT_JOB_BYTES: Final = 125_829_120


@failure
class JobTooLarge(Failure):
    """The job takes more in memory or in the store than can be handled."""

    name = 'job-too-large'
    http_status = 413


@final
class JobRoom:
    """Counts what jobs take; those that have ended are counted out late."""

    __slots__ = (
        'budget_bytes',
        'counted_at',
        'held_bytes',
        'large_budget_bytes',
        'large_held_bytes',
    )

    def __init__(self, budget_bytes: int) -> None:
        """Allow jobs that take ``budget_bytes`` together."""
        self.budget_bytes = budget_bytes
        self.held_bytes = 0
        #: What jobs that are not small may take of it, and what they do.
        self.large_budget_bytes = round(budget_bytes * (1 - SMALL_JOBS_PART))
        self.large_held_bytes = 0
        #: The loop's time; the jobs of earlier coordinators are not counted
        #: before.
        self.counted_at = float('-inf')

    def admit(self, spec: JobSpec, jobs: Iterable[Job]) -> Failure | None:
        """Count a new job, or return why it is refused.

        ``jobs`` are those that the coordinator has.
        """
        size = job_bytes(spec)
        if size > max(self.large_budget_bytes, SMALL_JOB_BYTES):
            return JobTooLarge(
                f'the job needs {size} bytes of memory; '
                f'at most {self.large_budget_bytes} are allowed'
            )
        if not self._has_room(size):
            self._recount(jobs)
        if not self._has_room(size):
            return Overloaded('no memory for another job')
        self._hold(size)
        return None

    def _has_room(self, size: int) -> bool:
        if self.counted_at == float('-inf'):
            return False
        if self.held_bytes + size > self.budget_bytes:
            return False
        return (
            size <= SMALL_JOB_BYTES
            or self.large_held_bytes + size <= self.large_budget_bytes
        )

    def _hold(self, size: int) -> None:
        self.held_bytes += size
        if size > SMALL_JOB_BYTES:
            self.large_held_bytes += size

    def _recount(self, jobs: Iterable[Job]) -> None:
        if now() - self.counted_at < RECOUNT_S:
            return
        self.counted_at = now()
        self.held_bytes = 0
        self.large_held_bytes = 0
        for job in jobs:
            self._hold(job_bytes(job.spec))


def job_bytes(spec: JobSpec) -> int:
    """Return about how many bytes a job takes.

    Of a job that has ended only the payload is left.
    """
    steps = spec.occurrence_count() * len(spec.steps)
    return (
        steps * STEP_BYTES
        + spec.task_count() * TASK_BYTES
        + sys.getsizeof(spec.payload)
    )
