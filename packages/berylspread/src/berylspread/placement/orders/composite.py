"""A queue order by a weighted sum of four terms."""

from typing import Any, Final, final

from berylspread.kernel.options import number
from berylspread.placement.context import PlacementContext
from berylspread.placement.kernel import (
    DECAYED_USAGE_WEIGHT,
    MAX_WEIGHT,
    QueueOrder,
    orders,
)
from berylspread.placement.pending import PendingClass

#: Run time that is assumed if the expected one is not known.
DEFAULT_RUN_S: Final = 60.0
#: Small against the terms: the priority only decides between similar classes.
PRIORITY_WEIGHT: Final = 1e-6


@final
@orders.register
class CompositeOrder(QueueOrder):
    """Orders by nearness to the share, waiting, packing and control cost.

    Each term is between 0 and 1.  Nearness puts the teams that use least of
    their share first.  Waiting is the part of the response time that the class
    has waited, so that short work does not wait long for long work and no work
    waits for ever.  Packing puts large tasks first.  Control cost prefers the
    home of the last decision, so that one message carries several decisions.
    """

    name = 'composite'
    aliases = ('weighted',)

    waiting: Any = number(0, MAX_WEIGHT, default=1)
    packing: Any = number(0, MAX_WEIGHT, default=1)
    control_cost: Any = number(0, MAX_WEIGHT, default=0)
    nearness: Any = number(0, MAX_WEIGHT, default=1)
    history: Any = number(0, 1, default=DECAYED_USAGE_WEIGHT)

    def key(self, pending: PendingClass, context: PlacementContext) -> float:
        """Return the weighted sum; all terms but nearness are subtracted."""
        demand = pending.demand
        ratio = context.shares.usage_ratio(demand.team, self.history)
        key: float = self.nearness * (1 - 1 / (1 + ratio))
        key -= self.waiting * _waiting_term(pending, context.now)
        key -= demand.priority * PRIORITY_WEIGHT
        if self.packing:
            key -= self.packing * context.relative_size(demand)
        if self.control_cost and demand.home == context.last_home:
            key -= self.control_cost
        return key


def _waiting_term(pending: PendingClass, now: float) -> float:
    run_s = pending.demand.expected_run_s or DEFAULT_RUN_S
    waited_s = pending.waited_s(now)
    part = waited_s / (waited_s + run_s)
    if pending.deadline_at is None:
        return part
    slack_s = max(pending.deadline_at - now - run_s, 0)
    return max(part, run_s / (run_s + slack_s))
