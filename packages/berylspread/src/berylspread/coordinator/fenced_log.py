"""Ordered and fenced appends of one epoch to a topic, with retries.

Load pattern: a store whose responses take 0.3 s for a while.  Appends overlap,
so that a change does not wait for the response to the previous one.  Sequence
numbers keep their order and make a retry idempotent.

An append that arrives before the previous one is refused.  It is sent again as
soon as those before it are stored, and until then no other append starts: those
would arrive too early as well, and one late append would delay all after it.
"""

import asyncio
import collections
import contextlib
import random
from collections.abc import Callable, Iterator
from typing import Final, final

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.interface import (
    Appended,
    KeyedStore,
    Producer,
    Record,
    RecordsRefused,
    StoreRejected,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, NotOwner

PRODUCER_NAME: Final = 'coordinator'
#: The key of the record with the current epoch of the topic.
EPOCH_KEY: Final = 'epoch'
#: Bounds of the time limit after which an append is retried; between them it is
#: a multiple of the mean latency.  A retry is idempotent.  The lower bound is
#: several times the latency of the store in the other region.
MIN_TIMEOUT_S: Final = 0.25
MAX_TIMEOUT_S: Final = 1.5
TIMEOUT_FACTOR: Final = 4
#: Weight of the newest latency in the moving mean.
LATENCY_WEIGHT: Final = 0.2
#: After this time of failed appends the store counts as out of service.  An
#: append whose response was lost is retried several times within it.
STALL_S: Final = 0.6
#: Pause before an append is retried.  It doubles with each failure up to the
#: bound; jitter adds up to as much again.
RETRY_S: Final = 0.05
MAX_RETRY_S: Final = 0.4
#: Appends in flight.  The store deduplicates retries of the last five appends
#: only, and every retry must be one of them.
MAX_APPENDS_IN_FLIGHT: Final = 4
#: While an append is in flight, the next one starts only after this time:
#: responses usually take less, and fewer but larger batches cost less.
OVERLAP_DELAY_S: Final = 0.03
#: Appends that take this long are logged; starts and replies wait for them.
SLOW_APPEND_S: Final = 0.2

StoredFuture = asyncio.Future[Failure | None]


@final
class FencedLog:
    """Appends batches in one epoch until the epoch is over."""

    __slots__ = (
        'append_done',
        'end_failure',
        'epoch',
        'failing_since',
        'first_offset',
        'last_append_at',
        'log',
        'mean_latency_s',
        'pending',
        'refusals',
        'seq',
        'store',
        'tasks',
        'timeout_s',
        'topic',
        'waiting_count',
    )

    def __init__(
        self, store: KeyedStore, topic: str, epoch: int, log: DecisionLog
    ) -> None:
        self.store = store
        self.topic = topic
        self.epoch = epoch
        self.log = log
        self.seq = 0
        #: The offset of the epoch's first record, ``None`` while unknown.
        self.first_offset: int | None = None
        #: Sequence numbers and futures of the appends not stored yet, in order.
        self.pending: collections.deque[tuple[int, StoredFuture]] = (
            collections.deque()
        )
        #: Why the store refused the records of appends, by sequence number.
        self.refusals: dict[int, RecordsRefused] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.append_done = asyncio.Event()
        self.end_failure: Failure | None = None
        #: The appends that wait for earlier ones before they are sent again.
        self.waiting_count = 0
        self.last_append_at = 0.0
        self.mean_latency_s = 0.0
        self.timeout_s = MIN_TIMEOUT_S
        #: When the first failed append since the last success was sent.
        self.failing_since: float | None = None

    async def raise_epoch(self) -> Failure | None:
        """Make the topic refuse appends of earlier epochs.

        This needs a record.  An append without records leaves the epoch's first
        sequence number undefined.  If a later append then overtook the first
        one, the store would take the first one for a repeat.
        """
        stored: StoredFuture = asyncio.get_running_loop().create_future()
        self.start_append([self._epoch_record()], stored)
        return await stored

    def start_append(self, records: list[Record], stored: StoredFuture) -> None:
        """Send an append.

        ``stored`` gets ``None`` once this append and all before it are stored,
        or the failure that has ended the epoch.  It gets ``RecordsRefused`` if
        the store refuses the records for good; those before and after it are
        stored all the same.
        """
        self.seq += 1
        self.last_append_at = now()
        self.pending.append((self.seq, stored))
        task = asyncio.create_task(self._append(self.seq, records))
        self.tasks.add(task)
        task.add_done_callback(self._on_append_done)

    async def wait_for_slot(self) -> None:
        """Wait until another append may start, or the epoch is over."""
        while self.end_failure is None and self.tasks:
            if self.waiting_count == 0 and (
                len(self.tasks) < MAX_APPENDS_IN_FLIGHT
            ):
                left_s = self.last_append_at + OVERLAP_DELAY_S - now()
                if left_s <= 0:
                    return
            else:
                left_s = MAX_TIMEOUT_S
            self.append_done.clear()
            # After the time limit, the append in flight is overlapped.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.append_done.wait()

    def is_stalled(self) -> bool:
        """Return whether appends have failed for ``STALL_S``."""
        since = self.failing_since
        return since is not None and now() - since >= STALL_S

    def end_epoch(self, failure: Failure) -> None:
        """End the epoch; all pending futures get ``failure``."""
        if self.end_failure is None:
            self.end_failure = failure
        self.append_done.set()
        while self.pending:
            _, stored = self.pending.popleft()
            if not stored.done():
                stored.set_result(failure)

    def _on_append_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        self.append_done.set()

    async def _append(self, seq: int, records: list[Record]) -> None:
        producer = Producer(PRODUCER_NAME, self.epoch, seq)
        began_at = now()
        pauses = _retry_pauses()
        while self.end_failure is None:
            sent_at = now()
            reply = await self._append_hedged(records, producer)
            if not isinstance(reply, Failure):
                self._record_success(seq, reply, sent_at)
                self._log_if_slow(seq, records, began_at)
                return
            if self._handle_rejection(seq, reply):
                return
            if isinstance(reply, RecordsRefused) and seq not in self.refusals:
                # The next append must follow one with this sequence number.
                self._record_refusal(seq, records, reply)
                records = [self._epoch_record()]
                continue
            await self._wait_to_retry(seq, reply, sent_at, pauses)

    async def _wait_to_retry(
        self,
        seq: int,
        failure: Failure,
        sent_at: float,
        pauses: Iterator[float],
    ) -> None:
        if isinstance(failure, StoreRejected) and self._is_behind(seq):
            await self._wait_while(self._is_behind, seq)
            return
        self._record_failure(seq, failure, sent_at)
        await asyncio.sleep(next(pauses))
        # While an earlier append fails, it alone probes the store.
        await self._wait_while(self._is_behind_failure, seq)

    async def _wait_while(
        self, is_behind: Callable[[int], bool], seq: int
    ) -> None:
        self.waiting_count += 1
        while is_behind(seq):
            self.append_done.clear()
            await self.append_done.wait()
        self.waiting_count -= 1

    def _is_behind(self, seq: int) -> bool:
        """Return whether an earlier append is not stored yet."""
        return (
            self.end_failure is None
            and bool(self.pending)
            and self.pending[0][0] < seq
        )

    def _is_behind_failure(self, seq: int) -> bool:
        return self.failing_since is not None and self._is_behind(seq)

    async def _append_hedged(
        self, records: list[Record], producer: Producer
    ) -> Appended | Failure:
        """Append, a second time if there is no reply within ``timeout_s``.

        The first reply counts, so that neither a lost reply nor a store that
        has become slow costs more time than needed.
        """
        sent_at = now()
        calls = [self._start_call(records, producer)]
        done, _ = await asyncio.wait(calls, timeout=self.timeout_s)
        if not done:
            self.timeout_s = min(2 * self.timeout_s, MAX_TIMEOUT_S)
            if self.failing_since is None:
                self.failing_since = sent_at
            calls.append(self._start_call(records, producer))
            done, _ = await asyncio.wait(
                calls, return_when=asyncio.FIRST_COMPLETED
            )
        for call in calls:
            call.cancel()
        return next(iter(done)).result()

    def _start_call(
        self, records: list[Record], producer: Producer
    ) -> asyncio.Task[Appended | Failure]:
        return asyncio.create_task(
            self.store.append(
                self.topic,
                records,
                producer=producer,
                timeout_s=MAX_TIMEOUT_S,
            )
        )

    def _record_success(
        self, seq: int, reply: Appended, sent_at: float
    ) -> None:
        self._record_latency(now() - sent_at)
        if self.first_offset is None and seq == 1:
            self.first_offset = reply.offset
        self._resolve_stored(seq)

    def _log_if_slow(
        self, seq: int, records: list[Record], began_at: float
    ) -> None:
        took_s = now() - began_at
        if took_s >= SLOW_APPEND_S:
            self.log.write(
                'append-slow',
                seq=seq,
                records=len(records),
                bytes=_payload_bytes(records),
                took_s=round(took_s, 3),
                in_flight=len(self.tasks),
            )

    def _epoch_record(self) -> Record:
        return EPOCH_KEY, str(self.epoch).encode()

    def _record_refusal(
        self, seq: int, records: list[Record], failure: RecordsRefused
    ) -> None:
        self.refusals[seq] = failure
        self.log.write(
            'append-refused',
            seq=seq,
            records=len(records),
            bytes=_payload_bytes(records),
            reason=failure.reason,
        )

    def _handle_rejection(self, seq: int, failure: Failure) -> bool:
        """Return whether a failed append must not be retried."""
        if not isinstance(failure, StoreRejected):
            return False
        expected = failure.fields.get('expected')
        if expected is None:
            self.end_epoch(
                NotOwner(f'epoch {self.epoch} is over: {failure.reason}')
            )
            return True
        if int(expected) > seq:
            # It has been stored, and the response was lost.
            self._resolve_stored(seq)
            return True
        return False

    def _record_failure(
        self, seq: int, failure: Failure, sent_at: float
    ) -> None:
        if isinstance(failure, StoreRejected):
            # It arrived before the previous append.
            return
        self.timeout_s = min(2 * self.timeout_s, MAX_TIMEOUT_S)
        if self.failing_since is None:
            self.failing_since = sent_at
        self.log.write('append-retry', seq=seq, reason=failure.reason)

    def _resolve_stored(self, seq: int) -> None:
        # The store accepts appends in order: all before it are stored, too.
        self.failing_since = None
        while self.pending and self.pending[0][0] <= seq:
            stored_seq, stored = self.pending.popleft()
            refusal = self.refusals.pop(stored_seq, None)
            if not stored.done():
                stored.set_result(refusal)

    def _record_latency(self, took_s: float) -> None:
        self.log.metrics.observe('append', took_s)
        self.mean_latency_s += LATENCY_WEIGHT * (took_s - self.mean_latency_s)
        self.timeout_s = min(
            max(TIMEOUT_FACTOR * self.mean_latency_s, MIN_TIMEOUT_S),
            MAX_TIMEOUT_S,
        )


def _retry_pauses() -> Iterator[float]:
    """Yield the pauses in seconds before each retry of an append."""
    pause_s = RETRY_S
    while True:
        yield pause_s * (1 + random.random())
        pause_s = min(2 * pause_s, MAX_RETRY_S)


def _payload_bytes(records: list[Record]) -> int:
    return sum(len(key) + len(blob) for key, blob in records)
