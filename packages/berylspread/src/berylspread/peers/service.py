"""The incoming streams from other nodes."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Final, final

import grpc

from berylspread.kernel.errors import Overloaded, to_wire
from berylspread.model import NodeRef
from berylspread.peers.counters import PeerCounters
from berylspread.peers.dispatch import Dispatcher, WireBody
from berylspread.peers.incarnations import IncarnationTracker
from berylspread.peers.link import INCARNATION_KEY, SOURCE_KEY, TARGET_KEY
from berylspread.peers.outbox import Outbox
from berylspread.proto.peer_pb2 import Envelope, Frame
from berylspread.proto.peer_pb2_grpc import PeerServicer

MAX_CONCURRENT_MESSAGES: Final = 1024


@final
class Connection:
    """One incoming stream: receives messages and sends their replies."""

    __slots__ = (
        'counters',
        'dispatcher',
        'handler_tasks',
        'incarnations',
        'local_ref',
        'outbox',
        'source',
    )

    def __init__(
        self,
        local_ref: NodeRef,
        source: NodeRef,
        incarnations: IncarnationTracker,
        dispatcher: Dispatcher,
        counters: PeerCounters,
        linger_s: float,
    ) -> None:
        """``local_ref`` is the identity of this node, ``source`` the peer's."""
        self.local_ref = local_ref
        self.source = source
        self.incarnations = incarnations
        self.dispatcher = dispatcher
        self.counters = counters
        self.outbox = Outbox(counters, linger_s)
        self.handler_tasks: set[asyncio.Task[None]] = set()

    async def read_frames(self, frames: AsyncIterator[Frame]) -> None:
        """Handle each message of the stream in its own task."""
        try:
            async for frame in frames:
                for envelope in frame.envelopes:
                    self._receive(envelope)
        finally:
            self.outbox.close()

    def close(self) -> None:
        """Cancel the handlers, since their replies cannot be sent."""
        for task in self.handler_tasks:
            task.cancel()

    def _receive(self, envelope: Envelope) -> None:
        self.counters.record_received(envelope.type, envelope.ByteSize())
        source = NodeRef(envelope.source, envelope.incarnation)
        if source != self.source or not self.incarnations.accept(source):
            self.counters.dropped['stale-incarnation'] += 1
            return
        if len(self.handler_tasks) >= MAX_CONCURRENT_MESSAGES:
            self._reply(
                envelope,
                to_wire(Overloaded('too many messages are being handled')),
            )
            return
        task = asyncio.create_task(self._serve(envelope))
        self.handler_tasks.add(task)
        task.add_done_callback(self.handler_tasks.discard)

    async def _serve(self, envelope: Envelope) -> None:
        self._reply(
            envelope, await self.dispatcher.serve(self.source, envelope)
        )

    def _reply(self, envelope: Envelope, body: WireBody) -> None:
        if not envelope.id:
            return
        name, blob = self.dispatcher.encode_reply(body)
        self.outbox.put(
            Envelope(
                reply_to=envelope.id,
                source=self.local_ref.node,
                incarnation=self.local_ref.incarnation,
                type=name,
                body=blob,
            )
        )


@final
class PeerService(PeerServicer):
    """The gRPC service that accepts streams from peers."""

    def __init__(
        self,
        local_ref: NodeRef,
        incarnations: IncarnationTracker,
        dispatcher: Dispatcher,
        counters: PeerCounters,
        linger_s: float,
    ) -> None:
        """``local_ref`` is the identity of this node."""
        self.local_ref = local_ref
        self.incarnations = incarnations
        self.dispatcher = dispatcher
        self.counters = counters
        self.linger_s = linger_s

    async def Exchange(  # noqa: N802
        self,
        request_iterator: AsyncIterator[Frame],
        context: 'grpc.aio.ServicerContext[Any, Any]',
    ) -> AsyncIterator[Frame]:
        """Serve one stream until one of the nodes closes it."""
        source = await self._identify_caller(context)
        connection = Connection(
            self.local_ref,
            source,
            self.incarnations,
            self.dispatcher,
            self.counters,
            self.linger_s,
        )
        reader = asyncio.create_task(connection.read_frames(request_iterator))
        try:
            async for frame in connection.outbox.frames(_send_always):
                yield frame
        finally:
            reader.cancel()
            connection.close()

    async def _identify_caller(
        self, context: 'grpc.aio.ServicerContext[Any, Any]'
    ) -> NodeRef:
        """Return the identity of the caller.

        Abort the stream if it is meant for another node or if a newer
        incarnation of the caller is known.
        """
        metadata = dict(context.invocation_metadata() or ())
        if metadata.get(TARGET_KEY) != self.local_ref.node:
            self.counters.dropped['wrong-target'] += 1
            await context.abort(
                grpc.StatusCode.NOT_FOUND, f'this node is {self.local_ref.node}'
            )
        source = NodeRef(
            str(metadata[SOURCE_KEY]), int(metadata[INCARNATION_KEY])
        )
        if not self.incarnations.accept(source):
            self.counters.dropped['stale-incarnation'] += 1
            await context.abort(
                grpc.StatusCode.FAILED_PRECONDITION,
                f'a newer incarnation of {source.node} is known',
            )
        return source


def _send_always(_envelope: Envelope) -> bool:
    return True
