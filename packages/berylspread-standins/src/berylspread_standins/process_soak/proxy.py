"""A loopback proxy that delays, silences, cuts one way and resets."""

import asyncio
import enum
from typing import Final, final

LOOPBACK: Final = '127.0.0.1'
CHUNK_BYTES: Final = 65_536


@final
class Direction(enum.Enum):
    """Which way bytes flow, seen from the client."""

    there = 'there'
    back = 'back'


@final
class LoopbackProxy:
    """Forwards one port to another address; its faults are attributes.

    Bytes in a direction of ``silent`` are read and dropped, so a connection
    made meanwhile stays open and mute.  ``delay_s`` is added to each chunk.
    """

    __slots__ = ('delay_s', 'pairs', 'port', 'server', 'silent', 'target')

    def __init__(self, target: str) -> None:
        """Take the ``IP:port`` to forward to."""
        self.target = target
        self.silent: set[Direction] = set()
        self.delay_s = 0.0
        self.pairs: set[asyncio.Task[None]] = set()
        self.server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Return where clients connect."""
        return f'{LOOPBACK}:{self.port}'

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        if self.server is not None:
            self.server.close()
        self.reset()
        await asyncio.gather(*self.pairs, return_exceptions=True)

    def reset(self) -> None:
        """Reset every open connection."""
        for pair in list(self.pairs):
            pair.cancel()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        pair = asyncio.create_task(self._connect(reader, writer))
        self.pairs.add(pair)
        pair.add_done_callback(self.pairs.discard)

    async def _connect(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            # Nobody listens there: the client sees a reset, as without a proxy.
            writer.transport.abort()
            return
        flows = (
            asyncio.create_task(
                self._pump(reader, far_writer, Direction.there)
            ),
            asyncio.create_task(self._pump(far_reader, writer, Direction.back)),
        )
        try:
            await asyncio.wait(flows, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for flow in flows:
                flow.cancel()
            for end in (writer, far_writer):
                end.transport.abort()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
    ) -> None:
        while chunk := await reader.read(CHUNK_BYTES):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if direction not in self.silent:
                writer.write(chunk)
                await writer.drain()
