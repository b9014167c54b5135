"""Filters for the workers that take no new work."""

from typing import final

from berylspread.limits import Barrier, WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters


@final
@filters.register
class DrainFilter(Filter):
    """Rejects workers that are draining, leaving or have not reported yet."""

    name = 'draining'
    aliases = ('drain',)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Return whether the worker has no barrier except quarantine."""
        return worker.barriers <= {Barrier.quarantined}


@final
@filters.register
class QuarantineFilter(Filter):
    """Rejects workers in quarantine."""

    name = 'quarantined'
    aliases = ('quarantine',)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Return whether the worker is not in quarantine."""
        return Barrier.quarantined not in worker.barriers
