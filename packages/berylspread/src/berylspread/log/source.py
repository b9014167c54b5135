"""Where a reader gets pages of the log from."""

from typing import Protocol, final

import msgspec

from berylspread.kernel.errors import Failure, LogGap
from berylspread.log.interface import LogStore, Page


@final
class Fetched(msgspec.Struct, frozen=True):
    """A page, and how old it was when it was asked for, in seconds.

    The age is negative if the page was certainly complete at a later time.
    """

    page: Page
    age_s: float = 0.0


class LogSource(Protocol):
    """The store, or a node that relays what it reads from the store."""

    async def fetch(
        self, offset: int, *, limit: int, wait_s: float
    ) -> Fetched | Failure:
        """Return entries from ``offset`` on; wait up to ``wait_s`` for one."""


@final
class StoreSource:
    """Reads from the store itself and counts the bytes."""

    __slots__ = ('end', 'read_bytes', 'reads', 'store')

    def __init__(self, store: LogStore) -> None:
        """Take the store."""
        self.store = store
        self.end = 1
        self.reads = 0
        self.read_bytes = 0

    async def fetch(
        self, offset: int, *, limit: int, wait_s: float
    ) -> Fetched | Failure:
        """Return a page that is current; ``LogGap`` if the log has shrunk."""
        self.reads += 1
        page = await self.store.read(offset, limit=limit, wait_s=wait_s)
        if isinstance(page, Failure):
            return page
        if page.end < self.end:
            return LogGap(
                'the log ends before what was read of it',
                expected=self.end,
                end=page.end,
            )
        self.end = page.end
        self.read_bytes += page_bytes(page)
        return Fetched(page)


def page_bytes(page: Page) -> int:
    """Return the bytes of a page's entries."""
    return sum(len(entry.blob) for entry in page.entries)
