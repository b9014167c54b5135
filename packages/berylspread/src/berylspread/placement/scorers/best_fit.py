"""A scorer for the best fit in the bottleneck resource."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, scorers


@final
@scorers.register
class BestFitScorer(Scorer):
    """Prefers the worker with the least of the bottleneck resource left."""

    name = 'best-fit'
    aliases = ('bestfit', 'pack')
    concern = 'packing'

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return the part of the bottleneck resource in use with the task."""
        name = context.bottleneck
        total: int = getattr(worker.capacity, name)
        if not total:
            return 0
        left: int = getattr(worker.free, name) - getattr(demand.shape, name)
        return 1 - max(left, 0) / total
