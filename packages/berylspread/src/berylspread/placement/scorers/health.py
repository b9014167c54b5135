"""Prefer workers that do not fail tasks."""

from typing import final

from berylspread.limits import WorkerView
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, scorers


@final
@scorers.register
class HealthScorer(Scorer):
    """The worker that is least suspected of failing tasks."""

    name = 'health'

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return 1 less the suspicion."""
        return 1 - worker.fault_probability
