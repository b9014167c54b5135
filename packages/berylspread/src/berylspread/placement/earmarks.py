"""Earmarks: workers reserved for large tasks and gangs that have waited long.

Without earmarks, small tasks use all capacity as it becomes free, and a large
task never finds enough free capacity on one worker.  Other work may still use
an earmarked worker if it is expected to end before the earmark is due.
"""

from collections.abc import Iterable
from typing import Final, final

from berylspread.limits import Booking, WorkerView
from berylspread.model import Resources
from berylspread.placement.demand import DemandClass
from berylspread.placement.pending import PendingClass

EARMARK_TTL_S: Final = 300.0
#: Least time between two attempts to earmark one more worker.
EARMARK_INTERVAL_S: Final = 0.1
#: At most one worker in this many may be earmarked, but always one.
WORKERS_PER_EARMARK: Final = 16
#: The same limit for a gang, which needs several workers at one time.
WORKERS_PER_GANG_EARMARK: Final = 4


def may_backfill(expected_run_s: float, now: float, due_at: float) -> bool:
    """Return whether work is expected to end by ``due_at``.

    Work of unknown run time, 0, is not.
    """
    return 0 < expected_run_s <= due_at - now


@final
class Earmark:
    """A worker reserved for one class; times are loop seconds.

    ``due_at`` is when the worker is expected to have room for a task.  The
    earmark ends at ``expires_at``, so that a class that was cancelled does not
    reserve the worker for ever.
    """

    __slots__ = ('class_id', 'due_at', 'expires_at', 'view', 'worker')

    def __init__(
        self,
        view: WorkerView,
        class_id: str,
        due_at: float,
        expires_at: float,
    ) -> None:
        self.view = view
        self.worker = view.worker
        self.class_id = class_id
        self.due_at = due_at
        self.expires_at = expires_at


def expected_room_at(worker: WorkerView, shape: Resources, now: float) -> float:
    """Return the loop time at which a worker is expected to have room.

    Work whose end is not known is expected to end after ``EARMARK_TTL_S``.
    """
    free = worker.free
    latest = now
    ends = sorted(
        (_expected_end(booking, now), booking.key)
        for booking in worker.bookings.values()
    )
    for ends_at, key in ends:
        if shape.fits(free):
            break
        free += worker.bookings[key].shape
        latest = ends_at
    return latest


def _expected_end(booking: Booking, now: float) -> float:
    expected = booking.work.expected_end
    if expected is None:
        return now + EARMARK_TTL_S
    return max(expected, now)


@final
class Earmarks:
    """The earmarks of one partition owner."""

    __slots__ = ('by_class', 'by_worker', 'next_reserve_at', 'preferred_gang')

    def __init__(self) -> None:
        self.by_worker: dict[str, Earmark] = {}
        self.by_class: dict[str, set[str]] = {}
        self.preferred_gang: PendingClass | None = None
        self.next_reserve_at: float = 0

    def add(self, earmark: Earmark) -> None:
        """Add an earmark; it replaces an older one of the same worker."""
        self.remove(earmark.worker)
        self.by_worker[earmark.worker] = earmark
        self.by_class.setdefault(earmark.class_id, set()).add(earmark.worker)

    def may_reserve(
        self, demand: DemandClass, now: float, worker_count: int
    ) -> bool:
        """Return whether one more worker may be earmarked.

        This is true at most once in ``EARMARK_INTERVAL_S``.
        """
        if now < self.next_reserve_at:
            return False
        self.next_reserve_at = now + EARMARK_INTERVAL_S
        self.expire(now)
        workers_per_earmark = (
            WORKERS_PER_EARMARK
            if demand.gang is None
            else WORKERS_PER_GANG_EARMARK
        )
        return len(self.by_worker) < max(worker_count // workers_per_earmark, 1)

    def reserve(
        self,
        pending: PendingClass,
        workers: Iterable[WorkerView],
        now: float,
    ) -> Earmark | None:
        """Earmark the worker that is expected to have room first.

        Only one gang at a time has earmarks.  Every owner prefers the oldest,
        so that no two gangs block each other.
        """
        demand = pending.demand
        if demand.gang is not None and not self._takes_precedence(pending):
            return None
        choices = [
            (expected_room_at(worker, demand.shape, now), worker.worker, worker)
            for worker in workers
            if worker.worker not in self.by_worker
        ]
        if not choices:
            return None
        due_at, _, chosen = min(choices)
        expires_at = now + EARMARK_TTL_S
        earmark = Earmark(chosen, demand.class_id, due_at, expires_at)
        self.add(earmark)
        return earmark

    def earmarked_workers(self, class_id: str) -> list[WorkerView]:
        """Return the workers that are earmarked for a class."""
        return [
            self.by_worker[worker].view
            for worker in sorted(self.by_class.get(class_id, ()))
        ]

    def remove(self, worker: str) -> None:
        """Remove the earmark of a worker, if it has one."""
        earmark = self.by_worker.pop(worker, None)
        if earmark is None:
            return
        workers = self.by_class[earmark.class_id]
        workers.discard(worker)
        if not workers:
            self.by_class.pop(earmark.class_id)

    def remove_class(self, class_id: str) -> None:
        """Remove all earmarks of a class."""
        for worker in self.by_class.pop(class_id, set()):
            self.by_worker.pop(worker, None)

    def expire(self, now: float) -> None:
        """Remove the earmarks that have expired."""
        for earmark in list(self.by_worker.values()):
            if earmark.expires_at <= now:
                self.remove(earmark.worker)

    def admits(
        self, worker: str, class_id: str, expected_run_s: float, now: float
    ) -> bool:
        """Return whether a class may use a worker in spite of its earmark."""
        earmark = self.by_worker.get(worker)
        return (
            earmark is None
            or earmark.class_id == class_id
            or earmark.expires_at <= now
            or may_backfill(expected_run_s, now, earmark.due_at)
        )

    def _takes_precedence(self, pending: PendingClass) -> bool:
        other = self.preferred_gang
        if other is pending:
            return True
        if other is not None and other.count > 0:
            if other.oldest_at <= pending.oldest_at:
                return False
            self.remove_class(other.demand.class_id)
        self.preferred_gang = pending
        return True
