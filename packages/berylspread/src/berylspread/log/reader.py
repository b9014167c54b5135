"""Follows the log: start, live reading, outages and gaps."""

import asyncio
import contextlib
import enum
import random
from collections.abc import Callable
from typing import Final, final

import msgspec
from absl import logging

from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, LogGap, LogUnavailable
from berylspread.log.fetched import FetchedPage, page_bytes
from berylspread.log.interface import Entry, Page
from berylspread.log.source import LogSource
from berylspread.log.state import ClusterState

EntryListener = Callable[[Entry], None]

NEVER: Final = float('-inf')
MIN_PAGE_ENTRIES: Final = 1
PAGE_ENTRIES: Final = 256
PAGE_BYTES: Final = 262_144
CATCH_UP_BYTES_S: Final = 2_097_152.0
MAX_BACKOFF_DOUBLINGS: Final = 10
#: Weight of the newest page in the running mean of the entry size.
NEWEST_PAGE_WEIGHT: Final = 0.2


@final
class ReaderSettings(msgspec.Struct, frozen=True):
    """Limits of one reader: seconds, bytes and counts.

    ``catch_up_bytes_s`` limits the bytes read per second while the reader is
    behind the end of the log.
    """

    wait_s: float = 1.0
    min_interval_s: float = 0.2
    backoff_s: float = 0.1
    max_backoff_s: float = 2.0
    page_entries: int = PAGE_ENTRIES
    page_bytes: int = PAGE_BYTES
    catch_up_bytes_s: float = CATCH_UP_BYTES_S


@final
class ReaderStatus(enum.Enum):
    """Whether the reader is up to date, and why not."""

    starting = 'starting'
    behind = 'behind'
    current = 'current'
    outage = 'outage'
    gap = 'gap'


