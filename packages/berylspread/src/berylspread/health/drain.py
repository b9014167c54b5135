"""The drain of a backend server, as a table of states and events.

From the first event on the worker takes no new work.  Batch tasks are asked to
checkpoint; services go on until each was started anew elsewhere, which happens
only once the old one has certainly ended, so each is stopped first.
"""

import enum
from collections.abc import Iterable
from typing import Final, final

from berylspread.limits import Barrier, Booking, CapacityLedger
from berylspread.model import JobKind


@final
class DrainState(enum.Enum):
    """How far the drain of a worker is."""

    serving = 'serving'
    draining = 'draining'
    leaving = 'leaving'
    drained = 'drained'


@final
class DrainEvent(enum.Enum):
    """What moves a drain on."""

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

#: What the worker is asked to do with a task, by kind of job.
STOP_MODES: Final = {
    JobKind.batch: 'checkpoint',
    JobKind.gang: 'checkpoint',
    JobKind.service: 'stop',
}

#: Tasks that are asked to stop at once, so that one worker's drain does not
#: flood the others with restarts.
MAX_CONCURRENT_STOPS: Final = 8


@final
class Drain:
    """The drain of one worker; it sets the barrier in the ledger."""

    __slots__ = ('ledger', 'state', 'stopping_keys', 'worker')

    def __init__(self, ledger: CapacityLedger, worker: str) -> None:
        """Start with a worker that serves."""
        self.ledger = ledger
        self.worker = worker
        self.state = DrainState.serving
        self.stopping_keys: set[str] = set()

    def apply_event(self, event: DrainEvent) -> DrainState:
        """Move on by an event; one that does not apply changes nothing."""
        state = TRANSITIONS.get((self.state, event), self.state)
        if state is not self.state:
            self.state = state
            self._set_barrier()
        return state

    def next_stops(self) -> list[tuple[Booking, str]]:
        """Return the bookings to stop now, each with the mode of the stop.

        Batch work goes first: it frees most for the least harm.
        """
        view = self.ledger.workers.get(self.worker)
        if self.state is DrainState.serving or view is None:
            return []
        self.stopping_keys &= view.bookings.keys()
        if not view.bookings:
            self.apply_event(DrainEvent.emptied)
        waiting = [
            booking
            for booking in view.bookings.values()
            if booking.key not in self.stopping_keys
        ]
        waiting.sort(key=_is_service)
        chosen = waiting[: MAX_CONCURRENT_STOPS - len(self.stopping_keys)]
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
