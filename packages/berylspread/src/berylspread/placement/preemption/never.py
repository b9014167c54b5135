"""A preemption policy that never preempts."""

from collections.abc import Sequence
from typing import final

from berylspread.limits import Booking, WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import PreemptionPolicy, preemptions


@final
@preemptions.register
class NoPreemption(PreemptionPolicy):
    """Never stops running work for other work."""

    name = 'never'
    aliases = ('none',)

    def victims(
        self,
        demand: DemandClass,
        workers: Sequence[WorkerView],
        context: PlacementContext,
    ) -> list[Booking]:
        """Return no victims."""
        return []
