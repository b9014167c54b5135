"""Protocols, messages and failures that adapters of a platform implement."""

import enum
from typing import Protocol, final

import msgspec

from berylspread.coordinator.closed_zones import ClosedZones
from berylspread.coordinator.model import Queue
from berylspread.kernel.errors import Failure, RunState, failure
from berylspread.model import Resources


@failure
class StoreRejected(Failure):
    """The store refused an append: the epoch is old or the offset is taken."""

    name = 'store-rejected'
    http_status = 409


@failure
class RecordsRefused(Failure):
    """The store refuses records for good, such as one that is too long."""

    name = 'records-refused'
    http_status = 422


@failure
class OrderRefused(Failure):
    """A worker refused an order; ``cause`` is in ``REFUSAL_CAUSES``."""

    name = 'order-refused'
    http_status = 409


@failure
class PermissionServiceBusy(Failure):
    """The permission service has too many pending requests."""

    name = 'advice-busy'
    http_status = 429
    run_state = RunState.not_run


#: Causes for which a worker refuses an order.
STALE_FENCE = 'stale-fence'
STALE_RUN = 'stale-run'
LATE = 'late'
NO_ROOM = 'no-room'
NO_TICKET = 'no-ticket'
OTHER_INSTANCE = 'other-instance'
UNHEALTHY = 'unhealthy'
REFUSAL_CAUSES = frozenset(
    (
        STALE_FENCE,
        STALE_RUN,
        LATE,
        NO_ROOM,
        NO_TICKET,
        OTHER_INSTANCE,
        UNHEALTHY,
    )
)


@final
class WorkerEntry(msgspec.Struct, frozen=True):
    """A worker's description of itself in the platform's store."""

    worker: str
    service: str
    address: str
    zone: str
    is_ready: bool
    capacity: Resources
    rack: str = ''
    labels: tuple[str, ...] = ()
    #: When the worker was last started, in milliseconds since the epoch.
    born_ms: int = 0
    #: While it drains: the time for which it stays at least, in milliseconds.
    remaining_ms: int = 0


@final
class RunningRow(msgspec.Struct, frozen=True, array_like=True):
    """A run that a worker lists as running."""

    task: str
    run: int
    checkpoint: str
    percent: int
    #: For a serving task the tail latency in ms, for any other the cpu in use.
    latency_or_cpu: int = 0


@final
class Outcome(enum.Enum):
    """The outcome of a run."""

    succeeded = 'succeeded'
    #: By a fault of the task or its worker; counts as an attempt.
    failed = 'failed'
    #: By an order to stop.
    stopped = 'stopped'
    #: Its lease was not renewed in time.
    lease_over = 'lease-over'
    #: Another member of its gang has ended without success.
    gang_broken = 'gang-broken'
    #: The other members of its gang did not start in time.
    gang_incomplete = 'gang-incomplete'
    #: The platform reported an outcome that this version does not know.
    unknown = 'unknown'


@final
class EndedRow(msgspec.Struct, frozen=True, array_like=True):
    """A run that has ended, as a worker lists it until acknowledged."""

    seq: int
    task: str
    run: int
    outcome: Outcome
    checkpoint: str


@final
class WorkerReport(msgspec.Struct, frozen=True):
    """A worker's reply to a renewal of its leases."""

    clock_ms: int
    born_ms: int
    running: list[RunningRow]
    ended: list[EndedRow]
    #: Whether the worker has more ended runs than one report holds.
    more: bool = False


@final
class StartOrder(msgspec.Struct, frozen=True):
    """An order to start a run, void after ``until_ms`` (the worker's clock)."""

    task: str
    run: int
    payload: str
    until_ms: int
    token: int
    checkpoint: str = ''
    ticket: str = ''


@final
class Renewal(msgspec.Struct, frozen=True):
    """Renews the leases of all runs on a worker and requests a report.

    ``until_ms`` is on the worker's clock; 0 leaves the leases as they are.
    ``acked`` acknowledges the ended runs up to a sequence number.  The worker
    replies when a run ends, at the latest after ``wait_ms``; a reply that is
    more than ``patience_s`` later is taken as lost.
    """

    token: int
    acked: int
    until_ms: int = 0
    wait_ms: int = 0
    patience_s: float = 0.8


