"""Lingering close of connections on which the caller is still sending.

A socket that is closed with unread bytes resets its connection, and the reset
may overtake the response.  After a response to a request that is not read
completely, the server therefore ends its side of the stream, and reads and
drops what the caller still sends for up to ``LINGER_S`` seconds.
"""

import asyncio
from collections.abc import Callable
from typing import Any, Final, final

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

#: The longest wait for a caller to close its side.  It covers several round
#: trips between regions and is below the shortest time that a stop allows for
#: open requests.
LINGER_S: Final = 1.0


@final
class LingeringTransport(asyncio.Transport):
    """A transport whose close waits if a request is not read completely."""

    def __init__(
        self, inner: asyncio.Transport, is_mid_request: Callable[[], bool]
    ) -> None:
        """``inner`` is the transport of the connection."""
        super().__init__()
        self.inner = inner
        self.is_mid_request = is_mid_request
        self.is_lingering = False

    def write(self, data: Any) -> None:
        """Write to the connection, unless this side has ended."""
        if not self.is_lingering:
            self.inner.write(data)

    def close(self) -> None:
        """Close at once, or end the stream and close later.

        The close is delayed if the caller may still be sending.
        """
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
        """Return whether the transport is closing or lingering."""
        return self.is_lingering or self.inner.is_closing()

    def pause_reading(self) -> None:
        """Pause reading."""
        self.inner.pause_reading()

    def resume_reading(self) -> None:
        """Resume reading."""
        self.inner.resume_reading()

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection."""
        return self.inner.get_extra_info(name, default)


class LingeringProtocol(HttpToolsProtocol):
    """The HTTP protocol of uvicorn over a lingering transport."""

    def connection_made(  # type: ignore[override]
        self, transport: asyncio.Transport
    ) -> None:
        """Wrap the transport of a new connection."""
        super().connection_made(
            LingeringTransport(transport, self._is_mid_request)
        )

    def data_received(self, data: bytes) -> None:
        """Handle received bytes; drop them if the transport is closing."""
        if not self.transport.is_closing():
            super().data_received(data)

    def _is_mid_request(self) -> bool:
        return self.cycle is not None and self.cycle.more_body
