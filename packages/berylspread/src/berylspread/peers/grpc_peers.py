"""The gRPC implementation of messages between nodes."""

import asyncio
from typing import Any, Final, TypeVar, final

import grpc

from berylspread.kernel.errors import Failure, Internal, PeerUnreachable
from berylspread.model import NodeRef
from berylspread.peers.counters import PeerCounters
from berylspread.peers.dispatch import Dispatcher
from berylspread.peers.incarnations import IncarnationTracker
from berylspread.peers.interface import Handler, Message
from berylspread.peers.link import AddressLookup, Link, PeerSettings
from berylspread.peers.service import PeerService
from berylspread.proto import peer_pb2_grpc

ReplyT = TypeVar('ReplyT', bound=Message)

MIN_PING_INTERVAL_MS: Final = 1000
#: A frame of the outbox is shorter: its limit, and one envelope with a job.
MAX_MESSAGE_BYTES: Final = 4_194_304
#: Names and numbers of the two nodes.
MAX_METADATA_BYTES: Final = 8192
#: A peer has one stream; another one while its process is being replaced.
MAX_STREAMS: Final = 4
#: A connection that is no peer's.
HANDSHAKE_TIMEOUT_MS: Final = 5000


@final
class GrpcPeers:
    """A server, and an outgoing stream to each peer that is addressed.

    ``find_address`` returns the ``IP:port`` of a node, or ``None`` if it is not
    known.  It is called for each message and at each dial, so a change of the
    VM list applies at once.
    """

    __slots__ = (
        'counters',
        'dispatcher',
        'find_address',
        'incarnations',
        'links',
        'ref',
        'server',
        'settings',
        'tasks',
    )

    def __init__(
        self,
        ref: NodeRef,
        find_address: AddressLookup,
        settings: PeerSettings | None = None,
    ) -> None:
        """``ref`` is the identity of this node."""
        self.ref = ref
        self.find_address = find_address
        self.settings = settings or PeerSettings()
        self.counters = PeerCounters()
        self.dispatcher = Dispatcher()
        self.incarnations = IncarnationTracker(
            self.settings.silence_s
            if self.settings.accepts_set_back_clocks
            else None
        )
        self.links: dict[str, Link] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.server: grpc.aio.Server | None = None

    async def start(self, listen: str) -> int:
        """Accept streams at ``IP:port`` and return the port."""
        server = grpc.aio.server(
            options=_server_options(self.settings.max_connections)
        )
        service = PeerService(
            self.ref,
            self.incarnations,
            self.dispatcher,
            self.counters,
            self.settings.linger_s,
        )
        add_service: Any = peer_pb2_grpc.add_PeerServicer_to_server
        add_service(service, server)
        port = server.add_insecure_port(listen)
        await server.start()
        self.server = server
        return port

    async def stop(self, grace_s: float = 0.0) -> None:
        """Close the streams; incoming ones get ``grace_s`` seconds to end."""
        if self.server is not None:
            await self.server.stop(grace_s)
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.links.clear()

    async def request(
        self,
        node: str,
        body: Message,
        reply_type: type[ReplyT],
        *,
        timeout_s: float,
    ) -> ReplyT | Failure:
        """Send a message and wait for its reply, or ``PeerUnreachable``.

        The failure's field ``sent`` is false if the peer certainly never
        received the message.
        """
        if node == self.ref.node:
            reply = await self._request_self(body, timeout_s)
        elif self.find_address(node) is None:
            return PeerUnreachable(
                f'{node}: no address is known', node=node, sent=False
            )
        else:
            reply = await self._link(node).request(body, timeout_s)
        if isinstance(reply, (reply_type, Failure)):
            return reply
        return Internal(f'unexpected reply of type {type(reply).__name__}')

    def send(self, node: str, body: Message) -> None:
        """Send a message without a reply; it may be lost."""
        if node == self.ref.node:
            self._spawn(self._send_self(body))
        elif self.find_address(node) is None:
            self.counters.dropped['no-address'] += 1
        else:
            self._link(node).send(body)

    def register_handler(self, cls: type[Message], handler: Handler) -> None:
        """Register the handler of a message type; its result is the reply."""
        self.dispatcher.register(cls, handler)

    async def _request_self(
        self, body: Message, timeout_s: float
    ) -> Message | Failure:
        try:
            async with asyncio.timeout(timeout_s):
                return await self.dispatcher.handle(self.ref, body)
        except TimeoutError:
            return PeerUnreachable(
                f'no reply for {timeout_s} s', node=self.ref.node, sent=True
            )

    async def _send_self(self, body: Message) -> None:
        await self.dispatcher.handle(self.ref, body)

    def _link(self, node: str) -> Link:
        link = self.links.get(node)
        if link is None:
            link = Link(
                self.ref,
                node,
                self.find_address,
                self.incarnations.accept,
                self.dispatcher,
                self.counters,
                self.settings,
            )
            self.links[node] = link
            self._spawn(link.run())
        return link

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _server_options(max_connections: int) -> list[tuple[str, int]]:
    return [
        ('grpc.max_allowed_incoming_connections', max_connections),
        ('grpc.max_concurrent_streams', MAX_STREAMS),
        ('grpc.max_receive_message_length', MAX_MESSAGE_BYTES),
        ('grpc.absolute_max_metadata_size', MAX_METADATA_BYTES),
        ('grpc.server_handshake_timeout_ms', HANDSHAKE_TIMEOUT_MS),
        (
            'grpc.http2.min_recv_ping_interval_without_data_ms',
            MIN_PING_INTERVAL_MS,
        ),
        ('grpc.http2.max_ping_strikes', 0),
        ('grpc.so_reuseport', 0),
    ]
