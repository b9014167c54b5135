"""A bounded queue of envelopes, which are sent in frames."""

import asyncio
import collections
from collections.abc import AsyncIterator, Callable
from typing import Final, final

from berylspread.peers.counters import PeerCounters
from berylspread.proto.peer_pb2 import Envelope, Frame

MAX_QUEUED_ENVELOPES: Final = 4096
MAX_FRAME_ENVELOPES: Final = 256
MAX_FRAME_BYTES: Final = 500_000


@final
class Outbox:
    """The envelopes that wait to be sent on one stream.

    Envelopes that are queued in one iteration of the event loop, or within
    ``linger_s`` seconds, are sent in one frame, up to its limits.
    """

    __slots__ = (
        'closed',
        'counters',
        'envelopes',
        'linger_s',
        'reader_serial',
        'ready',
    )

    def __init__(self, counters: PeerCounters, linger_s: float) -> None:
        self.counters = counters
        self.linger_s = linger_s
        self.envelopes: collections.deque[Envelope] = collections.deque()
        self.ready = asyncio.Event()
        self.closed = False
        self.reader_serial = 0

    def put(self, envelope: Envelope) -> bool:
        """Queue an envelope; return false if the queue is full."""
        if len(self.envelopes) >= MAX_QUEUED_ENVELOPES:
            self.counters.dropped['queue-full'] += 1
            return False
        self.envelopes.append(envelope)
        self.ready.set()
        return True

    def close(self) -> None:
        """End ``frames`` once the queued envelopes are sent."""
        self.closed = True
        self.ready.set()

    async def frames(
        self, should_send: Callable[[Envelope], bool]
    ) -> AsyncIterator[Frame]:
        """Yield frames until the outbox is closed and empty.

        Envelopes for which ``should_send`` returns false are dropped.  A later
        call ends the earlier ones, since their stream has broken.
        """
        self.reader_serial += 1
        serial = self.reader_serial
        while True:
            await self.ready.wait()
            await asyncio.sleep(self.linger_s)
            if serial != self.reader_serial:
                return
            frame = self._next_frame(should_send)
            if frame.envelopes:
                self.counters.sent_frames += 1
                yield frame
            if self.closed and not self.envelopes:
                return

    def _next_frame(self, should_send: Callable[[Envelope], bool]) -> Frame:
        frame = Frame()
        size = 0
        while self.envelopes and len(frame.envelopes) < MAX_FRAME_ENVELOPES:
            envelope = self.envelopes.popleft()
            if not should_send(envelope):
                self.counters.dropped['withdrawn'] += 1
                continue
            frame.envelopes.append(envelope)
            envelope_size = envelope.ByteSize()
            self.counters.record_sent(envelope.type, envelope_size)
            size += envelope_size
            if size >= MAX_FRAME_BYTES:
                break
        if not self.envelopes and not self.closed:
            self.ready.clear()
        return frame
