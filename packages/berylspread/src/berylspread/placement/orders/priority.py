"""Highest priority first."""

from typing import Final, final

from berylspread.placement.context import PlacementContext
from berylspread.placement.kernel import QueueOrder, orders
from berylspread.placement.pending import PendingClass

#: A step of priority outweighs any waiting time below this.
PRIORITY_STEP_S: Final = 1e6


@final
@orders.register
class PriorityOrder(QueueOrder):
    """The highest priority; among equals the oldest."""

    name = 'priority'

    def key(self, pending: PendingClass, context: PlacementContext) -> float:
        """Return the age in seconds and the priority as one number."""
        waited_s = pending.waited_s(context.now)
        return -pending.demand.priority * PRIORITY_STEP_S - min(
            waited_s, PRIORITY_STEP_S - 1
        )
