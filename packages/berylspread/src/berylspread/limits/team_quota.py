"""One team's quota in a region: its allotment, its tasks and its slices."""

import math
from typing import Final, final

from berylspread.limits.vectors import elementwise_min, remaining_count
from berylspread.model import ZERO, Resources

#: What one interactive call counts against its team's limit.
CALL_SHAPE: Final = Resources(slots=1)


@final
class Slice:
    """Calls of one team that one entry node may have in flight.

    ``count`` is the largest number that the entry node may be using,
    ``offered`` the number that the last reply granted.  ``counts_until`` is the
    loop time at which no call under the slice can be running any longer.
    """

    __slots__ = ('count', 'counts_until', 'offered', 'sequence', 'valid_until')

    def __init__(self) -> None:
        self.sequence = -1
        self.count = 0
        self.offered = 0
        self.valid_until: float = 0
        self.counts_until: float = 0


@final
class TeamQuota:
    """One team's allotment in the region, and what is used of it.

    A dimension that is 0 in ``fleet_limit`` is unlimited; an allotment of 0 in
    a limited dimension allows nothing.  ``outgoing`` is the amount that is
    being moved to another region and can no longer be used here.  ``awaited``
    names the entry nodes whose slices from a predecessor are not known yet.
    Each counts as a slice of maximum size, ``max_slice_share`` of the allotment
    at the takeover.  Until all are known, the limit may fall but does not rise.
    """

    __slots__ = (
        'allotment',
        'awaited',
        'awaited_limit',
        'awaited_slice',
        'awaited_until',
        'fleet_limit',
        'lent',
        'max_slice_share',
        'outgoing',
        'slices',
        'used',
    )

    def __init__(self) -> None:
        self.allotment = ZERO
        self.fleet_limit = ZERO
        self.outgoing = ZERO
        self.used = ZERO
        self.lent = 0
        self.awaited: set[str] = set()
        self.awaited_until: float = 0
        self.awaited_limit = ZERO
        self.awaited_slice = 0
        self.max_slice_share: float = 1
        self.slices: dict[str, Slice] = {}

    @property
    def limit(self) -> Resources:
        """Return the allotment less the amount that is being moved away."""
        return self.allotment - self.outgoing

    @property
    def in_use(self) -> Resources:
        """Return the use: the tasks handed out and the slices lent."""
        return self.used + CALL_SHAPE * self.lent

    def room(self, shape: Resources) -> int | None:
        """Return how many more tasks of a shape fit; ``None`` if unlimited."""
        limit = self.limit
        if self.awaited:
            limit = elementwise_min(limit, self.awaited_limit)
        return remaining_count(shape, self.max_in_use, limit, self.fleet_limit)

    @property
    def max_in_use(self) -> Resources:
        """Return the most that may be in use, with the awaited slices."""
        unknown = self.awaited_slice * len(self.awaited)
        return self.in_use + CALL_SHAPE * unknown

    @property
    def max_slice(self) -> int:
        """The largest slice that one entry node may hold, in calls."""
        return math.ceil(self.allotment.slots * self.max_slice_share)
