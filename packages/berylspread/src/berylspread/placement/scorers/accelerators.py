"""A scorer that saves accelerators for work that requires them."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, scorers


@final
@scorers.register
class SaveAcceleratorsScorer(Scorer):
    """Prefers workers without free accelerators for work that needs none."""

    name = 'save-accelerators'
    aliases = ('accelerator-saving',)
    concern = 'packing'

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the class needs no accelerators."""
        return not demand.shape.accelerators

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return the part of the accelerators in use; 1 if there are none."""
        total = worker.capacity.accelerators
        return 1 - worker.free.accelerators / total if total else 1
