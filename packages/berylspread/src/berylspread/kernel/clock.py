"""The clocks: the event loop's for durations, the system's for timestamps.

Every duration, lease and timeout is measured on the running loop's clock, which
tests pause and advance.  Timestamps that leave the process are seconds since
the epoch; tests replace ``wall_offset``.
"""

import asyncio
import time
from typing import Final


def now() -> float:
    """Return the running loop's time in seconds; only differences matter."""
    return asyncio.get_running_loop().time()


class WallClock:
    """Seconds since the epoch, derived from the loop's clock and one offset."""

    __slots__ = ('offset_s',)

    def __init__(self, offset_s: float | None = None) -> None:
        """Take the offset between both clocks, or measure it at first use."""
        self.offset_s = offset_s

    def time(self) -> float:
        """Return seconds since the epoch."""
        if self.offset_s is None:
            self.offset_s = time.time() - now()
        return now() + self.offset_s


#: Largest relative error between two VMs' clock rates that leases allow for.
CLOCK_DRIFT: Final = 0.01
