"""A scorer for the affinity to the region of the job's home."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.model import unit_region
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, scorers


@final
@scorers.register
class RegionAffinityScorer(Scorer):
    """Prefers workers in the region of the job's home.

    Traffic between regions is charged by volume.
    """

    name = 'region-affinity'
    aliases = ('affinity',)

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return 1 for a worker in the same region, else 0."""
        return float(worker.vm.region == unit_region(demand.home))
