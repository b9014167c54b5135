"""Spread over workers, racks and zones."""

from typing import Final, final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, scorers

#: Attributes of a VM by what the constraints may ask to spread over.
SPREAD_ATTRIBUTES: Final = {'rack': 'rack', 'zone': 'zone'}


@final
@scorers.register
class SpreadScorer(Scorer):
    """The place with fewest tasks of the same job class.

    Applies to classes whose constraints ask for a spread.
    """

    name = 'spread'

    def applies(self, demand: DemandClass) -> bool:
        """Return whether a spread is asked for."""
        return bool(demand.constraints.spread)

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return 1 for a place without such a task, less for each one."""
        job_class = demand.job_class
        tasks: float = worker.job_class_counts.get(job_class, 0)
        place = SPREAD_ATTRIBUTES.get(demand.constraints.spread)
        if place is not None:
            near = worker.tally.get((getattr(worker.vm, place), job_class), 0)
            tasks = near + tasks / (1 + tasks)
        return 1 / (1 + tasks)
