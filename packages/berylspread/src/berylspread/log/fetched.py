"""Pages of the log with their age, as a reader fetches them."""

from typing import Protocol, final

import msgspec

from berylspread.kernel.errors import Failure
from berylspread.log.interface import Page


@final
class FetchedPage(msgspec.Struct, frozen=True):
    """A page, and its age in seconds at the time of the request.

    The age is negative if the page was certainly complete at a later time.
    """

    page: Page
    age_s: float = 0.0


class PageSource(Protocol):
    """A source from which pages of the log can be fetched."""

    async def fetch(
        self, offset: int, *, limit: int, wait_s: float
    ) -> FetchedPage | Failure:
        """Return entries from ``offset`` on; wait up to ``wait_s`` for one."""


def page_bytes(page: Page) -> int:
    """Return the total size of a page's entries in bytes."""
    return sum(len(entry.blob) for entry in page.entries)
