"""Appends of one epoch to a topic: in order, repeated until stored, fenced.

Load pattern: a store whose answers take 0.3 s for a while.  Appends overlap, so
that a change does not wait for the answer to the one before; sequence numbers
keep their order and make a repeat harmless.
"""

import asyncio
import collections
import contextlib
import random
from typing import Final, final

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.interface import (
    KeyedStore,
    Producer,
    Record,
    StoreRejected,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, NotOwner

PRODUCER_NAME: Final = 'coordinator'
#: Holds the epoch that appends to the topic now.
EPOCH_KEY: Final = 'epoch'
#: An append without an answer is repeated after a multiple of what answers
#: have lately taken, within these bounds: a repeat is harmless, and the lower
#: bound is several answers from the other region.
MIN_TIMEOUT_S: Final = 0.25
MAX_TIMEOUT_S: Final = 1.5
TIMEOUT_FACTOR: Final = 4
#: Weight of the newest answer in the moving mean.
LATENCY_WEIGHT: Final = 0.2
#: After this time of failed appends the store counts as out of service: several
#: repeats of an append whose answer was lost fit into it.
STALL_S: Final = 0.6
#: Pause before an append is repeated, up to twice as much by jitter.
RETRY_S: Final = 0.05
#: Appends under way; the store answers a repeat of the last five alike, and a
#: repeat must be among them.
MAX_APPENDS_IN_FLIGHT: Final = 4
#: Another append begins while one is under way only after this time: answers
#: usually take less, and fuller batches cost less.
OVERLAP_DELAY_S: Final = 0.03

StoredFuture = asyncio.Future[Failure | None]


@final
class FencedLog:
    """Appends batches under one epoch until it is over."""

    __slots__ = (
        'append_done',
        'end_failure',
        'epoch',
        'failing_since',
        'last_append_at',
        'log',
        'mean_latency_s',
        'pending',
        'seq',
        'store',
        'tasks',
        'timeout_s',
        'topic',
    )

    def __init__(
        self, store: KeyedStore, topic: str, epoch: int, log: DecisionLog
    ) -> None:
        """Take the topic and the epoch."""
        self.store = store
        self.topic = topic
        self.epoch = epoch
        self.log = log
        self.seq = 0
        #: Futures by the sequence number that they wait for, in order.
        self.pending: collections.deque[tuple[int, StoredFuture]] = (
            collections.deque()
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.append_done = asyncio.Event()
        self.end_failure: Failure | None = None
        self.last_append_at = 0.0
        self.mean_latency_s = 0.0
        self.timeout_s = MIN_TIMEOUT_S
        #: When the appends that fail since were first sent.
        self.failing_since: float | None = None

    async def raise_epoch(self) -> Failure | None:
        """Let the topic refuse appends of earlier epochs.

        A record does that: an append without any would leave open with which
        sequence number the epoch begins, and a later append that overtakes the
        first would make it pass for a repeat of what is stored.
        """
        stored: StoredFuture = asyncio.get_running_loop().create_future()
        self.start_append([(EPOCH_KEY, str(self.epoch).encode())], stored)
        return await stored

    def start_append(self, records: list[Record], stored: StoredFuture) -> None:
        """Send an append; the future is done once it and all before are."""
        self.seq += 1
        self.last_append_at = now()
        self.pending.append((self.seq, stored))
        task = asyncio.create_task(self._append(self.seq, records))
        self.tasks.add(task)
        task.add_done_callback(self._on_append_done)

    async def wait_for_slot(self) -> None:
        """Wait until another append is due."""
        while self.end_failure is None and self.tasks:
            if len(self.tasks) < MAX_APPENDS_IN_FLIGHT:
                left_s = self.last_append_at + OVERLAP_DELAY_S - now()
                if left_s <= 0:
                    return
            else:
                left_s = MAX_TIMEOUT_S
            self.append_done.clear()
            # One that takes longer than usual is overlapped.
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.append_done.wait()

    def is_stalled(self) -> bool:
        """Return whether the store has not taken an append for a while."""
        since = self.failing_since
        return since is not None and now() - since >= STALL_S

    def end_epoch(self, failure: Failure) -> None:
        """End the epoch: what waits is answered by the failure."""
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
        while self.end_failure is None:
            sent_at = now()
            reply = await self.store.append(
                self.topic,
                records,
                producer=producer,
                timeout_s=self.timeout_s,
            )
            if not isinstance(reply, Failure):
                self._record_latency(now() - sent_at)
                self._resolve_stored(seq)
                return
            if self._handle_rejection(seq, reply):
                return
            self._record_failure(seq, reply, sent_at)
            await asyncio.sleep(RETRY_S * (1 + random.random()))

    def _handle_rejection(self, seq: int, failure: Failure) -> bool:
        if not isinstance(failure, StoreRejected):
            return False
        expected = failure.fields.get('expected')
        if expected is None:
            self.end_epoch(
                NotOwner(f'epoch {self.epoch} is over: {failure.reason}')
            )
            return True
        if int(expected) > seq:
            # It was stored, and its answer lost.
            self._resolve_stored(seq)
            return True
        return False

    def _record_failure(
        self, seq: int, failure: Failure, sent_at: float
    ) -> None:
        if isinstance(failure, StoreRejected):
            # It has overtaken the one before.
            return
        self.timeout_s = min(2 * self.timeout_s, MAX_TIMEOUT_S)
        if self.failing_since is None:
            self.failing_since = sent_at
        self.log.write('append-retry', seq=seq, reason=failure.reason)

    def _resolve_stored(self, seq: int) -> None:
        # The store takes them in order: all before are stored, too.
        self.failing_since = None
        while self.pending and self.pending[0][0] <= seq:
            _, stored = self.pending.popleft()
            if not stored.done():
                stored.set_result(None)

    def _record_latency(self, took_s: float) -> None:
        self.log.metrics.observe('append', took_s)
        self.mean_latency_s += LATENCY_WEIGHT * (took_s - self.mean_latency_s)
        self.timeout_s = min(
            max(TIMEOUT_FACTOR * self.mean_latency_s, MIN_TIMEOUT_S),
            MAX_TIMEOUT_S,
        )