class WorkerApi(Protocol):
    """Calls to workers; orders return the worker's clock in ms or a failure."""

    async def start(
        self, entry: WorkerEntry, order: StartOrder
    ) -> int | Failure:
        """Start a run; the order is idempotent."""

    async def stop(
        self, entry: WorkerEntry, task: str, run: int, token: int
    ) -> int | Failure:
        """Stop a run, also one whose order to start has not arrived yet."""

    async def renew(
        self, entry: WorkerEntry, renewal: Renewal
    ) -> WorkerReport | Failure:
        """Renew the leases and return the report."""

    async def set_pace(
        self, entry: WorkerEntry, task: str, run: int, percent: int, token: int
    ) -> int | Failure:
        """Make a run work at a percentage of its speed."""


@final
class Permissions(msgspec.Struct, frozen=True):
    """A reply to a permission request: a ticket for each permitted worker.

    The tickets are valid for ``valid_s`` seconds.
    """

    tickets: dict[str, str]
    valid_s: float


class PermissionService(Protocol):
    """The service that grants permissions to run a step on workers."""

    async def request_permissions(
        self, step: str, workers: list[str], timeout_s: float
    ) -> Permissions | Failure:
        """Return tickets for those of the workers that may run a step."""


@final
class KeyedItem(msgspec.Struct, frozen=True):
    """The newest record of a key."""

    key: str
    blob: bytes
    offset: int


@final
class Snapshot(msgspec.Struct, frozen=True):
    """The newest record of each key, and the offset to read on from."""

    items: list[KeyedItem]
    end: int


@final
class Batch(msgspec.Struct, frozen=True):
    """Records read from a topic, and the offset after its newest."""

    items: list[KeyedItem]
    end: int


@final
class Appended(msgspec.Struct, frozen=True):
    """The offset of an append's first record and the topic's end after it."""

    offset: int
    end: int


@final
class Producer(msgspec.Struct, frozen=True):
    """Identifies an append, for deduplication and for refusing old epochs."""

    name: str
    epoch: int
    seq: int


Record = tuple[str, bytes]


class KeyedStore(Protocol):
    """Topics of the platform's store that keep the newest record of a key."""

    async def append(
        self,
        topic: str,
        records: list[Record],
        *,
        producer: Producer | None = None,
        at: int | None = None,
        timeout_s: float,
    ) -> Appended | Failure:
        """Append all records or none; an empty value drops its key.

        Returns ``StoreRejected`` if the epoch is old or the topic does not end
        at ``at``, and ``RecordsRefused`` if no repetition can succeed.  Returns
        ``LogUnavailable`` if the append may or may not have been done; its
        field ``done`` is false if it certainly has not.
        """

    async def read_newest(
        self, topic: str, *, timeout_s: float
    ) -> Snapshot | Failure:
        """Return the newest record of each key.

        ``timeout_s`` limits the time without a byte of the response, here and
        in ``read_from``: a response that still arrives is read to its end.
        """

    async def read_from(
        self, topic: str, offset: int, *, wait_s: float, timeout_s: float
    ) -> Batch | Failure:
        """Return the records from an offset on, or none after ``wait_s``.

        Returns ``LogGap`` if they are no longer retained.
        """


class Policies(Protocol):
    """The configuration in force, as the coordinator needs it."""

    closed_zones: ClosedZones

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""

    def is_outdated(self) -> bool:
        """Return whether a newer version may have to be in force by now."""

    def find_queue(self, name: str) -> Queue | None:
        """Return a queue's policy, ``None`` if there is no such queue."""

    def cap(self, tenant: str) -> Resources | None:
        """Return a tenant's resource cap, ``None`` if it has none.

        A dimension of 0 is unlimited.
        """

    def weight(self, tenant: str) -> float:
        """Return a tenant's weight when the workers are shared out."""
