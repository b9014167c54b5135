"""The platform's keyed store: offsets, epochs, repeats and newest records."""

import asyncio
import collections
import math
import random
from typing import Final, final

from berylspread.coordinator.interface import (
    Appended,
    Batch,
    KeyedItem,
    Producer,
    Record,
    RecordsRefused,
    Snapshot,
    StoreRejected,
)
from berylspread.coordinator.records import DEFAULT_RECORD_BYTES
from berylspread.kernel.errors import Failure, LogGap, LogUnavailable
from berylspread_standins.exchange import call_outside, detach

#: A repeat of one of this many newest appends gets its first answer again.
REMEMBERED: Final = 5
#: How late an append may be carried out.
MIN_LATE_S: Final = 1.0
MAX_LATE_S: Final = 6.0


@final
class _Fence:
    """What a topic remembers of one producer.

    ``seq`` is ``None`` in an epoch that has appended no record: any sequence
    number may be its first.
    """

    __slots__ = ('answers', 'epoch', 'seq')

    def __init__(self) -> None:
        self.epoch = 0
        self.seq: int | None = None
        self.answers: collections.OrderedDict[int, Appended] = (
            collections.OrderedDict()
        )


@final
class _Topic:
    """Records in order, and the offset of the oldest that is retained."""

    __slots__ = ('fences', 'first', 'grown', 'records')

    def __init__(self) -> None:
        self.records: list[Record] = []
        self.fences: dict[str, _Fence] = {}
        self.first = 0
        self.grown = asyncio.Event()


@final
class StoreStandin:
    """The state of the store, which all nodes' views share."""

    __slots__ = (
        'answer_s',
        'is_down',
        'jitter_s',
        'late_share',
        'lost_prefixes',
        'record_bytes',
        'refused_keys',
        'rng',
        'topics',
    )

    def __init__(self, *, answer_s: float = 0.004, seed: int = 1) -> None:
        """Start empty; an answer takes ``answer_s`` seconds.

        Calls overtake each other if ``jitter_s`` is set: up to so much more.
        ``late_share`` of the appends over HTTP are carried out seconds late.
        Appends with a record that is longer than ``record_bytes``, or with one
        of the ``refused_keys``, are refused for good.  Those with a key that
        begins with one of the ``lost_prefixes`` are lost.
        """
        self.answer_s = answer_s
        self.jitter_s = 0.0
        self.late_share = 0.0
        self.record_bytes = DEFAULT_RECORD_BYTES
        self.refused_keys: set[str] = set()
        self.lost_prefixes: tuple[str, ...] = ()
        self.rng = random.Random(seed)
        self.is_down = False
        self.topics: dict[str, _Topic] = {}

    async def wait_if_late(self) -> None:
        """Wait some seconds if the call is one of the late ones."""
        if self.rng.random() < self.late_share:
            await asyncio.sleep(self.rng.uniform(MIN_LATE_S, MAX_LATE_S))

    def topic(self, name: str) -> _Topic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, _Topic())

    def append(
        self,
        name: str,
        records: list[Record],
        producer: Producer | None = None,
        at: int | None = None,
    ) -> Appended | StoreRejected | RecordsRefused:
        """Append by the store's rules, at once."""
        for key, blob in records:
            if len(key) + len(blob) > self.record_bytes:
                return RecordsRefused('the record is too long', key=key)
            if key in self.refused_keys and blob:
                return RecordsRefused('the record is refused', key=key)
        topic = self.topic(name)
        if at is not None and at != len(topic.records):
            return StoreRejected('the topic has grown', end=len(topic.records))
        if producer is not None:
            fence = topic.fences.setdefault(producer.name, _Fence())
            known = _check(fence, producer)
            if known is not None:
                return known
        offset = len(topic.records)
        topic.records.extend(records)
        appended = Appended(offset, len(topic.records))
        if producer is not None:
            _remember(topic.fences[producer.name], producer, appended)
        topic.grown.set()
        topic.grown = asyncio.Event()
        return appended

    def newest(self, name: str) -> Snapshot:
        """Return the newest record of each key that has a value."""
        topic = self.topic(name)
        newest = {
            key: KeyedItem(key, blob, offset)
            for offset, (key, blob) in enumerate(topic.records)
        }
        return Snapshot(
            [item for item in newest.values() if item.blob],
            len(topic.records),
        )

    def forget(self, name: str) -> None:
        """Drop the history of a topic; the newest records stay."""
        topic = self.topic(name)
        topic.first = len(topic.records)


