"""A filter for the workers that are suspected of failing tasks."""

from typing import Any, Final, final

from berylspread.kernel.options import number
from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters

DEFAULT_SUSPICION: Final = 0.4


@final
@filters.register
class HealthFilter(Filter):
    """Limits the number of tasks on a suspected worker.

    Urgent work is not placed on a suspected worker at all.
    """

    name = 'health'

    suspicion: Any = number(
        0,
        1,
        default=DEFAULT_SUSPICION,
        help='a worker above this fault probability is suspected',
    )
    tasks: Any = number(
        1, 1000, default=1, help='tasks at one time on a suspected worker'
    )

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Return whether the worker is not suspected or below the limit."""
        if worker.fault_probability <= self.suspicion:
            return True
        return not demand.is_urgent and len(worker.bookings) < self.tasks
