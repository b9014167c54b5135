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
import math
from collections.abc import Awaitable, Callable
from typing import Final, final

import msgspec

from berylspread.coordinator.claim_history import ClaimHistory
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
    Snapshot,
    StoreRejected,
)
from berylspread.coordinator.leader_record import (
    CALL_TIMEOUT_S,
    Authority,
    LeaderRecord,
    RecordWriter,
    decode_record,
)
from berylspread.coordinator.term import Term
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, LogGap, NotOwner, NotRun

#: Wait of a long poll; a leader that renews nothing for this long is silent.
SILENCE_TIMEOUT_S: Final = 1.0
REPLY_CHECK_INTERVAL_S: Final = 0.1
RETRY_S: Final = 0.2
#: Time limit of the read before a takeover.  A store that is slower than this
#: would not serve a successor better.
TAKEOVER_READ_TIMEOUT_S: Final = 0.25


#: Coordinates for an epoch; returns why the epoch is over.
Serve = Callable[[int], Awaitable[Failure]]


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

    def record_epoch(self, epoch: int) -> None:
        """Record that an epoch has begun, without its record."""
        self.floor = max(self.floor, epoch)

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
        'claimed',
        'current',
        'history',
        'last_heard_at',
        'leaving',
        'log',
        'next_offset',
        'own_record',
        'serve',
        'store',
        'term',
        'topic',
        'writer',
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
        #: When the store or the leader last replied, in loop time.
        self.last_heard_at = now()
        self.writer = RecordWriter(store, topic, ClaimHistory(authority_clock))
        self.term = Term(self.writer, self.authority, self._record_reply)
        self.leaving = asyncio.Event()
        #: Set once this node has claimed at the request of another.
        self.claimed = asyncio.Event()
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

    def epoch_authority_age(self, epoch: int) -> float:
        """Return seconds since the store last confirmed this leader.

        The authority of an epoch is over, and infinitely old, once this node
        knows a later epoch, even if that is its own.
        """
        if self.is_leader and self.current and self.current.epoch == epoch:
            return self.authority_age()
        return math.inf

    def update_from_peer(self, record: LeaderRecord | None) -> None:
        """Apply a leader record that another node reports, if it is newer."""
        if record is None:
            return
        known = self.current
        if self.history.is_outdated(record, self.current) or record == known:
            return
        self.writer.claims.record_claimed(record.epoch)
        self.current = record
        if known is not None and record.epoch > known.epoch:
            self.term.end(NotOwner(f'epoch {record.epoch} has begun'))

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

    def _record_reply(self) -> None:
        self.last_heard_at = now()

    def require_leader_read(self) -> None:
        """Have the record read again, after a failed request to the leader."""
        self.candidacy.leader_replied_at = float('-inf')

    async def release(self) -> None:
        """Mark the epoch as over, so that a successor can claim at once."""
        if self.is_leader and self.current is not None:
            await self.term.release(self.current)

    async def take_over(
        self, epoch: int, end: int | None = None
    ) -> LeaderRecord | Failure:
        """Claim the epoch after ``epoch``, at the request of its leader.

        ``end`` is where the leader's topic ends, ``None`` if unknown.  Returns
        this node's record, which ``run`` then serves, or why the claim was not
        made: this node must not lead, or the store does not serve it.
        """
        if self.leaving.is_set():
            return NotOwner('this node is leaving')
        if end is None:
            if not await self._load_record(TAKEOVER_READ_TIMEOUT_S):
                return NotRun('the store does not serve this node in time')
            if self.current is None or self.current.epoch != epoch:
                return NotOwner(f'epoch {epoch} is over')
            end = self.next_offset
        # The claim is only accepted if the epoch's record is still the newest.
        self.history.record_epoch(epoch)
        if not await self._claim(end):
            return NotRun('the store did not accept the claim')
        self.claimed.set()
        return self.current or NotOwner('the claim is superseded')

    async def _load_record(self, timeout_s: float = CALL_TIMEOUT_S) -> bool:
        began, began_authority = now(), self.authority.clock()
        snapshot = await self.store.read_newest(self.topic, timeout_s=timeout_s)
        if not isinstance(snapshot, Snapshot):
            return False
        self.candidacy.record_response_time(now() - began)
        self.next_offset = snapshot.end
        for item in snapshot.items:
            self._apply_item(item)
        self._confirm_read(began_authority)
        return True

    def _confirm_read(self, began: float) -> None:
        """Confirm the authority if this node's record was the newest read."""
        if self.is_leader:
            self.authority.confirm_read(began)

    async def _wait_to_claim(self) -> None:
        """Return when this node should claim, or has a claim to serve."""
        following = asyncio.create_task(self._follow_until_due())
        try:
            while not (following.done() or self._has_unserved_claim()):
                self.claimed.clear()
                claimed = asyncio.create_task(self.claimed.wait())
                await asyncio.wait(
                    (following, claimed), return_when=asyncio.FIRST_COMPLETED
                )
                claimed.cancel()
        finally:
            following.cancel()

    async def _follow_until_due(self) -> None:
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
        began = self.authority.clock()
        batch = await self.store.read_from(
            self.topic,
            self.next_offset,
            wait_s=SILENCE_TIMEOUT_S,
            timeout_s=SILENCE_TIMEOUT_S + CALL_TIMEOUT_S,
        )
        if isinstance(batch, Batch):
            self._apply_batch(batch)
            if batch.items:
                self._confirm_read(began)
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
            stored = decode_record(item.blob)
        except msgspec.DecodeError as error:
            self.log.write('leader-unreadable', reason=str(error))
            self.history.is_record_unreadable = True
            return
        self.history.is_record_unreadable = False
        self.last_heard_at = now()
        record = stored.record
        self.writer.claims.record_claimed(record.epoch)
        if stored.claims is None:
            self.writer.claims.untracked_epoch = record.epoch
        else:
            self.writer.claims.apply(stored.claims)
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
        if not (
            self._has_unserved_claim() or await self._claim(self.next_offset)
        ):
            return
        record = self.current
        assert record is not None
        epoch = record.epoch
        self.history.ended_epoch = epoch
        serving = asyncio.ensure_future(self.serve(epoch))
        renewing = asyncio.create_task(
            self.term.run(record, paused=self.leaving.is_set())
        )
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
        if isinstance(results[1], Failure) and self.current is record:
            self.current = None
        reasons = [repr(result) for result in results]
        self.log.write('leader-lost', epoch=epoch, reasons=reasons)

    async def _claim(self, at: int) -> bool:
        """Claim the next epoch if the topic still ends at ``at``."""
        epoch = self.history.next_epoch(self.current)
        record = msgspec.structs.replace(self.own_record, epoch=epoch)
        self.authority.begin_claim()
        reply = await self.writer.claim(record, at)
        won = reply is None
        self.log.write(
            'claim',
            epoch=epoch,
            won=won,
            silent_s=round(now() - self.last_heard_at, 3),
            reason=reply.reason if reply is not None else '',
        )
        if won and not self.history.is_outdated(record, self.current):
            self.authority.confirm(self.authority.claimed_at)
            self.writer.claims.record_claimed(epoch)
            self.current = record
            return True
        if isinstance(reply, StoreRejected):
            self.history.record_rejected_claim(epoch)
        return False
