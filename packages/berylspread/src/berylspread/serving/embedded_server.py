"""A uvicorn server for a program that handles signals itself."""

import asyncio
import contextlib
import ipaddress
import socket
from collections.abc import Iterator
from typing import Final

import uvicorn

BACKLOG: Final = 1024


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


def listen(address: str) -> socket.socket:
    """Return a socket that listens at ``IP:port``.

    Port 0 stands for any free port.
    """
    host, _, port = address.rpartition(':')
    host = host.strip('[]')
    is_v6 = isinstance(ipaddress.ip_address(host), ipaddress.IPv6Address)
    # asyncio disables Nagle's algorithm (TCP_NODELAY) only if the socket names
    # its protocol.
    bound = socket.socket(
        socket.AF_INET6 if is_v6 else socket.AF_INET,
        socket.SOCK_STREAM,
        socket.IPPROTO_TCP,
    )
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind((host, int(port)))
    bound.listen(BACKLOG)
    return bound
