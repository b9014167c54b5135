"""What every part of one node shares."""

import random
from collections.abc import Awaitable, Callable
from typing import final

from berylspread.config import Document
from berylspread.kernel import WallClock
from berylspread.log import Appender, ClusterState
from berylspread.membership import Membership
from berylspread.model import NodeRef
from berylspread.ownership import Ownership
from berylspread.peers import Peers


@final
class NodeContext:
    """The node's identity and the parts that its roles are built from."""

    __slots__ = (
        'appender',
        'membership',
        'ownership',
        'peers',
        'ref',
        'region',
        'rng',
        'state',
        'wall',
        'zone',
    )

    def __init__(
        self,
        *,
        ref: NodeRef,
        region: str,
        zone: str,
        state: ClusterState,
        appender: Appender,
        peers: Peers,
        membership: Membership,
        ownership: Ownership,
        wall: WallClock,
        rng: random.Random,
    ) -> None:
        """Keep the parts; the node's assembly makes them."""
        self.ref = ref
        self.region = region
        self.zone = zone
        self.state = state
        self.appender = appender
        self.peers = peers
        self.membership = membership
        self.ownership = ownership
        self.wall = wall
        self.rng = rng

    @property
    def document(self) -> Document:
        """The configuration in force."""
        return self.state.document


LoopStep = Callable[[], Awaitable[None]]
