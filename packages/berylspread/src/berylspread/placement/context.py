"""The context that placement passes to the plug-ins."""

from collections.abc import Iterable
from typing import Final, final

from berylspread.limits import WorkerView
from berylspread.limits.vectors import clamp_non_negative, elementwise_max
from berylspread.model import DIMENSIONS, ZERO
from berylspread.placement.demand import DemandClass
from berylspread.placement.earmarks import Earmarks
from berylspread.placement.shares import ShareTable

DEFAULT_BOTTLENECK: Final = 'cpu_milli'


@final
class PlacementContext:
    """The time, the shares of the teams, the earmarks and capacity figures.

    ``worker_count`` is the number of workers, ``max_capacity`` the largest
    capacity of any of them in each dimension, and ``bottleneck`` the dimension
    of which the smallest part is free.  ``last_home`` is the home of the last
    decision.  ``accelerator_demand_waits`` says whether any pending class
    requires accelerators.
    """

    __slots__ = (
        'accelerator_demand_waits',
        'bottleneck',
        'earmarks',
        'last_home',
        'max_capacity',
        'now',
        'shares',
        'worker_count',
    )

    def __init__(self) -> None:
        self.now: float = 0
        self.shares = ShareTable()
        self.earmarks = Earmarks()
        self.max_capacity = ZERO
        self.bottleneck = DEFAULT_BOTTLENECK
        self.last_home = ''
        self.accelerator_demand_waits = False
        self.worker_count = 0

    def update_capacity(self, workers: Iterable[WorkerView]) -> None:
        """Update the capacity figures; the caller does so once a second."""
        total = ZERO
        free = ZERO
        largest = ZERO
        count = 0
        for worker in workers:
            count += 1
            total += worker.capacity
            free += clamp_non_negative(worker.free)
            largest = elementwise_max(largest, worker.capacity)
        self.max_capacity = largest
        self.worker_count = count
        self.bottleneck = min(
            (name for name in DIMENSIONS if getattr(total, name)),
            key=lambda name: getattr(free, name) / getattr(total, name),
            default=DEFAULT_BOTTLENECK,
        )

    def relative_size(self, demand: DemandClass) -> float:
        """Return the dominant share of a task in the largest capacity."""
        return demand.shape.dominant_share(self.max_capacity)