@final
class StoreView:
    """One node's way to the store; implements ``KeyedStore``.

    ``is_cut`` loses its calls; ``is_refused`` turns them away.  Reads of
    ``silent_topics`` get no reply.
    ``lose_answers`` counts appends that are done
    and not answered, ``lose_changes``, by topic, those that never arrive;
    ``reads`` and ``appends`` count the calls by topic.
    """

    __slots__ = (
        'appends',
        'far_s',
        'is_cut',
        'is_refused',
        'lose_answers',
        'lose_changes',
        'reads',
        'silent_topics',
        'store',
    )

    def __init__(self, store: StoreStandin, *, far_s: float = 0.0) -> None:
        """Reach the store with ``far_s`` seconds more each time."""
        self.store = store
        self.far_s = far_s
        self.is_cut = False
        self.is_refused = False
        self.lose_answers = 0
        self.lose_changes: collections.Counter[str] = collections.Counter()
        self.reads: collections.Counter[str] = collections.Counter()
        self.appends: collections.Counter[str] = collections.Counter()
        self.silent_topics: set[str] = set()

    async def append(
        self,
        topic: str,
        records: list[Record],
        *,
        producer: Producer | None = None,
        at: int | None = None,
        timeout_s: float,
    ) -> Appended | Failure:
        """Append after the way there; see ``KeyedStore``."""
        return await call_outside(
            self._append(topic, records, producer, at, timeout_s)
        )

    async def read_newest(
        self, topic: str, *, timeout_s: float
    ) -> Snapshot | Failure:
        """Return the newest records."""
        return await call_outside(self._read_newest(topic, timeout_s))

    async def read_from(
        self, topic: str, offset: int, *, wait_s: float, timeout_s: float
    ) -> Batch | Failure:
        """Return records from an offset on, or none after the wait."""
        return await call_outside(
            self._read_from(topic, offset, wait_s, timeout_s)
        )

    async def _append(
        self,
        topic: str,
        records: list[Record],
        producer: Producer | None,
        at: int | None,
        timeout_s: float,
    ) -> Appended | Failure:
        self.appends[topic] += 1
        way_s = self._way_s()
        if way_s > timeout_s and not (self.is_cut or self.store.is_down):
            detach(self._append_late(way_s, topic, records, producer, at))
        failure = await self._travel(way_s, timeout_s)
        if failure is not None:
            return failure
        is_lost = any(
            key.startswith(self.store.lost_prefixes) for key, _ in records
        )
        if is_lost or self.lose_changes[topic] > 0:
            self.lose_changes[topic] -= not is_lost
            await asyncio.sleep(timeout_s)
            return LogUnavailable('no answer')
        reply = self.store.append(topic, records, producer, at)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            await asyncio.sleep(timeout_s)
            return LogUnavailable('the answer was lost')
        return reply

    async def _read_newest(
        self, topic: str, timeout_s: float
    ) -> Snapshot | Failure:
        failure = await self._begin_read(topic, timeout_s)
        return self.store.newest(topic) if failure is None else failure

    async def _read_from(
        self, topic: str, offset: int, wait_s: float, timeout_s: float
    ) -> Batch | Failure:
        failure = await self._begin_read(topic, timeout_s)
        if failure is not None:
            return failure
        found = self.store.topic(topic)
        if offset < found.first:
            return LogGap('records are no longer retained')
        if offset >= len(found.records):
            await self._wait_for_growth(topic, wait_s)
        return Batch(
            [
                KeyedItem(key, blob, offset + index)
                for index, (key, blob) in enumerate(found.records[offset:])
            ],
            len(found.records),
        )

    async def _begin_read(
        self, topic: str, timeout_s: float
    ) -> LogUnavailable | None:
        self.reads[topic] += 1
        way_s = math.inf if topic in self.silent_topics else self._way_s()
        return await self._travel(way_s, timeout_s)

    async def _wait_for_growth(self, topic: str, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s):
                await self.store.topic(topic).grown.wait()
        except TimeoutError:
            # An empty batch tells the caller.
            return

    def _way_s(self) -> float:
        jitter_s = self.store.jitter_s * self.store.rng.random()
        return self.store.answer_s + self.far_s + jitter_s

    async def _travel(
        self, way_s: float, timeout_s: float
    ) -> LogUnavailable | None:
        if self.is_cut or way_s > timeout_s:
            await asyncio.sleep(timeout_s)
            return LogUnavailable('no answer')
        await asyncio.sleep(way_s)
        if self.store.is_down or self.is_refused:
            return LogUnavailable('status 503', done=False)
        return None

    async def _append_late(
        self,
        way_s: float,
        topic: str,
        records: list[Record],
        producer: Producer | None,
        at: int | None,
    ) -> None:
        await asyncio.sleep(way_s)
        self.store.append(topic, records, producer, at)


def _check(
    fence: _Fence, producer: Producer
) -> Appended | StoreRejected | None:
    if producer.epoch < fence.epoch:
        return StoreRejected('fenced')
    if producer.epoch > fence.epoch:
        return None
    known = fence.answers.get(producer.seq)
    if known is not None:
        return known
    if fence.seq is not None and producer.seq != fence.seq + 1:
        return StoreRejected('seq', expected=fence.seq + 1)
    return None


def _remember(fence: _Fence, producer: Producer, appended: Appended) -> None:
    if producer.epoch > fence.epoch:
        fence.epoch = producer.epoch
        fence.seq = None
        fence.answers.clear()
    if appended.end == appended.offset:
        # Without a record the epoch is set and its sequence left open.
        return
    fence.seq = producer.seq
    fence.answers[producer.seq] = appended
    while len(fence.answers) > REMEMBERED:
        fence.answers.popitem(last=False)
