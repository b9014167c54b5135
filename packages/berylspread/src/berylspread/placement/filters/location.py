"""Filters for the constraints on region and zone."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters


@final
@filters.register
class RegionFilter(Filter):
    """Rejects workers outside the region of the constraints."""

    name = 'region'

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the constraints name a region."""
        return bool(demand.constraints.region)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Return whether the worker is in the region."""
        return worker.vm.region == demand.constraints.region


@final
@filters.register
class ZoneFilter(Filter):
    """Rejects workers outside the availability zone of the constraints."""

    name = 'zone'

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the constraints name an availability zone."""
        return bool(demand.constraints.zone)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Return whether the worker is in the availability zone."""
        return worker.vm.zone == demand.constraints.zone
