"""The outgoing stream to one peer."""

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncIterator, Callable
from typing import Any, Final, final

import grpc
import msgspec
from absl import logging

from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, PeerUnreachable
from berylspread.model import NodeRef
from berylspread.peers.counters import PeerCounters
from berylspread.peers.dispatch import Dispatcher
from berylspread.peers.interface import Message
from berylspread.peers.outbox import Outbox
from berylspread.peers.tracing import current_traceparent, request_span
from berylspread.proto.peer_pb2 import Envelope, Frame
from berylspread.proto.peer_pb2_grpc import PeerStub

SOURCE_KEY: Final = 'berylspread-source'
MAX_BACKOFF_DOUBLINGS: Final = 16
INCARNATION_KEY: Final = 'berylspread-incarnation'
TARGET_KEY: Final = 'berylspread-target'

AddressLookup = Callable[[str], str | None]
IncarnationCheck = Callable[[NodeRef], bool]


@final
class PeerSettings(msgspec.Struct, frozen=True):
    """Timing of the streams, in seconds, and their number."""

    linger_s: float = 0.0
    backoff_s: float = 0.1
    max_backoff_s: float = 2.0
    keepalive_s: float = 10.0
    keepalive_timeout_s: float = 4.0
    silence_s: float = 3.0
    #: Accept a process whose number is lower than its predecessor's, once that
    #: one has been silent for ``silence_s``.  Only for nodes that do not take a
    #: lower number as proof that a process has ended.
    accepts_set_back_clocks: bool = False
    #: Connections of other nodes that are open at a time.
    max_connections: int = 1024


@final
class _PendingRequest:
    """A request that has no reply yet."""

    __slots__ = ('reply', 'sent')

    def __init__(self) -> None:
        self.reply: asyncio.Future[Message | Failure] = (
            asyncio.get_running_loop().create_future()
        )
        self.sent = False


