"""Group commit: one append carries the records of many callers.

One append is in flight at a time.  A batch whose reply was lost is sent again
under the same sequence number until it is confirmed, either by the store or by
a reader that finds it in the log.  No later batch is sent before that.
"""

import asyncio
import collections
import random
from typing import Final, final

import msgspec
from absl import logging

from berylspread.kernel.clock import now
from berylspread.kernel.errors import (
    Failure,
    InvalidInput,
    LogUnavailable,
    Overloaded,
)
from berylspread.log.interface import LogStore
from berylspread.log.records import Record
from berylspread.log.state import ClusterState

MAX_BATCH_BYTES: Final = 262_144
MAX_WAITING_BYTES: Final = 4_194_304
MAX_BACKOFF_DOUBLINGS: Final = 10
_encoder: Final = msgspec.msgpack.Encoder()


@final
class AppenderSettings(msgspec.Struct, frozen=True):
    """Limits of one appender: seconds, bytes and counts.

    ``read_back_s`` limits the wait for a reader to find the first copy of a
    batch that was sent more than once; 0 if no reader uses
    ``confirm_from_log``.
    """

    min_interval_s: float = 0.1
    call_timeout_s: float = 5.0
    backoff_s: float = 0.1
    max_backoff_s: float = 2.0
    read_back_s: float = 1.0
    max_batch_bytes: int = MAX_BATCH_BYTES
    max_waiting_bytes: int = MAX_WAITING_BYTES
    max_waiting_calls: int = 10_000


@final
class AppendCounts:
    """Counters of an appender since its start."""

    __slots__ = (
        'appends',
        'batches',
        'overloaded',
        'records',
        'retries',
        'sent_bytes',
        'timeouts',
    )

    def __init__(self) -> None:
        self.appends = 0
        self.batches = 0
        self.overloaded = 0
        self.records = 0
        self.retries = 0
        self.sent_bytes = 0
        self.timeouts = 0


@final
class _PendingAppend:
    """The encoded records of one caller, and the future of the result."""

    __slots__ = ('records', 'result', 'sent', 'size')

    def __init__(self, records: list[msgspec.Raw]) -> None:
        self.records = records
        self.size = sum(len(record) for record in records)
        self.result: asyncio.Future[int | Failure] = (
            asyncio.get_running_loop().create_future()
        )
        self.sent = False

    def resolve(self, result: int | Failure) -> None:
        if not self.result.done():
            self.result.set_result(result)


@final
class _RawBatch(msgspec.Struct, frozen=True):
    """A ``Batch`` whose records are already encoded."""

    writer: str
    sequence: int
    records: list[msgspec.Raw]


@final
class _InFlightBatch:
    """The batch that is being sent."""

    __slots__ = (
        'attempts',
        'blob',
        'observed_offset',
        'pending_appends',
        'sequence',
    )

    def __init__(
        self, sequence: int, blob: bytes, pending_appends: list[_PendingAppend]
    ) -> None:
        self.sequence = sequence
        self.blob = blob
        self.pending_appends = pending_appends
        self.attempts = 0
        self.observed_offset: asyncio.Future[int] = (
            asyncio.get_running_loop().create_future()
        )


