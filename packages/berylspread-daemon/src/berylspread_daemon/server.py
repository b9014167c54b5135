"""The HTTP server of one node: uvicorn in the event loop of the daemon."""

import asyncio
from typing import Final, final

import uvicorn
from litestar import Litestar

from berylspread.serving import EmbeddedServer, LingeringProtocol, listen

KEEP_ALIVE_S: Final = 75


@final
class EntryServer:
    """Serves an application at one address until ``stop`` is called."""

    __slots__ = ('server', 'socket', 'task')

    def __init__(self, app: Litestar, address: str, *, finish_s: float) -> None:
        """Bind ``IP:port``; port 0 binds any free port.

        ``finish_s`` is the longest time in seconds that ``stop`` waits for the
        requests in flight. It is rounded to whole seconds, at least 1.
        """
        self.socket = listen(address)
        self.server = EmbeddedServer(
            uvicorn.Config(
                app,
                http=LingeringProtocol,
                lifespan='off',
                ws='none',
                log_config=None,
                access_log=False,
                server_header=False,
                timeout_keep_alive=KEEP_ALIVE_S,
                timeout_graceful_shutdown=max(round(finish_s), 1),
            )
        )
        self.task: asyncio.Task[None] | None = None

    @property
    def address(self) -> str:
        """Return the bound address as ``IP:port``."""
        host, port = self.socket.getsockname()[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    async def start(self) -> None:
        """Start serving; return once the server accepts connections."""
        self.task = asyncio.create_task(
            self.server.serve([self.socket]), name='http server'
        )
        await self.server.accepting.wait()

    async def stop(self) -> None:
        """Stop accepting connections and wait for the requests in flight."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task
        self.socket.close()
