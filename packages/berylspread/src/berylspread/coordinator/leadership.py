"""Leader election by a record in the store that the leader renews.

The store alone decides.  A follower waits for the next renewal by a long poll.
A reply without one proves that the leader has written nothing to the store for
the time of the poll, even if the follower's own connection is slow.  The
follower then claims the next epoch by an append that the store accepts only if
nothing has been written in the meantime.

The claim also raises the epoch of the topic's producer.  From then on the store
refuses renewals of earlier epochs, also those that arrive late.
"""

import asyncio
import random
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
from berylspread.kernel.errors import Failure, LogGap, NotOwner, NotRun

LEADER_KEY: Final = 'leader'
#: Interval of renewals: three may be lost before a successor claims.
RENEWAL_INTERVAL_S: Final = 0.3
#: Renewals that may be in flight; more would only add load to a slow store.
MAX_RENEWALS_IN_FLIGHT: Final = 5
#: Wait of a long poll; a leader that renews nothing for this long is silent.
SILENCE_TIMEOUT_S: Final = 1.0
REPLY_CHECK_INTERVAL_S: Final = 0.1
RETRY_S: Final = 0.2
CALL_TIMEOUT_S: Final = 1.0
#: Attempts to store a release; one fails if a renewal before it was lost.
RELEASE_ATTEMPTS: Final = 3
#: Time limit of the read before a takeover.  A store that is slower than this
#: would not serve a successor better.
TAKEOVER_READ_TIMEOUT_S: Final = 0.25
#: A claim's sequence number is random below this bound, so that the store does
#: not take the claims of two nodes for repeats of each other.
CLAIM_SEQ_BOUND: Final = 1_000_000_000


@final
class LeaderRecord(msgspec.Struct, frozen=True, array_like=True):
    """The node that coordinates, its epoch and its address."""

    epoch: int
    node: str
    incarnation: int
    address: str
    released: bool = False

    def is_older_than(self, other: 'LeaderRecord') -> bool:
        """Return whether the other record follows this one."""
        return (self.epoch, self.released) < (other.epoch, other.released)


_decoder: Final = msgspec.msgpack.Decoder(LeaderRecord)

#: Coordinates for an epoch; returns why the epoch is over.
Serve = Callable[[int], Awaitable[Failure]]


@final
class Authority:
    """When the store last confirmed this node as the leader.

    ``clock`` returns seconds and counts the time for which the VM was
    suspended.
    """

    __slots__ = ('clock', 'confirmed_at', 'read_began_at')

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.confirmed_at = 0.0
        #: When the newest read of the record began.
        self.read_began_at = 0.0

    def age_s(self) -> float:
        """Return seconds since the last confirmation."""
        return self.clock() - self.confirmed_at

    def begin_read(self) -> None:
        """Record that a read of the leader's record begins."""
        self.read_began_at = self.clock()

    def confirm(self, sent_at: float) -> None:
        """Record that the store has confirmed a call sent at ``sent_at``."""
        self.confirmed_at = max(self.confirmed_at, sent_at)


@final
class EpochHistory:
    """The epochs that are over or cannot be claimed."""

    __slots__ = ('ended_epoch', 'floor', 'is_record_unreadable')

    def __init__(self) -> None:
        #: The last epoch in which this process has coordinated.
        self.ended_epoch = 0
        #: Claims are of later epochs.
        self.floor = 0
        #: Whether the newest record cannot be decoded.
        self.is_record_unreadable = False

    def next_epoch(self, current: LeaderRecord | None) -> int:
        """Return the epoch to claim after a record."""
        known = 0 if current is None else current.epoch
        return max(known, self.ended_epoch, self.floor) + 1

    def is_outdated(
        self, record: LeaderRecord, current: LeaderRecord | None
    ) -> bool:
        """Return whether a record is older than what is known."""
        if record.epoch < self.ended_epoch:
            return True
        return current is not None and record.is_older_than(current)

    def record_rejected_claim(self, epoch: int) -> None:
        """Claim a much later epoch next if that of the record is unknown."""
        if self.is_record_unreadable:
            self.floor = 2 * epoch


