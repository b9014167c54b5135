"""A scorer that spreads a job class over workers, racks and zones."""

from typing import Final, final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, scorers

#: Attributes of a VM by the value of the constraint ``spread``.
SPREAD_ATTRIBUTES: Final = {'rack': 'rack', 'zone': 'zone'}


@final
@scorers.register
class SpreadScorer(Scorer):
    """Prefers the rack or zone, then the worker, with fewest similar tasks.

    Similar tasks are those of the same job class.  Applies to classes whose
    constraints have ``spread``.
    """

    name = 'spread'

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the constraints have ``spread``."""
        return bool(demand.constraints.spread)

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return 1 without tasks of the job class, less for each one."""
        job_class = demand.job_class
        tasks: float = worker.job_class_counts.get(job_class, 0)
        attribute = SPREAD_ATTRIBUTES.get(demand.constraints.spread)
        if attribute is not None:
            nearby = worker.tally.get(
                (getattr(worker.vm, attribute), job_class), 0
            )
            tasks = nearby + tasks / (1 + tasks)
        return 1 / (1 + tasks)
