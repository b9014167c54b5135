"""A queue order by submission: first in, first out."""

from typing import final

from berylspread.placement.context import PlacementContext
from berylspread.placement.kernel import QueueOrder, orders
from berylspread.placement.pending import PendingClass


@final
@orders.register
class FifoOrder(QueueOrder):
    """Puts the class first whose oldest task was submitted first."""

    name = 'fifo'
    aliases = ('first-in-first-out',)

    def key(self, pending: PendingClass, context: PlacementContext) -> float:
        """Return the loop time at which the oldest task was submitted."""
        return pending.oldest_at