@final
class Leadership:
    """Follows the leader's record and claims the next epoch if it is silent."""

    __slots__ = (
        'authority',
        'candidacy',
        'current',
        'history',
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
        """Set the topic and ``serve``, which runs while this node leads.

        ``authority_clock`` returns seconds and counts the time for which the
        VM was suspended.
        """
        self.store = store
        self.topic = topic
        self.own_record = own_record
        self.serve = serve
        self.log = log
        self.current: LeaderRecord | None = None
        self.history = EpochHistory()
        self.authority = Authority(authority_clock)
        self.next_offset = 0
        self.seq = 0
        #: When the store or the leader last replied, in loop time.
        self.last_heard_at = now()
        #: While this node leads: done once its term has ended.
        self.term_ended: asyncio.Future[Failure] | None = None
        self.leaving = asyncio.Event()
        #: Whether the term is being handed over; it is no longer renewed then.
        self.is_releasing = False
        self.candidacy = Candidacy(capacity)

    @property
    def is_leader(self) -> bool:
        """Return whether the newest known record is that of this process."""
        return (
            self.current is not None
            and not self.current.released
            and self.current.node == self.own_record.node
            and self.current.incarnation == self.own_record.incarnation
        )

    def authority_age(self) -> float:
        """Return seconds since the store last confirmed this leader."""
        return self.authority.age_s()

    def update_from_peer(self, record: LeaderRecord | None) -> None:
        """Apply a leader record that another node reports, if it is newer."""
        if record is None:
            return
        known = self.current
        if self.history.is_outdated(record, self.current) or record == known:
            return
        self.current = record
        if known is not None and record.epoch > known.epoch:
            self._end_term(NotOwner(f'epoch {record.epoch} has begun'))

    async def run(self) -> None:
        """Follow and lead in turn until cancelled.

        A leaving node goes on following, as its callers' requests still have to
        reach the leader.
        """
        while True:
            if await self._load_record():
                await self._wait_to_claim()
                await self._lead()
            else:
                await asyncio.sleep(RETRY_S)

    def record_leader_reply(self, best_other_fitness: float) -> None:
        """Record a reply of the leader and the fitness that it reports."""
        self.last_heard_at = now()
        self.candidacy.record_leader_reply(
            best_other_fitness, self.last_heard_at
        )

    def require_leader_read(self) -> None:
        """Have the record read again, after a failed request to the leader."""
        self.candidacy.leader_replied_at = float('-inf')

    async def release(self) -> None:
        """Hand over and never claim again."""
        self.leaving.set()
        await self.step_down()

    async def step_down(self) -> None:
        """Mark the term as released, so that a successor can claim at once."""
        self.is_releasing = True
        if self.is_leader and self.current is not None:
            record = msgspec.structs.replace(self.current, released=True)
            await self._append_release(record)
            self._end_term(NotOwner('the coordination is handed over'))

    async def take_over(self, epoch: int) -> LeaderRecord | Failure:
        """Claim the epoch after ``epoch``, at the request of its leader.

        Returns this node's record, which ``run`` then serves, or why the claim
        was not made: this node must not lead, or the store does not serve it.
        """
        if self.leaving.is_set():
            return NotOwner('this node is leaving')
        if not await self._load_record(TAKEOVER_READ_TIMEOUT_S):
            return NotRun('the store does not serve this node in time')
        current = self.current
        if current is None or current.epoch != epoch:
            return NotOwner(f'epoch {epoch} is over')
        if not await self._claim():
            return NotRun('the store did not accept the claim')
        return self.current or NotOwner('the claim is superseded')

    async def _load_record(self, timeout_s: float = CALL_TIMEOUT_S) -> bool:
        began = now()
        self.authority.begin_read()
        snapshot = await self.store.read_newest(self.topic, timeout_s=timeout_s)
        if not isinstance(snapshot, Snapshot):
            return False
        self.candidacy.record_response_time(now() - began)
        self.next_offset = snapshot.end
        for item in snapshot.items:
            self._apply_item(item)
        return True

    async def _wait_to_claim(self) -> None:
        """Return when this node should claim, or has a claim to serve."""
        silent_polls = 0
        while not (self._has_unserved_claim() or self._may_claim_at_once()):
            if self._may_skip_reads():
                silent_polls = 0
                await asyncio.sleep(REPLY_CHECK_INTERVAL_S)
                continue
            silent_polls = await self._await_renewal(silent_polls)
            may_wait = silent_polls < self.candidacy.silences_before_claim()
            if not (may_wait or self.leaving.is_set()):
                return

    async def _await_renewal(self, silent_polls: int) -> int:
        """Poll for the next renewal; return the new count of silent polls."""
        self.authority.begin_read()
        batch = await self.store.read_from(
            self.topic,
            self.next_offset,
            wait_s=SILENCE_TIMEOUT_S,
            timeout_s=SILENCE_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        if isinstance(batch, Batch):
            self._apply_batch(batch)
            return 0 if batch.items else silent_polls + 1
        if isinstance(batch, LogGap):
            await self._load_record()
        else:
            await asyncio.sleep(RETRY_S)
        return silent_polls

    def _may_skip_reads(self) -> bool:
        """Return whether the record need not be read at present."""
        # A leaving node learns of the next leader only from the store.
        return not self.leaving.is_set() and self.candidacy.may_skip_reads(
            now()
        )

    def _may_claim_at_once(self) -> bool:
        current = self.current
        if self.leaving.is_set() or not self.candidacy.claims_first():
            return False
        # In the last case, an earlier incarnation of this node was the leader.
        return (
            current is None
            or current.released
            or current.node == self.own_record.node
        )

    def _has_unserved_claim(self) -> bool:
        """Return whether a claim of this process was stored unnoticed.

        The reply was lost, the claim was late, or ``take_over`` made it.
        """
        current = self.current
        return (
            current is not None
            and self.is_leader
            and current.epoch > self.history.ended_epoch
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
            self.history.is_record_unreadable = True
            return
        self.history.is_record_unreadable = False
        self.last_heard_at = now()
        if self.history.is_outdated(record, self.current):
            self.log.write(
                'leader-outdated', epoch=record.epoch, leader=record.node
            )
            return
        if self.current is None or record.epoch != self.current.epoch:
            self.log.write('leader', epoch=record.epoch, leader=record.node)
        self.current = record

    async def _lead(self) -> None:
        if self.leaving.is_set():
            return
        if self._has_unserved_claim():
            # The record was the newest at the time of this read.
            self.authority.confirm(self.authority.read_began_at)
        elif not await self._claim():
            return
        assert self.current is not None
        epoch = self.current.epoch
        self.history.ended_epoch = epoch
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
        epoch = self.history.next_epoch(self.current)
        record = msgspec.structs.replace(self.own_record, epoch=epoch)
        self.seq = random.randrange(1, CLAIM_SEQ_BOUND)
        claimed_at = self.authority.clock()
        reply = await self._append_record(record, self.next_offset)
        won = not isinstance(reply, Failure)
        self.log.write(
            'claim',
            epoch=epoch,
            won=won,
            silent_s=round(now() - self.last_heard_at, 3),
            reason=reply.reason if isinstance(reply, Failure) else '',
        )
        if won and not self.history.is_outdated(record, self.current):
            self.authority.confirm(claimed_at)
            self.current = record
            return True
        if isinstance(reply, StoreRejected):
            self.history.record_rejected_claim(epoch)
        return False

    async def _renew_until_ended(self) -> Failure:
        """Renew the record until the term has ended; return why it has.

        The renewals overlap, so that a slow or lost reply to one does not delay
        the next and followers do not count the leader as silent.
        """
        assert self.current is not None
        record = self.current
        ended: asyncio.Future[Failure] = (
            asyncio.get_running_loop().create_future()
        )
        self.term_ended = ended
        self.is_releasing = self.leaving.is_set()
        renewals: set[asyncio.Task[None]] = set()
        try:
            while not ended.done():
                # A renewal after the release would revoke it.
                if (
                    len(renewals) < MAX_RENEWALS_IN_FLIGHT
                    and not self.is_releasing
                ):
                    renewal = asyncio.create_task(self._send_renewal(record))
                    renewals.add(renewal)
                    renewal.add_done_callback(renewals.discard)
                await asyncio.wait((ended,), timeout=RENEWAL_INTERVAL_S)
            if self.current is record:
                self.current = None
            return ended.result()
        finally:
            for renewal in list(renewals):
                renewal.cancel()

    def _end_term(self, failure: Failure) -> None:
        if self.term_ended is not None and not self.term_ended.done():
            self.term_ended.set_result(failure)

    async def _send_renewal(self, record: LeaderRecord) -> None:
        began = self.authority.clock()
        reply = await self._append_record(record, None)
        if not isinstance(reply, Failure):
            self.authority.confirm(began)
            self.last_heard_at = now()
            return
        if not self._resume_sequence(reply) and isinstance(
            reply, StoreRejected
        ):
            self._end_term(NotOwner(reply.reason))

    async def _append_release(self, record: LeaderRecord) -> None:
        """Append the released record, after any renewals that were lost."""
        for _ in range(RELEASE_ATTEMPTS):
            reply = await self._append_record(record, None)
            if reply is None or not self._resume_sequence(reply):
                return

    def _resume_sequence(self, reply: Failure) -> bool:
        """Continue with the sequence number that the store expects, if any.

        An earlier append is lost or late if it expects another one.
        """
        expected = reply.fields.get('expected')
        if expected is None:
            return False
        self.seq = int(expected) - 1
        return True

    async def _append_record(
        self, record: LeaderRecord, at: int | None
    ) -> Failure | None:
        """Append a record; a claim names the offset at which it must be."""
        if at is None:
            self.seq += 1
        reply = await self.store.append(
            self.topic,
            [(LEADER_KEY, msgspec.msgpack.encode(record))],
            producer=Producer(LEADER_KEY, record.epoch, self.seq),
            at=at,
            timeout_s=CALL_TIMEOUT_S,
        )
        return reply if isinstance(reply, Failure) else None
