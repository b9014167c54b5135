"""Opens listening sockets.

Imports little, so that a program can listen before its other imports.
"""

import ipaddress
import socket
from typing import Final

BACKLOG: Final = 1024


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
