"""The interface of the platform's log service."""

from typing import Protocol, final

import msgspec

from berylspread.kernel.errors import Failure


@final
class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One append as it is read back; offsets are consecutive.

    ``appended_at`` is in seconds since the epoch by the store's clock.
    """

    offset: int
    blob: bytes
    appended_at: float = 0.0


@final
class Page(msgspec.Struct, frozen=True):
    """Entries from the requested offset on, and the range of retained offsets.

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
