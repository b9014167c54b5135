"""The teams' shares: what each is entitled to, and what it was served."""

import math
from typing import Final, final

from berylspread.model import Resources
from berylspread.placement.demand import TeamUsage

USAGE_HALF_LIFE_S: Final = 600.0
UNKNOWN_TEAM_USAGE: Final = TeamUsage('', entitled=0.0)


@final
class DecayedUsage:
    """A team's average use, in which use one half-life ago counts half."""

    __slots__ = ('average', 'current', 'half_life_s', 'updated_at')

    def __init__(
        self, now: float, half_life_s: float = USAGE_HALF_LIFE_S
    ) -> None:
        """Start without use."""
        self.half_life_s = half_life_s
        self.updated_at = now
        self.current: float = 0
        self.average: float = 0

    def observe(self, use: float, now: float) -> float:
        """Take in the use from now on; return the average until now."""
        elapsed_s = max(now - self.updated_at, 0)
        kept = math.exp2(-elapsed_s / self.half_life_s)
        self.average = self.average * kept + self.current * (1 - kept)
        self.updated_at = now
        self.current = use
        return self.average


@final
class ShareTable:
    """The homes' figures, plus what this owner started since.

    ``total`` is the region's capacity, against which shares are counted.
    """

    __slots__ = ('region_capacity', 'started_shares', 'team_usage')

    def __init__(self) -> None:
        """Start without teams."""
        self.region_capacity = Resources()
        self.team_usage: dict[str, TeamUsage] = {}
        self.started_shares: dict[str, float] = {}

    def update_team(self, use: TeamUsage) -> None:
        """Take a home's figures, which cover all that was started before."""
        self.team_usage[use.team] = use
        self.started_shares.pop(use.team, None)

    def charge(self, team: str, shape: Resources, count: int = 1) -> None:
        """Count a start of this owner against a team until its next figures."""
        share = shape.dominant_share(self.region_capacity) * count
        self.started_shares[team] = self.started_shares.get(team, 0) + share

    def usage_ratio(self, team: str, decayed_weight: float) -> float:
        """Return what a team uses for each unit that it is entitled to.

        ``history`` from 0 to 1 weighs decayed use against current use.  A team
        that is entitled to nothing comes last.
        """
        use = self.team_usage.get(team, UNKNOWN_TEAM_USAGE)
        if use.entitled <= 0:
            return math.inf
        recent = (
            use.current * (1 - decayed_weight) + use.decayed * decayed_weight
        )
        return (recent + self.started_shares.get(team, 0)) / use.entitled
