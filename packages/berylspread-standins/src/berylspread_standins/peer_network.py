"""Streams between nodes as a stand-in, over the simulated network.

Messages are really encoded and decoded.  A node that starts again is a new
incarnation; what was on its way to the old one is lost.
"""

import asyncio
import itertools
import random
from typing import Any, Final, TypeVar, final

import msgspec
from absl import logging

from berylspread.kernel import errors
from berylspread.kernel.clock import now
from berylspread.kernel.errors import (
    Failure,
    Internal,
    PeerUnreachable,
    WireFailure,
)
from berylspread.model import NodeRef
from berylspread.peers.interface import Codec, Handler, Message
from berylspread_standins.exchange import detach
from berylspread_standins.gate import Gate
from berylspread_standins.network import Endpoint, Network
from berylspread_standins.virtual_time import process_context

MessageT = TypeVar('MessageT', bound=Message)

#: Bytes of the envelope around a message.
ENVELOPE_BYTES: Final = 40


@final
class Envelope(msgspec.Struct, frozen=True):
    """A message on its way; ``ask`` is 0 for one without a reply."""

    source: NodeRef
    target: NodeRef
    type_name: str
    blob: bytes
    ask: int = 0
    is_reply: bool = False


@final
class PeerNetwork:
    """The running nodes by name, and the network between them."""

    __slots__ = ('codec', 'incarnations', 'network', 'nodes')

    def __init__(
        self, rng: random.Random, *, network: Network | None = None
    ) -> None:
        """Start without nodes."""
        self.network = network or Network(rng)
        self.codec = Codec()
        self.nodes: dict[str, LocalPeers] = {}
        self.incarnations: dict[str, int] = {}

    def start(
        self, node: Endpoint, *, gate: Gate | None = None
    ) -> 'LocalPeers':
        """Start a node, or start it again as a new incarnation."""
        self.stop(node.name)
        incarnation = self.incarnations.get(node.name, 0) + 1
        self.incarnations[node.name] = incarnation
        peers = LocalPeers(self, node, incarnation, gate=gate)
        self.nodes[node.name] = peers
        return peers

    def stop(self, node: str) -> None:
        """Stop a node; its pending questions fail at their timeouts."""
        peers = self.nodes.pop(node, None)
        if peers is not None:
            peers.is_stopped = True

    def send(self, envelope: Envelope) -> None:
        """Send an envelope on its way; it may be lost."""
        source = self.nodes.get(envelope.source.node)
        target = self.nodes.get(envelope.target.node)
        if source is None or target is None:
            return
        times = self.network.arrivals(
            source.endpoint,
            target.endpoint,
            len(envelope.blob) + len(envelope.type_name) + ENVELOPE_BYTES,
            envelope.type_name,
        )
        loop = asyncio.get_running_loop()
        for time in times:
            loop.call_at(
                time, self._arrive, envelope, context=process_context('')
            )

    def _arrive(self, envelope: Envelope) -> None:
        target = self.nodes.get(envelope.target.node)
        if target is not None and target.ref == envelope.target:
            target.receive(envelope)