@final
class LogReader:
    """Keeps a ``ClusterState`` up to date with the log.

    ``fresh_at`` is the latest loop time at which the state was certainly
    complete: the start of the last read that reached the end of the log.
    ``failure`` is the failure of the last read; it is ``LogGap`` while records
    are missing that no snapshot covers, and the state does not change then.
    ``first_retained`` is the first offset that the store retained at the last
    read.
    """

    __slots__ = (
        'advanced',
        'consecutive_failures',
        'entry_listeners',
        'failure',
        'first_retained',
        'fresh_at',
        'gap_count',
        'last_read_at',
        'mean_entry_bytes',
        'rng',
        'settings',
        'source',
        'started',
        'state',
        'status',
    )

    def __init__(
        self,
        source: LogSource,
        state: ClusterState,
        settings: ReaderSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Create a reader; ``rng`` is the source of the backoff jitter."""
        self.source = source
        self.state = state
        self.settings = settings or ReaderSettings()
        self.rng = rng or random.Random()
        self.status = ReaderStatus.starting
        self.failure: Failure | None = None
        self.fresh_at = NEVER
        self.last_read_at = NEVER
        self.consecutive_failures = 0
        self.first_retained = 1
        self.gap_count = 0
        self.mean_entry_bytes = 1024.0
        self.entry_listeners: list[EntryListener] = []
        self.advanced = asyncio.Event()
        self.started = asyncio.Event()

    def on_entry(self, listener: EntryListener) -> None:
        """Register a listener that is called with each entry once applied."""
        self.entry_listeners.append(listener)

    async def wait_for_offset(
        self, offset: int, timeout_s: float
    ) -> int | Failure:
        """Wait until the state covers an offset; return the state's offset.

        Returns ``LogUnavailable`` after ``timeout_s`` seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                while self.state.offset < offset:
                    await self.advanced.wait()
        except TimeoutError:
            return LogUnavailable(
                f'the log has not been read up to {offset}',
                offset=self.state.offset,
                may_have_applied=False,
            )
        return self.state.offset

    async def wait_for_page(self, timeout_s: float) -> None:
        """Wait for the next successful read, with or without entries."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.advanced.wait()

    async def run(self) -> None:
        """Follow the log until cancelled."""
        while not await self._restore_snapshot():
            await self._back_off()
        self.started.set()
        while True:
            await self._read_page()

    async def _read_page(self) -> None:
        """Read one page and apply its entries."""
        await self._wait_for_interval()
        began_at = now()
        self.last_read_at = began_at
        offset = self.state.offset + 1
        fetched = await self.source.fetch(
            offset, limit=self._page_limit(), wait_s=self.settings.wait_s
        )
        if isinstance(fetched, Failure):
            self._record_failure(fetched)
            await self._back_off()
        elif fetched.page.first > offset:
            await self._recover_from_gap(fetched.page.first)
        else:
            await self._apply_page(fetched, began_at)

    async def _apply_page(self, fetched: FetchedPage, began_at: float) -> None:
        page = fetched.page
        self.first_retained = page.first
        for entry in page.entries:
            self._apply_entry(entry)
        self.consecutive_failures = 0
        self.failure = None
        if self.state.offset + 1 >= page.end:
            self.fresh_at = max(self.fresh_at, began_at - fetched.age_s)
            self.status = ReaderStatus.current
        else:
            self.status = ReaderStatus.behind
        self._wake_waiters()
        await self._limit_read_rate(page, began_at)

    def _apply_entry(self, entry: Entry) -> None:
        if entry.offset <= self.state.offset:
            return
        self.state.apply_entry(entry)
        for listener in self.entry_listeners:
            listener(entry)

    async def _recover_from_gap(self, first: int) -> None:
        """Replace the state by a snapshot, since the next records are gone."""
        self.gap_count += 1
        self._record_failure(
            LogGap(
                'the log no longer retains records that were not read yet',
                expected=self.state.offset + 1,
                first=first,
            )
        )
        if not await self._restore_snapshot():
            await self._back_off()

    async def _restore_snapshot(self) -> bool:
        """Restore the newest snapshot if it is ahead of the state.

        Returns whether reading can go on.
        """
        wire = await self.source.snapshot(self.state.offset)
        if isinstance(wire, Failure):
            self._record_failure(wire)
            return False
        if wire.offset > self.state.offset:
            self.state.restore(wire)
            logging.info('state restored up to offset %d', wire.offset)
            self._wake_waiters()
        elif self.status is ReaderStatus.gap:
            return False
        self.status = ReaderStatus.behind
        self.failure = None
        return True

    def _record_failure(self, failure: Failure) -> None:
        self.consecutive_failures += 1
        self.failure = failure
        is_gap = isinstance(failure, LogGap)
        self.status = ReaderStatus.gap if is_gap else ReaderStatus.outage
        logging.log_every_n_seconds(
            logging.WARNING, 'reading the log failed: %r', 10, failure
        )

    def _wake_waiters(self) -> None:
        self.advanced.set()
        self.advanced = asyncio.Event()

    async def _back_off(self) -> None:
        doublings = min(self.consecutive_failures, MAX_BACKOFF_DOUBLINGS)
        ceiling = min(
            self.settings.backoff_s * 2**doublings, self.settings.max_backoff_s
        )
        await asyncio.sleep(self.rng.uniform(ceiling / 2, ceiling))

    async def _wait_for_interval(self) -> None:
        """Keep the interval between reads, so that pages carry more entries."""
        delay_s = self.last_read_at + self.settings.min_interval_s - now()
        if delay_s > 0 and self.status is ReaderStatus.current:
            await asyncio.sleep(delay_s)

    async def _limit_read_rate(self, page: Page, began_at: float) -> None:
        """Keep to the byte budget while behind, and yield to other tasks."""
        size = page_bytes(page)
        if page.entries:
            mean = size / len(page.entries)
            self.mean_entry_bytes += NEWEST_PAGE_WEIGHT * (
                mean - self.mean_entry_bytes
            )
        delay_s = 0.0
        if self.status is ReaderStatus.behind:
            delay_s = size / self.settings.catch_up_bytes_s - (now() - began_at)
        await asyncio.sleep(max(delay_s, 0.0))

    def _page_limit(self) -> int:
        fitting = int(
            self.settings.page_bytes / max(self.mean_entry_bytes, 1.0)
        )
        return max(MIN_PAGE_ENTRIES, min(fitting, self.settings.page_entries))
