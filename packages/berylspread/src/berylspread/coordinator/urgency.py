"""The order in which ready steps are placed.

Load pattern: more work than the fleet holds for seconds.  By deadline alone
every job would wait until it is late, since the latest go first.  Jobs that can
still be on time go before those that cannot, and those before jobs that are of
no more use; within each group the earliest deadline is first.
"""

from typing import Final, NamedTuple

from berylspread.coordinator.model import Step

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
    deadline_ms: float


def urgency(step: Step, wall_ms: float) -> Urgency:
    """Return a step's place in the order at a time of day."""
    job = step.job
    return Urgency(
        over_share=job.over_share and not step.spec.lasting,
        priority=step.priority,
        lateness=ON_TIME if step.spec.lasting else lateness(step, wall_ms),
        deadline_ms=job.deadline_ms,
    )


def lateness(step: Step, wall_ms: float) -> int:
    """Return whether a job can be on time if the step begins now."""
    job = step.job
    ends_ms = wall_ms + job.tails_ms[step.number]
    if ends_ms <= job.deadline_ms:
        return ON_TIME
    begun_ms = job.spec.accepted_ms
    useless_ms = begun_ms + USELESS_FACTOR * (job.deadline_ms - begun_ms)
    return LATE if ends_ms <= useless_ms else USELESS
