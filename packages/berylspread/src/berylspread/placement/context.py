"""What the plug-ins may know beside the class and the worker."""

from collections.abc import Iterable
from typing import Final, final

from berylspread.limits import WorkerView
from berylspread.limits.vectors import larger, positive
from berylspread.model import DIMENSIONS, ZERO
from berylspread.placement.demand import DemandClass
from berylspread.placement.earmarks import Earmarks
from berylspread.placement.shares import ShareBook

CPU: Final = 'cpu_milli'


@final
class PlacementContext:
    """The time, the teams' shares, and the partition's scale.

    ``largest`` is the most that any worker holds of each dimension and
    ``bottleneck`` the dimension of which least is free.
    """

    __slots__ = (
        'bottleneck',
        'earmarks',
        'largest',
        'last_home',
        'now',
        'shares',
    )

    def __init__(self) -> None:
        """Start with empty books."""
        self.now: float = 0
        self.shares = ShareBook()
        self.earmarks = Earmarks()
        self.largest = ZERO
        self.bottleneck = CPU
        self.last_home = ''

    def rescale(self, workers: Iterable[WorkerView]) -> None:
        """Derive the largest worker and the bottleneck; once a second."""
        held = ZERO
        free = ZERO
        largest = ZERO
        for worker in workers:
            held += worker.capacity
            free += positive(worker.free)
            largest = larger(largest, worker.capacity)
        self.largest = largest
        self.bottleneck = min(
            (name for name in DIMENSIONS if getattr(held, name)),
            key=lambda name: getattr(free, name) / getattr(held, name),
            default=CPU,
        )

    def size(self, demand: DemandClass) -> float:
        """Return a task's largest share of the largest worker."""
        return demand.shape.dominant_share(self.largest)
