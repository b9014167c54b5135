"""Workers that are suspected of failing what they are given."""

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
    """A suspected worker runs no more than a few tasks at once."""

    name = 'health'

    suspicion: Any = number(
        0, 1, default=DEFAULT_SUSPICION, help='suspected above this'
    )
    tasks: Any = number(1, 1000, default=1, help='tasks of a suspect at once')

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Compare the suspicion, then the number of bookings."""
        if worker.fault_probability <= self.suspicion:
            return True
        return not demand.is_urgent and len(worker.bookings) < self.tasks
