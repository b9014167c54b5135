"""The placement pipeline: queue order, filters, scorers and preemption."""

import collections
from collections.abc import Iterable, Sequence
from typing import Final, final

from berylspread.kernel.errors import UnknownName
from berylspread.limits import Booking, WorkerView
from berylspread.placement import filters as filter_plugins
from berylspread.placement import orders as order_plugins
from berylspread.placement import preemption as preemption_plugins
from berylspread.placement import scorers as scorer_plugins
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import Decision, DemandClass, Rejection
from berylspread.placement.finder import PluginFinder
from berylspread.placement.gang import distribute_tasks, max_earmarks
from berylspread.placement.kernel import (
    Filter,
    PlacementPlugin,
    PreemptionPolicy,
    QueueOrder,
    Scorer,
    WorkerPool,
    filters,
    orders,
    preemptions,
)
from berylspread.placement.pending import DemandQueue, PendingClass
from berylspread.placement.policy import PolicySection

#: The rejection reason if no worker in the pool has room.
NO_ROOM_REASON: Final = 'fits'
#: The rejection reason for a gang, whose home reserves the capacity itself.
GANG_REASON: Final = 'gang'

#: Importing the packages registers their plug-ins.
BUILT_IN_PLUGINS: Final = (
    filter_plugins,
    order_plugins,
    preemption_plugins,
    scorer_plugins,
)
ORDER_WEIGHTS: Final = ('waiting', 'packing', 'control_cost', 'nearness')


