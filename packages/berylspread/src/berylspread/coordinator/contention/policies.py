"""The policies for too little room: by urgency, and by cost to the callers."""

import math
from typing import Final, final

from berylspread.coordinator.contention.registry import Rank, contention_policy
from berylspread.coordinator.contention.standing import Standing
from berylspread.coordinator.model import HIGHEST_PRIORITY

#: Estimates of the same work differ by less than a step.
STEPS_PER_DOUBLING: Final = 2


@contention_policy('urgency')
@final
class UrgencyPolicy:
    """By share, priority and lateness; then begun and small jobs first.

    Only the most urgent queues are ordered by size, the others by deadline.
    Everything is accepted.
    """

    __slots__ = ()

    refuses = False
    counts_from_due = False
    promotes_overdue = False

    def rank(self, standing: Standing) -> Rank:
        """Return the place of a step in the order of placement."""
        is_by_size = (
            standing.priority == HIGHEST_PRIORITY and not standing.has_begun
        )
        return (
            standing.share_step > 0,
            standing.priority,
            standing.lateness,
            is_by_size,
            standing.size_core_s if is_by_size else standing.deadline_ms,
        )

    def group(self, standing: Standing) -> Rank:
        """Return the priority, which alone decides who gives way."""
        return (standing.priority,)

    def victim_rank(self, standing: Standing) -> Rank:
        """Return the least urgent first, then the latest deadline."""
        return (-standing.priority, -standing.deadline_ms)


@contention_policy('cost')
@final
class CostPolicy:
    """By what a delay costs the callers.

    Jobs that no longer help anybody come last, whatever their queue.  The
    others follow by the steps of their organisation's share, by priority and by
    lateness, then by what each core-second is worth to the caller: small jobs
    and those that are nearly done first.  Jobs that differ little in this
    follow by deadline.
    """

    __slots__ = ()

    refuses = True
    counts_from_due = True
    promotes_overdue = True

    def rank(self, standing: Standing) -> Rank:
        """Return the place of a step in the order of placement."""
        return (
            *self.group(standing),
            standing.lateness,
            -_density_step(standing.value_density),
            standing.deadline_ms,
        )

    def group(self, standing: Standing) -> Rank:
        """Return whether it is useless, its share step and its priority."""
        return (standing.is_useless, standing.share_step, standing.priority)

    def victim_rank(self, standing: Standing) -> Rank:
        """Return the last group first, then what is worth the least."""
        return (
            *(-part for part in self.group(standing)),
            standing.value_density,
        )


def _density_step(density: float) -> int:
    """Return the logarithm of a density, in whole steps."""
    return round(STEPS_PER_DOUBLING * math.log2(density))
