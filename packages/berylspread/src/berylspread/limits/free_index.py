"""An index of workers by free capacity, so that a decision examines few.

The class of an amount is the bit length of its number of units, per dimension.
A worker certainly has room for a shape if its class is higher than the shape's
in every dimension that the shape needs.  If it is equal in one of them, the
worker may have room.
"""

import collections
import itertools
from collections.abc import Hashable
from typing import Final, TypeVar, final

from berylspread.limits.workers import Tally, WorkerView
from berylspread.model import Resources

CPU_UNIT_MILLI: Final = 250
MEMORY_UNIT_MIB: Final = 256

FreeClass = tuple[int, int, int, int]


def free_class(amount: Resources) -> FreeClass:
    """Return the class of an amount, whose dimensions must not be negative."""
    return (
        (amount.cpu_milli // CPU_UNIT_MILLI).bit_length(),
        (amount.memory_mib // MEMORY_UNIT_MIB).bit_length(),
        amount.accelerators.bit_length(),
        amount.slots.bit_length(),
    )


@final
class FreeIndex:
    """The workers that take new work, by the class of their free capacity.

    ``examined`` counts the workers that were examined as candidates,
    ``version`` the changes that freed capacity, and ``tally`` the running
    tasks by rack or zone and job class.  ``by_capacity`` groups the workers by
    total capacity, of which there are few different ones.  The ledgers of one
    node share an index, so that one decision sees all their workers.
    """

    __slots__ = ('buckets', 'by_capacity', 'examined', 'tally', 'version')

    def __init__(self) -> None:
        self.buckets: dict[FreeClass, dict[str, WorkerView]] = {}
        self.by_capacity: dict[Resources, dict[str, WorkerView]] = {}
        self.tally: Tally = collections.Counter()
        self.examined = 0
        self.version = 0

    def put(self, view: WorkerView) -> None:
        """Add a worker, or move it to the class of its free capacity.

        A worker that takes no new work, or whose free capacity is negative in
        a dimension, is removed.
        """
        key = None
        if not view.barriers and view.free.is_non_negative():
            key = free_class(view.free)
        if key == view.index_key and view.indexed_capacity == view.capacity:
            return
        self.discard(view)
        if key is not None:
            self.buckets.setdefault(key, {})[view.worker] = view
            same_capacity = self.by_capacity.setdefault(view.capacity, {})
            same_capacity[view.worker] = view
            view.index_key = key
            view.indexed_capacity = view.capacity

    def discard(self, view: WorkerView) -> None:
        """Remove a worker, if it is in the index."""
        key = view.index_key
        if key is None:
            return
        _remove_from_group(self.buckets, key, view.worker)
        _remove_from_group(self.by_capacity, view.indexed_capacity, view.worker)
        view.index_key = None

    def candidates(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return up to ``limit`` workers with room, smallest classes first.

        Examines at most ``limit`` workers: up to half of them from the classes
        that may have room, the rest from those that certainly have it.
        """
        sure, maybe = self._matching(free_class(shape))
        found: list[WorkerView] = []
        budget = limit
        for key in maybe:
            if budget <= limit // 2:
                break
            budget -= self._examine(key, shape, budget - limit // 2, found)
        for key in sure:
            if budget <= 0:
                break
            budget -= self._examine(key, shape, budget, found)
        return found

    def sample(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return up to ``limit`` workers that would fit a shape when empty."""
        found: list[WorkerView] = []
        for capacity, same_capacity in self.by_capacity.items():
            if not shape.fits(capacity):
                continue
            for worker in list(
                itertools.islice(same_capacity, limit - len(found))
            ):
                view = same_capacity.pop(worker)
                same_capacity[worker] = view
                found.append(view)
        self.examined += len(found)
        return found

    def _matching(
        self, need: FreeClass
    ) -> tuple[list[FreeClass], list[FreeClass]]:
        """Return the classes that certainly have room and those that may."""
        sure: list[FreeClass] = []
        maybe: list[FreeClass] = []
        for key in self.buckets:
            if _may_fit(key, need):
                (sure if _surely_fits(key, need) else maybe).append(key)
        sure.sort(key=sum)
        maybe.sort(key=sum)
        return sure, maybe

    def _examine(
        self,
        key: FreeClass,
        shape: Resources,
        budget: int,
        found: list[WorkerView],
    ) -> int:
        bucket = self.buckets[key]
        examined = list(itertools.islice(bucket, budget))
        for worker in examined:
            # Move the worker to the end, so that the next decision examines
            # other ones.
            view = bucket.pop(worker)
            bucket[worker] = view
            if shape.fits(view.free):
                found.append(view)
        self.examined += len(examined)
        return len(examined)


def _may_fit(key: FreeClass, need: FreeClass) -> bool:
    return (
        key[0] >= need[0]
        and key[1] >= need[1]
        and key[2] >= need[2]
        and key[3] >= need[3]
    )


def _surely_fits(key: FreeClass, need: FreeClass) -> bool:
    return all(
        free > needed or not needed
        for free, needed in zip(key, need, strict=True)
    )


KeyT = TypeVar('KeyT', bound=Hashable)


def _remove_from_group(
    groups: dict[KeyT, dict[str, WorkerView]], key: KeyT, worker: str
) -> None:
    group = groups[key]
    group.pop(worker)
    if not group:
        groups.pop(key)
