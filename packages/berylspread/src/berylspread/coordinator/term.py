"""The term of a leader: renewals of its record until its epoch is over."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import msgspec

from berylspread.coordinator.interface import StoreRejected
from berylspread.coordinator.leader_record import (
    Authority,
    LeaderRecord,
    RecordWriter,
)
from berylspread.kernel.errors import Failure, NotOwner

#: Interval of renewals: three may be lost before a successor claims.
RENEWAL_INTERVAL_S: Final = 0.3
#: Renewals that may be in flight; more would only add load to a slow store.
MAX_RENEWALS_IN_FLIGHT: Final = 5
#: Attempts to store a release; one fails if a renewal before it was lost.
RELEASE_ATTEMPTS: Final = 3


@final
class Term:
    """Renews the leader's record, pauses, and releases it.

    The renewals overlap, so that a slow or lost reply to one does not delay the
    next and followers do not count the leader as silent.
    """

    __slots__ = (
        'authority',
        'ended',
        'is_paused',
        'on_renewed',
        'renewals',
        'writer',
    )

    def __init__(
        self,
        writer: RecordWriter,
        authority: Authority,
        on_renewed: Callable[[], None],
    ) -> None:
        """Set the writer; ``on_renewed`` is called after each renewal."""
        self.writer = writer
        self.authority = authority
        self.on_renewed = on_renewed
        #: While this node leads: done once its epoch is over.
        self.ended: asyncio.Future[Failure] | None = None
        #: A renewal after the release would revoke it.
        self.is_paused = False
        #: Renewals in flight.
        self.renewals: set[asyncio.Task[None]] = set()

    async def run(self, record: LeaderRecord, *, paused: bool) -> Failure:
        """Renew a record until its epoch is over; return why it is."""
        ended: asyncio.Future[Failure] = (
            asyncio.get_running_loop().create_future()
        )
        self.ended = ended
        self.is_paused = paused
        try:
            while not ended.done():
                if self._may_renew():
                    renewal = asyncio.create_task(self._renew(record))
                    self.renewals.add(renewal)
                    renewal.add_done_callback(self.renewals.discard)
                await asyncio.wait((ended,), timeout=RENEWAL_INTERVAL_S)
            return ended.result()
        finally:
            for renewal in list(self.renewals):
                renewal.cancel()

    async def pause(self, timeout_s: float) -> int | None:
        """Send no more renewals; return where the topic ends.

        Returns ``None`` if a renewal is still in flight after ``timeout_s``.
        """
        self.is_paused = True
        if self.renewals:
            _, in_flight = await asyncio.wait(self.renewals, timeout=timeout_s)
            if in_flight:
                return None
        return self.writer.end

    async def release(self, record: LeaderRecord) -> None:
        """Store that the epoch is over, after any renewals that were lost."""
        self.is_paused = True
        released = msgspec.structs.replace(record, released=True)
        for _ in range(RELEASE_ATTEMPTS):
            reply = await self.writer.renew(released)
            if reply is None or not self.writer.resume_sequence(reply):
                break
        self.end(NotOwner('the coordination is handed over'))

    def end(self, failure: Failure) -> None:
        """Record why the epoch is over."""
        if self.ended is not None and not self.ended.done():
            self.ended.set_result(failure)

    def _may_renew(self) -> bool:
        return (
            len(self.renewals) < MAX_RENEWALS_IN_FLIGHT and not self.is_paused
        )

    async def _renew(self, record: LeaderRecord) -> None:
        began = self.authority.clock()
        reply = await self.writer.renew(record)
        if reply is None:
            self.authority.confirm(began)
            self.on_renewed()
        elif not self.writer.resume_sequence(reply) and isinstance(
            reply, StoreRejected
        ):
            self.end(NotOwner(reply.reason))
