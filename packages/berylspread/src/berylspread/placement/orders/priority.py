"""A queue order by priority, highest first."""

from typing import Final, final

from berylspread.placement.context import PlacementContext
from berylspread.placement.kernel import QueueOrder, orders
from berylspread.placement.pending import PendingClass

#: One level of priority outweighs any waiting time below this.
PRIORITY_STEP_S: Final = 1e6


@final
@orders.register
class PriorityOrder(QueueOrder):
    """Puts the highest priority first; among equal ones, the longest wait."""

    name = 'priority'

    def key(self, pending: PendingClass, context: PlacementContext) -> float:
        """Return the priority and the waiting time in seconds as one number."""
        waited_s = pending.waited_s(context.now)
        return -pending.demand.priority * PRIORITY_STEP_S - min(
            waited_s, PRIORITY_STEP_S - 1
        )
