"""Messages about interactive calls: slots, allowances, registrations."""

from typing import final

import msgspec

from berylspread.model import NodeRef, Resources, Vm
from berylspread.partition.messages import UnitEpoch
from berylspread.peers import Message, message


@message
@final
class CallSlotAsk(Message, frozen=True, tag=True):
    """Requests a slot for one call from a partition owner.

    The owner replies when a worker has a free slot, or refuses.  ``wait_s`` is
    the time left until the call's deadline.
    """

    unit: str
    request_id: str
    attempt: int
    team: str
    queue: str
    shape: Resources
    wait_s: float
    avoid_workers: list[str] = []


@message
@final
class CallSlot(Message, frozen=True, tag=True):
    """A worker with a slot for the call, which must be sent at once."""

    partition: UnitEpoch
    worker: Vm


@message
@final
class CallDone(Message, frozen=True, tag=True):
    """Reports that a call has ended or its slot was not used.

    ``may_run`` is set if the worker has not responded: it may run the call
    until the deadline.
    """

    unit: str
    request_id: str
    attempt: int
    queue: str = ''
    served_s: float = 0.0
    failed: bool = False
    may_run: bool = False


@message
@final
class AllowanceAsk(Message, frozen=True, tag=True):
    """Requests a slice of a team's call limit from the home.

    ``wanted`` is the whole slice that the entry node wants, ``holds`` what it
    uses until the reply.
    """

    home: UnitEpoch
    team: str
    wanted: int
    holds: int
    sequence: int


@message
@final
class Allowance(Message, frozen=True, tag=True):
    """Lends a slice: the number of calls that may be in flight.

    ``valid_s`` counts from the sending of the request.
    """

    team: str
    count: int
    valid_s: float
    sequence: int


@message
@final
class RegisterAsk(Message, frozen=True, tag=True):
    """Requests the registration of a non-idempotent call before it is sent.

    ``issued_at`` and ``deadline`` are seconds since the epoch; ``issued_at`` is
    taken from the request id.
    """

    home: UnitEpoch
    request_id: str
    entry: str
    issued_at: float
    deadline: float


@message
@final
class Registered(Message, frozen=True, tag=True):
    """Reply to a registration: whether it is the first of its request id.

    ``is_certain`` is false if the home cannot know whether an earlier copy was
    registered.
    """

    request_id: str
    is_first: bool
    is_certain: bool = True


@message
@final
class SlicesAsk(Message, frozen=True, tag=True):
    """Requests the slices that an entry node holds, for a new home.

    From then on the entry node drops allowances of older epochs.
    """

    home: UnitEpoch


@final
class HeldSlice(msgspec.Struct, frozen=True, array_like=True):
    """A team's slice at an entry node."""

    team: str
    count: int


@message
@final
class SlicesReply(Message, frozen=True, tag=True):
    """The slices of an entry node that are valid or have calls in flight."""

    holder: NodeRef
    slices: list[HeldSlice]
