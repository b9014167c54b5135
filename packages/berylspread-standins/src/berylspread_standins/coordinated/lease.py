"""A worker's steady clock and the lease that it measures."""

import random
from typing import Final, final

from berylspread.kernel.clock import now

MS: Final = 1000
#: The longest lease that a worker grants, in ms.
HOLD_MAX_MS: Final = 6000
#: How long a worker needs at most to kill a run, in ms.
MAX_STOP_MS: Final = 400


def draw_kill_s(rng: random.Random) -> float:
    """Return how long a worker needs to kill a run, often nearly the most."""
    return rng.triangular(0, MAX_STOP_MS / MS, MAX_STOP_MS / MS)


@final
class WorkerClock:
    """A worker's steady clock; it may be slow and begins anywhere."""

    __slots__ = ('began_at', 'offset_ms', 'rate')

    def __init__(
        self, *, rate: float = 1.0, offset_ms: int = MS, began_at: float = 0.0
    ) -> None:
        """Show ``offset_ms`` at the loop's time ``began_at``."""
        self.rate = rate
        self.offset_ms = offset_ms
        self.began_at = began_at

    def set(self, start_ms: int, rate: float) -> None:
        """Begin anew at ``start_ms``, with ``rate`` seconds a second."""
        self.rate = rate
        self.began_at = now()
        self.offset_ms = start_ms

    def read_ms(self) -> int:
        """Return the clock's time."""
        passed_s = (now() - self.began_at) * self.rate
        return int(passed_s * MS) + self.offset_ms


@final
class WorkerLease:
    """Until when the runs of a worker's life may go on."""

    __slots__ = ('clock', 'hold_max_ms', 'kill_s', 'lapses', 'until_ms')

    def __init__(self) -> None:
        """Begin without a lease."""
        self.clock = WorkerClock()
        #: The longest lease that is granted.
        self.hold_max_ms = HOLD_MAX_MS
        #: How long the worker needs to kill what runs when a lease expires.
        self.kill_s = 0.0
        self.until_ms = 0
        #: When leases have lapsed, by the loop's time.
        self.lapses: list[float] = []

    def reset(self, clock: WorkerClock | None) -> None:
        """Begin another life, on a new clock or on the former one anew."""
        self.until_ms = 0
        self.clock = clock or WorkerClock(rate=self.clock.rate, began_at=now())

    def hold(self, until_ms: int) -> None:
        """Extend the lease, at most by the longest one."""
        self.note_lapse()
        longest = self.clock.read_ms() + self.hold_max_ms
        self.until_ms = max(self.until_ms, min(until_ms, longest))

    def left_s(self) -> float:
        """Return the seconds that are left."""
        return (self.until_ms - self.clock.read_ms()) / MS / self.clock.rate

    def note_lapse(self) -> None:
        """Keep the time of the last lapse, if the lease is over."""
        if self.until_ms and self.left_s() <= 0:
            self.lapses.append(now() + self.left_s())
