"""A uvicorn server for a program that handles signals itself."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers.

    The event ``accepting`` is set once the server accepts connections.
    """

    def __init__(self, config: uvicorn.Config) -> None:
        super().__init__(config)
        self.accepting = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections and set ``accepting``."""
        await super().startup(sockets)
        self.accepting.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield
