"""The last claim and release of each unit, and the regions' electorates."""

from typing import Final, final

import msgspec

from berylspread.log.folds.base import Context, Fold, handles
from berylspread.log.records import Claim, ElectorateChanged, Release
from berylspread.model import NodeRef

#: Seconds of log time for which departed members are remembered.
DEPARTED_RETENTION_S: Final = 3600.0


@final
class UnitClaim(msgspec.Struct, frozen=True, array_like=True):
    """The winning claim of a unit's newest epoch.

    ``offset`` is that of the claim; ``release_offset`` that of the release by
    the owner, 0 while it holds the unit.
    """

    unit: str
    epoch: int
    owner: NodeRef
    electorate_version: int
    offset: int
    release_offset: int = 0
    successor: str = ''


@final
class Electorate(msgspec.Struct, frozen=True, array_like=True):
    """The members of a region's electorate in its newest version.

    ``previous`` holds the members of the version before it.
    """

    region: str
    version: int
    members: tuple[NodeRef, ...]
    offset: int
    previous: tuple[NodeRef, ...] = ()


@final
class UnitsWire(msgspec.Struct, frozen=True, array_like=True):
    """The newest claims and electorates."""

    claims: tuple[UnitClaim, ...] = ()
    electorates: tuple[Electorate, ...] = ()


@final
class UnitFold(Fold):
    """Keeps claims and electorates.

    The first claim of a unit's next epoch wins; any other is ignored.
    """

    __slots__ = ('claims', 'departed_members', 'electorates', 'history_from')

    def __init__(self) -> None:
        self.claims: dict[str, UnitClaim] = {}
        self.electorates: dict[str, Electorate] = {}
        #: Log time at which a member left its electorate.  Snapshots do not
        #: contain it, so it is known only from ``history_from`` on.
        self.departed_members: dict[str, dict[NodeRef, float]] = {}
        self.history_from = float('-inf')

    def claim(self, unit: str) -> UnitClaim | None:
        """Return the winning claim of a unit's newest epoch."""
        return self.claims.get(unit)

    def electorate(self, region: str) -> Electorate | None:
        """Return a region's newest electorate."""
        return self.electorates.get(region)

    def members_since(
        self, region: str, log_time: float
    ) -> set[NodeRef] | None:
        """Return all nodes that were members at any time since ``log_time``.

        Returns ``None`` if the history does not reach back that far.
        """
        if self.history_from > log_time:
            return None
        electorate = self.electorates.get(region)
        members = set(electorate.members) if electorate else set()
        departed = self.departed_members.get(region, {})
        return members | {
            ref for ref, left_at in departed.items() if left_at >= log_time
        }

    @handles(Claim)
    def on_claim(self, context: Context, record: Claim) -> None:
        """Record the claim if it is the first of the next epoch."""
        last = self.claims.get(record.unit)
        if record.epoch == _next_number(last and last.epoch):
            self.claims[record.unit] = UnitClaim(
                record.unit,
                record.epoch,
                record.owner,
                record.electorate_version,
                context.offset,
            )

    @handles(Release)
    def on_release(self, context: Context, record: Release) -> None:
        """Record the release, if the owner of the newest epoch made it."""
        last = self.claims.get(record.unit)
        if last is None or last.release_offset:
            return
        if (last.epoch, last.owner) == (record.epoch, record.owner):
            self.claims[record.unit] = msgspec.structs.replace(
                last,
                release_offset=context.offset,
                successor=record.successor,
            )

    @handles(ElectorateChanged)
    def on_electorate(
        self, context: Context, record: ElectorateChanged
    ) -> None:
        """Record the next version; ignore any other."""
        last = self.electorates.get(record.region)
        if record.version != _next_number(last and last.version):
            return
        previous = last.members if last else ()
        self.electorates[record.region] = Electorate(
            record.region,
            record.version,
            record.members,
            context.offset,
            previous,
        )
        gone = set(previous) - set(record.members)
        oldest = context.log_time - DEPARTED_RETENTION_S
        departed = self.departed_members.get(record.region, {})
        self.departed_members[record.region] = {
            ref: left_at
            for ref, left_at in departed.items()
            if left_at >= oldest
        } | dict.fromkeys(gone, context.log_time)

    def to_wire(self) -> UnitsWire:
        """Return the contents for a snapshot."""
        return UnitsWire(
            tuple(self.claims.values()), tuple(self.electorates.values())
        )

    @classmethod
    def from_wire(cls, wire: UnitsWire) -> 'UnitFold':
        """Restore the contents from a snapshot."""
        fold = cls()
        fold.claims.update({claim.unit: claim for claim in wire.claims})
        fold.electorates.update(
            {electorate.region: electorate for electorate in wire.electorates}
        )
        return fold


def _next_number(last: int | None) -> int:
    return 1 if last is None else last + 1
