"""What the platform's log offers, as this program uses it."""

from typing import Protocol, final

import msgspec

from berylspread.kernel.errors import Failure


@final
class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One append as it is read back; offsets rise by one without holes."""

    offset: int
    blob: bytes
    appended_at: float = 0.0


@final
class Page(msgspec.Struct, frozen=True):
    """Entries from the asked offset on, and the bounds of what is retained.

    ``first`` is the first retained offset and ``end`` the next to be written.
    """

    first: int
    end: int
    entries: list[Entry]


class LogStore(Protocol):
    """The append-only log service; offsets start at 1.

    ``append`` returns the offset, or ``LogUnavailable`` with the field
    ``may_have_applied``.  ``read`` waits up to ``wait_s`` seconds for an entry
    at ``offset``; it returns a page, which may be empty, or a failure.
    """

    async def append(self, blob: bytes) -> int | Failure:
        """Append one entry and return its offset."""

    async def read(
        self, offset: int, *, limit: int, wait_s: float
    ) -> Page | Failure:
        """Return up to ``limit`` entries from ``offset`` on."""
