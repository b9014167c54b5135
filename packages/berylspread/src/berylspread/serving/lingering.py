"""Connections that are closed without a reset while a caller still sends.

A socket that is closed with unread bytes resets its connection, and the reset
may overtake the answer.  An answer to half a request is therefore followed by
the end of the stream, and what the caller sends after it is read and dropped
for a while.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

#: Longest wait for a caller to close its side; several round trips between
#: regions, and below the shortest time that a stop allows for open requests.
LINGER_S: Final = 1.0


@final
class LingeringTransport(asyncio.Transport):
    """Ends the stream first and closes later if a request is half read."""

    def __init__(
        self, inner: asyncio.Transport, is_mid_request: Callable[[], bool]
    ) -> None:
        """Wrap a connection's transport."""
        super().__init__()
        self.inner = inner
        self.is_mid_request = is_mid_request
        self.is_lingering = False

    def write(self, data: Any) -> None:
        """Write to the connection."""
        self.inner.write(data)

    def close(self) -> None:
        """Close at once, or linger if the caller may still be sending."""
        if self.inner.is_closing() or self.is_lingering:
            return
        if not self.is_mid_request():
            self.inner.close()
            return
        self.is_lingering = True
        self.inner.write_eof()
        self.inner.resume_reading()
        asyncio.get_running_loop().call_later(LINGER_S, self.inner.close)

    def abort(self) -> None:
        """Reset the connection."""
        self.inner.abort()

    def is_closing(self) -> bool:
        """Return whether nothing more is written."""
        return self.is_lingering or self.inner.is_closing()

    def pause_reading(self) -> None:
        """Read no more for now."""
        self.inner.pause_reading()

    def resume_reading(self) -> None:
        """Read again."""
        self.inner.resume_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return what is known of the connection."""
        return self.inner.get_extra_info(name, default)


@final
class LingeringProtocol(HttpToolsProtocol):
    """uvicorn's protocol over a transport that lingers."""

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Serve a new connection."""
        super().connection_made(
            LingeringTransport(transport, self._is_mid_request)
        )

    def data_received(self, data: bytes) -> None:
        """Take what the caller sent, unless the stream has been ended."""
        if not self.transport.is_closing():
            super().data_received(data)

    def _is_mid_request(self) -> bool:
        return self.cycle is not None and self.cycle.more_body
