"""Workers in classes of free capacity, so that a decision examines few.

The class of an amount is the bit length of its number of units, per dimension.
A worker whose class is higher than a shape's in every dimension that the shape
asks for surely has room; one of an equal class may have.
"""

from collections.abc import Iterator
from typing import Final, final

from berylspread.limits.workers import WorkerView
from berylspread.model import Resources

CPU_UNIT_MILLI: Final = 250
MEMORY_UNIT_MIB: Final = 256

FreeClass = tuple[int, ...]


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

    ``examined`` counts the workers that were handed out as candidates and
    ``version`` the changes that made more capacity free.  The ledgers of one
    node share an index, so that one decision sees all their workers.
    """

    __slots__ = ('buckets', 'examined', 'version')

    def __init__(self) -> None:
        """Start empty."""
        self.buckets: dict[FreeClass, dict[str, WorkerView]] = {}
        self.examined = 0
        self.version = 0

    def put(self, view: WorkerView) -> None:
        """Add a worker, or move it to the class of what it has free now."""
        open_for_work = not view.barriers and view.free.is_non_negative()
        key = free_class(view.free) if open_for_work else None
        if key == view.index_key:
            return
        self.discard(view)
        if key is not None:
            self.buckets.setdefault(key, {})[view.worker] = view
            view.index_key = key

    def discard(self, view: WorkerView) -> None:
        """Remove a worker if it is there."""
        key = view.index_key
        if key is None:
            return
        view.index_key = None
        bucket = self.buckets[key]
        bucket.pop(view.worker)
        if not bucket:
            self.buckets.pop(key)

    def candidates(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return up to ``limit`` workers with room, the tightest classes first.

        Workers that turn out too small count towards the limit too, up to half
        of it; then the classes follow that surely have room.
        """
        need = free_class(shape)
        sure: list[FreeClass] = []
        maybe: list[FreeClass] = []
        for key in self.buckets:
            if all(map(int.__ge__, key, need)):
                is_sure = all(map(_surely_fits, key, need))
                (sure if is_sure else maybe).append(key)
        found: list[WorkerView] = []
        budget = limit
        for key in sorted(maybe, key=sum):
            budget -= self._examine(key, shape, budget - limit // 2, found)
        for key in sorted(sure, key=sum):
            budget -= self._examine(key, shape, budget, found)
        return found

    def workers(self) -> Iterator[WorkerView]:
        """Yield every worker that takes new work."""
        for bucket in self.buckets.values():
            yield from bucket.values()

    def _examine(
        self,
        key: FreeClass,
        shape: Resources,
        budget: int,
        found: list[WorkerView],
    ) -> int:
        if budget <= 0:
            return 0
        bucket = self.buckets[key]
        examined = list(zip(range(budget), bucket, strict=False))
        for _, worker in examined:
            # To the end of the line: the next decision sees other workers.
            view = bucket.pop(worker)
            bucket[worker] = view
            if shape.fits(view.free):
                found.append(view)
        self.examined += len(examined)
        return len(examined)


def _surely_fits(free: int, need: int) -> bool:
    return free > need or not need
