"""The HTTP server of one node: uvicorn within the daemon's own loop."""

import asyncio
import contextlib
import ipaddress
import socket
from collections.abc import Iterator
from typing import Final, final

import uvicorn
from litestar import Litestar

KEEP_ALIVE_S: Final = 75
BACKLOG: Final = 1024


class QuietServer(uvicorn.Server):
    """A uvicorn server that leaves the process's signals to the daemon."""

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
class EntryServer:
    """Serves an application at one address until ``stop``."""

    __slots__ = ('server', 'socket', 'task')

    def __init__(self, app: Litestar, address: str, *, finish_s: float) -> None:
        """Bind ``IP:port`` at once; port 0 takes any free one.

        ``finish_s`` bounds how long a stop waits for requests in flight.
        """
        self.socket = listen(address)
        self.server = QuietServer(
            uvicorn.Config(
                app,
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
        """Return ``IP:port`` with the port that was bound."""
        host, port = self.socket.getsockname()[:2]
        return f'[{host}]:{port}' if ':' in host else f'{host}:{port}'

    async def start(self) -> None:
        """Serve, and return once connections are accepted."""
        self.task = asyncio.create_task(
            self.server.serve([self.socket]), name='http server'
        )
        await self.server.up.wait()

    async def stop(self) -> None:
        """Accept no more and return after the requests in flight."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task
        self.socket.close()


def listen(address: str) -> socket.socket:
    """Return a socket that listens at ``IP:port``; port 0 takes a free one."""
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    is_v6 = isinstance(ipaddress.ip_address(host), ipaddress.IPv6Address)
    # asyncio turns Nagle's algorithm off only where the protocol is named.
    bound = socket.socket(
        socket.AF_INET6 if is_v6 else socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, int(port)))
    bound.listen(BACKLOG)
    return bound
