"""The context that the roles of one node share."""

import random
from typing import final

from berylspread.config import Document
from berylspread.kernel import WallClock, now
from berylspread.log import Appender, ClusterState
from berylspread.membership import Membership
from berylspread.model import NodeRef
from berylspread.ownership import Ownership
from berylspread.peers import Peers
from berylspread.runtime.capacities import CapacityCache
from berylspread.runtime.documents import DocumentFollower


@final
class NodeContext:
    """The node's identity and the components that its roles use."""

    __slots__ = (
        'appender',
        'capacities',
        'document_follower',
        'membership',
        'ownership',
        'peers',
        'ref',
        'region',
        'rng',
        'started_at',
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
        self.started_at = now()
        self.document_follower = DocumentFollower(state)
        self.capacities = CapacityCache()

    @property
    def document(self) -> Document:
        """The configuration in force."""
        return self.document_follower.document

    @property
    def uptime_s(self) -> float:
        """Seconds since this process started."""
        return now() - self.started_at

    def owner(self, unit: str) -> tuple[NodeRef, int] | None:
        """Return the last logged owner of a unit and its epoch."""
        claim = self.state.units.claim(unit)
        return None if claim is None else (claim.owner, claim.epoch)

    def owners(self, prefix: str) -> dict[str, tuple[NodeRef, int]]:
        """Return the last logged owners of the units under a prefix."""
        return {
            unit: (claim.owner, claim.epoch)
            for unit, claim in self.state.units.claims.items()
            if unit.startswith(prefix)
        }
