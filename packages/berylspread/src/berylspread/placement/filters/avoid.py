"""Workers that the job itself excludes."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters


@final
@filters.register
class AvoidedWorkerFilter(Filter):
    """Not one of the workers that the constraints list."""

    name = 'avoid-workers'
    aliases = ('avoid',)

    def applies(self, demand: DemandClass) -> bool:
        """Return whether any worker is listed."""
        return bool(demand.constraints.avoid_workers)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Look the worker up in the list."""
        return worker.worker not in demand.constraints.avoid_workers
