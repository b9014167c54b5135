"""The slices of the teams' calls that an entry node has borrowed.

A team without a limit on tasks needs none.  A slice ends ``valid_s`` after the
question for it was sent; calls under it may go on, the home counts them.
"""

import asyncio
from typing import Final, final

from berylspread.calls.messages import (
    Allowance,
    AllowanceAsk,
    HeldSlice,
    SlicesAsk,
    SlicesReply,
)
from berylspread.jobs.shards import home_unit
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import QuotaExceeded, StaleEpoch
from berylspread.limits.slices import CallAllowance
from berylspread.model import NodeRef
from berylspread.partition.messages import UnitEpoch
from berylspread.runtime import NodeContext

REQUEST_TIMEOUT_S: Final = 1.0
RETRY_S: Final = 0.1
#: Share of the validity after which a slice in use is renewed.
RENEW_SHARE: Final = 0.5
#: Spare calls asked for beside those in sight.
SPARE_CALLS: Final = 2


@final
class TeamSlice:
    """One team's slice at this node, and who waits for a part of it."""

    __slots__ = (
        'allowance',
        'renewal_task',
        'renews_at',
        'requested',
        'room_changed',
        'room_needed',
        'waiting_calls',
    )

    def __init__(self) -> None:
        """Start with nothing borrowed."""
        self.allowance = CallAllowance()
        self.waiting_calls = 0
        self.requested = 0
        self.room_needed = asyncio.Event()
        self.renews_at = float('-inf')
        self.room_changed = asyncio.Condition()
        self.renewal_task: asyncio.Task[None] | None = None

    @property
    def wanted_calls(self) -> int:
        """How many calls the slice should allow."""
        return self.allowance.in_flight + self.waiting_calls + SPARE_CALLS


@final
class SliceBorrower:
    """Borrows slices from the homes as calls need them."""

    __slots__ = ('context', 'newest_epochs', 'slices')

    def __init__(self, context: NodeContext) -> None:
        """Start with nothing borrowed."""
        self.context = context
        self.slices: dict[str, TeamSlice] = {}
        self.newest_epochs: dict[str, int] = {}
        context.peers.handle(SlicesAsk, self._report_slices)

    def is_limited(self, team: str) -> bool:
        """Return whether the team has an upper limit on its tasks."""
        allotment = self.context.state.allotments.team(team)
        return allotment is not None and allotment.limit.slots > 0

    async def acquire(self, team: str, deadline: float) -> Failure | None:
        """Take one unit, waiting until a loop time; ``None`` means taken."""
        if not self.is_limited(team):
            return None
        held = self.slices.setdefault(team, TeamSlice())
        held.waiting_calls += 1
        try:
            return await self._wait_for_room(team, held, deadline)
        finally:
            held.waiting_calls -= 1

    async def release(self, team: str) -> None:
        """Give one unit back to this node's slice."""
        held = self.slices.get(team)
        if held is None:
            return
        held.allowance.release()
        async with held.room_changed:
            held.room_changed.notify()

    async def _report_slices(
        self, source: NodeRef, ask: SlicesAsk
    ) -> SlicesReply:
        unit = ask.home.unit
        self.newest_epochs[unit] = max(
            self.newest_epochs.get(unit, 0), ask.home.epoch
        )
        slices = [
            HeldSlice(team, held.allowance.held_calls(now()))
            for team, held in self.slices.items()
            if home_unit(self.context, team) == unit
        ]
        return SlicesReply(self.context.ref, slices)

    async def _wait_for_room(
        self, team: str, held: TeamSlice, deadline: float
    ) -> Failure | None:
        self._ensure_renewal(team, held)
        try:
            async with asyncio.timeout_at(deadline), held.room_changed:
                await held.room_changed.wait_for(
                    lambda: held.allowance.acquire(now())
                )
        except TimeoutError:
            return QuotaExceeded(
                f'team {team!r} is at its upper limit', team=team
            )
        return None

    def _ensure_renewal(self, team: str, held: TeamSlice) -> None:
        if not held.allowance.has_room(now()):
            held.room_needed.set()
        if held.renewal_task is None or held.renewal_task.done():
            held.renewal_task = asyncio.create_task(
                self._renew_while_used(team, held)
            )

    async def _renew_while_used(self, team: str, held: TeamSlice) -> None:
        while held.waiting_calls or held.allowance.in_flight:
            reply = await self._request_slice(team, held)
            if isinstance(reply, Failure):
                await asyncio.sleep(RETRY_S)
                continue
            allowance = held.allowance
            allowance.apply_reply(reply.sequence, reply.count, reply.valid_s)
            held.renews_at = (
                allowance.requested_at + reply.valid_s * RENEW_SHARE
            )
            async with held.room_changed:
                held.room_changed.notify_all()
            await self._wait_for_renewal(
                held, is_short=reply.count < held.requested
            )

    async def _wait_for_renewal(
        self, held: TeamSlice, *, is_short: bool
    ) -> None:
        """Wait for the next renewal, or until more calls come."""
        if is_short:
            await asyncio.sleep(RETRY_S)
            return
        # Notified waiters take their units before this task goes on.
        await asyncio.sleep(0)
        held.room_needed.clear()
        if held.waiting_calls:
            return
        try:
            async with asyncio.timeout(max(held.renews_at - now(), RETRY_S)):
                await held.room_needed.wait()
        except TimeoutError:
            return

    async def _request_slice(
        self, team: str, held: TeamSlice
    ) -> Allowance | Failure:
        unit = home_unit(self.context, team)
        owner = self.context.owner(unit)
        node, epoch = ('', 0) if owner is None else (owner[0].node, owner[1])
        held.requested = held.wanted_calls
        sequence = held.allowance.start_request(now(), held.requested)
        reply = await self.context.peers.ask(
            node,
            AllowanceAsk(
                UnitEpoch(unit, epoch),
                team,
                held.requested,
                held.allowance.held_calls(now()),
                sequence,
            ),
            Allowance,
            timeout_s=REQUEST_TIMEOUT_S,
        )
        if epoch < self.newest_epochs.get(unit, 0):
            return StaleEpoch('the home has a newer epoch', unit=unit)
        return reply
