"""A small HTTP/1.1 server whose open connections can fall silent."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qsl, urlsplit

Reply = tuple[int, bytes]
Handler = Callable[[str, str, dict, dict, bytes], Awaitable[Reply]]


def json_reply(status: int, **fields: object) -> Reply:
    """Return a reply with a JSON body."""
    return status, json.dumps(fields).encode()


class HttpServer:
    """Serves one address; a connection that is silent gets nothing more."""

    def __init__(self, address: str, handler: Handler) -> None:
        self.host, _, port = address.rpartition(':')
        self.port = int(port)
        self.handler = handler
        self.writers: set[asyncio.StreamWriter] = set()
        self.silent: set[asyncio.StreamWriter] = set()
        #: The target of the request that a connection waits for.
        self.targets: dict[asyncio.StreamWriter, str] = {}
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=1 << 22
        )

    async def stop(self) -> None:
        """Stop listening and reset the open connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def silence_open_connections(self, part: str) -> int:
        """Let the connections with a request for ``part`` open fall silent.

        Nothing more is sent on them, and they are not closed.  Returns how many
        they are.
        """
        chosen = {
            writer for writer, target in self.targets.items() if part in target
        }
        self.silent.update(chosen)
        return len(chosen)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            self.targets.pop(writer, None)
            writer.close()

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = await reader.readuntil(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        method, target, _ = lines[0].split(' ')
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get('content-length', 0)))
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query, keep_blank_values=True))
        self.targets[writer] = target
        status, content = await self.handler(
            method, parts.path, query, headers, body
        )
        self.targets.pop(writer, None)
        if writer in self.silent:
            # The peer's own time limit has to end the connection.
            await reader.read()
            return False
        writer.write(
            f'HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n\r\n'.encode()
            + content
        )
        await writer.drain()
        return True
