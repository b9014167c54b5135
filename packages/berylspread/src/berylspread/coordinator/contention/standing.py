"""What the decisions under contention know of a job.

Load pattern: jobs of very different size, urgency and progress compete for the
same room, so a job is judged by what it still needs, not by what it is.
"""

from typing import Final, NamedTuple

from berylspread.coordinator.model import (
    MS_PER_S,
    Job,
    JobStatus,
    Step,
)
from berylspread.coordinator.urgency import USELESS, lateness

#: A job that has waited this many times its objective goes before all others.
OVERDUE_FACTOR: Final = 10.0
#: The part of a job's weight that does not grow with its size: each caller
#: waits for an answer, however small the job.
FIXED_WEIGHT: Final = 0.3
#: Counts for a job without an estimate.
LEAST_CORE_S: Final = 0.001


class Standing(NamedTuple):
    """The state of a step's job at one moment."""

    is_lasting: bool
    is_useless: bool
    #: ``ON_TIME``, ``LATE`` or ``USELESS``.
    lateness: int
    #: How many times its share the organisation had used up.
    share_step: int
    priority: int
    #: Time to the deadline, less the critical path that is left.
    slack_ms: float
    #: Core-seconds that the job still needs.
    remaining_core_s: float
    #: What the job counts for its caller, per core-second that it still needs.
    value_density: float
    deadline_ms: float
    size_core_s: float
    #: Whether a task of the job has run.
    has_begun: bool
    waited_ms: float
    #: Whether it has waited so long that it goes before all others.
    is_overdue: bool


def find_standing(
    step: Step, wall_ms: float, remaining_core_s: float, delay_ms: float = 0.0
) -> Standing:
    """Return the standing of a step's job at a wall-clock time in ms.

    ``remaining_core_s`` is what the job still needs.  All times count from
    ``delay_ms`` after its acceptance.
    """
    job, is_lasting = step.job, step.spec.long_running
    # As if it had been accepted, and were examined, that much earlier.
    wall_ms -= delay_ms
    found = 0 if is_lasting else lateness(step, wall_ms)
    waited_ms = wall_ms - job.spec.accepted_ms
    objective_ms = job.deadline_ms - job.spec.accepted_ms
    return Standing(
        is_lasting=is_lasting,
        is_useless=found == USELESS,
        lateness=found,
        share_step=0 if is_lasting else job.share_step,
        priority=step.priority,
        slack_ms=job.deadline_ms - wall_ms - job.critical_paths_ms[step.number],
        remaining_core_s=remaining_core_s,
        value_density=(_weight(job) + LEAST_CORE_S)
        / (remaining_core_s + LEAST_CORE_S),
        deadline_ms=job.deadline_ms + delay_ms,
        size_core_s=job.size_core_s,
        has_begun=job.status is not JobStatus.queued,
        waited_ms=waited_ms,
        is_overdue=waited_ms > OVERDUE_FACTOR * objective_ms and not is_lasting,
    )


def find_delay_ms(step: Step) -> float:
    """Return how long after its job's acceptance a step becomes due."""
    spec = step.job.spec
    return max(spec.due_ms(step.occurrence) - spec.accepted_ms, 0)


def find_remaining_core_s(job: Job, wall_ms: float) -> float:
    """Return the core-seconds that a job still needs.

    Work of which the progress is saved counts as done.  Occurrences that are
    not due at a wall-clock time in ms do not count.
    """
    occurrences = job.occurrences
    occurrences.update_due(wall_ms)
    counts: list[float] = list(occurrences.unfinished_by_number)
    for step in occurrences.waiting_saved_steps():
        saved_share = 1 - step.unfinished_share()
        counts[step.number] -= len(step.waiting_tasks) * saved_share
    return sum(
        count * spec.demand.cpu_milli / MS_PER_S * duration_ms / MS_PER_S
        for count, spec, duration_ms in zip(
            counts, job.spec.steps, job.task_durations_ms, strict=False
        )
    )


def _weight(job: Job) -> float:
    usual_core_s = job.usual_size_core_s or job.size_core_s
    return FIXED_WEIGHT * usual_core_s + (1 - FIXED_WEIGHT) * job.size_core_s
