"""Workers that take no new work."""

from typing import final

from berylspread.limits import Barrier, WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters


@final
@filters.register
class DrainFilter(Filter):
    """Not draining, leaving, or without a first report."""

    name = 'draining'
    aliases = ('drain',)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Look for any barrier but quarantine."""
        return worker.barriers <= {Barrier.quarantined}


@final
@filters.register
class QuarantineFilter(Filter):
    """Not in quarantine."""

    name = 'quarantined'
    aliases = ('quarantine',)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Look for the barrier."""
        return Barrier.quarantined not in worker.barriers
