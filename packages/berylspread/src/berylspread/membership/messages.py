"""Heartbeats between nodes."""

from typing import Protocol, final

import msgspec

from berylspread.model import NodeRef
from berylspread.peers import Message, message


@final
class NodeStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a node tells of itself with each heartbeat."""

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
    """Asks a peer for a sign of life; ``parts`` are other modules' riders."""

    status: NodeStatus
    parts: dict[str, bytes] = {}


@final
@message
class HeartbeatReply(Message, frozen=True, array_like=True):
    """A sign of life of one incarnation, with the riders' answers."""

    incarnation: int
    status: NodeStatus
    parts: dict[str, bytes] = {}


class HeartbeatExtension(Protocol):
    """A module whose data rides on heartbeats, under its own name.

    Empty bytes are not sent.
    """

    def build_request(self, node: str) -> bytes:
        """Return what to send to a peer with the next heartbeat."""

    def handle_request(self, source: NodeRef, blob: bytes) -> bytes:
        """Return the answer to what a peer's heartbeat carried."""

    def handle_reply(
        self, source: NodeRef, sent_at: float, blob: bytes
    ) -> None:
        """Take a peer's answer to the heartbeat sent at a loop time."""
