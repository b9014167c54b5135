"""Workers in classes of free capacity, so that a decision examines few.

The class of an amount is the bit length of its number of units, per dimension.
A worker whose class is higher than a shape's in every dimension that the shape
asks for surely has room; one of an equal class may have.
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
    """Return the class of an amount without negative dimensions."""
    return (
        (amount.cpu_milli // CPU_UNIT_MILLI).bit_length(),
        (amount.memory_mib // MEMORY_UNIT_MIB).bit_length(),
        amount.accelerators.bit_length(),
        amount.slots.bit_length(),
    )


@final
class FreeIndex:
    """The workers that take new work, by class of what they have free.

    ``examined`` counts the workers that were looked at as candidates,
    ``version`` the changes that made more capacity free, and ``tally`` the
    running tasks by place.  ``by_capacity`` holds the workers that take work by
    what they hold, which is of few kinds.  The ledgers of one node share an
    index, so that one decision sees all their workers.
    """

    __slots__ = ('buckets', 'by_capacity', 'examined', 'tally', 'version')

    def __init__(self) -> None:
        """Start empty."""
        self.buckets: dict[FreeClass, dict[str, WorkerView]] = {}
        self.by_capacity: dict[Resources, dict[str, WorkerView]] = {}
        self.tally: Tally = collections.Counter()
        self.examined = 0
        self.version = 0

    def put(self, view: WorkerView) -> None:
        """Add a worker, or move it to the class of what it has free now."""
        key = None
        if not view.barriers and view.free.is_non_negative():
            key = free_class(view.free)
        if key == view.index_key and view.indexed_capacity == view.capacity:
            return
        self.discard(view)
        if key is not None:
            self.buckets.setdefault(key, {})[view.worker] = view
            alike = self.by_capacity.setdefault(view.capacity, {})
            alike[view.worker] = view
            view.index_key = key
            view.indexed_capacity = view.capacity

    def discard(self, view: WorkerView) -> None:
        """Remove a worker if it is there."""
        key = view.index_key
        if key is None:
            return
        _remove_from_group(self.buckets, key, view.worker)
        _remove_from_group(self.by_capacity, view.indexed_capacity, view.worker)
        view.index_key = None

    def candidates(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return up to ``limit`` workers with room, the tightest classes first.

        Workers that turn out too small count towards the limit too, up to half
        of it; then the classes follow that surely have room.
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
        """Return up to ``limit`` workers that could hold a shape if empty."""
        found: list[WorkerView] = []
        for capacity, alike in self.by_capacity.items():
            if not shape.fits(capacity):
                continue
            for worker in list(itertools.islice(alike, limit - len(found))):
                view = alike.pop(worker)
                alike[worker] = view
                found.append(view)
        self.examined += len(found)
        return found

    def _matching(
        self, need: FreeClass
    ) -> tuple[list[FreeClass], list[FreeClass]]:
        """Return the classes that surely have room and those that may."""
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
            # To the end of the line: the next decision sees other workers.
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
        free > asked or not asked for free, asked in zip(key, need, strict=True)
    )


KeyT = TypeVar('KeyT', bound=Hashable)


def _remove_from_group(
    groups: dict[KeyT, dict[str, WorkerView]], key: KeyT, worker: str
) -> None:
    group = groups[key]
    group.pop(worker)
    if not group:
        groups.pop(key)
