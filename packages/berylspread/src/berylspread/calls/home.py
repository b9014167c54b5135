"""Call limits and registration of calls at the home of a team."""

import asyncio
from typing import Final, final

from berylspread.calls.messages import (
    Allowance,
    AllowanceAsk,
    RegisterAsk,
    Registered,
    SlicesAsk,
    SlicesReply,
)
from berylspread.calls.registry import RequestRegistry
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import NotOwner, UnknownName
from berylspread.limits import QuotaLedger
from berylspread.model import NodeRef, unit_region
from berylspread.partition.messages import UnitEpoch
from berylspread.runtime.context import NodeContext

#: Validity of a slice at the entry node, as a share of that at the home.
VALIDITY_SHARE: Final = 0.9
#: Largest share of a team's limit that one entry node may borrow.
MAX_SLICE_SHARE: Final = 0.5
REQUEST_TIMEOUT_S: Final = 1.0
RETRY_S: Final = 0.5
UNKNOWN_HOLDER: Final = 'predecessor'
#: Largest difference between the clocks of the log and the nodes.
CLOCK_MARGIN_S: Final = 5.0


@final
class CallHome:
    """Lends slices of the teams' call limits and registers each request once.

    Slices that a predecessor lent are counted until each entry node has
    reported what it holds; those of a lost node until its calls have ended for
    certain.
    """

    __slots__ = (
        'collection_task',
        'context',
        'home',
        'quota',
        'region',
        'registry',
    )

    def __init__(
        self, context: NodeContext, home: UnitEpoch, quota: QuotaLedger
    ) -> None:
        """Count the slices that a predecessor may have lent."""
        self.context = context
        self.home = home
        self.quota = quota
        self.region = unit_region(home.unit)
        self.registry = RequestRegistry(context.wall, home.epoch)
        quota.max_call_s = context.document.max_call_deadline_s
        self.collection_task: asyncio.Task[None] | None = None
        if home.epoch > 1:
            self._count_predecessor_slices()
            self.collection_task = asyncio.create_task(self._collect_slices())

    def close(self) -> None:
        """Stop the collection of slices."""
        if self.collection_task is not None:
            self.collection_task.cancel()

    def lend(
        self, source: NodeRef, request: AllowanceAsk
    ) -> Allowance | Failure:
        """Lend an entry node a slice of a team's call limit.

        Only members of the electorate may borrow, because a successor finds
        them in the log.
        """
        if not self._is_member(source):
            return NotOwner('the entry node is not in the electorate yet')
        quota = self.quota.teams.get(request.team)
        if quota is not None:
            quota.max_slice_share = MAX_SLICE_SHARE
        lent = self.quota.lend(
            slice_holder_name(source),
            request.team,
            request.wanted,
            now(),
            sequence=request.sequence,
            held_calls=request.holds,
        )
        if lent is None:
            return UnknownName(
                f'no team is called {request.team!r}', key=request.team
            )
        if isinstance(lent, Failure):
            return lent
        return Allowance(
            request.team,
            lent.offered,
            self.quota.slice_ttl_s * VALIDITY_SHARE,
            request.sequence,
        )

    def register(self, request: RegisterAsk) -> Registered | Failure:
        """Register a non-idempotent request; only its first copy may run."""
        return self.registry.register(request)

    def _is_member(self, source: NodeRef) -> bool:
        electorate = self.context.state.units.electorate(self.region)
        return electorate is not None and source in electorate.members

    def _possible_holders(self) -> set[NodeRef] | None:
        """Return the nodes that may hold slices which a predecessor lent.

        ``None`` if the log does not reach back far enough.
        """
        since = self.context.wall.time() - self.quota.lapse_s - CLOCK_MARGIN_S
        return self.context.state.units.members_since(self.region, since)

    def _count_predecessor_slices(self) -> None:
        nodes = self._possible_holders()
        holders = (
            [UNKNOWN_HOLDER]
            if nodes is None
            else [slice_holder_name(ref) for ref in sorted(nodes)]
        )
        for team, quota in self.quota.teams.items():
            quota.max_slice_share = 1 if nodes is None else MAX_SLICE_SHARE
            self.quota.await_slices(
                team,
                holders,
                now(),
                is_lowered=self._was_lowered_recently(team),
            )

    async def _collect_slices(self) -> None:
        collect_until = now() + self.quota.lapse_s
        pending = {ref.node for ref in self._possible_holders() or ()}
        while pending and now() < collect_until:
            reported = await asyncio.gather(
                *(self._collect_from(node) for node in sorted(pending))
            )
            pending -= {node for node in reported if node}
            await asyncio.sleep(RETRY_S)

    async def _collect_from(self, node: str) -> str:
        reply = await self.context.peers.request(
            node,
            SlicesAsk(self.home),
            SlicesReply,
            timeout_s=REQUEST_TIMEOUT_S,
        )
        if isinstance(reply, Failure):
            return ''
        holder = slice_holder_name(reply.holder)
        held = {slice_.team: slice_.count for slice_ in reply.slices}
        for team in self.quota.teams:
            self.quota.record_held_slice(
                team, holder, holder, held.get(team, 0), now()
            )
        return node

    def _was_lowered_recently(self, team: str) -> bool:
        lowered_at = self.context.state.allotments.lowered_at.get(team)
        if lowered_at is None:
            return False
        age_s = self.context.wall.time() - lowered_at
        return age_s <= self.quota.lapse_s + CLOCK_MARGIN_S


def slice_holder_name(ref: NodeRef) -> str:
    """Return the name of a slice's holder, a process of an entry node."""
    return f'{ref.node}.{ref.incarnation}'
