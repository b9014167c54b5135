"""The interface of backend servers that this program uses.

``POST /v1/sync`` starts, renews and stops tasks in one exchange and returns the
tasks of the worker; ``POST /v1/call`` runs one interactive call.  Both contain
the epoch of the sender's ownership as a fencing token.
"""

from typing import Protocol, final

import msgspec

from berylspread.kernel.errors import Failure
from berylspread.model import Resources, TaskState, Vm


@final
class TaskStart(msgspec.Struct, frozen=True):
    """Start one attempt of a task under a lease.

    ``not_after`` is seconds since the epoch; a worker that checks it refuses
    the start after that time.
    """

    task: str
    attempt: int
    team: str
    job_class: str
    shape: Resources
    payload: str
    lease_s: float
    not_after: float
    traceparent: str = ''
    resume_from: str = ''


@final
class TaskStop(msgspec.Struct, frozen=True):
    """Stop a task; ``mode`` is ``stop``, ``checkpoint`` or ``throttle``."""

    task: str
    mode: str = 'stop'


@final
class SyncRequest(msgspec.Struct, frozen=True):
    """One exchange with a worker.

    Renews the leases of the tasks in ``renew`` by ``lease_s``.  The worker
    replies at once if a task has changed since sequence number ``seen``, and
    after ``wait_s`` at the latest.  ``acknowledged`` names ended tasks that the
    worker may forget.  A worker that checks ``not_after``, in seconds since the
    epoch, refuses the whole request after that time: a delayed renewal must not
    revive a lease.
    """

    unit: str
    epoch: int
    starts: list[TaskStart] = []
    renew: list[str] = []
    stops: list[TaskStop] = []
    acknowledged: list[str] = []
    lease_s: float = 0.0
    seen: int = 0
    wait_s: float = 0.0
    not_after: float = 0.0


@final
class TaskReport(msgspec.Struct, frozen=True, omit_defaults=True):
    """A task at a worker; ``used`` lags behind its present use of resources.

    Fields that have their default values may be left out.
    """

    task: str
    attempt: int
    team: str
    job_class: str
    shape: Resources
    state: TaskState
    started_at: float = 0.0
    exit_code: int = 0
    reason: str = ''
    output: str = ''
    checkpoint: str = ''
    used: Resources = Resources()


@final
class CallReport(msgspec.Struct, frozen=True):
    """An interactive call in progress at a worker."""

    request_id: str
    attempt: int
    team: str
    shape: Resources


@final
class SyncReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """A worker's capacity, and its tasks and calls.

    ``tasks`` are those that run or have ended and ``calls`` those in progress.
    ``refused`` maps each start that the worker refused to the reason.
    ``sequence`` rises with each change; after a restart it begins below the
    last one seen.
    """

    worker: str
    capacity: Resources
    sequence: int
    tasks: list[TaskReport]
    refused: dict[str, str] = {}
    calls: list[CallReport] = []


@final
class CallRequest(msgspec.Struct, frozen=True):
    """One interactive call to a backend server."""

    request_id: str
    attempt: int
    team: str
    queue: str
    unit: str
    epoch: int
    timeout_s: float
    body: bytes
    shape: Resources = Resources(slots=1)
    content_type: str = 'application/octet-stream'
    traceparent: str = ''


@final
class CallReply(msgspec.Struct, frozen=True):
    """The complete response to a call, matched by request id and attempt."""

    request_id: str
    attempt: int
    status: int
    body: bytes
    content_type: str = 'application/octet-stream'


class BackendClient(Protocol):
    """A client of the backend servers."""

    async def sync(self, vm: Vm, request: SyncRequest) -> SyncReply | Failure:
        """Exchange with a worker; ``WorkerUnreachable`` without a reply."""

    async def call(self, vm: Vm, request: CallRequest) -> CallReply | Failure:
        """Run a call; ``WorkerUnreachable`` has the field ``sent``."""
