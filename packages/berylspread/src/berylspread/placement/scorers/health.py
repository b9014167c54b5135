"""A scorer that prefers workers that do not fail tasks."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, scorers


@final
@scorers.register
class HealthScorer(Scorer):
    """Prefers workers that are least suspected of failing tasks."""

    name = 'health'

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return 1 minus the fault probability of the worker."""
        return 1 - worker.fault_probability
