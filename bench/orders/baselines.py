"""Orders to compare with: earlier versions of ours and plain ones."""

from collections.abc import Callable
from typing import Any, Final

from berylspread.coordinator.model import Step
from berylspread.coordinator.urgency import lateness, urgency

#: The order of two steps at a time of day in ms.
Order = Callable[[Step, float], Any]

ORDERS: Final[dict[str, Order]] = {'ours': urgency}


def order(name: str) -> Callable[[Order], Order]:
    """Register an order; a decorator."""

    def register(function: Order) -> Order:
        ORDERS[name] = function
        return function

    return register


@order('deadline, if on time')
def deadline_on_time(step: Step, wall_ms: float) -> Any:
    """Ours until urgent jobs that have begun went first."""
    job = step.job
    return (
        job.over_share,
        step.priority,
        lateness(step, wall_ms),
        job.deadline_ms,
    )


@order('earliest deadline')
def earliest_deadline(step: Step, wall_ms: float) -> Any:
    """By priority, then deadline."""
    return (step.priority, step.job.deadline_ms)


@order('first come')
def first_come(step: Step, wall_ms: float) -> Any:
    """By priority, then time of acceptance."""
    return (step.priority, step.job.spec.accepted_ms)


@order('smallest first')
def smallest_first(step: Step, wall_ms: float) -> Any:
    """By priority and lateness, then size."""
    job = step.job
    return (step.priority, lateness(step, wall_ms), job.size_core_s)
