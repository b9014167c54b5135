"""First in, first out."""

from typing import final

from berylspread.placement.context import PlacementContext
from berylspread.placement.kernel import QueueOrder, orders
from berylspread.placement.pending import PendingClass


@final
@orders.register
class FifoOrder(QueueOrder):
    """The class whose oldest task was submitted first."""

    name = 'fifo'
    aliases = ('first-in-first-out',)

    def key(self, pending: PendingClass, context: PlacementContext) -> float:
        """Return the loop time of the oldest submission."""
        return pending.oldest_at
