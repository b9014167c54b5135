"""How much of a team's allotment a region can give to another region.

The allotments themselves are folded from the log; a home that has amounts idle
gives them away by a record, after it has taken them out of its own use.
"""

from typing import Final, final

from berylspread.limits.vectors import elementwise_max
from berylspread.model import DIMENSIONS, ZERO, Resources

#: A region keeps this part of its peak use above the use itself.
HEADROOM_SHARE: Final = 0.25
#: An amount is given away once it was idle for this long.
IDLE_WINDOW_S: Final = 5.0
#: A move is of at least this part of the limit, if as much is idle.
MIN_MOVE_SHARE: Final = 0.02


@final
class IdleTracker:
    """How much of a team's allotment a region can give away.

    What was idle through the last ``IDLE_S`` can go; so an amount that another
    region wants is never stranded longer than twice that, and a short dip in
    use moves nothing.
    """

    __slots__ = ('peak', 'previous_peak', 'window_ends_at')

    def __init__(self, now: float) -> None:
        """Start with an empty window, which gives nothing."""
        self.peak = ZERO
        self.previous_peak: Resources | None = None
        self.window_ends_at = now + IDLE_WINDOW_S

    def observe(self, in_use: Resources, now: float) -> None:
        """Take in the use, or the use and the demand that waits."""
        if now >= self.window_ends_at:
            self.previous_peak = self.peak
            self.peak = in_use
            self.window_ends_at = now + IDLE_WINDOW_S
        self.peak = elementwise_max(self.peak, in_use)

    def transferable(
        self, allotment: Resources, limit: Resources, wanted: Resources
    ) -> Resources:
        """Return what to give a region that wants some, or nothing.

        Half of what is idle beyond the headroom is kept, so that two regions
        do not pass the same amount to and fro.
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
