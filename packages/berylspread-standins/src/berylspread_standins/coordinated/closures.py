"""When the operator has closed availability zones, and opened them again."""

import math
from typing import final

from berylspread.kernel.clock import now


@final
class Closure:
    """One closure of a zone; ``opened_at`` is infinite while it lasts."""

    __slots__ = ('closed_at', 'opened_at', 'zone')

    def __init__(
        self, zone: str, closed_at: float, opened_at: float = math.inf
    ) -> None:
        """Keep the times, which are the loop's."""
        self.zone = zone
        self.closed_at = closed_at
        self.opened_at = opened_at


@final
class ZoneClosures:
    """All closures, so that starts can be judged afterwards."""

    __slots__ = ('closures',)

    def __init__(self) -> None:
        """Begin with all zones open."""
        self.closures: list[Closure] = []

    def is_closed(self, zone: str) -> bool:
        """Return whether a zone is closed now."""
        return any(
            each.zone == zone and math.isinf(each.opened_at)
            for each in self.closures
        )

    def close(self, zone: str) -> None:
        """Record that a zone is closed now, unless it is already."""
        if not self.is_closed(zone):
            self.closures.append(Closure(zone, now()))

    def open(self, zone: str) -> None:
        """Record that a zone is opened now."""
        for closure in self.closures:
            if closure.zone == zone:
                closure.opened_at = min(closure.opened_at, now())

    def forbid(self, zone: str, moment: float, bound_s: float) -> bool:
        """Return whether nothing may start in a zone at a moment.

        A closure holds from ``bound_s`` seconds after its beginning.
        """
        return any(
            each.zone == zone
            and each.closed_at + bound_s < moment < each.opened_at
            for each in self.closures
        )
