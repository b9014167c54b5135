"""Messages about ownership between nodes."""

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
    """An electorate that a member has read and the asker may not have."""

    region: str
    version: int
    members: tuple[NodeRef, ...]


@final
class PromiseRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for a promise; rides on heartbeats.

    ``offset`` is how far the asker has read the log, ``versions`` the
    electorates that it states; ``suspended`` whether it lacks authority over
    what it owns.
    """

    offset: int
    versions: dict[str, int]
    suspended: bool = False


@final
class PromiseReply(msgspec.Struct, frozen=True, array_like=True):
    """The regions promised with the version stated, and what the asker missed.

    ``newer`` are electorates, ``superseded`` claims of others on its units.
    """

    granted: dict[str, int] = {}
    newer_electorates: tuple[KnownElectorate, ...] = ()
    superseding_claims: tuple[UnitEpoch, ...] = ()


@final
@message
class ConsentAsk(Message, frozen=True, array_like=True):
    """Asks a member how long its promises to older owners still hold.

    The member answers once it has read up to ``offset``, or after ``wait_s``
    seconds.
    """

    region: str
    version: int
    offset: int
    wait_s: float
    claims: tuple[UnitEpoch, ...] = ()


@final
class Consent(msgspec.Struct, frozen=True, array_like=True):
    """A member's consent to one claim.

    ``remaining_s`` is how long its promise to older owners holds; ``stopped``
    that it was itself the owner before, had acted, and has ended its tenure.
    """

    unit: str
    epoch: int
    remaining_s: float
    predecessor_stopped: bool = False


@final
@message
class ConsentReply(Message, frozen=True, array_like=True):
    """A member's consents, and what it knows of the electorate.

    ``incarnation`` tells whether the member itself answers or its successor
    under the same name; ``version`` is the newest that it has read;
    ``older_remaining_s`` how long its promises under versions before that still
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
    """The owner asks a successor to claim the next epoch of some units."""

    units: tuple[UnitEpoch, ...]


@final
@message
class HandoverReply(Message, frozen=True, array_like=True):
    """The units that the successor has claimed."""

    units: tuple[str, ...] = ()


@final
@message
class SightingAsk(Message, frozen=True, array_like=True):
    """Asks a member which of some silent owners it hears."""

    owners: tuple[NodeRef, ...]


@final
@message
class SightingReply(Message, frozen=True, array_like=True):
    """The owners that the member hears and that do not lack authority."""

    live: tuple[NodeRef, ...] = ()
