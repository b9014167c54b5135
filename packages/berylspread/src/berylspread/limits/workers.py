"""A worker as the capacity ledger and the placement plug-ins see it."""

import collections
import enum
from typing import Final, TypeVar, final

from berylspread.model import ZERO, JobKind, Resources, Vm


@final
class Barrier(enum.Enum):
    """Why a worker takes no new work."""

    unknown = 'unknown'
    draining = 'draining'
    leaving = 'leaving'
    quarantined = 'quarantined'


@final
class BookedWork:
    """The work that a booking is for; times are loop seconds.

    ``expected_end`` is ``None`` if it is not known.
    """

    __slots__ = (
        'expected_end',
        'job_class',
        'kind',
        'preemptible',
        'priority',
        'started_at',
        'team',
    )

    def __init__(
        self,
        team: str = '',
        job_class: str = '',
        *,
        kind: JobKind = JobKind.batch,
        priority: int = 0,
        preemptible: bool = False,
        started_at: float = 0,
        expected_end: float | None = None,
    ) -> None:
        self.team = team
        self.job_class = job_class
        self.kind = kind
        self.priority = priority
        self.preemptible = preemptible
        self.started_at = started_at
        self.expected_end = expected_end


UNKNOWN_WORK: Final = BookedWork()

#: Running tasks by rack or zone, and job class.
Tally = collections.Counter[tuple[str, str]]


@final
class Booking:
    """A part of a worker's capacity that is granted under one key.

    ``expires_at`` is the loop time at which a hold lapses unless it is
    committed, and ``None`` for a booking that lasts until it is released.
    """

    __slots__ = ('expires_at', 'key', 'shape', 'work', 'worker')

    def __init__(
        self,
        key: str,
        worker: str,
        shape: Resources,
        work: BookedWork,
        expires_at: float | None,
    ) -> None:
        self.key = key
        self.worker = worker
        self.shape = shape
        self.work = work
        self.expires_at = expires_at

    def has_lapsed(self, now: float) -> bool:
        """Return whether the hold was not committed in time."""
        return self.expires_at is not None and self.expires_at <= now


@final
class WorkerView:
    """One worker with its total, granted and free capacity.

    ``excess`` is the use that the worker's last report showed above what was
    granted at that time; it only lowers ``free``.  ``fault_probability``, from
    0 to 1, is the probability that the worker fails a task by its own fault.
    """

    __slots__ = (
        'barriers',
        'bookings',
        'capacity',
        'excess',
        'fault_probability',
        'free',
        'granted',
        'index_key',
        'indexed_capacity',
        'job_class_counts',
        'tally',
        'unit',
        'vm',
        'worker',
    )

    def __init__(self, vm: Vm, unit: str, tally: Tally) -> None:
        """Start with no capacity, barred until the worker's first report."""
        self.tally = tally
        self.vm = vm
        self.unit = unit
        self.worker = vm.vm_id
        self.capacity = ZERO
        self.granted = ZERO
        self.excess = ZERO
        self.free = ZERO
        self.barriers = {Barrier.unknown}
        self.bookings: dict[str, Booking] = {}
        self.job_class_counts: collections.Counter[str] = collections.Counter()
        self.fault_probability: float = 0
        self.index_key: tuple[int, int, int, int] | None = None
        self.indexed_capacity = ZERO

    @property
    def has_accelerators(self) -> bool:
        """Return whether the worker has any accelerator."""
        return self.capacity.accelerators > 0

    def add_booking(self, booking: Booking) -> None:
        """Add a booking to the granted capacity."""
        self.bookings[booking.key] = booking
        self.granted += booking.shape
        self._count(booking.work.job_class, 1)
        self.update_free()

    def remove_booking(self, booking: Booking) -> None:
        """Remove a booking from the granted capacity."""
        self.bookings.pop(booking.key)
        self.granted -= booking.shape
        self._count(booking.work.job_class, -1)
        self.update_free()

    def update_free(self) -> None:
        """Derive the free capacity; it is negative where too much is used."""
        self.free = self.capacity - self.granted - self.excess

    def _count(self, job_class: str, change: int) -> None:
        if not job_class:
            return
        _add(self.job_class_counts, job_class, change)
        _add(self.tally, (self.vm.rack, job_class), change)
        _add(self.tally, (self.vm.zone, job_class), change)


KeyT = TypeVar('KeyT')


def _add(counter: collections.Counter[KeyT], key: KeyT, change: int) -> None:
    counter[key] += change
    if not counter[key]:
        counter.pop(key)
