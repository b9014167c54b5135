"""Constraints on where a task runs."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters


@final
@filters.register
class RegionFilter(Filter):
    """The region that the constraints ask for."""

    name = 'region'

    def applies(self, demand: DemandClass) -> bool:
        """Return whether a region is asked for."""
        return bool(demand.constraints.region)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Compare the regions."""
        return worker.vm.region == demand.constraints.region


@final
@filters.register
class ZoneFilter(Filter):
    """The availability zone that the constraints ask for."""

    name = 'zone'

    def applies(self, demand: DemandClass) -> bool:
        """Return whether a zone is asked for."""
        return bool(demand.constraints.zone)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Compare the zones."""
        return worker.vm.zone == demand.constraints.zone
