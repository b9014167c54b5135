"""The quota ledger of a job home: what each team may use in this region.

Every task that is handed out and every slice of the call allowance that is lent
to an entry node count against the team's allotment in the region.  A lent slice
counts until it is returned or until its holder can no longer be using it.
"""

from collections.abc import Iterable
from typing import Final, final

from berylspread.kernel import CLOCK_DRIFT, check
from berylspread.kernel.errors import StaleEpoch
from berylspread.limits.team_quota import CALL_SHAPE, Slice, TeamQuota
from berylspread.limits.vectors import excess_over_limit, is_within_limit
from berylspread.model import ZERO, Resources

#: A slice size above any allotment.
UNBOUNDED_SLICE: Final = 1_000_000_000_000
SLICE_TTL_S: Final = 20.0
MAX_CALL_S: Final = 60.0


@final
class QuotaLedger:
    """The quotas of the teams of one home; a team without one gets nothing.

    ``slice_ttl_s`` is how long an entry node may use a slice after its request,
    ``max_call_s`` how long a call that started under it may still run.
    """

    __slots__ = ('max_call_s', 'slice_ttl_s', 'teams')

    def __init__(
        self,
        slice_ttl_s: float = SLICE_TTL_S,
        max_call_s: float = MAX_CALL_S,
    ) -> None:
        self.slice_ttl_s = slice_ttl_s
        self.max_call_s = max_call_s
        self.teams: dict[str, TeamQuota] = {}

    def set_allotment(
        self,
        team: str,
        allotment: Resources,
        fleet_limit: Resources | None = None,
    ) -> None:
        """Set what a team may use in this region; it may be below the use.

        ``fleet_limit`` is the team's limit over all regions, by default the
        allotment.  A dimension of 0 in it is unlimited.
        """
        quota = self.teams.setdefault(team, TeamQuota())
        quota.allotment = allotment
        quota.fleet_limit = allotment if fleet_limit is None else fleet_limit

    def acquire(self, team: str, shape: Resources, count: int) -> int:
        """Count tasks as handed out, as many of ``count`` as fit.

        Returns their number, which is 0 for an unknown team.
        """
        quota = self.teams.get(team)
        if quota is None:
            return 0
        room = quota.room(shape)
        granted = count if room is None else min(room, count)
        if granted > 0:
            quota.used += shape * granted
            self._check_grant(team, quota, shape)
        return max(granted, 0)

    def acquire_all(self, team: str, shape: Resources, count: int) -> bool:
        """Count all tasks of a gang as handed out, or none if not all fit."""
        quota = self.teams.get(team)
        if quota is None:
            return False
        room = quota.room(shape)
        if room is not None and room < count:
            return False
        return self.acquire(team, shape, count) == count

    def release(self, team: str, shape: Resources, count: int = 1) -> None:
        """Stop counting tasks that were handed out."""
        quota = self.teams[team]
        quota.used -= shape * count
        check(
            'quota-used-non-negative',
            quota.used.is_non_negative(),
            team=team,
            count=count,
        )

    def restore(self, team: str, shape: Resources, count: int = 1) -> None:
        """Count tasks that a predecessor handed out, whatever the allotment."""
        self.teams.setdefault(team, TeamQuota()).used += shape * count

    def lend(
        self,
        entry: str,
        team: str,
        wanted: int,
        now: float,
        *,
        sequence: int,
        held_calls: int = 0,
    ) -> Slice | StaleEpoch | None:
        """Lend an entry node a slice of the team's calls.

        ``wanted`` is the size of the whole slice that the node wants,
        ``held_calls`` the number of calls that it may use until it has the
        reply.  A node has one request open at a time, numbers its requests and
        drops a reply to any but the last one.  So an older request that
        arrives late is refused, and a repeated one gets the same reply.
        Returns ``None`` for an unknown team.
        """
        quota = self.teams.get(team)
        if quota is None:
            return None
        self.expire(team, now)
        slice_ = quota.slices.setdefault(entry, Slice())
        if sequence < slice_.sequence:
            return StaleEpoch(
                'the entry node has sent a newer request for a slice',
                entry=entry,
            )
        if sequence > slice_.sequence:
            quota.awaited.discard(entry)
            self._set_slice(quota, slice_, wanted, held_calls)
            slice_.sequence = sequence
            slice_.valid_until = now + self.slice_ttl_s
            slice_.counts_until = now + self.lapse_s
            self._check_slices(team, quota)
        return slice_

    def expire(self, team: str, now: float) -> None:
        """Drop a team's slices whose holders can no longer be using them."""
        quota = self.teams[team]
        if quota.awaited_until <= now:
            quota.awaited.clear()
        for entry, slice_ in list(quota.slices.items()):
            if slice_.counts_until <= now:
                quota.lent -= slice_.count
                quota.slices.pop(entry)

    def expire_all(self, now: float) -> None:
        """Drop all teams' lapsed slices; the home calls this every second."""
        for team in self.teams:
            self.expire(team, now)

    def await_slices(
        self,
        team: str,
        entries: Iterable[str],
        now: float,
        *,
        is_lowered: bool = False,
    ) -> None:
        """Count a slice of maximum size for each entry node until it reports.

        A new home does not know what its predecessor lent.  Each entry node
        reports its slice when requested, or with its next request for a slice;
        one that does not is counted until its slice has certainly lapsed.

        With ``is_lowered`` the allotment was lowered recently, so that a slice
        may exceed today's maximum; then nothing is granted before all entry
        nodes have reported.
        """
        quota = self.teams.setdefault(team, TeamQuota())
        quota.awaited = set(entries)
        quota.awaited_limit = quota.limit
        quota.awaited_slice = UNBOUNDED_SLICE if is_lowered else quota.max_slice
        quota.awaited_until = now + self.lapse_s

    def record_held_slice(
        self, team: str, entry: str, borrower: str, held_calls: int, now: float
    ) -> None:
        """Record the calls that an awaited entry node holds.

        ``borrower`` is the name under which the slice is kept.
        """
        quota = self.teams[team]
        quota.awaited.discard(entry)
        slice_ = quota.slices.setdefault(borrower, Slice())
        quota.lent += held_calls - slice_.count
        slice_.count = held_calls
        slice_.counts_until = now + self.lapse_s
        self._check_slices(team, quota)

    def reserve_for_move(self, team: str, amount: Resources) -> bool:
        """Reserve an amount that is to be moved to another region.

        The home appends the record of the move only after this.  Returns
        ``False`` if the amount is in use or another move is not finished.
        """
        quota = self.teams.get(team)
        if quota is None or quota.outgoing != ZERO:
            return False
        left = quota.allotment - quota.max_in_use - amount
        is_valid = amount.is_non_negative() and amount != ZERO
        fleet_limit = quota.fleet_limit
        if not is_valid or not is_within_limit(ZERO, left, fleet_limit, amount):
            return False
        quota.outgoing = amount
        return True

    def finish_move(self, team: str) -> None:
        """End a move, once the log has its record or can never have it."""
        self.teams[team].outgoing = ZERO

    def excess(self, team: str) -> Resources:
        """Return how much a team uses above its allotment, for preemption."""
        quota = self.teams.get(team)
        if quota is None:
            return ZERO
        return excess_over_limit(quota.in_use, quota.limit, quota.fleet_limit)

    def _set_slice(
        self, quota: TeamQuota, slice_: Slice, wanted: int, held_calls: int
    ) -> None:
        quota.lent -= slice_.count
        room = quota.room(CALL_SHAPE)
        slice_.offered = wanted
        if room is not None:
            slice_.offered = min(wanted, room, quota.max_slice)
        granted = quota.in_use + CALL_SHAPE * slice_.offered
        check(
            'slices-within-allotment',
            not slice_.offered
            or is_within_limit(
                granted, quota.limit, quota.fleet_limit, CALL_SHAPE
            ),
            granted=granted,
            allotment=quota.allotment,
        )
        slice_.count = max(slice_.offered, held_calls)
        quota.lent += slice_.count

    @property
    def lapse_s(self) -> float:
        """Return for how many seconds a slice counts after its last renewal."""
        return (self.slice_ttl_s + self.max_call_s) * (1 + CLOCK_DRIFT)

    def _check_grant(
        self, team: str, quota: TeamQuota, shape: Resources
    ) -> None:
        check(
            'team-within-allotment',
            is_within_limit(
                quota.in_use, quota.limit, quota.fleet_limit, shape
            ),
            team=team,
            in_use=quota.in_use,
            allotment=quota.allotment,
        )

    def _check_slices(self, team: str, quota: TeamQuota) -> None:
        counted = sum(slice_.count for slice_ in quota.slices.values())
        check('slices-add-up', counted == quota.lent, team=team)
