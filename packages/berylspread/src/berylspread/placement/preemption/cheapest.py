"""Preempt the tasks whose loss costs least."""

from collections.abc import Sequence
from typing import Any, Final, final

from berylspread.kernel.options import integer
from berylspread.limits import Booking, WorkerView
from berylspread.model import JobKind
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import PreemptionPolicy, preemptions

DEFAULT_VICTIMS: Final = 8
MAX_VICTIMS: Final = 64

Cost = tuple[int, float]


@final
@preemptions.register
class CheapestVictims(PreemptionPolicy):
    """Lowest priority first, then most over its share, then the youngest.

    Only preemptible tasks of a lower priority are chosen, which checkpoint and
    resume; never a service or a part of a gang.  The worker is chosen where
    fewest tasks, and of these the least work, is lost.
    """

    name = 'cheapest'
    aliases = ('cheapest-victims',)

    most: Any = integer(
        1,
        MAX_VICTIMS,
        default=DEFAULT_VICTIMS,
        help='most victims for one task',
    )

    def victims(
        self,
        demand: DemandClass,
        workers: Sequence[WorkerView],
        context: PlacementContext,
    ) -> list[Booking]:
        """Return the cheapest set of one worker that makes enough room."""
        best: list[Booking] = []
        best_cost: Cost | None = None
        for worker in workers:
            chosen = self._choose_victims(demand, worker, context)
            cost = _cost(chosen, context.now)
            if chosen and (best_cost is None or cost < best_cost):
                best, best_cost = chosen, cost
        return best

    def _choose_victims(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> list[Booking]:
        eligible = [
            booking
            for booking in worker.bookings.values()
            if _is_eligible(booking, demand)
        ]
        eligible.sort(key=lambda booking: _preemption_order(booking, context))
        free = worker.free
        chosen: list[Booking] = []
        for booking in eligible[: self.most]:
            if demand.shape.fits(free):
                break
            free += booking.shape
            chosen.append(booking)
        if not demand.shape.fits(free):
            return []
        return _drop_unneeded(demand, worker, chosen)


def _is_eligible(booking: Booking, demand: DemandClass) -> bool:
    occupant = booking.work
    return (
        occupant.preemptible
        and occupant.kind is JobKind.batch
        and occupant.priority < demand.priority
    )


def _preemption_order(
    booking: Booking, context: PlacementContext
) -> tuple[int, float, float]:
    occupant = booking.work
    over = context.shares.usage_ratio(occupant.team, 0)
    return occupant.priority, -over, -occupant.started_at


def _drop_unneeded(
    demand: DemandClass, worker: WorkerView, chosen: list[Booking]
) -> list[Booking]:
    needed = list(chosen)
    for booking in chosen:
        others = worker.free
        for other in needed:
            if other is not booking:
                others += other.shape
        if demand.shape.fits(others):
            needed.remove(booking)
    return needed


def _cost(chosen: list[Booking], now: float) -> Cost:
    lost_s = sum(now - booking.work.started_at for booking in chosen)
    return len(chosen), lost_s
