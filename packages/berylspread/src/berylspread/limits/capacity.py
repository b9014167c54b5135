"""The capacity ledger: what each worker of a partition was granted.

The partition owner's grants are the only truth about what is in use; a worker's
report may lower what is free and never raises it over what was granted.
"""

import heapq
from typing import final

from berylspread.kernel import Failure, check
from berylspread.kernel.errors import Conflict, UnknownName
from berylspread.limits.errors import BookingExpired, NoCapacity, WorkerBarred
from berylspread.limits.free_index import FreeIndex
from berylspread.limits.vectors import clamp_non_negative
from berylspread.limits.workers import (
    UNKNOWN_WORK,
    Barrier,
    BookedWork,
    Booking,
    WorkerView,
)
from berylspread.model import ZERO, Resources, Vm

PROBE_BARRIERS = frozenset((Barrier.quarantined,))


@final
class CapacityLedger:
    """The workers of one partition with their bookings, by key.

    ``index`` may be shared with the other ledgers of this node.
    """

    __slots__ = ('bookings', 'hold_expiries', 'index', 'unit', 'workers')

    def __init__(self, unit: str, index: FreeIndex | None = None) -> None:
        """Start without workers."""
        self.unit = unit
        self.index = FreeIndex() if index is None else index
        self.workers: dict[str, WorkerView] = {}
        self.bookings: dict[str, Booking] = {}
        self.hold_expiries: list[tuple[float, str]] = []

    def add_worker(self, vm: Vm) -> WorkerView:
        """Add a worker, which gives nothing before its first report."""
        view = self.workers.get(vm.vm_id)
        if view is None:
            view = WorkerView(vm, self.unit, self.index.tally)
            self.workers[vm.vm_id] = view
        return view

    def remove_worker(self, worker: str) -> list[Booking]:
        """Forget a worker; return the bookings that went with it."""
        view = self.workers.pop(worker, None)
        if view is None:
            return []
        lost = list(view.bookings.values())
        for booking in lost:
            self.bookings.pop(booking.key)
            view.remove_booking(booking)
        self.index.discard(view)
        return lost

    def close(self) -> None:
        """Take all workers out of the shared index; the tenure has ended."""
        for worker in list(self.workers):
            self.remove_worker(worker)

    def apply_report(
        self, worker: str, capacity: Resources, used: Resources = ZERO
    ) -> UnknownName | None:
        """Take in what a worker says that it holds and uses now.

        Use above what is granted lowers what is free until the next report.
        """
        view = self.workers.get(worker)
        if view is None:
            return _unknown_worker(worker)
        before = ZERO if view.barriers else view.free
        view.capacity = capacity
        view.excess = clamp_non_negative(used - view.granted)
        view.update_free()
        view.barriers.discard(Barrier.unknown)
        self.index.put(view)
        if not view.free.fits(before):
            self.index.version += 1
        return None

    def add_barrier(self, worker: str, barrier: Barrier) -> None:
        """Let a worker give nothing more for one reason."""
        view = self.workers.get(worker)
        if view is not None:
            view.barriers.add(barrier)
            self.index.put(view)

    def remove_barrier(self, worker: str, barrier: Barrier) -> None:
        """Withdraw one reason; the worker gives again when none is left."""
        view = self.workers.get(worker)
        if view is not None:
            view.barriers.discard(barrier)
            self._on_freed(view)

    def available(self, worker: str) -> Resources:
        """Return what a worker can still be granted; nothing if barred."""
        view = self.workers.get(worker)
        if view is None or view.barriers:
            return ZERO
        return clamp_non_negative(view.free)

    def book(
        self,
        worker: str,
        key: str,
        shape: Resources,
        work: BookedWork = UNKNOWN_WORK,
        *,
        expires_at: float | None = None,
        probe: bool = False,
    ) -> Booking | Failure:
        """Grant a part of a worker, or say what is in the way.

        The same key for the same worker and shape returns the booking that
        stands.  ``expires_at`` makes it a hold, to be committed before that
        loop time.  A probe may use a quarantined worker.

        Errors: ``UnknownName``, ``Conflict``, ``WorkerBarred``, ``NoCapacity``.
        """
        known = self.bookings.get(key)
        if known is not None:
            return _repeat_result(known, worker, shape)
        view = self.workers.get(worker)
        if view is None:
            return _unknown_worker(worker)
        passed = PROBE_BARRIERS if probe else frozenset()
        barriers = view.barriers - passed
        if barriers:
            return _worker_barred(worker, barriers)
        short = shape.misfit(view.free)
        if short is not None:
            return NoCapacity(
                f'worker {worker!r} has too little {short} free',
                worker=worker,
                dimension=short,
            )
        booking = Booking(key, worker, shape, work, expires_at)
        self._add_booking(view, booking)
        check(
            'granted-within-capacity',
            view.granted.fits(view.capacity) and shape.is_non_negative(),
            worker=worker,
            key=key,
        )
        return booking

    def adopt(
        self,
        worker: str,
        key: str,
        shape: Resources,
        work: BookedWork = UNKNOWN_WORK,
    ) -> Booking | Failure:
        """Count work that already runs at a worker, whether it fits or not.

        Errors: ``UnknownName``, ``Conflict``.
        """
        known = self.bookings.get(key)
        if known is not None:
            return _repeat_result(known, worker, shape)
        view = self.workers.get(worker)
        if view is None:
            return _unknown_worker(worker)
        booking = Booking(key, worker, shape, work, None)
        self._add_booking(view, booking)
        return booking

    def commit(
        self, key: str, now: float, *, as_key: str | None = None
    ) -> Booking | BookingExpired | Conflict:
        """Turn a hold into a booking that lasts, under its final key."""
        booking = self.bookings.get(key)
        if booking is None or booking.has_lapsed(now):
            return BookingExpired(f'hold {key!r} has lapsed', key=key)
        final_key = key if as_key is None else as_key
        if final_key != key and final_key in self.bookings:
            return Conflict(f'{final_key!r} is booked already', key=final_key)
        view = self.workers[booking.worker]
        self.bookings.pop(key)
        view.bookings.pop(key)
        booking.key = final_key
        booking.expires_at = None
        self.bookings[final_key] = booking
        view.bookings[final_key] = booking
        return booking

    def release(self, key: str) -> Booking | None:
        """Free what a key was granted; ``None`` if it holds nothing."""
        booking = self.bookings.pop(key, None)
        if booking is None:
            return None
        view = self.workers[booking.worker]
        view.remove_booking(booking)
        check(
            'granted-non-negative',
            view.granted.is_non_negative(),
            worker=view.worker,
            key=key,
        )
        self._on_freed(view)
        return booking

    def expire(self, now: float) -> list[Booking]:
        """Release the holds that have lapsed; return them."""
        lapsed = []
        while self.hold_expiries and self.hold_expiries[0][0] <= now:
            expires_at, key = heapq.heappop(self.hold_expiries)
            booking = self.bookings.get(key)
            if booking is not None and booking.expires_at == expires_at:
                self.release(key)
                lapsed.append(booking)
        return lapsed

    def candidates(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return up to ``limit`` workers with room for a shape."""
        return self.index.candidates(shape, limit)

    def _add_booking(self, view: WorkerView, booking: Booking) -> None:
        view.add_booking(booking)
        self.bookings[booking.key] = booking
        if booking.expires_at is not None:
            heapq.heappush(
                self.hold_expiries, (booking.expires_at, booking.key)
            )
        self.index.put(view)

    def _on_freed(self, view: WorkerView) -> None:
        self.index.version += 1
        self.index.put(view)


def _repeat_result(
    known: Booking, worker: str, shape: Resources
) -> Booking | Conflict:
    if known.worker == worker and known.shape == shape:
        return known
    return Conflict(
        f'{known.key!r} is booked at worker {known.worker!r}',
        key=known.key,
        worker=known.worker,
    )


def _unknown_worker(worker: str) -> UnknownName:
    return UnknownName(f'no worker is called {worker!r}', key=worker)


def _worker_barred(worker: str, barriers: set[Barrier]) -> WorkerBarred:
    names = sorted(barrier.value for barrier in barriers)
    return WorkerBarred(
        f'worker {worker!r} takes no new work: {", ".join(names)}',
        worker=worker,
        barriers=names,
    )
