"""A uvicorn server for a program that handles signals itself."""

import asyncio
import contextlib
import socket
from collections.abc import Callable, Iterator
from typing import Final

import uvicorn

#: Calls of ``on_tick`` in a second.
TICKS_PER_S: Final = 10


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers.

    The event ``accepting`` is set once the server accepts connections.
    """

    def __init__(
        self, config: uvicorn.Config, sweep: Callable[[], None] | None = None
    ) -> None:
        """``sweep`` is called once a second while the server runs."""
        super().__init__(config)
        self.accepting = asyncio.Event()
        self.sweep = sweep

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections and set ``accepting``."""
        await super().startup(sockets)
        self.accepting.set()

    async def on_tick(self, counter: int) -> bool:
        """Call ``sweep`` once a second; return whether to stop."""
        if self.sweep is not None and not counter % TICKS_PER_S:
            self.sweep()
        return await super().on_tick(counter)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Install no signal handlers."""
        yield
