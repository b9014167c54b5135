"""What the plug-ins may know beside the class and the worker."""

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
    """The time, the teams' shares, and the partition's scale.

    ``workers`` is the number of workers, ``largest`` the most that any of them
    holds of each dimension, and ``bottleneck`` the dimension of which least is
    free.  ``wants_accelerators`` tells whether work for accelerators waits.
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
        """Start with empty books."""
        self.now: float = 0
        self.shares = ShareTable()
        self.earmarks = Earmarks()
        self.max_capacity = ZERO
        self.bottleneck = DEFAULT_BOTTLENECK
        self.last_home = ''
        self.accelerator_demand_waits = False
        self.worker_count = 0

    def update_capacity(self, workers: Iterable[WorkerView]) -> None:
        """Derive the largest worker and the bottleneck; once a second."""
        held = ZERO
        free = ZERO
        largest = ZERO
        count = 0
        for worker in workers:
            count += 1
            held += worker.capacity
            free += clamp_non_negative(worker.free)
            largest = elementwise_max(largest, worker.capacity)
        self.max_capacity = largest
        self.worker_count = count
        self.bottleneck = min(
            (name for name in DIMENSIONS if getattr(held, name)),
            key=lambda name: getattr(free, name) / getattr(held, name),
            default=DEFAULT_BOTTLENECK,
        )

    def relative_size(self, demand: DemandClass) -> float:
        """Return a task's largest share of the largest worker."""
        return demand.shape.dominant_share(self.max_capacity)
