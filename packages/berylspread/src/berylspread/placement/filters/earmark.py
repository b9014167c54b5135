"""Workers kept for other work that has waited long."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters


@final
@filters.register
class EarmarkFilter(Filter):
    """Not earmarked for another class, or done before the earmark is due."""

    name = 'earmarked'
    aliases = ('backfill',)

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Ask the earmarks; urgent work passes."""
        earmarks = context.earmarks
        if worker.worker not in earmarks.by_worker or demand.is_urgent:
            return True
        return earmarks.admits(
            worker.worker, demand.class_id, demand.expected_run_s, context.now
        )
