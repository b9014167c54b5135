"""Slices of the teams' call limits that an entry node has borrowed.

A team without a limit on tasks needs no slice.  A slice expires ``valid_s``
after the request for it was sent; calls in flight continue and are counted by
the home.
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
#: Calls requested in addition to those that are waiting or in flight.
SPARE_CALLS: Final = 2


@final
class TeamSlice:
    """One team's slice at this node, and the calls that wait for room in it.

    ``renews_at`` is loop time.
    """

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
        self.allowance = CallAllowance()
        self.waiting_calls = 0
        self.requested = 0
        self.room_needed = asyncio.Event()
        self.renews_at = float('-inf')
        self.room_changed = asyncio.Condition()
        self.renewal_task: asyncio.Task[None] | None = None

    @property
    def wanted_calls(self) -> int:
        """Number of calls that the slice should allow."""
        return self.allowance.in_flight + self.waiting_calls + SPARE_CALLS


@final
class SliceBorrower:
    """Borrows slices from the homes when calls need them."""

    __slots__ = ('context', 'newest_epochs', 'slices')

    def __init__(self, context: NodeContext) -> None:
        self.context = context
        self.slices: dict[str, TeamSlice] = {}
        self.newest_epochs: dict[str, int] = {}
        context.peers.register_handler(SlicesAsk, self._report_slices)

    def is_limited(self, team: str) -> bool:
        """Return whether the team has an upper limit on its tasks."""
        allotment = self.context.state.allotments.team_allotment(team)
        return allotment is not None and allotment.limit.slots > 0

    async def acquire(self, team: str, deadline: float) -> Failure | None:
        """Count a call in the team's slice; wait for room until ``deadline``.

        ``deadline`` is loop time.  Returns ``None`` if there is room or the
        team has no limit, else ``QuotaExceeded``.
        """
        if not self.is_limited(team):
            return None
        team_slice = self.slices.setdefault(team, TeamSlice())
        team_slice.waiting_calls += 1
        try:
            return await self._wait_for_room(team, team_slice, deadline)
        finally:
            team_slice.waiting_calls -= 1

    async def release(self, team: str) -> None:
        """Count a call of the team as ended."""
        team_slice = self.slices.get(team)
        if team_slice is None:
            return
        team_slice.allowance.release()
        async with team_slice.room_changed:
            team_slice.room_changed.notify()

    async def _report_slices(
        self, source: NodeRef, request: SlicesAsk
    ) -> SlicesReply:
        unit = request.home.unit
        self.newest_epochs[unit] = max(
            self.newest_epochs.get(unit, 0), request.home.epoch
        )
        slices = [
            HeldSlice(team, team_slice.allowance.held_calls(now()))
            for team, team_slice in self.slices.items()
            if home_unit(self.context, team) == unit
        ]
        return SlicesReply(self.context.ref, slices)

    async def _wait_for_room(
        self, team: str, team_slice: TeamSlice, deadline: float
    ) -> Failure | None:
        self._ensure_renewal(team, team_slice)
        try:
            async with asyncio.timeout_at(deadline), team_slice.room_changed:
                await team_slice.room_changed.wait_for(
                    lambda: team_slice.allowance.acquire(now())
                )
        except TimeoutError:
            return QuotaExceeded(
                f'team {team!r} is at its upper limit', team=team
            )
        return None

    def _ensure_renewal(self, team: str, team_slice: TeamSlice) -> None:
        if not team_slice.allowance.has_room(now()):
            team_slice.room_needed.set()
        if team_slice.renewal_task is None or team_slice.renewal_task.done():
            team_slice.renewal_task = asyncio.create_task(
                self._renew_while_used(team, team_slice)
            )

    async def _renew_while_used(self, team: str, team_slice: TeamSlice) -> None:
        while team_slice.waiting_calls or team_slice.allowance.in_flight:
            reply = await self._request_slice(team, team_slice)
            if isinstance(reply, Failure):
                await asyncio.sleep(RETRY_S)
                continue
            allowance = team_slice.allowance
            allowance.apply_reply(reply.sequence, reply.count, reply.valid_s)
            team_slice.renews_at = (
                allowance.requested_at + reply.valid_s * RENEW_SHARE
            )
            async with team_slice.room_changed:
                team_slice.room_changed.notify_all()
            await self._wait_for_renewal(
                team_slice, is_short=reply.count < team_slice.requested
            )

    async def _wait_for_renewal(
        self, team_slice: TeamSlice, *, is_short: bool
    ) -> None:
        """Wait until the next renewal is due or a call finds no room."""
        if is_short:
            await asyncio.sleep(RETRY_S)
            return
        # Lets the notified calls acquire the slice before this task continues.
        await asyncio.sleep(0)
        team_slice.room_needed.clear()
        if team_slice.waiting_calls:
            return
        try:
            async with asyncio.timeout(
                max(team_slice.renews_at - now(), RETRY_S)
            ):
                await team_slice.room_needed.wait()
        except TimeoutError:
            return

    async def _request_slice(
        self, team: str, team_slice: TeamSlice
    ) -> Allowance | Failure:
        unit = home_unit(self.context, team)
        owner = self.context.owner(unit)
        node, epoch = ('', 0) if owner is None else (owner[0].node, owner[1])
        team_slice.requested = team_slice.wanted_calls
        sequence = team_slice.allowance.start_request(
            now(), team_slice.requested
        )
        reply = await self.context.peers.request(
            node,
            AllowanceAsk(
                UnitEpoch(unit, epoch),
                team,
                team_slice.requested,
                team_slice.allowance.held_calls(now()),
                sequence,
            ),
            Allowance,
            timeout_s=REQUEST_TIMEOUT_S,
        )
        if epoch < self.newest_epochs.get(unit, 0):
            return StaleEpoch('the home has a newer epoch', unit=unit)
        return reply
