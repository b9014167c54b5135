"""A filter for the workers that a job excludes."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters


@final
@filters.register
class AvoidedWorkerFilter(Filter):
    """Rejects the workers that the constraints list."""

    name = 'avoid-workers'
    aliases = ('avoid',)

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the constraints list any worker."""
        return bool(demand.constraints.avoid_workers)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Return whether the worker is not in the list."""
        return worker.worker not in demand.constraints.avoid_workers
