"""Streams between nodes."""

from berylspread.peers.interface import (
    Codec,
    Handler,
    Message,
    Peers,
    message,
)

__all__ = (
    'Codec',
    'Handler',
    'Message',
    'Peers',
    'message',
)
