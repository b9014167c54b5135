"""The drain of a backend server, as a state machine.

A worker that is draining or leaving takes no new work.  Batch tasks are asked
to checkpoint.  A service is stopped, since it is started on another worker only
after the old run has certainly ended.
"""

import enum
from collections.abc import Iterable
from typing import Final, final

from berylspread.limits import Barrier, Booking, CapacityLedger
from berylspread.model import JobKind


@final
class DrainState(enum.Enum):
    """The state of the drain of a worker."""

    serving = 'serving'
    draining = 'draining'
    leaving = 'leaving'
    drained = 'drained'


@final
class DrainEvent(enum.Enum):
    """An event that may change the state of a drain."""

    drain_requested = 'drain-asked'
    drain_cancelled = 'drain-cancelled'
    listed_leaving = 'listed-leaving'
    emptied = 'emptied'


TRANSITIONS: Final = {
    (DrainState.serving, DrainEvent.drain_requested): DrainState.draining,
    (DrainState.serving, DrainEvent.listed_leaving): DrainState.leaving,
    (DrainState.draining, DrainEvent.drain_cancelled): DrainState.serving,
    (DrainState.draining, DrainEvent.listed_leaving): DrainState.leaving,
    (DrainState.draining, DrainEvent.emptied): DrainState.drained,
    (DrainState.leaving, DrainEvent.emptied): DrainState.drained,
    (DrainState.drained, DrainEvent.drain_cancelled): DrainState.serving,
    (DrainState.drained, DrainEvent.listed_leaving): DrainState.drained,
}

#: The mode in which the worker is asked to stop a task, by kind of job.
STOP_MODES: Final = {
    JobKind.batch: 'checkpoint',
    JobKind.gang: 'checkpoint',
    JobKind.service: 'stop',
}

#: The drain of one worker stops at most this many tasks at one time, so that
#: the other workers are not flooded with restarts.
MAX_CONCURRENT_STOPS: Final = 8


@final
class Drain:
    """The drain of one worker; sets its barrier in the capacity ledger.

    ``stopping_keys`` are the keys of the bookings that were asked to stop.
    """

    __slots__ = ('ledger', 'state', 'stopping_keys', 'worker')

    def __init__(self, ledger: CapacityLedger, worker: str) -> None:
        self.ledger = ledger
        self.worker = worker
        self.state = DrainState.serving
        self.stopping_keys: set[str] = set()

    def apply_event(self, event: DrainEvent) -> DrainState:
        """Apply an event and return the new state.

        An event for which the state has no transition is ignored.
        """
        state = TRANSITIONS.get((self.state, event), self.state)
        if state is not self.state:
            self.state = state
            self._set_barrier()
        return state

    def next_stops(self) -> list[tuple[Booking, str]]:
        """Return the bookings to stop now, each with its stop mode.

        Each booking is returned once.  Batch and gang tasks come before
        services, since stopping them frees the most for the least harm.
        """
        view = self.ledger.workers.get(self.worker)
        if self.state is DrainState.serving or view is None:
            return []
        self.stopping_keys &= view.bookings.keys()
        if not view.bookings:
            self.apply_event(DrainEvent.emptied)
        running = [
            booking
            for booking in view.bookings.values()
            if booking.key not in self.stopping_keys
        ]
        running.sort(key=_is_service)
        chosen = running[: MAX_CONCURRENT_STOPS - len(self.stopping_keys)]
        self.stopping_keys.update(booking.key for booking in chosen)
        return list(_with_modes(chosen))

    def _set_barrier(self) -> None:
        if self.state is DrainState.serving:
            self.stopping_keys.clear()
            self.ledger.remove_barrier(self.worker, Barrier.draining)
        else:
            self.ledger.add_barrier(self.worker, Barrier.draining)


def _is_service(booking: Booking) -> bool:
    return booking.work.kind is JobKind.service


def _with_modes(chosen: Iterable[Booking]) -> Iterable[tuple[Booking, str]]:
    for booking in chosen:
        yield booking, STOP_MODES[booking.work.kind]
