"""The usage of a home's teams, compared with their entitled shares."""

from typing import final

from berylspread.kernel import now
from berylspread.limits import QuotaLedger
from berylspread.model import ZERO, Resources
from berylspread.placement import DecayedUsage, TeamUsage
from berylspread.runtime import NodeContext


@final
class TeamUsageTracker:
    """Tracks the teams' dominant shares of the region's capacity."""

    __slots__ = ('context', 'decayed_usage', 'region', 'total')

    def __init__(self, context: NodeContext, region: str) -> None:
        self.context = context
        self.region = region
        self.total = ZERO
        self.decayed_usage: dict[str, DecayedUsage] = {}

    def team_usages(self, quota: QuotaLedger) -> list[TeamUsage]:
        """Return the usage of every team in the ledger."""
        total = self.region_capacity()
        return [
            self._team_usage(team, team_quota.in_use, total)
            for team, team_quota in quota.teams.items()
        ]

    def region_capacity(self) -> Resources:
        """Return the capacity of the region's workers that owners reported."""
        return self.context.capacities.region_capacity(self.region)

    def _team_usage(
        self, team: str, in_use: Resources, total: Resources
    ) -> TeamUsage:
        current = in_use.dominant_share(total)
        past = self.decayed_usage.setdefault(team, DecayedUsage(now()))
        return TeamUsage(
            team=team,
            entitled=self.context.document.entitled_share(team),
            decayed=past.observe(current, now()),
            current=current,
        )
