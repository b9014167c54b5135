"""Messages between job homes and partition owners.

Both sides name their unit and epoch; the receiver refuses an epoch below the
highest that it has seen of that unit.
"""

from typing import final

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


@final
class UnitEpoch(msgspec.Struct, frozen=True, array_like=True):
    """A unit under one epoch of its ownership."""

    unit: str
    epoch: int


@final
class TaskGrant(msgspec.Struct, frozen=True):
    """One attempt of a task, handed out to a partition owner."""

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


@message
@final
class DemandUpdate(Message, frozen=True, tag=True):
    """A home's whole pending demand; a later ``sequence`` replaces it."""

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
    """A partition owner asks a home for tasks.

    A repeat with the same sequence number gets the same reply.
    """

    partition: UnitEpoch
    home: UnitEpoch
    sequence: int
    lines: list[PullLine]


@message
@final
class PullReply(Message, frozen=True, tag=True):
    """The tasks handed out, by class in the order asked; maybe fewer."""

    sequence: int
    grants: list[list[TaskGrant]]
    classes: list[DemandClass]
    uses: list[TeamUsage]
    demand_sequence: int


@final
class TaskEvent(msgspec.Struct, frozen=True):
    """A change of one attempt; ``pending`` means certainly not started."""

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
    """Events of a partition for one home; repeated until acknowledged."""

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
    """A home asks a node what its partitions hold of the home's tasks."""

    home: UnitEpoch


@final
class HeldTask(msgspec.Struct, frozen=True):
    """A task that a partition holds, as its owner knows it."""

    task: TaskKey
    attempt: int
    team: str
    shape: Resources
    state: TaskState
    worker: str = ''


@final
class PartitionInventory(msgspec.Struct, frozen=True):
    """One partition's tasks, as its owner has read them from the workers.

    ``adopted`` are the workers read so far.  The inventory is ``complete`` once
    every listed worker is read or silent for a lease, and ``settled`` once any
    lease of the previous owner has surely lapsed, listed worker or not.
    """

    partition: UnitEpoch
    complete: bool
    settled: bool
    adopted: list[str]
    tasks: list[HeldTask]


@message
@final
class InventoryReply(Message, frozen=True, tag=True):
    """The inventories of every partition that the node owns."""

    partitions: list[PartitionInventory]


@message
@final
class ReserveAsk(Message, frozen=True, tag=True):
    """Hold room for tasks of a gang; the hold expires by itself."""

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
    """How many tasks of the gang the partition holds room for."""

    partition: UnitEpoch
    gang: str
    reserved: int


@message
@final
class CommitAsk(Message, frozen=True, tag=True):
    """Start these tasks of a gang in the room held for it."""

    home: UnitEpoch
    partition: UnitEpoch
    gang: str
    grants: list[TaskGrant]


@message
@final
class CommitReply(Message, frozen=True, tag=True):
    """Whether the hold still stood and the tasks were taken."""

    gang: str
    taken: bool


@message
@final
class ReleaseHold(Message, frozen=True, tag=True):
    """Give up the room held for a gang."""

    partition: str
    gang: str


@message
@final
class StopTasks(Message, frozen=True, tag=True):
    """Stop tasks; repeated until their ends are reported."""

    home: UnitEpoch
    tasks: list[TaskKey]
    mode: str = 'stop'


@message
@final
class CapacityReport(Message, frozen=True, tag=True):
    """What a partition's workers hold, and what is free of it.

    ``largest`` is the most that one worker holds, by dimension; ``waiting``
    counts the calls that wait for a slot there.
    """

    partition: UnitEpoch
    workers: int
    total: Resources
    free: Resources
    largest: Resources
    waiting: int = 0
