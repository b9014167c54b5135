"""How much of a team's allotment a region can give to another region.

The allotments themselves are derived from the log.  A home with an idle amount
reserves it and then appends a record that moves it to the other region.
"""

from typing import Final, final

from berylspread.limits.vectors import elementwise_max
from berylspread.model import DIMENSIONS, ZERO, Resources

#: A region keeps its peak use and this share of it on top.
HEADROOM_SHARE: Final = 0.25
#: An amount may be moved once it was idle for this long.
IDLE_WINDOW_S: Final = 5.0
#: A move is at least this share of the limit, if as much is idle.
MIN_MOVE_SHARE: Final = 0.02


@final
class IdleTracker:
    """Tracks how much of a team's allotment a region can give away.

    An amount can be moved once it was idle for ``IDLE_WINDOW_S``.  So an amount
    that another region wants stays idle for at most twice that time, and a
    short dip in use moves nothing.
    """

    __slots__ = ('peak', 'previous_peak', 'window_ends_at')

    def __init__(self, now: float) -> None:
        """Start the first window, until whose end nothing is transferable."""
        self.peak = ZERO
        self.previous_peak: Resources | None = None
        self.window_ends_at = now + IDLE_WINDOW_S

    def observe(self, in_use: Resources, now: float) -> None:
        """Record the use, or the use plus the waiting demand."""
        if now >= self.window_ends_at:
            self.previous_peak = self.peak
            self.peak = in_use
            self.window_ends_at = now + IDLE_WINDOW_S
        self.peak = elementwise_max(self.peak, in_use)

    def transferable(
        self, allotment: Resources, limit: Resources, wanted: Resources
    ) -> Resources:
        """Return the amount to move to a region that wants ``wanted``.

        Half of the amount that is idle beyond the headroom stays, so that two
        regions do not move the same amount back and forth.
        """
        if self.previous_peak is None:
            return ZERO
        peak = elementwise_max(self.peak, self.previous_peak)
        return Resources(
            *(
                _transferable(
                    getattr(allotment, name),
                    getattr(peak, name),
                    getattr(limit, name),
                    getattr(wanted, name),
                )
                for name in DIMENSIONS
            )
        )


def _transferable(allotment: int, peak: int, limit: int, wanted: int) -> int:
    idle = allotment - peak - int(peak * HEADROOM_SHARE)
    if idle <= 0 or wanted <= 0:
        return 0
    smallest = max(int(limit * MIN_MOVE_SHARE), 1)
    return min(max(min(idle // 2, wanted), smallest), idle)
