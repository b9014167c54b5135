"""How each team's upper limit is split over the regions.

The sum over the regions equals the team's limit after every record, so the
regions' homes enforce it without asking each other.
"""

from collections.abc import Callable, Iterator, Mapping
from typing import Final, final

import msgspec

from berylspread.config.environments import PRODUCTION
from berylspread.config.limits import FleetLimits, read_limits
from berylspread.kernel import check
from berylspread.log.folds.apportion import adjust_parts
from berylspread.log.folds.base import Context, Fold, handles
from berylspread.log.folds.configs import ConfigFold
from berylspread.log.records import AllotmentMoved, ConfigApplied
from berylspread.model import DIMENSIONS, ZERO, Resources

#: Seconds of log time for which a lowered part is remembered.
LOWERED_RETENTION_S: Final = 3600.0


@final
class TeamAllotment(msgspec.Struct, frozen=True, array_like=True):
    """A team's limit and its parts by region; 0 in the limit means no limit."""

    limit: Resources
    regions: dict[str, Resources]

    def part(self, region: str) -> Resources:
        """Return a region's part; meaningless where the limit is 0."""
        return self.regions.get(region, ZERO)

    def exceeded_dimension(self, region: str, used: Resources) -> str | None:
        """Return the first dimension in which ``used`` is over the part."""
        part = self.part(region)
        return next(
            (
                name
                for name in DIMENSIONS
                if getattr(self.limit, name)
                and getattr(used, name) > getattr(part, name)
            ),
            None,
        )


@final
class AllotmentsWire(msgspec.Struct, frozen=True, array_like=True):
    """The weights of the regions and the allotments of the teams."""

    weights: dict[str, int] = {}
    teams: dict[str, TeamAllotment] = {}
    lowered_at: dict[str, float] = {}


@final
class AllotmentFold(Fold):
    """Follows the production document's limits and the regions' transfers."""

    __slots__ = ('configs', 'limits_reader', 'lowered_at', 'teams', 'weights')

    def __init__(
        self,
        configs: ConfigFold,
        limits_reader: Callable[[str], FleetLimits | None] = read_limits,
    ) -> None:
        """Take the documents; they are applied before the allotments."""
        self.configs = configs
        self.limits_reader = limits_reader
        self.weights: dict[str, int] = {}
        #: Store's time at which a region's part last became smaller, by team.
        self.lowered_at: dict[str, float] = {}
        self.teams: dict[str, TeamAllotment] = {}

    def team_allotment(self, team: str) -> TeamAllotment | None:
        """Return a team's allotment, or ``None`` if it has no limit at all."""
        return self.teams.get(team)

    @handles(ConfigApplied)
    def on_config(self, context: Context, record: ConfigApplied) -> None:
        """Follow the limits and regions of a document that came in force."""
        if record.environment != PRODUCTION:
            return
        version = self.configs.version_in_force(PRODUCTION)
        if version is None or version.version != context.offset:
            return
        limits = self.limits_reader(record.text)
        if limits is None:
            return
        self.weights = dict(limits.regions) or {'': 1}
        before = self.teams
        self.teams = {
            team: _adjust_team(before.get(team), limit, self.weights)
            for team, limit in sorted(limits.teams.items())
            if limit != ZERO
        }
        self._drop_old_reductions(context.log_time)
        for team, allotment in self.teams.items():
            self._check_sum(team)
            is_first = version.base == 0
            if not is_first and not _reduces_no_part(
                allotment, before.get(team)
            ):
                self.lowered_at[team] = context.log_time

    @handles(AllotmentMoved)
    def on_moved(self, context: Context, record: AllotmentMoved) -> None:
        """Move a part, if the source has it; else ignore the record."""
        team = self.teams.get(record.team)
        if team is None or not record.amount.is_non_negative():
            return
        if (
            not {record.source_region, record.target_region}
            <= self.weights.keys()
        ):
            return
        if not record.amount.fits(team.part(record.source_region)):
            return
        regions = dict(team.regions)
        regions[record.source_region] -= record.amount
        regions[record.target_region] += record.amount
        self.teams[record.team] = TeamAllotment(team.limit, regions)
        self.lowered_at[record.team] = context.log_time
        self._check_sum(record.team)

    def _drop_old_reductions(self, log_time: float) -> None:
        self.lowered_at = {
            team: at
            for team, at in self.lowered_at.items()
            if log_time - at <= LOWERED_RETENTION_S
        }

    def to_wire(self) -> AllotmentsWire:
        """Return the contents for a snapshot."""
        return AllotmentsWire(
            dict(self.weights), dict(self.teams), dict(self.lowered_at)
        )

    @classmethod
    def from_wire(
        cls, wire: AllotmentsWire, configs: ConfigFold
    ) -> 'AllotmentFold':
        """Rebuild from a snapshot."""
        fold = cls(configs)
        fold.weights = dict(wire.weights)
        fold.teams = dict(wire.teams)
        fold.lowered_at = dict(wire.lowered_at)
        return fold

    def _check_sum(self, name: str) -> None:
        team = self.teams[name]
        parts = list(team.regions.values())
        check(
            'allotments add up to the limit',
            sum(parts, start=ZERO) == team.limit
            and all(part.is_non_negative() for part in parts),
            team=name,
            limit=team.limit,
            regions=team.regions,
        )


def _reduces_no_part(
    allotment: TeamAllotment, before: TeamAllotment | None
) -> bool:
    """Return whether no region's part is below what it was."""
    if before is None:
        # The team had no limit, so its use may be above any.
        return False
    return all(
        part.fits(allotment.part(region))
        for region, part in before.regions.items()
    )


def _adjust_team(
    team: TeamAllotment | None, limit: Resources, weights: Mapping[str, int]
) -> TeamAllotment:
    """Bring a team's parts to a limit; share out a removed region's part."""
    known = team.regions if team else {}
    if team and team.limit == limit and known.keys() == weights.keys():
        return team
    columns = (
        _adjust_dimension(name, known, getattr(limit, name), weights)
        for name in DIMENSIONS
    )
    by_region = zip(*columns, strict=True)
    return TeamAllotment(
        limit,
        {
            region: Resources(*amounts)
            for region, amounts in zip(sorted(weights), by_region, strict=True)
        },
    )


def _adjust_dimension(
    name: str,
    known: Mapping[str, Resources],
    limit: int,
    weights: Mapping[str, int],
) -> Iterator[int]:
    """Return the parts of one dimension, in order of the regions' names."""
    parts = {
        region: getattr(known.get(region, ZERO), name) for region in weights
    }
    adjusted = adjust_parts(parts, limit, weights)
    return (adjusted[region] for region in sorted(weights))
