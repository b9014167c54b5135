"""The platform's log as a stand-in: the service, and clients with faults."""

import asyncio
import collections
import contextlib
import random
from typing import Final, final

from berylspread.kernel.clock import WallClock, now
from berylspread.kernel.errors import Failure, LogUnavailable
from berylspread.log.interface import Entry, Page
from berylspread_standins.exchange import exchange
from berylspread_standins.gate import Gate
from berylspread_standins.network import Endpoint, Network

APPEND_LATENCY_S: Final = 0.005
APPENDS_PER_S: Final = 400.0
#: Appends beyond this backlog are refused, in seconds.
APPEND_BACKLOG_S: Final = 5.0
CLIENT_TIMEOUT_S: Final = 2.0
#: Bytes of a request or an answer besides the entries.
HEADER_BYTES: Final = 200


@final
class Retention:
    """How much the service keeps; ``None`` keeps all."""

    __slots__ = ('age_s', 'size', 'total_bytes')

    def __init__(
        self,
        *,
        size: int | None = None,
        total_bytes: int | None = None,
        age_s: float | None = None,
    ) -> None:
        """Keep at most ``size`` entries, ``total_bytes`` and ``age_s``."""
        self.size = size
        self.total_bytes = total_bytes
        self.age_s = age_s


@final
class LogService:
    """The service's state, shared by all clients.

    In an outage (``is_down``) appends and reads are refused without effect;
    ``slow_s`` is added to each answer.
    """

    __slots__ = (
        'appends_per_s',
        'changed',
        'entries',
        'first',
        'free_at',
        'is_down',
        'latency_s',
        'lose_answer',
        'retained_bytes',
        'retention',
        'slow_s',
        'wall',
    )

    def __init__(
        self,
        *,
        retention: Retention | None = None,
        latency_s: float = APPEND_LATENCY_S,
        appends_per_s: float = APPENDS_PER_S,
        wall: WallClock | None = None,
    ) -> None:
        """Start with an empty log; the first offset is 1."""
        self.retention = retention or Retention()
        self.latency_s = latency_s
        self.appends_per_s = appends_per_s
        self.wall = wall or WallClock()
        self.entries: collections.deque[Entry] = collections.deque()
        self.first = 1
        self.retained_bytes = 0
        self.free_at = 0.0
        self.is_down = False
        self.slow_s = 0.0
        #: Probability that an append has effect and its answer is lost.
        self.lose_answer = 0.0
        self.changed = asyncio.Event()

    @property
    def end(self) -> int:
        """Return the offset of the next entry."""
        return self.first + len(self.entries)

    async def append(self, blob: bytes) -> int | Failure:
        """Append an entry in turn, and answer after the service's latency."""
        if self.is_down:
            return _unavailable('outage', may_have_applied=False)
        start = max(now(), self.free_at)
        if start - now() > APPEND_BACKLOG_S:
            return _unavailable('too many appends', may_have_applied=False)
        self.free_at = start + 1 / self.appends_per_s
        await asyncio.sleep(start - now() + self.latency_s + self.slow_s)
        return self.publish(blob)

    def publish(self, blob: bytes) -> int:
        """Append an entry at once and return its offset."""
        offset = self.end
        self.entries.append(Entry(offset, blob, self.wall.time()))
        self.retained_bytes += len(blob)
        self.expire()
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    async def read(
        self, offset: int, *, limit: int, wait_s: float
    ) -> Page | Failure:
        """Return entries from ``offset`` on; none if ``offset`` has expired."""
        await asyncio.sleep(self.slow_s)
        if offset >= self.end and wait_s > 0 and not self.is_down:
            await self._wait(offset, wait_s)
        if self.is_down:
            return _unavailable('outage', may_have_applied=False)
        self.expire()
        return Page(self.first, self.end, self._slice(offset, limit))

    def expire(self) -> None:
        """Drop the entries that the retention no longer covers."""
        while self.entries and self._is_expired(self.entries[0]):
            self._drop_first()

    def cut_retention(self, first: int) -> None:
        """Drop every entry before ``first``, whatever the retention says."""
        while self.entries and self.first < first:
            self._drop_first()

    async def _wait(self, offset: int, wait_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                while offset >= self.end:
                    await self.changed.wait()

    def _slice(self, offset: int, limit: int) -> list[Entry]:
        if offset < self.first:
            return []
        start = offset - self.first
        stop = min(start + limit, len(self.entries))
        return [self.entries[index] for index in range(start, stop)]

    def _is_expired(self, oldest: Entry) -> bool:
        kept = self.retention
        age_s = self.wall.time() - oldest.appended_at
        return (
            _exceeds(len(self.entries), kept.size)
            or _exceeds(self.retained_bytes, kept.total_bytes)
            or _exceeds(age_s, kept.age_s)
        )

    def _drop_first(self) -> None:
        self.retained_bytes -= len(self.entries.popleft().blob)
        self.first += 1


@final
class LogFaults:
    """What goes wrong between one client and the service."""

    __slots__ = ('delay_s', 'duplicate', 'is_cut', 'lose_answer')

    def __init__(self) -> None:
        """Start without faults."""
        self.is_cut = False
        self.delay_s = 0.0
        #: Probability that an append has effect and its answer is lost.
        self.lose_answer = 0.0
        #: Probability that an append has effect twice.
        self.duplicate = 0.0


@final
class LocalLog:
    """One node's client of the service, in the same process."""

    __slots__ = (
        'faults',
        'gate',
        'network',
        'node',
        'place',
        'rng',
        'service',
        'timeout_s',
    )

    def __init__(
        self,
        service: LogService,
        rng: random.Random,
        *,
        timeout_s: float = CLIENT_TIMEOUT_S,
        gate: Gate | None = None,
        network: Network | None = None,
        node: Endpoint | None = None,
        place: Endpoint | None = None,
    ) -> None:
        """Connect ``node`` to the service at ``place`` over the network."""
        self.service = service
        self.rng = rng
        self.timeout_s = timeout_s
        self.gate = gate or Gate()
        self.network = network
        self.node = node or Endpoint('client', '')
        self.place = place or Endpoint('log', '')
        self.faults = LogFaults()

    async def append(self, blob: bytes) -> int | Failure:
        """Append one entry, or return ``LogUnavailable``."""
        answer = await exchange(self._append(blob), timeout_s=self.timeout_s)
        await self.gate.wait()
        if answer is None:
            return _unavailable('no answer in time', may_have_applied=True)
        return answer

    async def read(
        self, offset: int, *, limit: int, wait_s: float
    ) -> Page | Failure:
        """Read a page, or return ``LogUnavailable``."""
        answer = await exchange(
            self._read(offset, limit, wait_s),
            timeout_s=self.timeout_s + wait_s,
        )
        await self.gate.wait()
        if answer is None:
            return _unavailable('no answer in time', may_have_applied=False)
        return answer

    async def _append(self, blob: bytes) -> int | Failure | None:
        # What a paused node was about to send goes out when it resumes.
        await self.gate.wait()
        if not await self._travel(len(blob), inbound=True, purpose='append'):
            return None
        if self._happens(self.faults.duplicate):
            await self.service.append(blob)
        answer = await self.service.append(blob)
        lose_answer = max(self.faults.lose_answer, self.service.lose_answer)
        if answer and self._happens(lose_answer):
            return None
        arrived = await self._travel(0, inbound=False, purpose='append')
        return answer if arrived else None

    async def _read(
        self, offset: int, limit: int, wait_s: float
    ) -> Page | Failure | None:
        await self.gate.wait()
        if not await self._travel(0, inbound=True, purpose='read'):
            return None
        answer = await self.service.read(offset, limit=limit, wait_s=wait_s)
        size = 0
        if isinstance(answer, Page):
            size = sum(len(entry.blob) for entry in answer.entries)
        arrived = await self._travel(size, inbound=False, purpose='read')
        return answer if arrived else None

    async def _travel(self, size: int, *, inbound: bool, purpose: str) -> bool:
        if self.faults.is_cut:
            return False
        await asyncio.sleep(self.faults.delay_s)
        if self.network is None:
            return True
        ends = (self.node, self.place) if inbound else (self.place, self.node)
        return await self.network.carry(
            *ends, size + HEADER_BYTES, f'log-{purpose}'
        )

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self.rng.random() < probability


def _exceeds(amount: float, bound: float | None) -> bool:
    return bound is not None and amount > bound


def _unavailable(reason: str, *, may_have_applied: bool) -> LogUnavailable:
    return LogUnavailable(reason, may_have_applied=may_have_applied)
