"""Dispatches the messages that arrive at this node to their handlers."""

from typing import Final, final

import msgspec
from absl import logging

from berylspread.kernel.errors import (
    Failure,
    Internal,
    InvalidInput,
    WireFailure,
    from_wire,
    to_wire,
)
from berylspread.model import NodeRef
from berylspread.peers.interface import Codec, Handler, Message, message
from berylspread.peers.tracing import serve_span
from berylspread.proto.peer_pb2 import Envelope


@final
@message
class NoReply(Message, frozen=True):
    """The reply to a request whose handler returned nothing."""


WireBody = Message | WireFailure
NO_REPLY: Final = NoReply()


@final
class Dispatcher:
    """Decodes messages and calls the handlers of their types."""

    __slots__ = ('codec', 'handlers')

    def __init__(self) -> None:
        self.codec = Codec()
        self.handlers: dict[str, Handler] = {}

    def register(self, cls: type[Message], handler: Handler) -> None:
        """Register the handler of a message type, replacing an earlier one."""
        self.handlers[cls.__name__] = handler

    async def serve(self, source: NodeRef, envelope: Envelope) -> WireBody:
        """Decode and handle one message; return the body of the reply."""
        try:
            body = self.codec.decode(envelope.type, envelope.body)
        except msgspec.DecodeError as error:
            return to_wire(InvalidInput(str(error), type=envelope.type))
        with serve_span(envelope.type, source.node, envelope.traceparent):
            reply = await self.handle(source, body)
        return to_wire(reply) if isinstance(reply, Failure) else reply

    async def handle(self, source: NodeRef, body: Message) -> Message | Failure:
        """Call the handler; an exception in it becomes ``Internal``."""
        name = type(body).__name__
        handler = self.handlers.get(name)
        if handler is None:
            return InvalidInput(f'no handler for {name!r}', type=name)
        try:
            reply = await handler(source, body)
        except Exception as error:  # noqa: BLE001
            logging.exception('handler of %s failed', name)
            return Internal(f'handler of {name} failed: {error!r}')
        return NO_REPLY if reply is None else reply

    def encode_reply(self, body: WireBody) -> tuple[str, bytes]:
        """Return a reply's type and bytes.

        A reply that cannot be encoded is replaced by ``Internal``.
        """
        try:
            return self.codec.encode(body)
        except (OverflowError, TypeError, ValueError) as error:
            logging.exception('cannot encode the reply %s', type(body).__name__)
            return self.codec.encode(
                to_wire(Internal(f'cannot encode the reply: {error}'))
            )

    def decode_reply(self, envelope: Envelope) -> Message | Failure:
        """Return the reply in an envelope, ``Internal`` if it is malformed."""
        try:
            body = self.codec.decode(envelope.type, envelope.body)
        except msgspec.DecodeError as error:
            return Internal(f'malformed reply: {error}', type=envelope.type)
        if isinstance(body, WireFailure):
            return from_wire(body)
        reply: Message = body
        return reply
