"""A backend server that sends a scripted response to each request."""

import asyncio
import re

OK = 'HTTP/1.1 200 OK\r\n'
BODY = b'whole body'
IDS = 'X-Request-Id: {id}\r\nX-Attempt: {attempt}\r\n'
LENGTH = f'Content-Length: {len(BODY)}\r\n'
REFUSED = 'HTTP/1.1 409 Conflict\r\nX-Refused: stale-epoch\r\n'
STALE = b'{"type":"failure","name":"stale-epoch","reason":"old","fields":{}}'
REPORT = b'{"worker":"%s","capacity":[4000,8192,0,4],"sequence":1,"tasks":[]}'
DELAY_S = 0.02


def _json(head: str, body: bytes) -> tuple[str, bytes]:
    return f'{head}Content-Length: {len(body)}\r\n', body


RESPONSES: dict[str, tuple[str, bytes]] = {
    'responds': (OK + IDS + LENGTH, BODY),
    'responds after a delay': (OK + IDS + LENGTH, BODY),
    'responds with status 500': (
        f'HTTP/1.1 500 Oops\r\n{IDS}{LENGTH}',
        BODY,
    ),
    'responds in chunks': (
        f'{OK}{IDS}Transfer-Encoding: chunked\r\n',
        b'6\r\nwhole \r\n4\r\nbody\r\n0\r\n\r\n',
    ),
    'responds to another request': (
        f'{OK}X-Request-Id: other\r\nX-Attempt: {{attempt}}\r\n{LENGTH}',
        BODY,
    ),
    'responds to another attempt': (
        f'{OK}X-Request-Id: {{id}}\r\nX-Attempt: 99\r\n{LENGTH}',
        BODY,
    ),
    'responds without an id': (OK + LENGTH, BODY),
    'responds without a length': (f'{OK}{IDS}Connection: close\r\n', BODY),
    'responds with a truncated body': (OK + IDS + LENGTH, BODY[:4]),
    'closes without a response': ('', b''),
    'does not speak HTTP': ('220 smtp ready\r\n', b''),
    'refuses an old epoch': _json(REFUSED, STALE),
    'refuses with a malformed body': _json(REFUSED, b'go away'),
    'reports': _json(OK, REPORT % b'worker-1'),
    'reports as another worker': _json(OK, REPORT % b'worker-2'),
}
CLOSING_BEHAVIOURS = frozenset(
    (
        'responds without a length',
        'responds with a truncated body',
        'closes without a response',
        'does not speak HTTP',
    )
)


class ScriptedServer:
    """Serves one behaviour on a loopback port and counts connections."""

    def __init__(self, behaviour: str) -> None:
        """Create a server; ``start`` binds the port."""
        self.behaviour = behaviour
        self.address = ''
        self.connections = 0
        self.open = 0
        self.max_open = 0
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, or find a port on which no server listens."""
        self.server = await asyncio.start_server(self._accept, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        if self.behaviour == 'does not listen':
            self.server.close()
        if self.behaviour == 'has a malformed address':
            self.address = 'no:where'

    async def stop(self) -> None:
        """Close the port and every connection."""
        assert self.server is not None
        self.server.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self.tasks.add(task)
        self.connections += 1
        self.open += 1
        self.max_open = max(self.max_open, self.open)
        try:
            await self._serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.open -= 1
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            await reader.readexactly(int(_header(head, 'Content-Length', '0')))
            if self.behaviour == 'does not respond':
                await asyncio.Event().wait()
            if self.behaviour == 'responds after a delay':
                await asyncio.sleep(DELAY_S)
            writer.write(self._response(head))
            await writer.drain()
            if self.behaviour in CLOSING_BEHAVIOURS:
                return

    def _response(self, head: str) -> bytes:
        response_head, body = RESPONSES[self.behaviour]
        if not response_head:
            return b''
        filled = response_head.format(
            id=_header(head, 'X-Request-Id'),
            attempt=_header(head, 'X-Attempt'),
        )
        return b'\r\n'.join((filled.encode(), body))


def _header(head: str, name: str, default: str = '') -> str:
    found = re.search(rf'(?mi)^{name}: (.*?)\r$', head)
    return found.group(1) if found else default
