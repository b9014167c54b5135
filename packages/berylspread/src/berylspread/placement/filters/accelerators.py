"""A filter that keeps capacity for work that requires accelerators."""

from typing import Any, Final, final

from berylspread.kernel.options import number
from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Filter, filters

DEFAULT_SHARE: Final = 0.85


@final
@filters.register
class AcceleratorFilter(Filter):
    """Keeps processors and memory for the free accelerators of a worker.

    While classes that require accelerators wait, other work may use at most
    ``share`` of the processors and memory that belong to the free accelerators
    of a worker, in proportion to its capacity.
    """

    name = 'accelerators'

    share: Any = number(
        0, 1, default=DEFAULT_SHARE, help='share that other work may use'
    )

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the class needs no accelerators and is not urgent."""
        return not demand.shape.accelerators and not demand.is_urgent

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Return whether enough processors and memory stay free."""
        capacity = worker.capacity
        if not capacity.accelerators or not context.accelerator_demand_waits:
            return True
        kept: float = (
            (1 - self.share) * worker.free.accelerators / capacity.accelerators
        )
        left = worker.free - demand.shape
        return (
            left.cpu_milli >= kept * capacity.cpu_milli
            and left.memory_mib >= kept * capacity.memory_mib
        )
