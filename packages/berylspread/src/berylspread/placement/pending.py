"""The queue of pending classes at a partition owner."""

import heapq
import math
from collections.abc import Callable, Iterable
from typing import Final, final

from berylspread.placement.demand import DemandClass

REORDER_INTERVAL_S: Final = 1.0

KeyFunction = Callable[['PendingClass'], float]


@final
class PendingClass:
    """A demand class and how many of its tasks are left to place.

    Times are loop seconds.  ``reasons`` are those of the last rejection.
    """

    __slots__ = (
        'count',
        'deadline_at',
        'demand',
        'is_queued',
        'oldest_at',
        'reasons',
        'served_at',
    )

    def __init__(self, demand: DemandClass, now: float) -> None:
        self.count = 0
        self.served_at = -math.inf
        self.is_queued = False
        self.reasons: dict[str, int] = {}
        self.update(demand, now)

    def update(self, demand: DemandClass, now: float) -> None:
        """Replace the demand by a newer one of the same class."""
        self.demand = demand
        self.count = demand.count
        self.oldest_at = now - demand.oldest_age_s
        self.deadline_at = (
            None
            if demand.deadline_slack_s is None
            else now + demand.deadline_slack_s
        )

    def waited_s(self, now: float) -> float:
        """Return how long the oldest task has waited."""
        return max(now - self.oldest_at, 0)

    def starved_s(self, now: float) -> float:
        """Return for how long no task of the class was placed."""
        return now - max(self.oldest_at, self.served_at)


@final
class DemandQueue:
    """The pending classes of all homes, in a heap with lazy updates.

    The key of a class is computed when the class comes first, and the keys of
    all classes once in ``REORDER_INTERVAL_S``.  Classes that no worker can take
    are parked until more capacity is free.  A cancelled class leaves the heap
    when it comes first.
    """

    __slots__ = (
        'accelerator_classes',
        'classes',
        'heap',
        'ordered_at',
        'parked',
        'parked_version',
        'sequence',
    )

    def __init__(self) -> None:
        self.classes: dict[str, PendingClass] = {}
        #: Ids of the classes that require accelerators.
        self.accelerator_classes: set[str] = set()
        self.heap: list[tuple[bool, float, int, PendingClass]] = []
        self.parked: list[PendingClass] = []
        self.parked_version = -1
        self.ordered_at: float = 0
        self.sequence = 0

    def __len__(self) -> int:
        """Return the number of pending classes."""
        return len(self.classes)

    def put(self, demand: DemandClass, now: float) -> None:
        """Add or update a class; a count of 0 removes it."""
        known = self.classes.get(demand.class_id)
        if demand.count <= 0:
            self.remove(demand.class_id)
        elif known is None:
            known = PendingClass(demand, now)
            self.classes[demand.class_id] = known
            if demand.shape.accelerators:
                self.accelerator_classes.add(demand.class_id)
            self._push(known, 0)
        else:
            known.update(demand, now)

    def update_home(
        self, home: str, demands: Iterable[DemandClass], now: float
    ) -> None:
        """Replace all classes of a home by ``demands``."""
        fresh = list(demands)
        kept = {demand.class_id for demand in fresh}
        for class_id, pending in list(self.classes.items()):
            if pending.demand.home == home and class_id not in kept:
                self.remove(class_id)
        for demand in fresh:
            self.put(demand, now)

    def remove(self, class_id: str) -> None:
        """Remove a class; its heap entry is dropped when it comes first."""
        pending = self.classes.pop(class_id, None)
        self.accelerator_classes.discard(class_id)
        if pending is not None:
            pending.count = 0

    def pop_first(self, key_of: KeyFunction, now: float) -> PendingClass | None:
        """Remove the first class from the heap and return it, or ``None``."""
        if now - self.ordered_at >= REORDER_INTERVAL_S:
            self._reorder(key_of, now)
        while self.heap:
            _, key, _, pending = heapq.heappop(self.heap)
            pending.is_queued = False
            if not pending.count:
                continue
            fresh_key = key_of(pending)
            if (
                not self.heap
                or fresh_key <= key
                or self._comes_first(pending, fresh_key)
            ):
                return pending
            self._push(pending, fresh_key)
        return None

    def requeue(self, pending: PendingClass, key: float) -> None:
        """Put a class back if it has tasks left, else remove it."""
        if pending.count > 0:
            self._push(pending, key)
        else:
            self.remove(pending.demand.class_id)

    def park(self, pending: PendingClass) -> None:
        """Keep a class out of the heap until more capacity is free."""
        self.parked.append(pending)

    def unpark(self, version: int, key_of: KeyFunction) -> None:
        """Put the parked classes back if the pool has a new version."""
        if version == self.parked_version:
            return
        self.parked_version = version
        parked = self.parked
        self.parked = []
        for pending in parked:
            if pending.count > 0:
                self._push(pending, key_of(pending))

    def undo_decision(self, class_id: str, count: int = 1) -> None:
        """Return the tasks of a decision that the home or worker refused."""
        pending = self.classes.get(class_id)
        if pending is not None:
            pending.count += count

    def _comes_first(self, pending: PendingClass, key: float) -> bool:
        rank = (not pending.demand.is_urgent, key)
        return rank <= self.heap[0][:2]

    def _push(self, pending: PendingClass, key: float) -> None:
        if pending.is_queued:
            return
        pending.is_queued = True
        self.sequence += 1
        rank = (not pending.demand.is_urgent, key, self.sequence, pending)
        heapq.heappush(self.heap, rank)

    def _reorder(self, key_of: KeyFunction, now: float) -> None:
        self.ordered_at = now
        self.heap = [
            (not pending.demand.is_urgent, key_of(pending), sequence, pending)
            for _, _, sequence, pending in self.heap
            if pending.count > 0
        ]
        heapq.heapify(self.heap)
