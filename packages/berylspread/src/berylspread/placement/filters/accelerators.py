"""Accelerator workers are not spent on other work."""

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
    """Leaves processors and memory for the accelerators that are free.

    While work for accelerators waits, other work may use at most ``share`` of
    the part of a worker that belongs to its free accelerators.
    """

    name = 'accelerators'

    share: Any = number(
        0, 1, default=DEFAULT_SHARE, help='part open to other work'
    )

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the class leaves accelerators unused."""
        return not demand.shape.accelerators and not demand.is_urgent

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Keep processors and memory in proportion to free accelerators."""
        held = worker.capacity
        if not held.accelerators or not context.accelerator_demand_waits:
            return True
        kept: float = (
            (1 - self.share) * worker.free.accelerators / held.accelerators
        )
        left = worker.free - demand.shape
        return (
            left.cpu_milli >= kept * held.cpu_milli
            and left.memory_mib >= kept * held.memory_mib
        )
