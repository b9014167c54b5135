"""A scorer that keeps the free capacity of a worker balanced."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, scorers


@final
@scorers.register
class FragmentationScorer(Scorer):
    """Prefers workers whose processors and memory run out together.

    Free memory on a worker without free processors can't be used, and vice
    versa.
    """

    name = 'fragmentation'
    aliases = ('balance',)
    concern = 'packing'

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return 1 minus the difference between the free parts of the two."""
        capacity = worker.capacity
        if not capacity.cpu_milli or not capacity.memory_mib:
            return 0
        cpu = worker.free.cpu_milli - demand.shape.cpu_milli
        memory = worker.free.memory_mib - demand.shape.memory_mib
        return 1 - abs(cpu / capacity.cpu_milli - memory / capacity.memory_mib)
