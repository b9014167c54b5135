"""Which node coordinates: a record in the store, renewed while its node lives.

The store is the only judge.  A follower waits for the next renewal with a long
read; an answer without one proves that the store has heard nothing from the
leader for that long, however slow the follower's own path is.  It then claims
the next epoch by an append that holds only if nothing was written meanwhile.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, final

import msgspec

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.fitness import (
    DEFAULT_CAPACITY,
    Candidacy,
    Capacity,
)
from berylspread.coordinator.interface import (
    Batch,
    KeyedItem,
    KeyedStore,
    Producer,
    Snapshot,
    StoreRejected,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, LogGap, NotOwner

LEADER_KEY: Final = 'leader'
#: Renewals are this far apart: three may be lost before a successor claims.
RENEWAL_INTERVAL_S: Final = 0.3
#: Renewals that may be under way; more would only load a store that is slow.
MAX_RENEWALS_IN_FLIGHT: Final = 5
#: A leader that the store has not heard for this long is succeeded.
SILENCE_TIMEOUT_S: Final = 1.0
REPLY_CHECK_INTERVAL_S: Final = 0.1
RETRY_S: Final = 0.2
CALL_TIMEOUT_S: Final = 1.0


@final
class LeaderRecord(msgspec.Struct, frozen=True, array_like=True):
    """Who coordinates, since which epoch, and where the node is reached."""

    epoch: int
    node: str
    incarnation: int
    address: str
    released: bool = False


_decoder: Final = msgspec.msgpack.Decoder(LeaderRecord)

#: Serves as the leader of an epoch until authority is lost.
Serve = Callable[[int], Awaitable[Failure]]


@final
class Leadership:
    """Follows the leader's record, and claims it when it falls silent."""

    __slots__ = (
        'authority_clock',
        'candidacy',
        'confirmed_at',
        'current',
        'is_releasing',
        'last_heard_at',
        'leaving',
        'log',
        'next_offset',
        'own_record',
        'seq',
        'serve',
        'store',
        'term_ended',
        'topic',
    )

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        own_record: LeaderRecord,
        serve: Serve,
        log: DecisionLog,
        authority_clock: Callable[[], float],
        capacity: Capacity = DEFAULT_CAPACITY,
    ) -> None:
        """Take the topic and how this node serves once it leads.

        ``authority_clock`` returns seconds, those of a suspension included.
        """
        self.store = store
        self.topic = topic
        self.own_record = own_record
        self.serve = serve
        self.log = log
        self.current: LeaderRecord | None = None
        self.next_offset = 0
        self.seq = 0
        self.last_heard_at = 0.0
        self.confirmed_at = 0.0
        #: Done once another epoch has begun, while this node leads.
        self.term_ended: asyncio.Future[Failure] | None = None
        self.authority_clock = authority_clock
        self.leaving = asyncio.Event()
        #: Whether the term is being handed over: it is renewed no more.
        self.is_releasing = False
        self.candidacy = Candidacy(capacity)

    @property
    def is_leader(self) -> bool:
        """Return whether the newest record known is this process's."""
        return (
            self.current is not None
            and not self.current.released
            and self.current.node == self.own_record.node
            and self.current.incarnation == self.own_record.incarnation
        )

    def authority_age(self) -> float:
        """Return seconds since the store last confirmed this leader."""
        return self.authority_clock() - self.confirmed_at

    def update_from_peer(self, record: LeaderRecord | None) -> None:
        """Take another node's word for who leads, if it is newer."""
        if record is None:
            return
        if self.current is None or record.epoch > self.current.epoch:
            self.current = record
            self._end_term(NotOwner(f'epoch {record.epoch} has begun'))

    async def run(self) -> None:
        """Follow and lead in turn until cancelled.

        A node that leaves goes on following: callers still ask through it.
        """
        while True:
            if await self._load_record():
                await self._wait_to_claim()
                await self._lead()
            else:
                await asyncio.sleep(RETRY_S)

    def record_leader_reply(self, best_other_fitness: float) -> None:
        """Note that the leader itself has answered, and what it has heard."""
        self.last_heard_at = now()
        self.candidacy.record_leader_reply(
            best_other_fitness, self.last_heard_at
        )

    def require_leader_read(self) -> None:
        """Look who leads: the node that was asked does not."""
        self.candidacy.leader_replied_at = float('-inf')

    async def release(self) -> None:
        """Leave: hand over and claim no more."""
        self.leaving.set()
        await self.step_down()

    async def step_down(self) -> None:
        """Hand over: let a successor claim at once."""
        self.is_releasing = True
        if self.is_leader and self.current is not None:
            record = msgspec.structs.replace(self.current, released=True)
            await self._append_record(record, None)
            self._end_term(NotOwner('the coordination is handed over'))

    async def _load_record(self) -> bool:
        began = now()
        snapshot = await self.store.read_newest(
            self.topic, timeout_s=CALL_TIMEOUT_S
        )
        if not isinstance(snapshot, Snapshot):
            return False
        self.candidacy.record_response_time(now() - began)
        self.next_offset = snapshot.end
        for item in snapshot.items:
            self._apply_item(item)
        return True

    async def _wait_to_claim(self) -> None:
        """Return once it is this node's turn to claim."""
        silences = 0
        while not self._may_claim_at_once():
            if self._may_skip_reads():
                silences = 0
                await asyncio.sleep(REPLY_CHECK_INTERVAL_S)
                continue
            silences = await self._await_renewal(silences)
            is_patient = silences < self.candidacy.silences_before_claim()
            if not (is_patient or self.leaving.is_set()):
                return

    async def _await_renewal(self, silences: int) -> int:
        """Wait for the next renewal; return the silences in succession."""
        batch = await self.store.read_from(
            self.topic,
            self.next_offset,
            wait_s=SILENCE_TIMEOUT_S,
            timeout_s=SILENCE_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        if isinstance(batch, Batch):
            self._apply_batch(batch)
            return 0 if batch.items else silences + 1
        if isinstance(batch, LogGap):
            await self._load_record()
        else:
            await asyncio.sleep(RETRY_S)
        return silences

    def _may_skip_reads(self) -> bool:
        """Return whether the record need not be read for now."""
        # A node that leaves hears of the next leader by the store alone.
        return not self.leaving.is_set() and self.candidacy.may_skip_reads(
            now()
        )

    def _may_claim_at_once(self) -> bool:
        current = self.current
        if self.leaving.is_set() or not self.candidacy.claims_first():
            return False
        # An earlier incarnation of this process may have held it.
        return (
            current is None
            or current.released
            or current.node == self.own_record.node
        )

    def _apply_batch(self, batch: Batch) -> None:
        for item in batch.items:
            self._apply_item(item)
            self.next_offset = item.offset + 1
        self.last_heard_at = now()

    def _apply_item(self, item: KeyedItem) -> None:
        try:
            record = _decoder.decode(item.blob)
        except msgspec.DecodeError as error:
            self.log.write('leader-unreadable', reason=str(error))
            return
        if self.current is None or record.epoch != self.current.epoch:
            self.log.write('leader', epoch=record.epoch, leader=record.node)
        self.current = record
        self.last_heard_at = now()

    async def _lead(self) -> None:
        if self.leaving.is_set() or not await self._claim():
            return
        assert self.current is not None
        epoch = self.current.epoch
        serving = asyncio.ensure_future(self.serve(epoch))
        renewing = asyncio.create_task(self._renew_until_ended())
        try:
            await asyncio.wait(
                (serving, renewing), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            serving.cancel()
            renewing.cancel()
            results = await asyncio.gather(
                serving, renewing, return_exceptions=True
            )
        reasons = [repr(result) for result in results]
        self.log.write('leader-lost', epoch=epoch, reasons=reasons)

    async def _claim(self) -> bool:
        epoch = 1 if self.current is None else self.current.epoch + 1
        record = msgspec.structs.replace(self.own_record, epoch=epoch)
        self.seq = 0
        self.confirmed_at = self.authority_clock()
        reply = await self._append_record(record, self.next_offset)
        won = not isinstance(reply, Failure)
        self.log.write(
            'claim',
            epoch=epoch,
            won=won,
            silent_s=round(now() - self.last_heard_at, 3),
            reason=reply.reason if isinstance(reply, Failure) else '',
        )
        if won:
            self.current = record
        return won

    async def _renew_until_ended(self) -> Failure:
        """Renew until another epoch has begun.

        The renewals overlap: one whose answer is slow or lost does not delay
        the next, so followers hear of the leader all the same.
        """
        assert self.current is not None
        record = self.current
        deposed: asyncio.Future[Failure] = (
            asyncio.get_running_loop().create_future()
        )
        self.term_ended = deposed
        self.is_releasing = self.leaving.is_set()
        beats: set[asyncio.Task[None]] = set()
        try:
            while not deposed.done():
                # A leader must not take its release back.
                if (
                    len(beats) < MAX_RENEWALS_IN_FLIGHT
                    and not self.is_releasing
                ):
                    beat = asyncio.create_task(self._send_renewal(record))
                    beats.add(beat)
                    beat.add_done_callback(beats.discard)
                await asyncio.wait((deposed,), timeout=RENEWAL_INTERVAL_S)
            if self.current is record:
                self.current = None
            return deposed.result()
        finally:
            for beat in list(beats):
                beat.cancel()

    def _end_term(self, failure: Failure) -> None:
        if self.term_ended is not None and not self.term_ended.done():
            self.term_ended.set_result(failure)

    async def _send_renewal(self, record: LeaderRecord) -> None:
        began = self.authority_clock()
        reply = await self._append_record(record, None)
        if not isinstance(reply, Failure):
            self.confirmed_at = max(self.confirmed_at, began)
            self.last_heard_at = now()
            return
        expected = reply.fields.get('expected')
        if expected is not None:
            # An earlier renewal was lost or is late; go on where the store is.
            self.seq = int(expected) - 1
        elif isinstance(reply, StoreRejected):
            self._end_term(NotOwner(reply.reason))

    async def _append_record(
        self, record: LeaderRecord, at: int | None
    ) -> Failure | None:
        # A claim is unique by the offset alone: as a producer's append it could
        # pass for the repeat of another node's claim of the same epoch.
        producer = None
        if at is None:
            self.seq += 1
            producer = Producer(LEADER_KEY, record.epoch, self.seq)
        reply = await self.store.append(
            self.topic,
            [(LEADER_KEY, msgspec.msgpack.encode(record))],
            producer=producer,
            at=at,
            timeout_s=CALL_TIMEOUT_S,
        )
        return reply if isinstance(reply, Failure) else None
