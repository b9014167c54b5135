"""The messages about ownership between nodes."""

from typing import final

import msgspec

from berylspread.model import NodeRef
from berylspread.peers import Message, message


@final
class UnitEpoch(msgspec.Struct, frozen=True, array_like=True):
    """One epoch of a unit."""

    unit: str
    epoch: int


@final
class KnownElectorate(msgspec.Struct, frozen=True, array_like=True):
    """An electorate that a member has read, for a node that may not have."""

    region: str
    version: int
    members: tuple[NodeRef, ...]


@final
class PromiseRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests promises; sent with heartbeats.

    ``offset`` is the log offset up to which the requester has read,
    ``versions`` its newest electorate version by region, and ``suspended``
    whether it lacks authority over a unit that it owns.
    """

    offset: int
    versions: dict[str, int]
    suspended: bool = False


@final
class PromiseReply(msgspec.Struct, frozen=True, array_like=True):
    """The promises granted, and what the requester has not read yet.

    ``granted`` maps each promised region to the version stated in the request.
    ``newer_electorates`` are newer than the versions stated.
    ``superseding_claims`` are claims of other nodes in the requested regions
    after the requester's log offset.
    """

    granted: dict[str, int] = {}
    newer_electorates: tuple[KnownElectorate, ...] = ()
    superseding_claims: tuple[UnitEpoch, ...] = ()


@final
@message
class ConsentAsk(Message, frozen=True, array_like=True):
    """Asks a member how long its promises to older owners still hold.

    The member replies once it has read the log up to ``offset``, or after
    ``wait_s`` seconds.
    """

    region: str
    version: int
    offset: int
    wait_s: float
    claims: tuple[UnitEpoch, ...] = ()


@final
class Consent(msgspec.Struct, frozen=True, array_like=True):
    """A member's consent to one claim.

    ``remaining_s`` is how long its promises to older owners still hold;
    ``predecessor_stopped`` says that the member itself was the previous owner,
    has acted, and has ended its tenure.
    """

    unit: str
    epoch: int
    remaining_s: float
    predecessor_stopped: bool = False


@final
@message
class ConsentReply(Message, frozen=True, array_like=True):
    """A member's consents, and the state of its electorate.

    ``incarnation`` tells whether the member itself replies or a later process
    under the same name; ``version`` is the newest electorate that it has read;
    ``older_remaining_s`` is how long its promises under older versions still
    hold.
    """

    incarnation: int
    version: int
    older_remaining_s: float
    eligible: bool
    consents: tuple[Consent, ...] = ()


@final
@message
class HandoverAsk(Message, frozen=True, array_like=True):
    """Asks a successor to claim the next epoch of the sender's units."""

    units: tuple[UnitEpoch, ...]


@final
@message
class HandoverReply(Message, frozen=True, array_like=True):
    """The units that the successor has claimed."""

    units: tuple[str, ...] = ()


@final
@message
class SightingAsk(Message, frozen=True, array_like=True):
    """Asks a member which of ``owners`` are live as it sees them."""

    owners: tuple[NodeRef, ...]


@final
@message
class SightingReply(Message, frozen=True, array_like=True):
    """The owners that are present and have not lacked authority for long."""

    live: tuple[NodeRef, ...] = ()