@final
class LocalPeers:
    """One incarnation of a node; implements ``Peers``.

    While its gate is paused it neither sends nor handles anything; what arrives
    is handled, in order, after it resumes.
    """

    __slots__ = (
        'endpoint',
        'gate',
        'handlers',
        'is_stopped',
        'numbers',
        'peer_network',
        'pending_requests',
        'ref',
    )

    def __init__(
        self,
        peer_network: PeerNetwork,
        endpoint: Endpoint,
        incarnation: int,
        *,
        gate: Gate | None = None,
    ) -> None:
        """Join the network; ``PeerNetwork.start`` calls this."""
        self.peer_network = peer_network
        self.endpoint = endpoint
        self.ref = NodeRef(endpoint.name, incarnation)
        self.gate = gate or Gate()
        self.handlers: dict[str, Handler] = {}
        self.pending_requests: dict[int, asyncio.Future[Any]] = {}
        self.numbers = itertools.count(1)
        self.is_stopped = False

    def register_handler(self, cls: type[Message], handler: Handler) -> None:
        """Serve messages of one type."""
        self.handlers[cls.__name__] = handler

    async def request(
        self,
        node: str,
        body: Message,
        reply_type: type[MessageT],
        *,
        timeout_s: float,
    ) -> MessageT | Failure:
        """Send a message and wait for its reply, or ``PeerUnreachable``.

        The failure's field ``sent`` is false if there never was such a node.
        """
        if node == self.ref.node:
            reply = await self._request_self(body, timeout_s)
        else:
            reply = await self._send_request(node, body, timeout_s)
        await self.gate.wait()
        if reply is None:
            known = node in self.peer_network.incarnations
            return PeerUnreachable('no answer in time', node=node, sent=known)
        if isinstance(reply, reply_type | Failure):
            return reply
        return Internal(f'unexpected reply {type(reply).__name__}', node=node)

    def send(self, node: str, body: Message) -> None:
        """Send a message without a reply; it may be lost."""
        if node == self.ref.node:
            detach(self._handle(self.ref, body))
        else:
            self._send(self._target(node), body)

    def receive(self, envelope: Envelope) -> None:
        """Take an envelope off the network."""
        detach(self._receive(envelope), process_context(self.ref.node))

    async def _request_self(self, body: Message, timeout_s: float) -> Any:
        try:
            async with asyncio.timeout(timeout_s):
                await self.gate.wait()
                return await self._handle(self.ref, body)
        except TimeoutError:
            return None

    async def _send_request(
        self, node: str, body: Message, timeout_s: float
    ) -> Any:
        number = next(self.numbers)
        future = asyncio.get_running_loop().create_future()
        self.pending_requests[number] = future
        self._send(self._target(node), body, ask=number)
        try:
            await asyncio.wait((future,), timeout=timeout_s)
        finally:
            del self.pending_requests[number]
        return future.result() if future.done() else None

    async def _receive(self, envelope: Envelope) -> None:
        await self.gate.wait()
        if self.is_stopped:
            return
        body = self.peer_network.codec.decode(envelope.type_name, envelope.blob)
        if isinstance(body, WireFailure):
            body = errors.from_wire(body)
        if envelope.is_reply:
            future = self.pending_requests.get(envelope.ask)
            if future is not None and not future.done():
                future.set_result(body)
            return
        reply = await self._handle(envelope.source, body)
        if envelope.ask and reply is not None:
            self._send(envelope.source, reply, ask=envelope.ask, is_reply=True)

    async def _handle(self, source: NodeRef, body: Any) -> Any:
        handler = self.handlers.get(type(body).__name__)
        if handler is None:
            return Internal(f'no handler for {type(body).__name__}')
        started_at = now()
        try:
            return await handler(source, body)
        except Exception as error:  # noqa: BLE001
            logging.exception(
                'handler of %s at %s failed after %.3f s',
                type(body).__name__,
                self.ref.node,
                now() - started_at,
            )
            return Internal(f'{type(error).__name__}: {error}')

    def _send(
        self,
        target: NodeRef,
        body: Message | Failure,
        *,
        ask: int = 0,
        is_reply: bool = False,
    ) -> None:
        if self.is_stopped:
            return
        wire = errors.to_wire(body) if isinstance(body, Failure) else body
        type_name, blob = self.peer_network.codec.encode(wire)
        envelope = Envelope(self.ref, target, type_name, blob, ask, is_reply)
        if self.gate.is_paused:
            detach(self._send_later(envelope))
        else:
            self.peer_network.send(envelope)

    async def _send_later(self, envelope: Envelope) -> None:
        await self.gate.wait()
        if not self.is_stopped:
            self.peer_network.send(envelope)

    def _target(self, node: str) -> NodeRef:
        incarnation = self.peer_network.incarnations.get(node, 0)
        return NodeRef(node, incarnation)
