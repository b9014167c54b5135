"""A filter for the workers that are earmarked for another class."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters


@final
@filters.register
class EarmarkFilter(Filter):
    """Rejects workers that are earmarked for another class.

    Work that is expected to end before the earmark is due may use the worker.
    """

    name = 'earmarked'
    aliases = ('backfill',)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Return whether the earmarks admit the class; urgent work may pass."""
        earmarks = context.earmarks
        if worker.worker not in earmarks.by_worker or demand.is_urgent:
            return True
        return earmarks.admits(
            worker.worker, demand.class_id, demand.expected_run_s, context.now
        )
