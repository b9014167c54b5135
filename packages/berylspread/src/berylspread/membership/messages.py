"""Heartbeats between nodes."""

from typing import Protocol, final

import msgspec

from berylspread.model import NodeRef
from berylspread.peers import Message, message


@final
class NodeStatus(msgspec.Struct, frozen=True, array_like=True):
    """A node's own status, sent with each heartbeat."""

    address: str
    region: str
    zone: str
    log_offset: int = 0
    config_version: int = 0
    ready: bool = False
    leaving: bool = False


@final
@message
class Heartbeat(Message, frozen=True, array_like=True):
    """Requests a sign of life; ``parts`` holds the data of extensions."""

    status: NodeStatus
    parts: dict[str, bytes] = {}


@final
@message
class HeartbeatReply(Message, frozen=True, array_like=True):
    """A sign of life of one incarnation, with the extensions' replies."""

    incarnation: int
    status: NodeStatus
    parts: dict[str, bytes] = {}


class HeartbeatExtension(Protocol):
    """A module that sends data with the heartbeats, under its own name.

    Empty bytes are not sent.
    """

    def build_request(self, node: str) -> bytes:
        """Return the request to send to a peer with the next heartbeat."""

    def handle_request(self, source: NodeRef, blob: bytes) -> bytes:
        """Return the reply to the request in a peer's heartbeat."""

    def handle_reply(
        self, source: NodeRef, sent_at: float, blob: bytes
    ) -> None:
        """Handle the reply to the heartbeat sent at loop time ``sent_at``."""
