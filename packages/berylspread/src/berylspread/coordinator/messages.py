"""Messages between the nodes and the coordinator."""

from typing import final

from berylspread.coordinator.config_feed import ConfigNews
from berylspread.coordinator.leader_record import LeaderRecord
from berylspread.coordinator.model import JobSpec
from berylspread.peers import Message, message


@final
@message
class SubmitJob(Message, frozen=True):
    """A request to accept a job; the reply is ``JobAccepted`` or a failure."""

    spec: JobSpec


@final
@message
class JobAccepted(Message, frozen=True):
    """The job is stored, by this request or an earlier one."""


@final
@message
class AskJobStatus(Message, frozen=True):
    """A request for the status of a job."""

    job_id: str
    queue: str
    tenant: str


@final
@message
class JobStatusReply(Message, frozen=True):
    """The name of a ``JobStatus``."""

    status: str


@final
@message
class CancelJob(Message, frozen=True):
    """A request to cancel a job; the reply is ``JobCancelled`` or a failure."""

    job_id: str
    queue: str
    tenant: str


@final
@message
class JobCancelled(Message, frozen=True):
    """The cancellation is stored."""


@final
@message
class AskBacklog(Message, frozen=True):
    """A request for the number of jobs of a queue that have not started."""

    queue: str


@final
@message
class BacklogReply(Message, frozen=True):
    """The number of accepted jobs of which no task has started."""

    jobs: int


@final
@message
class NodeUp(Message, frozen=True):
    """Announces a node and its address; the reply is ``LeaderKnown``.

    ``fitness`` is the node's fitness to coordinate.  ``config`` is the version
    of the configuration that it knows.  ``roster`` is the version of the
    replying node's addresses that it has, -1 if none.
    """

    node: str
    address: str
    fitness: float = 0.0
    config: int = 0
    roster: int = -1


@final
@message
class LeaderKnown(Message, frozen=True):
    """The newest leader record that a node knows, and the nodes' addresses.

    ``addresses`` is empty if the requesting node has this version of them.
    ``fittest`` is the best fitness that other nodes have recently reported to
    the replying node, 0 if none has.
    """

    record: LeaderRecord | None
    addresses: dict[str, str]
    roster: int
    config: ConfigNews
    fittest: float = 0.0
    #: Whether the replying node coordinates.
    is_leading: bool = False


@final
@message
class TakeOver(Message, frozen=True):
    """The leader of an epoch asks the receiving node to claim the next one.

    The reply is ``TookOver`` or the reason for which the node has not claimed.
    ``end`` is where the leader's topic ends if the leader has stopped renewing
    its record, ``None`` if the receiving node has to find out.
    """

    epoch: int
    end: int | None = None


@final
@message
class TookOver(Message, frozen=True):
    """The record with which the replying node has claimed the next epoch."""

    record: LeaderRecord


@final
@message
class AskPermissions(Message, frozen=True):
    """Has a node send a permission request on behalf of the coordinator."""

    step: str
    workers: list[str]
    timeout_s: float


@final
@message
class PermissionsReply(Message, frozen=True):
    """The tickets that the permission service granted."""

    tickets: dict[str, str]
    valid_s: float
