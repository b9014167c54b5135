"""The order in which ready steps are placed.

Load pattern: more work than the fleet, or an organisation's cap, holds for
seconds.  By deadline alone every job would wait until it is late, since the
latest go first.  Jobs that can still be on time go before those that cannot,
and those before jobs that are of no more use; within each group the earliest
deadline is first.  Of the most urgent queues jobs that have begun go first, so
that what has been worked is soon of use, and of the others the smallest, so
that as many as possible are on time.
"""

from typing import Final, NamedTuple

from berylspread.coordinator.model import HIGHEST_PRIORITY, JobStatus, Step

#: A job that takes this many times its objective is of no more use.
USELESS_FACTOR: Final = 3.0

ON_TIME: Final = 0
LATE: Final = 1
USELESS: Final = 2


class Urgency(NamedTuple):
    """Compared field by field; the smallest goes first."""

    over_share: bool
    priority: int
    lateness: int
    is_ranked_by_size: bool
    #: The job's size in core-seconds, else its deadline in ms.
    rank: float


def urgency(step: Step, wall_ms: float) -> Urgency:
    """Return a step's place in the order at a time of day."""
    job = step.job
    by_deadline = (
        step.priority > HIGHEST_PRIORITY or job.status is not JobStatus.queued
    )
    return Urgency(
        over_share=job.over_share and not step.spec.long_running,
        priority=step.priority,
        lateness=ON_TIME if step.spec.long_running else lateness(step, wall_ms),
        is_ranked_by_size=not by_deadline,
        rank=job.deadline_ms if by_deadline else job.size_core_s,
    )


def lateness(step: Step, wall_ms: float) -> int:
    """Return whether a job can be on time if the step goes on now."""
    job = step.job
    saved_ms = (1 - step.unfinished_share()) * job.task_durations_ms[
        step.number
    ]
    ends_ms = wall_ms + job.critical_paths_ms[step.number] - saved_ms
    if ends_ms <= job.deadline_ms:
        return ON_TIME
    begun_ms = job.spec.accepted_ms
    useless_ms = begun_ms + USELESS_FACTOR * (job.deadline_ms - begun_ms)
    return LATE if ends_ms <= useless_ms else USELESS
