"""The capacity ledger: what is granted of each worker of a partition.

What the partition owner has granted counts as in use.  A worker's report may
lower the free capacity below what the grants leave, but never raise it above.
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
    """The workers of one partition and their bookings, by key.

    The ledgers of one node may share an ``index``.
    """

    __slots__ = ('bookings', 'hold_expiries', 'index', 'unit', 'workers')

    def __init__(self, unit: str, index: FreeIndex | None = None) -> None:
        self.unit = unit
        self.index = FreeIndex() if index is None else index
        self.workers: dict[str, WorkerView] = {}
        self.bookings: dict[str, Booking] = {}
        self.hold_expiries: list[tuple[float, str]] = []

    def add_worker(self, vm: Vm) -> WorkerView:
        """Add a worker, of which nothing is granted before its first report."""
        view = self.workers.get(vm.vm_id)
        if view is None:
            view = WorkerView(vm, self.unit, self.index.tally)
            self.workers[vm.vm_id] = view
        return view

    def remove_worker(self, worker: str) -> list[Booking]:
        """Remove a worker; return the bookings that it had."""
        view = self.workers.pop(worker, None)
        if view is None:
            return []
        removed = list(view.bookings.values())
        for booking in removed:
            self.bookings.pop(booking.key)
            view.remove_booking(booking)
        self.index.discard(view)
        return removed

    def close(self) -> None:
        """Remove all workers, also from the shared index, after the tenure."""
        for worker in list(self.workers):
            self.remove_worker(worker)

    def apply_report(
        self, worker: str, capacity: Resources, used: Resources = ZERO
    ) -> UnknownName | None:
        """Set a worker's capacity and use from its report.

        Use above what is granted lowers the free capacity until the next
        report.
        """
        view = self.workers.get(worker)
        if view is None:
            return _unknown_worker(worker)
        free_before = ZERO if view.barriers else view.free
        view.capacity = capacity
        view.excess = clamp_non_negative(used - view.granted)
        view.update_free()
        view.barriers.discard(Barrier.unknown)
        self.index.put(view)
        if not view.free.fits(free_before):
            self.index.version += 1
        return None

    def add_barrier(self, worker: str, barrier: Barrier) -> None:
        """Grant nothing more of a worker, for one reason."""
        view = self.workers.get(worker)
        if view is not None:
            view.barriers.add(barrier)
            self.index.put(view)

    def remove_barrier(self, worker: str, barrier: Barrier) -> None:
        """Remove one reason; a worker without any can be granted again."""
        view = self.workers.get(worker)
        if view is not None:
            view.barriers.discard(barrier)
            self._on_freed(view)

    def available(self, worker: str) -> Resources:
        """Return what can still be granted of a worker; ``ZERO`` if barred."""
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
        """Grant a part of a worker's capacity.

        Repeating a key with the same worker and shape returns the existing
        booking.  With ``expires_at`` the booking is a hold, which lapses at
        that loop time unless it is committed.  A probe may use a quarantined
        worker.

        Errors: ``UnknownName``, ``Conflict``, ``WorkerBarred``, ``NoCapacity``.
        """
        existing = self.bookings.get(key)
        if existing is not None:
            return _repeat_result(existing, worker, shape)
        view = self.workers.get(worker)
        if view is None:
            return _unknown_worker(worker)
        ignored = PROBE_BARRIERS if probe else frozenset()
        barriers = view.barriers - ignored
        if barriers:
            return _worker_barred(worker, barriers)
        lacking = shape.misfit_dimension(view.free)
        if lacking is not None:
            return NoCapacity(
                f'worker {worker!r} has too little {lacking} free',
                worker=worker,
                dimension=lacking,
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
        """Book work that already runs on a worker, whether it fits or not.

        Errors: ``UnknownName``, ``Conflict``.
        """
        existing = self.bookings.get(key)
        if existing is not None:
            return _repeat_result(existing, worker, shape)
        view = self.workers.get(worker)
        if view is None:
            return _unknown_worker(worker)
        booking = Booking(key, worker, shape, work, None)
        self._add_booking(view, booking)
        return booking

    def commit(
        self, key: str, now: float, *, as_key: str | None = None
    ) -> Booking | BookingExpired | Conflict:
        """Turn a hold into a booking that does not expire.

        ``as_key`` is the new key of the booking, if it changes.
        """
        booking = self.bookings.get(key)
        if booking is None or booking.has_lapsed(now):
            return BookingExpired(f'hold {key!r} has lapsed', key=key)
        final_key = key if as_key is None else as_key
        if final_key != key and final_key in self.bookings:
            return Conflict(f'{final_key!r} is already booked', key=final_key)
        view = self.workers[booking.worker]
        self.bookings.pop(key)
        view.bookings.pop(key)
        booking.key = final_key
        booking.expires_at = None
        self.bookings[final_key] = booking
        view.bookings[final_key] = booking
        return booking

    def release(self, key: str) -> Booking | None:
        """Remove a booking and return it, or ``None`` if there is none."""
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
        """Return up to ``limit`` workers that have room for a shape."""
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
    existing: Booking, worker: str, shape: Resources
) -> Booking | Conflict:
    if existing.worker == worker and existing.shape == shape:
        return existing
    return Conflict(
        f'{existing.key!r} is booked on worker {existing.worker!r}',
        key=existing.key,
        worker=existing.worker,
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
