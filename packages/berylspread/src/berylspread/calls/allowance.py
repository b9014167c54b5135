"""The slices of the teams' calls that an entry node has borrowed.

A team without a limit on tasks needs none.  A slice ends ``valid_s`` after the
question for it was sent; calls under it may go on, the home counts them.
"""

import asyncio
from typing import Final, final

from berylspread.calls.messages import Allowance, AllowanceAsk
from berylspread.jobs.shards import home_unit
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import QuotaExceeded
from berylspread.partition.messages import UnitEpoch
from berylspread.runtime import NodeContext

ASK_TIMEOUT_S: Final = 1.0
RETRY_S: Final = 0.1
#: Share of the validity after which a slice in use is renewed.
RENEW_AT: Final = 0.5
#: Spare calls asked for beside those in sight.
SPARE: Final = 2


@final
class TeamSlice:
    """One team's slice at this node."""

    __slots__ = (
        'changed',
        'count',
        'in_flight',
        'renews_at',
        'sequence',
        'task',
        'valid_until',
        'waiting',
    )

    def __init__(self) -> None:
        """Start with nothing borrowed."""
        self.count = 0
        self.in_flight = 0
        self.waiting = 0
        self.sequence = 0
        self.valid_until = float('-inf')
        self.renews_at = float('-inf')
        self.changed = asyncio.Condition()
        self.task: asyncio.Task[None] | None = None

    @property
    def has_room(self) -> bool:
        """Whether one more call may start now."""
        return now() < self.valid_until and self.in_flight < self.count


@final
class Allowances:
    """Borrows slices from the homes as calls need them."""

    __slots__ = ('context', 'slices')

    def __init__(self, context: NodeContext) -> None:
        """Start with nothing borrowed."""
        self.context = context
        self.slices: dict[str, TeamSlice] = {}

    def is_limited(self, team: str) -> bool:
        """Return whether the team has an upper limit on its tasks."""
        allotment = self.context.state.allotments.team(team)
        return allotment is not None and allotment.limit.slots > 0

    async def acquire(self, team: str, deadline: float) -> Failure | None:
        """Take one unit, waiting until a loop time; ``None`` means taken."""
        if not self.is_limited(team):
            return None
        held = self.slices.setdefault(team, TeamSlice())
        held.waiting += 1
        try:
            return await self._wait(team, held, deadline)
        finally:
            held.waiting -= 1

    async def release(self, team: str) -> None:
        """Give one unit back to this node's slice."""
        held = self.slices.get(team)
        if held is None or not held.in_flight:
            return
        held.in_flight -= 1
        async with held.changed:
            held.changed.notify()

    async def _wait(
        self, team: str, held: TeamSlice, deadline: float
    ) -> Failure | None:
        self._borrow(team, held)
        try:
            async with asyncio.timeout_at(deadline), held.changed:
                await held.changed.wait_for(lambda: held.has_room)
        except TimeoutError:
            return QuotaExceeded(
                f'team {team!r} is at its upper limit', team=team
            )
        held.in_flight += 1
        return None

    def _borrow(self, team: str, held: TeamSlice) -> None:
        if held.has_room and now() < held.renews_at:
            return
        if held.task is None or held.task.done():
            held.task = asyncio.create_task(self._renew(team, held))

    async def _renew(self, team: str, held: TeamSlice) -> None:
        while held.waiting or held.in_flight:
            sent_at = now()
            reply = await self._ask(team, held)
            if isinstance(reply, Failure):
                await asyncio.sleep(RETRY_S)
                continue
            held.count = reply.count
            held.valid_until = sent_at + reply.valid_s
            held.renews_at = sent_at + reply.valid_s * RENEW_AT
            async with held.changed:
                held.changed.notify_all()
            await asyncio.sleep(self._pause_s(held))

    def _pause_s(self, held: TeamSlice) -> float:
        if held.waiting:
            return RETRY_S
        return max(held.renews_at - now(), RETRY_S)

    async def _ask(
        self, team: str, held: TeamSlice
    ) -> Allowance | Failure:
        unit = home_unit(self.context, team)
        owner = self.context.owner(unit)
        held.sequence += 1
        node, epoch = ('', 0) if owner is None else (owner[0].node, owner[1])
        return await self.context.peers.ask(
            node,
            AllowanceAsk(
                UnitEpoch(unit, epoch),
                team,
                held.in_flight + held.waiting + SPARE,
                held.in_flight,
                held.sequence,
            ),
            Allowance,
            timeout_s=ASK_TIMEOUT_S,
        )
