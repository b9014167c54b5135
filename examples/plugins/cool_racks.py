"""A scorer that prefers cool racks; the worked example of the plug-in page."""

from typing import Any, final

from berylspread.kernel.options import words
from berylspread.limits import WorkerView
from berylspread.placement import DemandClass, PlacementContext
from berylspread.placement.kernel import Scorer, scorers


@final
@scorers.register
class CoolRacks(Scorer):
    """The worker in a rack that is not listed as hot."""

    name = 'cool-racks'
    aliases = ('cool',)

    hot: Any = words(default=(), help='racks to use last')

    def applies(self, demand: DemandClass) -> bool:
        """Return whether any rack is listed."""
        return bool(self.hot)

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return 0 in a hot rack, else 1."""
        return float(worker.vm.rack not in self.hot)
