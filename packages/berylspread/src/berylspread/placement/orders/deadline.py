"""A queue order by deadline: earliest deadline first."""

from typing import Final, final

from berylspread.placement.context import PlacementContext
from berylspread.placement.kernel import QueueOrder, orders
from berylspread.placement.pending import PendingClass

#: Deadline of work that has none, counted from its submission.
DEFAULT_DEADLINE_S: Final = 86_400.0


@final
@orders.register
class EarliestDeadlineOrder(QueueOrder):
    """Puts the class first that must be started first to meet its deadline."""

    name = 'deadline'
    aliases = ('edf', 'earliest-deadline')

    def key(self, pending: PendingClass, context: PlacementContext) -> float:
        """Return the loop time of the latest start that meets the deadline."""
        deadline_at = pending.deadline_at
        if deadline_at is None:
            deadline_at = pending.oldest_at + DEFAULT_DEADLINE_S
        return deadline_at - pending.demand.expected_run_s
