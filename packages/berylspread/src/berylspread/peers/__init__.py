"""Messages between nodes over long-lived streams."""

from berylspread.peers.counters import PeerCounters
from berylspread.peers.dispatch import Dispatcher
from berylspread.peers.grpc_peers import GrpcPeers
from berylspread.peers.interface import (
    Codec,
    Handler,
    Message,
    Peers,
    message,
)
from berylspread.peers.link import PeerSettings

__all__ = (
    'Codec',
    'Dispatcher',
    'GrpcPeers',
    'Handler',
    'Message',
    'PeerCounters',
    'PeerSettings',
    'Peers',
    'message',
)
