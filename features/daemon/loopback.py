"""An entry node on a loopback socket whose router echoes request bodies."""

import asyncio
import hashlib
import socket
import time
from collections.abc import Iterable
from typing import Any

import httpx

from berylspread.backend import CallReply
from berylspread.calls.router import CallInput
from berylspread.config import Document, parse_document
from berylspread.entry.access import AccessControl, OperatorAccess
from berylspread.entry.calls import CallHandler
from berylspread.kernel import WallClock
from berylspread_daemon.http import build_app
from berylspread_daemon.server import EntryServer

BODY_TIMEOUT_S = 0.3
CALL_DURATION_S = 0.1
#: The time between two bytes of a caller that sends slowly.
SEND_INTERVAL_S = 0.02
TOKEN = 'operator'
MAX_BODY_BYTES = 1024
DOCUMENT = """
[environment]
name = production
[region central-java]
[queue open]
open = yes
kind = interactive
max_body_kib = 1
"""


class EchoRouter:
    """Replies to each call with its body after ``CALL_DURATION_S``."""

    def __init__(self) -> None:
        self.calls: list[CallInput] = []
        self.called = asyncio.Event()

    async def call(self, call: CallInput) -> CallReply:
        self.calls.append(call)
        self.called.set()
        await asyncio.sleep(CALL_DURATION_S)
        return CallReply(call.request_id, 1, 200, call.body, 'text/plain')


class EchoContext:
    """The attributes of a node that access control and calls use."""

    def __init__(self) -> None:
        document = parse_document('production', DOCUMENT)
        assert isinstance(document, Document), document
        self.document = document
        self.wall = WallClock()


class EchoEntry:
    """The part of the entry service that calls need."""

    def __init__(self) -> None:
        self.context: Any = EchoContext()
        self.router = EchoRouter()
        self.operators = OperatorAccess(
            (hashlib.sha256(TOKEN.encode()).hexdigest(),)
        )
        keys: Any = None
        tickets: Any = None
        self.access = AccessControl(self.context, keys)
        self.calls = CallHandler(self.context, self.router, tickets)


class LoopbackNode:
    """The server of the node and clients that connect to it."""

    def __init__(self, max_in_flight: int = 100) -> None:
        self.entry: Any = EchoEntry()
        self.is_leaving = False
        app = build_app(
            self.entry,
            body_timeout_s=BODY_TIMEOUT_S,
            max_in_flight=max_in_flight,
            is_leaving=lambda: self.is_leaving,
        )
        self.server = EntryServer(app, '127.0.0.1:0', finish_s=5)

    async def start(self) -> None:
        await self.server.start()

    async def call(self, body: bytes = b'proof') -> httpx.Response:
        """Send a call with a complete body."""
        async with httpx.AsyncClient(
            base_url=f'http://{self.server.address}', trust_env=False
        ) as client:
            return await client.post('/v1/queues/open/call', content=body)

    async def send_chunks(
        self,
        chunks: Iterable[bytes],
        pause_s: float,
        content_length: int | None,
    ) -> tuple[httpx.Response, bool]:
        """Send a body in chunks.

        Return the response and whether the server closed the connection.
        """
        reader, writer = await self.open_call(content_length)
        sending = asyncio.create_task(_send(writer, chunks, pause_s))
        answer = await asyncio.wait_for(reader.read(), timeout=5)
        sending.cancel()
        writer.close()
        return parse_response(answer), reader.at_eof()

    async def send_late(self, late_s: float) -> tuple[httpx.Response, bool]:
        """Send a body until after the response, and read only then.

        ``late_s`` is how long sending goes on after the time limit for a body.
        """
        return await asyncio.to_thread(
            _send_and_read, self.server.address, BODY_TIMEOUT_S + late_s
        )

    async def open_call(
        self, content_length: int | None
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection and send the head of a call."""
        host, port = self.server.address.rsplit(':', 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(call_head(content_length))
        return reader, writer


def call_head(content_length: int | None) -> bytes:
    """Return the head of a call; its body is chunked without a length."""
    length = (
        'Transfer-Encoding: chunked'
        if content_length is None
        else f'Content-Length: {content_length}'
    )
    return (
        f'POST /v1/queues/open/call HTTP/1.1\r\nHost: node\r\n{length}\r\n\r\n'
    ).encode()


def _send_and_read(address: str, send_s: float) -> tuple[httpx.Response, bool]:
    host, port = address.rsplit(':', 1)
    with socket.create_connection((host, int(port)), timeout=5) as caller:
        caller.sendall(call_head(MAX_BODY_BYTES))
        ends_at = time.monotonic() + send_s
        while time.monotonic() < ends_at:
            caller.sendall(b'x')
            time.sleep(SEND_INTERVAL_S)
        answer = b''
        while part := caller.recv(MAX_BODY_BYTES):
            answer += part
    return parse_response(answer), True


async def _send(
    writer: asyncio.StreamWriter, chunks: Iterable[bytes], pause_s: float
) -> None:
    for chunk in chunks:
        writer.write(chunk)
        await writer.drain()
        await asyncio.sleep(pause_s)


def parse_response(answer: bytes) -> httpx.Response:
    """Return the response in the bytes of one complete HTTP response."""
    head, _, body = answer.partition(b'\r\n\r\n')
    lines = head.decode().split('\r\n')
    headers = [tuple(line.split(': ', 1)) for line in lines[1:]]
    return httpx.Response(
        int(lines[0].split()[1]), headers=headers, content=body
    )
