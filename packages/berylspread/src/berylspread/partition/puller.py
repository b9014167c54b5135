"""Pulls tasks from one home for the bookings that one partition has made."""

import asyncio
import collections
from collections.abc import Callable
from typing import Final, final

from berylspread.kernel import Failure, now
from berylspread.partition.messages import (
    PullAsk,
    PullLine,
    PullReply,
    TaskGrant,
    UnitEpoch,
)
from berylspread.runtime import NodeContext

PULL_TIMEOUT_S: Final = 1.0
BOOKING_HOLD_S: Final = 2.0
RETRY_S: Final = 0.2
LINGER_S: Final = 0.005
MAX_CLASSES_PER_PULL: Final = 64


@final
class PullCallbacks:
    """The callbacks of the partition owner for its pullers.

    ``start_task`` takes a grant and the key of the booking for it, or ``None``
    if the booking has been released.  ``release_booking`` takes the key of a
    booking, ``on_reply`` a reply with the home's demand.  ``is_current_epoch``
    returns whether the home has no newer epoch.
    """

    __slots__ = (
        'is_current_epoch',
        'on_reply',
        'release_booking',
        'start_task',
    )

    def __init__(
        self,
        *,
        start_task: Callable[[UnitEpoch, TaskGrant, str | None], None],
        release_booking: Callable[[str], None],
        on_reply: Callable[[UnitEpoch, PullReply], None],
        is_current_epoch: Callable[[UnitEpoch], bool],
    ) -> None:
        self.start_task = start_task
        self.release_booking = release_booking
        self.on_reply = on_reply
        self.is_current_epoch = is_current_epoch


@final
class Puller:
    """Sends one pull request at a time and repeats it until there is a reply.

    The home may have handed out tasks in a reply that was lost, so a request
    is dropped only once the home or the partition has a newer epoch.
    """

    __slots__ = (
        'booked',
        'callbacks',
        'context',
        'home',
        'partition',
        'sequence',
        'task',
    )

    def __init__(
        self,
        context: NodeContext,
        partition: UnitEpoch,
        home: UnitEpoch,
        callbacks: PullCallbacks,
    ) -> None:
        self.context = context
        self.partition = partition
        self.home = home
        self.callbacks = callbacks
        self.sequence = 0
        self.booked: dict[str, collections.deque[str]] = {}
        self.task: asyncio.Task[None] | None = None

    def request_task(self, class_id: str, key: str) -> None:
        """Request one more task of a class, for the booking ``key``."""
        self.booked.setdefault(class_id, collections.deque()).append(key)
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._pull_pending())

    def close(self) -> None:
        """Stop the requests and release all bookings."""
        if self.task is not None:
            self.task.cancel()
        self._release_bookings(self.booked)
        self.booked = {}

    async def _pull_pending(self) -> None:
        await asyncio.sleep(LINGER_S)
        while self.booked:
            lines = dict(list(self.booked.items())[:MAX_CLASSES_PER_PULL])
            for class_id in lines:
                self.booked.pop(class_id)
            await self._pull(lines)

    async def _pull(self, lines: dict[str, collections.deque[str]]) -> None:
        self.sequence += 1
        request = PullAsk(
            self.partition,
            self.home,
            self.sequence,
            [PullLine(class_id, len(keys)) for class_id, keys in lines.items()],
        )
        held_until = now() + BOOKING_HOLD_S
        while self.callbacks.is_current_epoch(self.home):
            reply = await self._send(request)
            if not isinstance(reply, Failure):
                self._apply_reply(lines, reply)
                return
            if now() > held_until:
                self._release_bookings(lines)
            await asyncio.sleep(RETRY_S)
        self._release_bookings(lines)

    async def _send(self, request: PullAsk) -> PullReply | Failure:
        owner = self.context.owner(self.home.unit)
        node = owner[0].node if owner else ''
        return await self.context.peers.request(
            node, request, PullReply, timeout_s=PULL_TIMEOUT_S
        )

    def _apply_reply(
        self, lines: dict[str, collections.deque[str]], reply: PullReply
    ) -> None:
        for keys, grants in zip(lines.values(), reply.grants, strict=True):
            for grant in grants:
                key = keys.popleft() if keys else None
                self.callbacks.start_task(self.home, grant, key)
        self._release_bookings(lines)
        self.callbacks.on_reply(self.home, reply)

    def _release_bookings(
        self, lines: dict[str, collections.deque[str]]
    ) -> None:
        for keys in lines.values():
            while keys:
                self.callbacks.release_booking(keys.popleft())
