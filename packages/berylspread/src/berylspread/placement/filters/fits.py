"""A filter for the workers without enough free capacity."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters


@final
@filters.register
class ResourceFilter(Filter):
    """Rejects workers that have too little free in any dimension."""

    name = 'fits'
    aliases = ('resources',)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Return whether the shape fits into the free capacity."""
        return demand.shape.fits(worker.free)
