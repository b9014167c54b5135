"""The event loop's clock for durations and the wall clock for timestamps.

Every duration, lease and timeout is measured with the running loop's clock,
which tests can pause and advance.  Timestamps that leave the process are in
seconds since the epoch; tests pass a fixed offset to ``WallClock``.
"""

import asyncio
import time
from typing import Final


def now() -> float:
    """Return the running loop's time in seconds; its origin is arbitrary."""
    return asyncio.get_running_loop().time()


class WallClock:
    """The time since the epoch: the loop's time plus a constant offset."""

    __slots__ = ('offset_s',)

    def __init__(self, offset_s: float | None = None) -> None:
        """Set the offset; ``None`` means that it is measured at first use."""
        self.offset_s = offset_s

    def time(self) -> float:
        """Return seconds since the epoch."""
        if self.offset_s is None:
            self.offset_s = time.time() - now()
        return now() + self.offset_s


#: Leases tolerate this relative difference between the clock rates of two VMs.
CLOCK_DRIFT: Final = 0.01
