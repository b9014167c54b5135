"""How late a job is if one of its steps is placed now.

Load pattern: for some seconds, more work than the fleet or the cap of an
organisation can hold.  In order of deadline alone every job would wait until it
is late, since the jobs that are late the longest come first.  So jobs that can
still be on time are told from late jobs, and late jobs from useless ones.
"""

from typing import Final

from berylspread.coordinator.model import Step

#: A job that takes this many times its objective is useless.
USELESS_FACTOR: Final = 3.0

ON_TIME: Final = 0
LATE: Final = 1
USELESS: Final = 2


def lateness(step: Step, wall_ms: float) -> int:
    """Return whether a job can be on time if the step is placed now.

    The result is ``ON_TIME``, ``LATE`` or ``USELESS``.
    """
    job = step.job
    ends_ms = wall_ms + remaining_path_ms(step)
    if ends_ms <= job.deadline_ms:
        return ON_TIME
    accepted_ms = job.spec.accepted_ms
    useless_after_ms = accepted_ms + USELESS_FACTOR * (
        job.deadline_ms - accepted_ms
    )
    return LATE if ends_ms <= useless_after_ms else USELESS


def remaining_path_ms(step: Step) -> float:
    """Return how long the job goes on if the step is placed now, in ms."""
    job = step.job
    saved_ms = (1 - step.unfinished_share()) * job.task_durations_ms[
        step.number
    ]
    return job.critical_paths_ms[step.number] - saved_ms
