"""The sources from which a reader can read the log."""

from typing import Protocol, final

from berylspread.kernel.errors import Failure, LogGap
from berylspread.log.fetched import FetchedPage, PageSource, page_bytes
from berylspread.log.interface import LogStore
from berylspread.log.recovery import SnapshotSearch
from berylspread.log.state import StateWire


class LogSource(PageSource, Protocol):
    """The store, or a node that relays entries from the store."""

    async def snapshot(self, ahead_of: int) -> StateWire | Failure:
        """Return a snapshot that covers entries after ``ahead_of``, if any.

        Returns the empty state if the log is retained from its beginning, and
        ``LogGap`` if it is not and no source has a snapshot.
        """


@final
class StoreSource:
    """Reads from the store itself, and counts the reads and bytes."""

    __slots__ = ('known_end', 'read_bytes', 'reads', 'store')

    def __init__(self, store: LogStore) -> None:
        self.store = store
        self.known_end = 1
        self.reads = 0
        self.read_bytes = 0

    async def fetch(
        self, offset: int, *, limit: int, wait_s: float
    ) -> FetchedPage | Failure:
        """Return a current page; ``LogGap`` if the log has become shorter."""
        self.reads += 1
        page = await self.store.read(offset, limit=limit, wait_s=wait_s)
        if isinstance(page, Failure):
            return page
        if page.end < self.known_end:
            return LogGap(
                'the log ends before an offset that was read earlier',
                expected=self.known_end,
                end=page.end,
            )
        self.known_end = page.end
        self.read_bytes += page_bytes(page)
        return FetchedPage(page)

    async def snapshot(self, ahead_of: int) -> StateWire | Failure:
        """Return the newest complete snapshot in the log."""
        return await SnapshotSearch(self).find_newest()
