"""The quota ledger of a job home: what each team may use in this region.

Every task that is handed out, and every slice of the call allowance that is
lent to an entry node, counts against the team's allotment in the region.  A
lent slice counts until it is returned or until its holder has surely stopped
using it.
"""

from collections.abc import Iterable
from typing import Final, final

from berylspread.kernel import CLOCK_DRIFT, check
from berylspread.kernel.errors import StaleEpoch
from berylspread.limits.team_quota import CALL_SHAPE, Slice, TeamQuota
from berylspread.limits.vectors import excess_over_limit, is_within_limit
from berylspread.model import ZERO, Resources

#: More than any allotment.
UNBOUNDED_SLICE: Final = 1_000_000_000_000
SLICE_TTL_S: Final = 20.0
MAX_CALL_S: Final = 60.0


@final
class QuotaLedger:
    """The teams of one home.

    ``slice_ttl_s`` is how long an entry node may use a slice after it asked,
    ``longest_call_s`` how long a call may go on after that.
    """

    __slots__ = ('max_call_s', 'slice_ttl_s', 'teams')

    def __init__(
        self,
        slice_ttl_s: float = SLICE_TTL_S,
        max_call_s: float = MAX_CALL_S,
    ) -> None:
        """Start without teams; a team that is not known has no quota."""
        self.slice_ttl_s = slice_ttl_s
        self.max_call_s = max_call_s
        self.teams: dict[str, TeamQuota] = {}

    def set_allotment(
        self,
        team: str,
        allotment: Resources,
        fleet_limit: Resources | None = None,
    ) -> None:
        """Set what a team may use in this region; it may be below its use.

        ``fleet_limit`` is the team's limit over all regions, whose dimensions
        of 0 are unlimited; the allotment itself stands for it if left out.
        """
        quota = self.teams.setdefault(team, TeamQuota())
        quota.allotment = allotment
        quota.fleet_limit = allotment if fleet_limit is None else fleet_limit

    def acquire(self, team: str, shape: Resources, count: int) -> int:
        """Count tasks as handed out; return how many of ``count`` may be.

        An unknown team gets none.
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
        """Count all tasks of a gang as handed out, or none."""
        quota = self.teams.get(team)
        if quota is None:
            return False
        room = quota.room(shape)
        if room is not None and room < count:
            return False
        return self.acquire(team, shape, count) == count

    def release(self, team: str, shape: Resources, count: int = 1) -> None:
        """Count handed-out tasks as ended."""
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
        """Lend an entry node a slice of the team's calls; ``None`` if unknown.

        ``wanted`` is the whole slice that the node wants, ``holds`` what it
        goes on using until it has the reply.  A node has one question open at
        a time, numbers them, and drops a reply to any but its last; so an
        older question that arrives late is refused, and a repeated one gets
        the same answer.
        """
        quota = self.teams.get(team)
        if quota is None:
            return None
        self.expire(team, now)
        held = quota.slices.setdefault(entry, Slice())
        if sequence < held.sequence:
            return StaleEpoch('an older question for a slice', entry=entry)
        if sequence > held.sequence:
            quota.awaited.discard(entry)
            self._set_slice(quota, held, wanted, held_calls)
            held.sequence = sequence
            held.valid_until = now + self.slice_ttl_s
            held.counts_until = now + self.lapse_s
            self._check_slices(team, quota)
        return held

    def expire(self, team: str, now: float) -> None:
        """Drop the slices whose holders have surely stopped using them."""
        quota = self.teams[team]
        if quota.awaited_until <= now:
            quota.awaited.clear()
        for entry, held in list(quota.slices.items()):
            if held.counts_until <= now:
                quota.lent -= held.count
                quota.slices.pop(entry)

    def expire_all(self, now: float) -> None:
        """Drop all teams' lapsed slices; the home calls this each second."""
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
        """Count a largest slice for each node until it tells what it holds.

        If the allotment was lowered lately, a slice may be larger than that;
        nothing is granted then before all have told.

        A new home can't know what its predecessor lent.  Each node tells when
        asked or with its next question; one that does not is counted until its
        slice has surely lapsed.
        """
        quota = self.teams.setdefault(team, TeamQuota())
        quota.awaited = set(entries)
        quota.awaited_limit = quota.limit
        quota.awaited_slice = UNBOUNDED_SLICE if is_lowered else quota.max_slice
        quota.awaited_until = now + self.lapse_s

    def record_held_slice(
        self, team: str, entry: str, borrower: str, held_calls: int, now: float
    ) -> None:
        """Take in what an awaited entry node holds, under its borrower name."""
        quota = self.teams[team]
        quota.awaited.discard(entry)
        held = quota.slices.setdefault(borrower, Slice())
        quota.lent += held_calls - held.count
        held.count = held_calls
        held.counts_until = now + self.lapse_s
        self._check_slices(team, quota)

    def reserve_for_move(self, team: str, amount: Resources) -> bool:
        """Take an amount out of use, to give it to another region.

        Returns ``False`` if it is in use, or if another gift is on its way;
        the giver appends the move only after this.
        """
        quota = self.teams.get(team)
        if quota is None or quota.outgoing != ZERO:
            return False
        left = quota.allotment - quota.max_in_use - amount
        asked = amount.is_non_negative() and amount != ZERO
        mask = quota.fleet_limit
        if not asked or not is_within_limit(ZERO, left, mask, amount):
            return False
        quota.outgoing = amount
        return True

    def finish_move(self, team: str) -> None:
        """End a gift: the log shows the move, or it surely never will."""
        self.teams[team].outgoing = ZERO

    def excess(self, team: str) -> Resources:
        """Return what a team uses above its allotment, to be preempted."""
        quota = self.teams.get(team)
        if quota is None:
            return ZERO
        return excess_over_limit(quota.in_use, quota.limit, quota.fleet_limit)

    def _set_slice(
        self, quota: TeamQuota, held: Slice, wanted: int, holds: int
    ) -> None:
        quota.lent -= held.count
        room = quota.room(CALL_SHAPE)
        held.offered = wanted
        if room is not None:
            held.offered = min(wanted, room, quota.max_slice)
        granted = quota.in_use + CALL_SHAPE * held.offered
        check(
            'slices-within-allotment',
            not held.offered
            or is_within_limit(
                granted, quota.limit, quota.fleet_limit, CALL_SHAPE
            ),
            granted=granted,
            allotment=quota.allotment,
        )
        held.count = max(held.offered, holds)
        quota.lent += held.count

    @property
    def lapse_s(self) -> float:
        """Return how long a slice counts after its last renewal."""
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
        counted = sum(held.count for held in quota.slices.values())
        check('slices-add-up', counted == quota.lent, team=team)
