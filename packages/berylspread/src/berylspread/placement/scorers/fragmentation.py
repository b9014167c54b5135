"""Keep what is left of a worker in balance."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, scorers


@final
@scorers.register
class FragmentationScorer(Scorer):
    """The worker whose processors and memory run out together.

    Memory that is left where no processor is can't be used, and conversely.
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
        """Return 1 less the difference of the parts then left."""
        held = worker.capacity
        if not held.cpu_milli or not held.memory_mib:
            return 0
        cpu = worker.free.cpu_milli - demand.shape.cpu_milli
        memory = worker.free.memory_mib - demand.shape.memory_mib
        return 1 - abs(cpu / held.cpu_milli - memory / held.memory_mib)