@final
class Pipeline:
    """The configured plug-ins and their context.

    Filters and scorers are applied in the order of the document.
    ``max_candidates`` limits the workers that are examined for a decision,
    ``max_scanned`` the classes other than gangs that are rejected at one
    version of the pool.  A class of which no task was placed for ``starving_s``
    seconds may get earmarks.
    """

    __slots__ = (
        'context',
        'filters',
        'max_candidates',
        'max_scanned',
        'order',
        'preemption',
        'scanned',
        'scorers',
        'starving_s',
        'unplaceable_fingerprints',
    )

    def __init__(
        self,
        order: QueueOrder,
        chosen_filters: Sequence[Filter],
        weighted_scorers: Sequence[tuple[float, Scorer]],
        preemption: PreemptionPolicy,
        policy: PolicySection,
    ) -> None:
        """Use the given plug-ins; ``from_options`` finds them by name."""
        self.order = order
        self.filters = chosen_filters
        self.scorers = weighted_scorers
        self.preemption = preemption
        self.max_candidates: int = policy.candidates
        self.max_scanned: int = policy.scan
        self.starving_s: float = policy.starving_s
        self.context = PlacementContext()
        self.scanned = 0
        #: Shapes, constraints and priorities for which no worker in the pool
        #: has room, at the current version of the pool.
        self.unplaceable_fingerprints: set[object] = set()

    @classmethod
    def from_options(
        cls, policy: PolicySection, configured: Iterable[PlacementPlugin] = ()
    ) -> 'Pipeline | UnknownName':
        """Build the pipeline of a document.

        ``configured`` are the plug-in instances that the document configures;
        the others have the defaults of their options.  Errors: ``UnknownName``
        with the nearest known name.
        """
        finder = PluginFinder(configured)
        order = finder.find(orders, policy.order)
        preemption = finder.find(preemptions, policy.preemption)
        found_filters = finder.find_all(filters, policy.filters)
        found_scorers = finder.find_scorers(policy.scorers)
        if finder.error is not None:
            return finder.error
        _set_order_weights(order, policy)
        weighted = [
            (factor * _scorer_weight(scorer, policy), scorer)
            for factor, scorer in found_scorers
        ]
        return cls(
            order,
            found_filters,
            [pair for pair in weighted if pair[0] > 0],
            preemption,
            policy,
        )

    def order_key(self, pending: PendingClass) -> float:
        """Return the sort key of a class."""
        return self.order.key(pending, self.context)

    def next_decision(
        self, demands: DemandQueue, pool: WorkerPool, now: float
    ) -> Decision | Rejection | None:
        """Decide on the first class of the queue.

        A decision removes one task from the queue and charges its team.  The
        caller books the worker, and calls ``demands.undo_decision`` if the
        worker or the home refuses.  A rejected class is parked until more
        capacity is free.  ``None`` means that no class is left to try now.
        """
        self.context.now = now
        self.context.accelerator_demand_waits = bool(
            demands.accelerator_classes
        )
        if pool.version != demands.parked_version:
            self.scanned = 0
            self.unplaceable_fingerprints.clear()
            demands.unpark(pool.version, self.order_key)
        if self.scanned >= self.max_scanned:
            return None
        pending = demands.pop_first(self.order_key, now)
        if pending is None:
            return None
        outcome = self.choose_worker(pending.demand, pool)
        if isinstance(outcome, Rejection):
            self.scanned += pending.demand.gang is None
            pending.reasons = outcome.reasons
            demands.park(pending)
            self._reserve_worker(pending, pool)
            return outcome
        self._record_decision(demands, pending, outcome)
        return outcome

    def choose_worker(
        self, demand: DemandClass, pool: WorkerPool
    ) -> Decision | Rejection:
        """Choose a worker for one task of a class, without booking it."""
        if demand.gang is not None:
            return Rejection(demand.class_id, {GANG_REASON: 0}, 0)
        fingerprint = (demand.shape, demand.constraints, demand.priority)
        if fingerprint in self.unplaceable_fingerprints:
            return Rejection(demand.class_id, {NO_ROOM_REASON: 0}, 0)
        found = pool.candidates(demand.shape, self.max_candidates)
        if not found:
            self.unplaceable_fingerprints.add(fingerprint)
            return Rejection(demand.class_id, {NO_ROOM_REASON: 0}, 0)
        admitted, reasons = self.apply_filters(demand, found)
        if not admitted:
            return Rejection(demand.class_id, reasons, len(found))
        best, score = self._best_worker(demand, admitted)
        return Decision(
            demand.class_id,
            demand.home,
            demand.home_epoch,
            best.worker,
            best.unit,
            demand.shape,
            score,
            len(found),
        )

    def apply_filters(
        self,
        demand: DemandClass,
        workers: Iterable[WorkerView],
        skip: str = '',
    ) -> tuple[list[WorkerView], dict[str, int]]:
        """Return the workers that pass all filters, and rejections by filter.

        The filter that is called ``skip`` is not applied.
        """
        context = self.context
        chain = [
            plugin
            for plugin in self.filters
            if plugin.name != skip and plugin.applies(demand)
        ]
        admitted: list[WorkerView] = []
        reasons: collections.Counter[str] = collections.Counter()
        for worker in workers:
            for plugin in chain:
                if not plugin.admits(demand, worker, context):
                    reasons[plugin.name] += 1
                    break
            else:
                admitted.append(worker)
        return admitted, dict(reasons)

    def plan_gang(
        self, demand: DemandClass, pool: WorkerPool, wanted: int
    ) -> list[tuple[WorkerView, int]]:
        """Return the workers to hold for a gang, each with its tasks.

        The workers that are earmarked for the gang come first.
        """
        earmarked = self.context.earmarks.earmarked_workers(demand.class_id)
        found = pool.candidates(demand.shape, max(wanted, self.max_candidates))
        workers = {view.worker: view for view in (*earmarked, *found)}
        admitted, _ = self.apply_filters(demand, workers.values())
        return distribute_tasks(admitted, demand.shape, wanted)

    def victims(
        self, demand: DemandClass, workers: Sequence[WorkerView]
    ) -> list[Booking]:
        """Return the bookings of one of the workers to preempt for a class."""
        return self.preemption.victims(demand, workers, self.context)

    def _reserve_worker(self, pending: PendingClass, pool: WorkerPool) -> None:
        demand = pending.demand
        context = self.context
        if pending.starved_s(context.now) < self.starving_s:
            return
        if not context.earmarks.may_reserve(
            demand, context.now, context.worker_count
        ):
            return
        earmarked = context.earmarks.by_class.get(demand.class_id, ())
        if len(earmarked) >= max_earmarks(demand, context.max_capacity):
            return
        sample = pool.sample(demand.shape, self.max_candidates)
        admitted, _ = self.apply_filters(demand, sample, skip='fits')
        context.earmarks.reserve(pending, admitted, context.now)

    def _best_worker(
        self, demand: DemandClass, admitted: list[WorkerView]
    ) -> tuple[WorkerView, float]:
        if len(admitted) == 1:
            return admitted[0], 0
        chain = [pair for pair in self.scorers if pair[1].applies(demand)]
        best = admitted[0]
        best_score = float('-inf')
        for worker in admitted:
            score = self._total_score(chain, demand, worker)
            if score > best_score:
                best, best_score = worker, score
        return best, best_score

    def _total_score(
        self,
        chain: list[tuple[float, Scorer]],
        demand: DemandClass,
        worker: WorkerView,
    ) -> float:
        score = 0.0
        for weight, scorer in chain:
            score = score + weight * scorer.score(demand, worker, self.context)
        return score

    def _record_decision(
        self, demands: DemandQueue, pending: PendingClass, decision: Decision
    ) -> None:
        demand = pending.demand
        pending.count -= 1
        pending.served_at = self.context.now
        pending.reasons = {}
        self.context.last_home = demand.home
        earmark = self.context.earmarks.by_worker.get(decision.worker)
        if earmark is not None and earmark.class_id == demand.class_id:
            self.context.earmarks.remove(decision.worker)
        self.context.shares.charge(demand.team, decision.shape)
        demands.requeue(pending, self.order_key(pending))


def _set_order_weights(order: QueueOrder, policy: PolicySection) -> None:
    for name in ORDER_WEIGHTS:
        if name in order.options():
            setattr(order, name, getattr(policy, name))


def _scorer_weight(scorer: Scorer, policy: PolicySection) -> float:
    scale: float = getattr(policy, scorer.concern) if scorer.concern else 1
    return scale * float(scorer.weight)
