"""A server that leaves the process's signals to the program."""

import asyncio
import contextlib
import ipaddress
import socket
from collections.abc import Iterator
from typing import Final

import uvicorn

BACKLOG: Final = 1024


class EmbeddedServer(uvicorn.Server):
    """A uvicorn server that leaves the process's signals to the program."""

    def __init__(self, config: uvicorn.Config) -> None:
        """Set up a server that is not up yet."""
        super().__init__(config)
        self.accepting = asyncio.Event()

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections."""
        await super().startup(sockets)
        self.accepting.set()

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Capture nothing."""
        yield


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
