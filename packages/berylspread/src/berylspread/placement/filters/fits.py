"""The task fits into what is free."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters


@final
@filters.register
class ResourceFilter(Filter):
    """Every dimension of the shape is free at the worker."""

    name = 'fits'
    aliases = ('resources',)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Compare the shape with what is free."""
        return demand.shape.fits(worker.free)
