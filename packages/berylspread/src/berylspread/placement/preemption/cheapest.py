"""A preemption policy that preempts the cheapest tasks."""

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
    """Chooses victims by priority, then by the team's usage, then by age.

    Tasks of the lowest priority come first, then those of the team that is
    furthest above its share, then the youngest.  Only preemptible batch tasks
    of a lower priority are chosen, which can checkpoint and resume, never
    services or tasks of gangs.  Among the workers, the one with the fewest
    victims is chosen, and among equal ones the one with the least run time
    lost.
    """

    name = 'cheapest'
    aliases = ('cheapest-victims',)

    most: Any = integer(
        1,
        MAX_VICTIMS,
        default=DEFAULT_VICTIMS,
        help='largest number of victims for one task',
    )

    def victims(
        self,
        demand: DemandClass,
        workers: Sequence[WorkerView],
        context: PlacementContext,
    ) -> list[Booking]:
        """Return the cheapest victims on one worker that make enough room."""
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
    work = booking.work
    return (
        work.preemptible
        and work.kind is JobKind.batch
        and work.priority < demand.priority
    )


def _preemption_order(
    booking: Booking, context: PlacementContext
) -> tuple[int, float, float]:
    work = booking.work
    usage_ratio = context.shares.usage_ratio(work.team, 0)
    return work.priority, -usage_ratio, -work.started_at


def _drop_unneeded(
    demand: DemandClass, worker: WorkerView, chosen: list[Booking]
) -> list[Booking]:
    needed = list(chosen)
    for booking in chosen:
        free = worker.free
        for other in needed:
            if other is not booking:
                free += other.shape
        if demand.shape.fits(free):
            needed.remove(booking)
    return needed


def _cost(chosen: list[Booking], now: float) -> Cost:
    lost_s = sum(now - booking.work.started_at for booking in chosen)
    return len(chosen), lost_s
