"""The shares of the teams: their entitlement and their usage."""

import math
from typing import Final, final

from berylspread.model import Resources
from berylspread.placement.demand import TeamUsage

USAGE_HALF_LIFE_S: Final = 600.0
UNKNOWN_TEAM_USAGE: Final = TeamUsage('', entitled=0.0)


@final
class DecayedUsage:
    """The average usage of a team; usage one half-life ago counts half.

    ``current`` is the usage since ``updated_at``, a loop time.
    """

    __slots__ = ('average', 'current', 'half_life_s', 'updated_at')

    def __init__(
        self, now: float, half_life_s: float = USAGE_HALF_LIFE_S
    ) -> None:
        self.half_life_s = half_life_s
        self.updated_at = now
        self.current: float = 0
        self.average: float = 0

    def observe(self, usage: float, now: float) -> float:
        """Set the usage from now on; return the average until now."""
        elapsed_s = max(now - self.updated_at, 0)
        kept = math.exp2(-elapsed_s / self.half_life_s)
        self.average = self.average * kept + self.current * (1 - kept)
        self.updated_at = now
        self.current = usage
        return self.average


@final
class ShareTable:
    """The usage of the teams: reported by their homes, plus new starts.

    ``started_shares`` are the dominant shares of the tasks that this owner
    started since the last figures of the home.  All shares are fractions of
    ``region_capacity``.
    """

    __slots__ = ('region_capacity', 'started_shares', 'team_usage')

    def __init__(self) -> None:
        self.region_capacity = Resources()
        self.team_usage: dict[str, TeamUsage] = {}
        self.started_shares: dict[str, float] = {}

    def update_team(self, usage: TeamUsage) -> None:
        """Set the figures of a home, which cover all earlier starts."""
        self.team_usage[usage.team] = usage
        self.started_shares.pop(usage.team, None)

    def charge(self, team: str, shape: Resources, count: int = 1) -> None:
        """Add tasks that this owner started to the usage of their team."""
        share = shape.dominant_share(self.region_capacity) * count
        self.started_shares[team] = self.started_shares.get(team, 0) + share

    def usage_ratio(self, team: str, decayed_weight: float) -> float:
        """Return the usage of a team divided by its entitlement.

        ``decayed_weight``, 0 to 1, is the weight of decayed usage against
        current usage.  The ratio of a team without entitlement is infinite.
        """
        usage = self.team_usage.get(team, UNKNOWN_TEAM_USAGE)
        if usage.entitled <= 0:
            return math.inf
        recent = (
            usage.current * (1 - decayed_weight)
            + usage.decayed * decayed_weight
        )
        return (recent + self.started_shares.get(team, 0)) / usage.entitled
