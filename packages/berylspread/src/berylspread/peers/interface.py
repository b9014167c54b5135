"""Messages between nodes: requests, replies and messages without a reply.

A message is a ``msgspec.Struct`` with a tag, registered by ``message``.  It
travels as MessagePack inside an envelope of the peer protocol.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Final, Protocol, TypeVar, final

import msgspec

from berylspread.kernel.errors import Failure, WireFailure
from berylspread.model import NodeRef


class Message(msgspec.Struct, frozen=True, tag=True):
    """Base class of every message and reply between nodes."""


MessageT = TypeVar('MessageT', bound=Message)
Handler = Callable[[NodeRef, Any], Awaitable[Message | Failure | None]]

_types: Final[dict[str, type[Message]]] = {}


def message(cls: type[MessageT]) -> type[MessageT]:
    """Register a message type for the codec; a class decorator."""
    registered = _types.setdefault(cls.__name__, cls)
    if registered is not cls:
        raise TypeError(
            f'message type {cls.__name__!r} is registered by {registered!r}'
        )
    return cls


@final
class Codec:
    """Encodes and decodes the registered message types."""

    __slots__ = ('decoders', 'encoder')

    def __init__(self) -> None:
        self.encoder = msgspec.msgpack.Encoder()
        self.decoders: dict[str, msgspec.msgpack.Decoder[Any]] = {
            WireFailure.__name__: msgspec.msgpack.Decoder(WireFailure),
        }

    def encode(self, body: Message | WireFailure) -> tuple[str, bytes]:
        """Return the type name and the bytes of a message."""
        return type(body).__name__, self.encoder.encode(body)

    def decode(self, name: str, blob: bytes) -> Any:
        """Return the decoded message, or raise ``msgspec.DecodeError``."""
        decoder = self.decoders.get(name)
        if decoder is None:
            cls = _types.get(name)
            if cls is None:
                raise msgspec.DecodeError(f'unknown message type {name!r}')
            decoder = msgspec.msgpack.Decoder(cls)
            self.decoders[name] = decoder
        return decoder.decode(blob)


class Peers(Protocol):
    """Sends messages to nodes and handles the messages from them.

    A message of a node to itself does not use the network.
    """

    async def request(
        self,
        node: str,
        body: Message,
        reply_type: type[MessageT],
        *,
        timeout_s: float,
    ) -> MessageT | Failure:
        """Send a message and wait for its reply, or ``PeerUnreachable``."""

    def send(self, node: str, body: Message) -> None:
        """Send a message without a reply; it may be lost."""

    def register_handler(self, cls: type[Message], handler: Handler) -> None:
        """Register the handler of a message type; its result is the reply."""
