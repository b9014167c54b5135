"""Stand-ins over real sockets: uvicorn servers in the running loop."""

import asyncio
import contextlib
import socket
from collections.abc import Iterator, Sequence
from typing import Final, final

import uvicorn
from litestar import Litestar

LOOPBACK: Final = '127.0.0.1'
#: Idle connections stay open for longer than any client keeps them.
KEEPALIVE_S: Final = 75
STOP_TIMEOUT_S: Final = 1
BACKLOG: Final = 256


class LoopServer(uvicorn.Server):
    """A server that leaves the process's signals alone."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Set up a server that is not up yet."""
        super().__init__(config)
        self.up = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections."""
        await super().startup(sockets)
        self.up.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield


@final
class HttpServer:
    """One app on one or more loopback ports."""

    __slots__ = ('ports', 'server', 'sockets', 'task')

    def __init__(self, app: Litestar, ports: Sequence[int] = (0,)) -> None:
        """Bind the ports at once; 0 takes any free one, told by ``ports``."""
        config = uvicorn.Config(
            app,
            lifespan='off',
            ws='none',
            log_config=None,
            # Long polls end by cancellation at a stop, which is no error.
            log_level='critical',
            access_log=False,
            timeout_keep_alive=KEEPALIVE_S,
            timeout_graceful_shutdown=STOP_TIMEOUT_S,
        )
        self.server = LoopServer(config)
        self.sockets = [_bind(port) for port in ports]
        self.ports = [bound.getsockname()[1] for bound in self.sockets]
        self.task: asyncio.Task[None] | None = None

    @property
    def addresses(self) -> list[str]:
        """Return ``IP:port`` of each port."""
        return [f'{LOOPBACK}:{port}' for port in self.ports]

    async def start(self) -> None:
        """Serve, and return once connections are accepted."""
        self.task = asyncio.create_task(self.server.serve(self.sockets))
        await self.server.up.wait()

    async def stop(self) -> None:
        """Stop after the requests in flight, or after a second."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task
        for bound in self.sockets:
            bound.close()


def _bind(port: int) -> socket.socket:
    # asyncio turns Nagle's algorithm off only where the protocol is named.
    bound = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((LOOPBACK, port))
    bound.listen(BACKLOG)
    return bound
