"""The input and output structs of the JSON interface."""

from typing import Any, final

import msgspec

from berylspread.config.evaluation import Evaluation
from berylspread.model import Constraints, JobKind, Resources, TaskEnd


@final
class JobInput(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as a caller submits it; an absent shape defaults to the queue's.

    ``deadline`` is in seconds since the epoch, ``deadline_s`` in seconds from
    now; at most one of them may be set.  A repeat with the same ``request_id``
    refers to the same job.
    """

    queue: str
    tasks: int = 1
    kind: JobKind | None = None
    cpu: float | None = None
    memory_gib: float | None = None
    accelerators: int | None = None
    slots: int | None = None
    priority: int | None = None
    deadline: float | None = None
    deadline_s: float | None = None
    idempotent: bool | None = None
    preemptible: bool | None = None
    expected_run_s: float = 0.0
    max_attempts: int | None = None
    job_class: str = ''
    payload: str = ''
    request_id: str = ''
    constraints: Constraints = Constraints()


@final
class JobAcceptedView(msgspec.Struct, frozen=True):
    """The response to a submission; the job is in the log at ``offset``."""

    job_id: str
    request_id: str
    offset: int


@final
class JobView(msgspec.Struct, frozen=True):
    """A job; ``tasks`` counts its tasks by state.

    ``waited_s`` is the number of seconds from the submission until now or the
    end.  If ``source`` is ``home``, ``state`` is ``pending``, ``running`` or
    the terminal state.  If the home did not reply, ``source`` is ``log``, and
    the state of a job that has not ended is ``active``.
    """

    job_id: str
    team: str
    queue: str
    kind: JobKind
    state: str
    tasks: dict[str, int]
    shape: Resources
    submitted_at: float
    home: str = ''
    priority: int = 0
    deadline: float | None = None
    ended_at: float | None = None
    reason: str = ''
    waited_s: float = 0.0
    cancelled: bool = False
    workers: list[str] = []
    source: str = 'home'


@final
class JobPage(msgspec.Struct, frozen=True):
    """Jobs in order of submission; ``cursor`` requests the next page."""

    jobs: list[JobView]
    cursor: str = ''


@final
class JobResult(msgspec.Struct, frozen=True):
    """The outcome of a job; ``ends`` holds the first few task ends."""

    job_id: str
    state: str
    tasks: dict[str, int]
    ends: list[TaskEnd]
    reason: str = ''


@final
class CancelView(msgspec.Struct, frozen=True):
    """The response to a cancellation; it is in the log at ``offset``."""

    job_id: str
    offset: int


@final
class WhyLine(msgspec.Struct, frozen=True):
    """A reason why tasks are pending, and the number of those tasks."""

    reason: str
    tasks: int
    detail: dict[str, Any] = {}


@final
class WhyView(msgspec.Struct, frozen=True):
    """The reasons why tasks of a job are pending."""

    job_id: str
    state: str
    lines: list[WhyLine]


@final
class NodeView(msgspec.Struct, frozen=True):
    """An entry node; ``answered`` tells whether it replied to this query."""

    node: str
    region: str
    zone: str
    address: str
    liveness: str
    incarnation: int = 0
    answered: bool = False
    ready: bool = False
    log_offset: int = 0
    versions: dict[str, int] = {}
    units: list[str] = []
    violations: dict[str, int] = {}


@final
class StatusView(msgspec.Struct, frozen=True):
    """A summary of the whole system."""

    environment: str
    version: int
    nodes: int
    nodes_ready: int
    workers: int
    jobs: dict[str, int]
    units: int
    units_unowned: int
    tickets: int
    violations: dict[str, int]


@final
class WorkerView(msgspec.Struct, frozen=True):
    """A worker as the platform lists it, and the node that owns its rack."""

    worker: str
    region: str
    zone: str
    rack: str
    state: str
    address: str
    owner: str = ''
    epoch: int = 0


@final
class TeamView(msgspec.Struct, frozen=True):
    """A team's share of the fleet from 0 to 1, its limit and its jobs.

    ``jobs`` counts the active jobs and ``keys`` the active keys.
    """

    team: str
    organisation: str
    share: float
    limit: Resources
    jobs: int = 0
    keys: int = 0


@final
class QueueView(msgspec.Struct, frozen=True):
    """A queue of the document in force, and its number of active jobs."""

    queue: str
    team: str
    open: bool
    kind: str
    region: str
    shape: Resources
    jobs: int = 0


@final
class TicketView(msgspec.Struct, frozen=True):
    """A ticket of the help desk; ``opened_at`` is seconds since the epoch."""

    ticket: str
    category: str
    subject: str
    detail: dict[str, Any]
    opened_at: float
    node: str
    trace_id: str = ''


@final
class KeyView(msgspec.Struct, frozen=True):
    """A key without its secret; times are in seconds since the epoch."""

    key_id: str
    team: str
    label: str
    created_at: float
    withdrawn_at: float | None = None


@final
class NewKeyView(msgspec.Struct, frozen=True):
    """A new key; ``secret`` is returned only once and is not stored."""

    key_id: str
    team: str
    secret: str


@final
class ConfigView(msgspec.Struct, frozen=True):
    """A document of an environment; version 0 means that there is none."""

    environment: str
    version: int
    text: str = ''
    author: str = ''
    note: str = ''
    applied_at: float = 0.0


@final
class ConfigInput(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A document to check or apply; ``base`` is the version it was made from.

    With ``force``, a limit may be lower than what a team uses; the excess is
    then preempted.
    """

    text: str
    base: int = 0
    author: str = ''
    note: str = ''
    force: bool = False


@final
class PromoteInput(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Promotes a trial version over the production version ``base``."""

    trial_version: int
    base: int
    author: str = ''
    note: str = ''


@final
class ChangeView(msgspec.Struct, frozen=True):
    """An option that differs between two documents."""

    section: str
    option: str
    before: str | None
    after: str | None


@final
class DiffView(msgspec.Struct, frozen=True):
    """The differences between a document and the version in force."""

    environment: str
    version: int
    changes: list[ChangeView]
    effects: Evaluation


@final
class CheckView(msgspec.Struct, frozen=True):
    """The result of a passed check: the section count and the warnings."""

    environment: str
    sections: int
    warnings: list[str]


@final
class AppliedView(msgspec.Struct, frozen=True):
    """A document in force; its version is the offset of its log entry."""

    environment: str
    version: int


@final
class NodeVersionView(msgspec.Struct, frozen=True):
    """The version in force on one node; -1 if the node did not reply."""

    node: str
    version: int
    log_offset: int


@final
class DrainView(msgspec.Struct, frozen=True):
    """The response to a drain request; it is in the log at ``offset``."""

    vm: str
    offset: int
