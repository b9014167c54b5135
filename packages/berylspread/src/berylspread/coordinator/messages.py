"""Messages between the nodes and the coordinator."""

from typing import final

from berylspread.coordinator.config_feed import ConfigNews
from berylspread.coordinator.leadership import LeaderRecord
from berylspread.coordinator.model import JobSpec
from berylspread.peers import Message, message


@final
@message
class SubmitJob(Message, frozen=True):
    """Asks to accept a job; answered by ``JobAccepted`` or a failure."""

    spec: JobSpec


@final
@message
class JobAccepted(Message, frozen=True):
    """The job is stored, now or by an earlier request."""


@final
@message
class AskJobStatus(Message, frozen=True):
    """Asks how far a job has come."""

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
    """Asks to cancel a job; answered by ``JobCancelled`` or a failure."""

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
    """Asks how many jobs of a queue have not begun."""

    queue: str


@final
@message
class BacklogReply(Message, frozen=True):
    """Jobs that were accepted and of which no task has started."""

    jobs: int


@final
@message
class NodeUp(Message, frozen=True):
    """Tells that a node is there and where; answered by ``LeaderKnown``.

    ``config`` is the version of the configuration that it knows, ``roster``
    the version of the answering node's list of addresses, ``fitness`` how fit
    it is to coordinate.
    """

    node: str
    address: str
    fitness: float = 0.0
    config: int = 0
    roster: int = -1


@final
@message
class LeaderKnown(Message, frozen=True):
    """The newest leader's record that a node knows, and where nodes are.

    ``addresses`` is empty if the asking node has this version of the list.
    ``fittest`` is the best fitness among the nodes but the coordinator, as far
    as the answering node has lately heard; 0 if it has heard of none.
    """

    record: LeaderRecord | None
    addresses: dict[str, str]
    roster: int
    config: ConfigNews
    fittest: float = 0.0
    #: Whether the answering node coordinates.
    is_leading: bool = False


@final
@message
class AskPermissions(Message, frozen=True):
    """Asks a node to ask for permissions on behalf of the coordinator."""

    step: str
    workers: list[str]
    timeout_s: float


@final
@message
class PermissionsReply(Message, frozen=True):
    """The permissions that the service gave."""

    tickets: dict[str, str]
    valid_s: float
