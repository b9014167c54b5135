"""Pages of the log as a reader fetches them."""

from typing import Protocol, final

import msgspec

from berylspread.kernel.errors import Failure
from berylspread.log.interface import Page


@final
class FetchedPage(msgspec.Struct, frozen=True):
    """A page, and how old it was when it was asked for, in seconds.

    The age is negative if the page was certainly complete at a later time.
    """

    page: Page
    age_s: float = 0.0


class PageSource(Protocol):
    """Anything that pages can be fetched from."""

    async def fetch(
        self, offset: int, *, limit: int, wait_s: float
    ) -> FetchedPage | Failure:
        """Return entries from ``offset`` on; wait up to ``wait_s`` for one."""


def page_bytes(page: Page) -> int:
    """Return the bytes of a page's entries."""
    return sum(len(entry.blob) for entry in page.entries)
