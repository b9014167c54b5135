"""The split of each team's upper limit over the regions.

The sum over the regions equals the team's limit after every record, so the
homes of the regions enforce it without messages to each other.
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

#: Seconds of log time for which the reduction of a part is remembered.
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
        """Return the first dimension in which ``used`` exceeds the part."""
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
    """Applies the limits of production documents and transfers of regions."""

    __slots__ = ('configs', 'limits_reader', 'lowered_at', 'teams', 'weights')

    def __init__(
        self,
        configs: ConfigFold,
        limits_reader: Callable[[str], FleetLimits | None] = read_limits,
    ) -> None:
        """Create the fold; ``configs`` must apply each record before it."""
        self.configs = configs
        self.limits_reader = limits_reader
        self.weights: dict[str, int] = {}
        #: Log time at which a region's part was last reduced, by team.
        self.lowered_at: dict[str, float] = {}
        self.teams: dict[str, TeamAllotment] = {}

    def team_allotment(self, team: str) -> TeamAllotment | None:
        """Return a team's allotment, or ``None`` if it has no limit at all."""
        return self.teams.get(team)

    @handles(ConfigApplied)
    def on_config(self, context: Context, record: ConfigApplied) -> None:
        """Apply the limits and regions of a document that came into force."""
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
        """Move an amount if the source region has it; else do nothing."""
        allotment = self.teams.get(record.team)
        if allotment is None or not record.amount.is_non_negative():
            return
        if (
            not {record.source_region, record.target_region}
            <= self.weights.keys()
        ):
            return
        if not record.amount.fits(allotment.part(record.source_region)):
            return
        regions = dict(allotment.regions)
        regions[record.source_region] -= record.amount
        regions[record.target_region] += record.amount
        self.teams[record.team] = TeamAllotment(allotment.limit, regions)
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
        """Restore the contents from a snapshot."""
        fold = cls(configs)
        fold.weights = dict(wire.weights)
        fold.teams = dict(wire.teams)
        fold.lowered_at = dict(wire.lowered_at)
        return fold

    def _check_sum(self, team: str) -> None:
        allotment = self.teams[team]
        parts = list(allotment.regions.values())
        check(
            'allotments add up to the limit',
            sum(parts, start=ZERO) == allotment.limit
            and all(part.is_non_negative() for part in parts),
            team=team,
            limit=allotment.limit,
            regions=allotment.regions,
        )


def _reduces_no_part(
    allotment: TeamAllotment, before: TeamAllotment | None
) -> bool:
    """Return whether no region's part is smaller than before."""
    if before is None:
        # The team had no limit before, so its usage may exceed any part.
        return False
    return all(
        part.fits(allotment.part(region))
        for region, part in before.regions.items()
    )


def _adjust_team(
    allotment: TeamAllotment | None,
    limit: Resources,
    weights: Mapping[str, int],
) -> TeamAllotment:
    """Adjust a team's parts to a limit.

    The part of a removed region is split over the remaining regions.
    """
    old_parts = allotment.regions if allotment else {}
    if (
        allotment
        and allotment.limit == limit
        and old_parts.keys() == weights.keys()
    ):
        return allotment
    columns = (
        _adjust_dimension(name, old_parts, getattr(limit, name), weights)
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
    old_parts: Mapping[str, Resources],
    limit: int,
    weights: Mapping[str, int],
) -> Iterator[int]:
    """Return the adjusted parts of one dimension, sorted by region name."""
    parts = {
        region: getattr(old_parts.get(region, ZERO), name) for region in weights
    }
    adjusted = adjust_parts(parts, limit, weights)
    return (adjusted[region] for region in sorted(weights))
