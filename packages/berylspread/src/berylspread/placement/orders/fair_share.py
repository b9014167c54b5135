"""A queue order by weighted dominant-resource fairness with decayed usage."""

from typing import Any, Final, final

from berylspread.kernel.options import number
from berylspread.placement.context import PlacementContext
from berylspread.placement.kernel import (
    DECAYED_USAGE_WEIGHT,
    QueueOrder,
    orders,
)
from berylspread.placement.pending import PendingClass

#: Small against the ratio of a team: it orders the classes of one team only.
RANK_WEIGHT: Final = 1e-6


@final
@orders.register
class FairShareOrder(QueueOrder):
    """Puts the team first that uses least of its share."""

    name = 'fair-share'
    aliases = ('drf', 'dominant-share')

    history: Any = number(
        0,
        1,
        default=DECAYED_USAGE_WEIGHT,
        help='weight of decayed usage against current usage',
    )

    def key(self, pending: PendingClass, context: PlacementContext) -> float:
        """Return usage divided by entitlement.

        The classes of one team are ordered by priority, then by waiting time.
        """
        ratio = context.shares.usage_ratio(pending.demand.team, self.history)
        waited_s = pending.waited_s(context.now)
        rank = pending.demand.priority + waited_s / (1 + waited_s)
        return ratio - rank * RANK_WEIGHT
