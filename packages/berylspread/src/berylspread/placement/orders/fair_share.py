"""Weighted dominant-resource fair share with decayed usage."""

from typing import Any, Final, final

from berylspread.kernel.options import number
from berylspread.placement.context import PlacementContext
from berylspread.placement.kernel import (
    DECAYED_USAGE_WEIGHT,
    QueueOrder,
    orders,
)
from berylspread.placement.pending import PendingClass

#: Small against any team's ratio: it orders the classes of one team only.
RANK_WEIGHT: Final = 1e-6


@final
@orders.register
class FairShareOrder(QueueOrder):
    """The team that uses least of its dominant resource for its share."""

    name = 'fair-share'
    aliases = ('drf', 'dominant-share')

    history: Any = number(
        0,
        1,
        default=DECAYED_USAGE_WEIGHT,
        help='weight of decayed use against current use',
    )

    def key(self, pending: PendingClass, context: PlacementContext) -> float:
        """Return use over entitlement; in a team, priority and then age."""
        ratio = context.shares.usage_ratio(pending.demand.team, self.history)
        waited_s = pending.waited_s(context.now)
        rank = pending.demand.priority + waited_s / (1 + waited_s)
        return ratio - rank * RANK_WEIGHT