@final
class Appender:
    """Appends records for this node under one writer id.

    The writer id must be new at each start of the process, since sequence
    numbers begin at 1.  ``append`` returns a confirmed offset only while
    ``run`` is running.
    """

    __slots__ = (
        'counts',
        'in_flight',
        'last_sent_at',
        'records_waiting',
        'rng',
        'sequence',
        'settings',
        'store',
        'waiting',
        'waiting_bytes',
        'writer',
    )

    def __init__(
        self,
        store: LogStore,
        writer: str,
        settings: AppenderSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Create an appender; ``rng`` is the source of the backoff jitter."""
        self.store = store
        self.writer = writer
        self.settings = settings or AppenderSettings()
        self.rng = rng or random.Random()
        self.counts = AppendCounts()
        self.sequence = 0
        self.waiting: collections.deque[_PendingAppend] = collections.deque()
        self.waiting_bytes = 0
        self.records_waiting = asyncio.Event()
        self.in_flight: _InFlightBatch | None = None
        self.last_sent_at = float('-inf')

    async def append(
        self, *records: Record, timeout_s: float | None = None
    ) -> int | Failure:
        """Append records that take effect together; return their offset.

        A state that covers the offset contains the records.  If the store
        wrote the append twice, the offset may be that of the second copy.

        Returns ``LogUnavailable`` after ``timeout_s`` seconds; its field
        ``may_have_applied`` is false if the records were not sent and never
        will be.  Returns ``Overloaded`` if too many records are waiting, and
        ``InvalidInput`` if the records exceed the size limit of a batch.
        """
        pending = _PendingAppend(
            [msgspec.Raw(_encoder.encode(record)) for record in records]
        )
        refusal = self._find_refusal(pending)
        if refusal is not None:
            return refusal
        self.waiting.append(pending)
        self.waiting_bytes += pending.size
        self.records_waiting.set()
        if timeout_s is None:
            timeout_s = self.settings.call_timeout_s
        try:
            async with asyncio.timeout(timeout_s):
                return await pending.result
        except TimeoutError:
            self.counts.timeouts += 1
            return _timeout_failure(pending, timeout_s)
        finally:
            self._remove_unsent(pending)

    def confirm_from_log(self, writer: str, sequence: int, offset: int) -> None:
        """Confirm the batch in flight if a reader found it in the log."""
        batch = self.in_flight
        if batch is None or writer != self.writer:
            return
        if sequence >= batch.sequence and not batch.observed_offset.done():
            batch.observed_offset.set_result(offset)

    def subscribe_to(self, state: ClusterState) -> None:
        """Confirm batches that the folded state has applied or restored."""
        state.on_batch(self.confirm_from_log)
        state.on_restore(
            lambda: self.confirm_from_log(
                self.writer,
                state.writers.last_sequence(self.writer),
                state.offset,
            )
        )

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self.records_waiting.wait()
            await self._wait_for_interval(0.0)
            batch = self._next_batch()
            if batch is None:
                continue
            self.in_flight = batch
            result = await self._send_until_confirmed(batch)
            self.in_flight = None
            for pending in batch.pending_appends:
                pending.resolve(result)

    def _find_refusal(self, pending: _PendingAppend) -> Failure | None:
        limits = self.settings
        if pending.size > limits.max_batch_bytes:
            return InvalidInput(
                f'{pending.size} bytes of records exceed the append limit',
                size=pending.size,
                limit=limits.max_batch_bytes,
            )
        if (
            len(self.waiting) >= limits.max_waiting_calls
            or self.waiting_bytes + pending.size > limits.max_waiting_bytes
        ):
            self.counts.overloaded += 1
            return Overloaded(
                'too many records are waiting for the log',
                waiting=len(self.waiting),
                waiting_bytes=self.waiting_bytes,
            )
        return None

    def _remove_unsent(self, pending: _PendingAppend) -> None:
        """Remove an unsent append whose caller no longer waits."""
        if pending.sent:
            return
        self.waiting.remove(pending)
        self.waiting_bytes -= pending.size

    def _next_batch(self) -> _InFlightBatch | None:
        pending_appends: list[_PendingAppend] = []
        size = 0
        while self.waiting:
            pending = self.waiting[0]
            if size + pending.size > self.settings.max_batch_bytes:
                break
            size += pending.size
            pending_appends.append(self.waiting.popleft())
            pending.sent = True
        self.waiting_bytes -= size
        if not self.waiting:
            self.records_waiting.clear()
        if not pending_appends:
            return None
        self.sequence += 1
        records = [
            record for pending in pending_appends for record in pending.records
        ]
        self.counts.batches += 1
        self.counts.records += len(records)
        blob = _encoder.encode(_RawBatch(self.writer, self.sequence, records))
        return _InFlightBatch(self.sequence, blob, pending_appends)

    async def _send_until_confirmed(
        self, batch: _InFlightBatch
    ) -> int | Failure:
        """Send the batch until the store or a reader confirms it.

        There is no time limit; only ``InvalidInput`` ends the attempts.
        """
        while True:
            result = await self._send_once(batch)
            if isinstance(result, int):
                return result
            if isinstance(result, InvalidInput):
                return result
            logging.log_every_n_seconds(
                logging.WARNING, 'append not confirmed: %r', 10, result
            )
            self.counts.retries += 1
            await self._wait_for_interval(
                self._backoff_s(batch.attempts), batch
            )

    async def _send_once(self, batch: _InFlightBatch) -> int | Failure:
        if batch.observed_offset.done():
            return batch.observed_offset.result()
        batch.attempts += 1
        self.last_sent_at = now()
        self.counts.appends += 1
        self.counts.sent_bytes += len(batch.blob)
        sending = asyncio.ensure_future(self.store.append(batch.blob))
        try:
            await asyncio.wait(
                (sending, batch.observed_offset),
                return_when=asyncio.FIRST_COMPLETED,
            )
        finally:
            if not sending.done():
                sending.cancel()
        if batch.observed_offset.done():
            return batch.observed_offset.result()
        result = sending.result()
        if isinstance(result, int) and batch.attempts > 1:
            return await self._first_copy_offset(batch, result)
        return result

    async def _first_copy_offset(
        self, batch: _InFlightBatch, offset: int
    ) -> int:
        """Return the offset of the first copy of a batch.

        An earlier attempt may have written it.  Returns ``offset`` if no reader
        finds the batch in time.
        """
        await asyncio.wait(
            (batch.observed_offset,), timeout=self.settings.read_back_s
        )
        return (
            batch.observed_offset.result()
            if batch.observed_offset.done()
            else offset
        )

    async def _wait_for_interval(
        self, min_delay_s: float, batch: _InFlightBatch | None = None
    ) -> None:
        """Wait until the next append is due, or until a reader confirms."""
        free_at = self.last_sent_at + self.settings.min_interval_s
        delay_s = max(free_at - now(), min_delay_s)
        if delay_s <= 0:
            return
        if batch is None:
            await asyncio.sleep(delay_s)
        else:
            await asyncio.wait((batch.observed_offset,), timeout=delay_s)

    def _backoff_s(self, attempts: int) -> float:
        limits = self.settings
        ceiling = min(
            limits.backoff_s * 2 ** min(attempts, MAX_BACKOFF_DOUBLINGS),
            limits.max_backoff_s,
        )
        return self.rng.uniform(ceiling / 2, ceiling)


def _timeout_failure(
    pending: _PendingAppend, timeout_s: float
) -> LogUnavailable:
    return LogUnavailable(
        f'the log has not confirmed the append for {timeout_s} s',
        may_have_applied=pending.sent,
        timeout_s=timeout_s,
    )
