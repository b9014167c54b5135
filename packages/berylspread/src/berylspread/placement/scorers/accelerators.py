"""Save accelerator workers for work that needs them."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, scorers


@final
@scorers.register
class SaveAcceleratorsScorer(Scorer):
    """The worker without free accelerators, for work that needs none."""

    name = 'save-accelerators'
    aliases = ('accelerator-saving',)
    concern = 'packing'

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the class leaves accelerators unused."""
        return not demand.shape.accelerators

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return the part of the accelerators that is in use."""
        held = worker.capacity.accelerators
        return 1 - worker.free.accelerators / held if held else 1
