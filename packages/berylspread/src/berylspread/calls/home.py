"""What the home of a team does for its calls: allowances and registrations."""

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

#: Margin of an entry node's slice against the home's reckoning.
VALIDITY_SHARE: Final = 0.9
#: The share of a team's calls that one may borrow.
MAX_SLICE_SHARE: Final = 0.5
REQUEST_TIMEOUT_S: Final = 1.0
RETRY_S: Final = 0.5
UNKNOWN_HOLDER: Final = 'predecessor'
#: Largest difference between the clocks of the log and the nodes.
CLOCK_MARGIN_S: Final = 5.0


@final
class CallHome:
    """Lends slices of the teams' calls and lets each request through once.

    What a predecessor lent is counted until each entry node has told what it
    holds; for a lost one, until its calls have surely ended.
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
        """Count what a predecessor may have lent as lent."""
        self.context = context
        self.home = home
        self.quota = quota
        self.region = unit_region(home.unit)
        self.registry = RequestRegistry(context.wall, home.epoch)
        quota.max_call_s = context.document.longest_call_s
        self.collection_task: asyncio.Task[None] | None = None
        if home.epoch > 1:
            self._count_predecessor_slices()
            self.collection_task = asyncio.create_task(self._collect_slices())

    def close(self) -> None:
        """Stop asking."""
        if self.collection_task is not None:
            self.collection_task.cancel()

    def lend(self, source: NodeRef, ask: AllowanceAsk) -> Allowance | Failure:
        """Lend an entry node a slice of a team's calls.

        Only members of the electorate borrow: the log tells a successor who
        they were.
        """
        if not self._is_member(source):
            return NotOwner('the entry node is not in the electorate yet')
        quota = self.quota.teams.get(ask.team)
        if quota is not None:
            quota.max_slice_share = MAX_SLICE_SHARE
        held = self.quota.lend(
            slice_holder_name(source),
            ask.team,
            ask.wanted,
            now(),
            sequence=ask.sequence,
            held_calls=ask.holds,
        )
        if held is None:
            return UnknownName(f'no team is called {ask.team!r}', key=ask.team)
        if isinstance(held, Failure):
            return held
        return Allowance(
            ask.team,
            held.offered,
            self.quota.slice_ttl_s * VALIDITY_SHARE,
            ask.sequence,
        )

    def register(self, ask: RegisterAsk) -> Registered | Failure:
        """Let the first copy of a non-idempotent request through."""
        return self.registry.register(ask)

    def _is_member(self, source: NodeRef) -> bool:
        electorate = self.context.state.units.electorate(self.region)
        return electorate is not None and source in electorate.members

    def _possible_holders(self) -> set[NodeRef] | None:
        """Return who may hold slices of a predecessor, if the log tells."""
        since = self.context.wall.time() - self.quota.lapse_s - CLOCK_MARGIN_S
        return self.context.state.units.members_since(self.region, since)

    def _count_predecessor_slices(self) -> None:
        borrowers = self._possible_holders()
        holders = (
            [UNKNOWN_HOLDER]
            if borrowers is None
            else [slice_holder_name(ref) for ref in sorted(borrowers)]
        )
        for team, quota in self.quota.teams.items():
            quota.max_slice_share = 1 if borrowers is None else MAX_SLICE_SHARE
            self.quota.await_slices(
                team,
                holders,
                now(),
                is_lowered=self._was_lowered_recently(team),
            )

    async def _collect_slices(self) -> None:
        ends_at = now() + self.quota.lapse_s
        pending = {ref.node for ref in self._possible_holders() or ()}
        while pending and now() < ends_at:
            answered = await asyncio.gather(
                *(self._collect_from(node) for node in sorted(pending))
            )
            pending -= {node for node in answered if node}
            await asyncio.sleep(RETRY_S)

    async def _collect_from(self, node: str) -> str:
        reply = await self.context.peers.ask(
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
    """Return the name of a slice's holder: one process of an entry node."""
    return f'{ref.node}.{ref.incarnation}'
