"""Messages between job homes and partition owners.

A sender names its unit and epoch; the receiver refuses an epoch below the
highest that it has seen for that unit.
"""

from typing import Final, final

import msgspec

from berylspread.model import (
    Constraints,
    JobKind,
    Resources,
    TaskKey,
    TaskState,
)
from berylspread.peers import Message, message
from berylspread.placement.demand import DemandClass, TeamUsage

#: An owner that has adopted an attempt from its worker, or a node of an earlier
#: version, does not know how many attempts have failed.
UNKNOWN_FAILURES: Final = -1


@final
class UnitEpoch(msgspec.Struct, frozen=True, array_like=True):
    """A unit and one epoch of its ownership."""

    unit: str
    epoch: int


@final
class TaskGrant(msgspec.Struct, frozen=True):
    """One attempt of a task that a home hands out to a partition owner.

    ``failures`` is how many earlier attempts have failed, if it is known.
    """

    task: TaskKey
    attempt: int
    team: str
    queue: str
    job_class: str
    kind: JobKind
    shape: Resources
    priority: int = 0
    preemptible: bool = True
    expected_run_s: float = 0.0
    payload: str = ''
    checkpoint: str = ''
    constraints: Constraints = Constraints()
    failures: int = UNKNOWN_FAILURES


@message
@final
class DemandUpdate(Message, frozen=True, tag=True):
    """A home's whole pending demand; a higher ``sequence`` replaces it."""

    home: UnitEpoch
    sequence: int
    classes: list[DemandClass]
    uses: list[TeamUsage]


@final
class PullLine(msgspec.Struct, frozen=True, array_like=True):
    """How many tasks of one class a partition owner has room for."""

    class_id: str
    count: int


@message
@final
class PullAsk(Message, frozen=True, tag=True):
    """A partition owner requests tasks from a home.

    A repeated request with the same ``sequence`` gets the same reply.
    """

    partition: UnitEpoch
    home: UnitEpoch
    sequence: int
    lines: list[PullLine]


@message
@final
class PullReply(Message, frozen=True, tag=True):
    """The tasks handed out, one list for each line of the request, in order.

    A list may be shorter than the count of its line.  ``classes`` and ``uses``
    are the home's demand as of ``demand_sequence``.
    """

    sequence: int
    grants: list[list[TaskGrant]]
    classes: list[DemandClass]
    uses: list[TeamUsage]
    demand_sequence: int


@final
class TaskEvent(msgspec.Struct, frozen=True):
    """A change of one attempt; ``pending`` means that it never started."""

    task: TaskKey
    attempt: int
    state: TaskState
    worker: str = ''
    exit_code: int = 0
    reason: str = ''
    output: str = ''
    checkpoint: str = ''


@message
@final
class TaskEvents(Message, frozen=True, tag=True):
    """Events of a partition for one home, repeated until acknowledged."""

    partition: UnitEpoch
    home: UnitEpoch
    events: list[TaskEvent]


@message
@final
class EventsTaken(Message, frozen=True, tag=True):
    """The home has recorded the events durably."""

    count: int


@message
@final
class InventoryAsk(Message, frozen=True, tag=True):
    """A home requests from a node the home's tasks in the node's partitions."""

    home: UnitEpoch


@final
class HeldTask(msgspec.Struct, frozen=True):
    """A task in a partition, in the state that the partition owner has.

    ``failures`` is how many earlier attempts have failed, if it is known.
    """

    task: TaskKey
    attempt: int
    team: str
    shape: Resources
    state: TaskState
    worker: str = ''
    failures: int = UNKNOWN_FAILURES


@final
class PartitionInventory(msgspec.Struct, frozen=True):
    """One partition's tasks, as the workers have reported them to its owner.

    ``adopted`` names the workers that have reported so far.  The inventory is
    ``complete`` once every listed worker has reported or all leases of the
    previous owner have lapsed.  It is ``settled`` once these leases have
    lapsed, which covers workers that are not listed, too.
    """

    partition: UnitEpoch
    complete: bool
    settled: bool
    adopted: list[str]
    tasks: list[HeldTask]


@message
@final
class InventoryReply(Message, frozen=True, tag=True):
    """The inventories of all partitions that the node owns."""

    partitions: list[PartitionInventory]


@message
@final
class ReserveAsk(Message, frozen=True, tag=True):
    """Hold capacity for tasks of a gang; the holds expire after ``hold_s``."""

    home: UnitEpoch
    partition: str
    gang: str
    shape: Resources
    wanted: int
    hold_s: float
    constraints: Constraints
    waited_s: float


@message
@final
class ReserveReply(Message, frozen=True, tag=True):
    """The number of the gang's tasks that the partition holds capacity for."""

    partition: UnitEpoch
    gang: str
    reserved: int


@message
@final
class CommitAsk(Message, frozen=True, tag=True):
    """Start these tasks of a gang in the capacity held for it."""

    home: UnitEpoch
    partition: UnitEpoch
    gang: str
    grants: list[TaskGrant]


@message
@final
class CommitReply(Message, frozen=True, tag=True):
    """Whether the holds were still valid and the tasks were accepted."""

    gang: str
    taken: bool


@message
@final
class ReleaseHold(Message, frozen=True, tag=True):
    """Release the capacity held for a gang."""

    partition: str
    gang: str


@message
@final
class StopTasks(Message, frozen=True, tag=True):
    """Stop tasks; repeated until their outcomes are reported."""

    home: UnitEpoch
    tasks: list[TaskKey]
    mode: str = 'stop'


@message
@final
class CapacityReport(Message, frozen=True, tag=True):
    """The total and the free capacity of a partition's workers.

    ``largest`` is the largest capacity of one worker in each dimension,
    ``waiting`` the number of calls that wait for a slot in the partition.
    """

    partition: UnitEpoch
    workers: int
    total: Resources
    free: Resources
    largest: Resources
    waiting: int = 0
