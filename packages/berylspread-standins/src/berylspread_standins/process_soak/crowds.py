"""Small crowds of callers that do not keep to the protocol's limits.

A crowd is bounded in connections, in bytes of each connection and in time, and
talks to loopback addresses only.
"""

import asyncio
import contextlib
import itertools
import json
import socket
from collections.abc import Callable, Iterator
from typing import Final, final

from berylspread_standins.process_soak.fleet import HOST, KEY

#: A connection on which the process takes nothing more is left alone after it.
SEND_LIMIT_S: Final = 12.0
#: How long a connection waits for the process to end it.
END_LIMIT_S: Final = 20.0
#: Connections that are being opened at a time.
OPENING: Final = 50
READ_BYTES: Final = 65_536
MAX_HEAD_BYTES: Final = 16_384
MAX_BODY_BYTES: Final = 262_144
#: Bytes of one piece that is sent without end.
PIECE_BYTES: Final = 65_536
LARGE_HEAD_LINES: Final = 50_000
EXTENSION_BYTES: Final = 1000
#: As many as a body has room for.
MANY_STEPS: Final = 21_000
#: Below the most that a job may have.
MANY_TASKS: Final = 90_000
POST_LINE: Final = b'POST /q/%016x HTTP/1.1\r\nHost: %b\r\nX-Api-Key: %b\r\n'
GET_FORM: Final = b'GET /q/%016x HTTP/1.1\r\nHost: %b\r\nX-Api-Key: %b\r\n\r\n'
GET_REQUEST: Final = GET_FORM % (1, HOST.encode(), KEY.encode())
SHORT_LINE: Final = b'ab:cd\r\n'
#: Legal, but unusual: no value, and signs that a token may hold.
ODD_LINE: Final = b"!#$'*+:\t\r\n"
SLOW_PAUSE_S: Final = 0.2
ENDS: Final = (ConnectionError, BrokenPipeError)

Pieces = Iterator[bytes]


@final
class Kind:
    """What each connection of a crowd sends, piece by piece."""

    __slots__ = ('pause_s', 'pieces')

    def __init__(self, pieces: Callable[[], Pieces], pause_s: float) -> None:
        """``pause_s`` is the time between two pieces."""
        self.pieces = pieces
        self.pause_s = pause_s


KINDS: Final[dict[str, Kind]] = {}
_ids: Final = itertools.count(1)


def _kind(
    name: str, pause_s: float = 0.0
) -> Callable[[Callable[[], Pieces]], Callable[[], Pieces]]:
    def register(pieces: Callable[[], Pieces]) -> Callable[[], Pieces]:
        KINDS[name] = Kind(pieces, pause_s)
        return pieces

    return register


def post_head() -> bytes:
    """Return the first lines of a submission, whose head does not end."""
    return POST_LINE % (next(_ids), HOST.encode(), KEY.encode())