@final
class Link:
    """One long-lived stream to a peer, dialled again when it breaks.

    Requests wait in the outbox while the stream is down.  A request that times
    out before it is sent is withdrawn: the peer never receives it.
    """

    __slots__ = (
        'accept_incarnation',
        'address',
        'call',
        'counters',
        'dispatcher',
        'find_address',
        'last_received_at',
        'local_ref',
        'node',
        'outbox',
        'pending_requests',
        'request_ids',
        'rng',
        'settings',
    )

    def __init__(
        self,
        local_ref: NodeRef,
        node: str,
        find_address: AddressLookup,
        accept_incarnation: IncarnationCheck,
        dispatcher: Dispatcher,
        counters: PeerCounters,
        settings: PeerSettings,
    ) -> None:
        """``local_ref`` identifies this node, ``node`` is the peer's name."""
        self.local_ref = local_ref
        self.node = node
        self.find_address = find_address
        self.accept_incarnation = accept_incarnation
        self.dispatcher = dispatcher
        self.counters = counters
        self.settings = settings
        self.outbox = Outbox(counters, settings.linger_s)
        self.pending_requests: dict[int, _PendingRequest] = {}
        self.request_ids = itertools.count(1)
        self.rng = random.Random()
        self.address = ''
        self.call: Any = None
        self.last_received_at = now()

    async def request(
        self, body: Message, timeout_s: float
    ) -> Message | Failure:
        """Send a message and wait for its reply, or ``PeerUnreachable``."""
        self._redial_if_moved()
        request_id = next(self.request_ids)
        pending = _PendingRequest()
        requested_at = now()
        with request_span(type(body).__name__, self.node):
            self.pending_requests[request_id] = pending
            if not self.outbox.put(self.envelope(body, request_id)):
                del self.pending_requests[request_id]
                return self._unreachable('the queue is full', pending)
            try:
                async with asyncio.timeout(timeout_s):
                    return await pending.reply
            except TimeoutError:
                self._redial_if_silent(requested_at)
                return self._unreachable(f'no reply for {timeout_s} s', pending)
            finally:
                self.pending_requests.pop(request_id, None)

    def send(self, body: Message) -> None:
        """Queue a message without a reply; it is lost if the queue is full."""
        self._redial_if_moved()
        self.outbox.put(self.envelope(body, 0))

    def envelope(self, body: Message, request_id: int) -> Envelope:
        """Return the envelope of a message.

        ``request_id`` is 0 for a message without a reply.
        """
        name, blob = self.dispatcher.codec.encode(body)
        return Envelope(
            id=request_id,
            traceparent=current_traceparent(),
            source=self.local_ref.node,
            incarnation=self.local_ref.incarnation,
            type=name,
            body=blob,
        )

    async def run(self) -> None:
        """Dial when messages wait and after each break, until cancelled."""
        failures = 0
        while True:
            await self.outbox.ready.wait()
            dialled_at = now()
            await self._dial()
            self._fail_sent_requests()
            if self.last_received_at >= dialled_at:
                failures = 0
            failures += 1
            await asyncio.sleep(self._backoff_s(failures))

    async def _dial(self) -> None:
        self.address = self.find_address(self.node) or ''
        if not self.address:
            return
        try:
            await self._run_stream()
        except grpc.RpcError as error:
            logging.log_every_n_seconds(
                logging.INFO, 'stream to %s broke: %r', 10, self.node, error
            )
        except asyncio.CancelledError:
            # grpc also raises this for a call that this class has cancelled.
            if _is_task_cancelled():
                raise
        finally:
            self.call = None

    async def _run_stream(self) -> None:
        options = channel_options(self.settings)
        async with grpc.aio.insecure_channel(
            self.address, options=options
        ) as channel:
            connected = asyncio.Event()
            self.call = open_stream(channel)(
                self._frames_once_connected(connected),
                metadata=(
                    (SOURCE_KEY, self.local_ref.node),
                    (INCARNATION_KEY, str(self.local_ref.incarnation)),
                    (TARGET_KEY, self.node),
                ),
                wait_for_ready=False,
            )
            connecting = asyncio.create_task(
                _signal_connection(self.call, connected)
            )
            try:
                await self._read_frames()
            finally:
                connecting.cancel()

    async def _read_frames(self) -> None:
        async for frame in self.call:
            self.last_received_at = now()
            for envelope in frame.envelopes:
                self._receive(envelope)

    async def _frames_once_connected(
        self, connected: asyncio.Event
    ) -> AsyncIterator[Frame]:
        # Before that, grpc would take a frame that may never leave this node.
        await connected.wait()
        async for frame in self.outbox.frames(self._mark_sent):
            yield frame

    def _mark_sent(self, envelope: Envelope) -> bool:
        """Mark a request as sent; return false if it was withdrawn."""
        if not envelope.id:
            return True
        pending = self.pending_requests.get(envelope.id)
        if pending is None:
            return False
        pending.sent = True
        return True

    def _receive(self, envelope: Envelope) -> None:
        self.counters.record_received(envelope.type, envelope.ByteSize())
        source = NodeRef(envelope.source, envelope.incarnation)
        if source.node != self.node or not self.accept_incarnation(source):
            self.counters.dropped['wrong-source'] += 1
            return
        pending = self.pending_requests.get(envelope.reply_to)
        if pending is None or pending.reply.done():
            self.counters.dropped['late-reply'] += 1
            return
        pending.reply.set_result(self.dispatcher.decode_reply(envelope))

    def _fail_sent_requests(self) -> None:
        for pending in self.pending_requests.values():
            if pending.sent and not pending.reply.done():
                pending.reply.set_result(
                    self._unreachable('the stream broke', pending)
                )

    def _redial_if_moved(self) -> None:
        """Dial again if the address of the peer has changed."""
        if self.call is None:
            return
        address = self.find_address(self.node)
        if address and address != self.address:
            self.call.cancel()

    def _redial_if_silent(self, requested_at: float) -> None:
        """Dial again if nothing has arrived for ``silence_s`` seconds.

        The stream is then probably half-open.
        """
        silent_since = max(
            self.last_received_at, requested_at - self.settings.silence_s
        )
        if self.call is None or now() - silent_since < self.settings.silence_s:
            return
        self.counters.dropped['silent-stream'] += 1
        self.call.cancel()

    def _unreachable(
        self, problem: str, pending: _PendingRequest
    ) -> PeerUnreachable:
        return PeerUnreachable(
            f'{self.node}: {problem}', node=self.node, sent=pending.sent
        )

    def _backoff_s(self, failures: int) -> float:
        settings = self.settings
        ceiling = min(
            settings.backoff_s * 2 ** min(failures - 1, MAX_BACKOFF_DOUBLINGS),
            settings.max_backoff_s,
        )
        return self.rng.uniform(ceiling / 2, ceiling)


async def _signal_connection(call: Any, connected: asyncio.Event) -> None:
    # If the connection fails, the reader of the stream reports it.
    with contextlib.suppress(grpc.RpcError):
        await call.wait_for_connection()
        connected.set()


def _is_task_cancelled() -> bool:
    task = asyncio.current_task()
    return task is None or task.cancelling() > 0


def open_stream(channel: grpc.aio.Channel) -> Callable[..., Any]:
    """Return the method of the generated stub, which has no type hints."""
    stub: Any = PeerStub(channel)
    exchange: Callable[..., Any] = stub.Exchange
    return exchange


def channel_options(settings: PeerSettings) -> list[tuple[str, int]]:
    """Return the gRPC options: keepalive on, the retries of grpc off."""
    return [
        ('grpc.keepalive_time_ms', int(settings.keepalive_s * 1000)),
        ('grpc.keepalive_timeout_ms', int(settings.keepalive_timeout_s * 1000)),
        ('grpc.keepalive_permit_without_calls', 0),
        ('grpc.http2.max_pings_without_data', 0),
        ('grpc.enable_retries', 0),
        ('grpc.use_local_subchannel_pool', 1),
    ]
