"""Messages about interactive calls: slots, allowances, registrations."""

from typing import final

import msgspec

from berylspread.model import NodeRef, Resources, Vm
from berylspread.partition.messages import UnitEpoch
from berylspread.peers import Message, message


@message
@final
class CallSlotAsk(Message, frozen=True, tag=True):
    """An entry node asks a partition owner for room for one call.

    The owner answers when it has a worker, or refuses; ``wait_s`` is the time
    left until the call's deadline.
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
    """A worker with room for the call, to be used at once."""

    partition: UnitEpoch
    worker: Vm


@message
@final
class CallDone(Message, frozen=True, tag=True):
    """The call has ended, or its slot was not used.

    After a call without an answer ``may_run`` is set: the worker may still be
    busy with it until its deadline.
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
    """An entry node asks a home for a slice of a team's calls."""

    home: UnitEpoch
    team: str
    wanted: int
    holds: int
    sequence: int


@message
@final
class Allowance(Message, frozen=True, tag=True):
    """How many calls the entry node may have in flight, and for how long.

    ``valid_s`` counts from the sending of the question.
    """

    team: str
    count: int
    valid_s: float
    sequence: int


@message
@final
class RegisterAsk(Message, frozen=True, tag=True):
    """Register a non-idempotent call before it is sent to a worker.

    ``issued_at`` and ``deadline`` are seconds since the epoch, the former from
    the request id.
    """

    home: UnitEpoch
    request_id: str
    entry: str
    issued_at: float
    deadline: float


@message
@final
class Registered(Message, frozen=True, tag=True):
    """Whether this registration is the first of the request."""

    request_id: str
    is_first: bool
    is_certain: bool = True


@message
@final
class SlicesAsk(Message, frozen=True, tag=True):
    """A new home asks an entry node which slices of its teams it holds.

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
    """The slices that an entry node holds, with calls under way or valid."""

    holder: NodeRef
    slices: list[HeldSlice]