def _repeat(piece: bytes) -> Pieces:
    return itertools.repeat(piece * (PIECE_BYTES // len(piece)))


@_kind('short header lines of legal total size')
def _legal_lines() -> Pieces:
    head = b'%bContent-Length: 1000\r\n' % post_head()
    lines = (MAX_HEAD_BYTES - len(head) - 2) // len(SHORT_LINE)
    yield b'%b%b\r\n' % (head, SHORT_LINE * lines)


@_kind('short header lines without end')
def _endless_lines() -> Pieces:
    yield post_head()
    yield from _repeat(SHORT_LINE)


@_kind('odd header lines without end')
def _odd_lines() -> Pieces:
    yield post_head()
    yield from _repeat(ODD_LINE)


@_kind('heads over the limit')
def _large_head() -> Pieces:
    lines = (b'X-%06d: value\r\n' % line for line in range(LARGE_HEAD_LINES))
    yield b'%b%b\r\n' % (post_head(), b''.join(lines))


@_kind('one header value without end')
def _endless_value() -> Pieces:
    yield b'%bX-Long: ' % post_head()
    yield from _repeat(b'v')


@_kind('a path without end')
def _endless_path() -> Pieces:
    yield b'GET /q/'
    yield from _repeat(b'p')


@_kind('empty lines without end')
def _empty_lines() -> Pieces:
    return _repeat(b'\r\n')


@_kind('trailers without end')
def _trailers() -> Pieces:
    head = b'%bTransfer-Encoding: chunked\r\n\r\n' % post_head()
    yield b'%b2\r\n{}\r\n0\r\n' % head
    yield from _repeat(SHORT_LINE)


@_kind('a chunk extension without end')
def _chunk_extension() -> Pieces:
    yield b'%bTransfer-Encoding: chunked\r\n\r\n2;x=' % post_head()
    yield from _repeat(b'e')


@_kind('chunk extensions without end')
def _chunk_extensions() -> Pieces:
    yield b'%bTransfer-Encoding: chunked\r\n\r\n' % post_head()
    chunk = b'1;name=%b\r\n \r\n' % (b'e' * EXTENSION_BYTES)
    yield from _repeat(chunk)


@_kind('slow heads', pause_s=SLOW_PAUSE_S)
def _slow_head() -> Pieces:
    yield post_head()
    yield from itertools.repeat(b'a')


@_kind('bodies announced and never sent')
def _announced_body() -> Pieces:
    yield b'%bContent-Length: 262144\r\n\r\n' % post_head()


@_kind('bodies all but one byte')
def _unfinished_body() -> Pieces:
    body = b' ' * (MAX_BODY_BYTES - 1)
    yield b'%bContent-Length: 262144\r\n\r\n%b' % (post_head(), body)


@_kind('pipelined requests')
def _pipelined() -> Pieces:
    return _repeat(GET_REQUEST)


@_kind('jobs of very many steps')
def _many_steps() -> Pieces:
    yield _post([{'count': 1} for _ in range(MANY_STEPS)])


@_kind('jobs of very many tasks')
def _many_tasks() -> Pieces:
    yield _post([{'count': MANY_TASKS}])


@_kind('silence')
def _silence() -> Pieces:
    return iter(())


@final
class Crowd:
    """Connections that send one kind, and stay open until ``close``."""

    __slots__ = ('address', 'bytes_each', 'gate', 'is_ended', 'kind', 'sockets')

    def __init__(self, kind: str, address: str, bytes_each: int) -> None:
        """Send up to ``bytes_each`` bytes to ``IP:port`` on each connection."""
        host, _, port = address.rpartition(':')
        self.kind = KINDS[kind]
        self.address = (host, int(port))
        self.bytes_each = bytes_each
        self.sockets: list[socket.socket] = []
        #: For each connection whether the process has ended it.
        self.is_ended: list[bool] = []
        self.gate = asyncio.Semaphore(OPENING)

    async def send(self, connections: int) -> None:
        """Open the connections and send on all of them."""
        await asyncio.gather(*(self._send_on_one() for _ in range(connections)))

    async def wait_ended(self) -> None:
        """Find out which connections the process ends within a time limit."""
        self.is_ended = await asyncio.gather(
            *(_is_ended(each) for each in self.sockets)
        )

    def close(self) -> None:
        """Close the connections."""
        for each in self.sockets:
            each.close()

    async def _send_on_one(self) -> None:
        sender = socket.socket()
        sender.setblocking(False)
        self.sockets.append(sender)
        with contextlib.suppress(TimeoutError, *ENDS):
            async with asyncio.timeout(SEND_LIMIT_S):
                async with self.gate:
                    await asyncio.get_running_loop().sock_connect(
                        sender, self.address
                    )
                await self._send_pieces(sender)

    async def _send_pieces(self, sender: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        rest = self.bytes_each
        for piece in self.kind.pieces():
            await loop.sock_sendall(sender, piece[:rest])
            rest -= len(piece)
            if rest <= 0:
                return
            await asyncio.sleep(self.kind.pause_s)


async def _is_ended(sender: socket.socket) -> bool:
    """Read what the process has answered, until it ends the connection."""
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(END_LIMIT_S):
            received = b' '
            while received:
                received = await loop.sock_recv(sender, READ_BYTES)
    except TimeoutError:
        return False
    except OSError:
        # It was reset, or never opened.
        return True
    return True


def request_at_limits() -> bytes:
    """Return a submission as long as the protocol's limits allow."""
    text = json.dumps({'spec': 'calm', 'steps': [{'count': 1, 'cpu': 1000}]})
    body = text.encode().ljust(MAX_BODY_BYTES)
    head = b'%bContent-Length: %d\r\n' % (post_head(), len(body))
    room = MAX_HEAD_BYTES - len(head) - 2
    lines, rest = divmod(room, len(SHORT_LINE))
    last = SHORT_LINE.replace(b'c', b'c' * (rest + 1))
    head = b'%b%b%b\r\n' % (head, SHORT_LINE * (lines - 1), last)
    assert len(head) == MAX_HEAD_BYTES
    return head + body


def ordinary_request() -> bytes:
    """Return a submission of one small job."""
    return _post([{'count': 1, 'cpu': 1000}])


def _post(steps: list[dict[str, int]]) -> bytes:
    document = {'spec': 'calm', 'steps': steps}
    body = json.dumps(document, separators=(',', ':')).encode()
    return b'%bContent-Length: %d\r\n\r\n%b' % (post_head(), len(body), body)


async def ask(address: str, request: bytes, limit_s: float) -> int:
    """Send a request on its own connection and return the answer's status.

    Returns 0 if there is no answer.
    """
    try:
        async with asyncio.timeout(limit_s):
            line = await _read_status_line(address, request)
    except (OSError, TimeoutError):
        return 0
    words = line.split()
    return int(words[1]) if len(words) > 1 else 0


async def _read_status_line(address: str, request: bytes) -> bytes:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(request)
        return await reader.readline()
    finally:
        writer.close()
