"""The interface of membership to the other packages."""

import enum
from collections.abc import Sequence
from typing import Protocol, final

import msgspec

from berylspread.kernel.errors import Failure
from berylspread.model import NodeRef, Vm


class VmDirectory(Protocol):
    """The platform's list of live and leaving VMs; it lags behind."""

    async def fetch(self) -> Sequence[Vm] | Failure:
        """Return every listed VM."""


@final
class Liveness(enum.Enum):
    """The state of a peer as judged by this node."""

    alive = 'alive'
    suspect = 'suspect'
    leaving = 'leaving'
    dead = 'dead'


@final
class Member(msgspec.Struct):
    """A peer, or this node itself, as this node sees it.

    ``zone``, ``region`` and ``address`` come from the VM list or the peer's
    heartbeat; ``ref`` is ``None`` until the peer has sent a message.
    """

    node: str
    address: str
    region: str
    zone: str
    liveness: Liveness
    ref: NodeRef | None = None
    log_offset: int = 0
    config_version: int = 0
    ready: bool = False


class Membership(Protocol):
    """The peers and workers known from heartbeats and the VM list."""

    def members(self, region: str = '') -> list[Member]:
        """Return the known entry nodes, of one region or of all."""

    def member(self, node: str) -> Member | None:
        """Return one entry node, or ``None`` if it is not known."""

    def workers(self, unit: str = '') -> list[Vm]:
        """Return the listed worker VMs, of one partition unit or of all."""

    def units(self, region: str) -> list[str]:
        """Return a region's partition units, in order of their names."""
