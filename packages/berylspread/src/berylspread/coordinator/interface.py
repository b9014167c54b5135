"""What the coordinator needs of the outside, for adapters to provide."""

import enum
from typing import Protocol, final

import msgspec

from berylspread.kernel.errors import Failure, RunState, failure
from berylspread.model import Resources


@failure
class StoreRejected(Failure):
    """The store refused a write: a newer epoch or another end was there."""

    name = 'store-rejected'
    http_status = 409


@failure
class OrderRefused(Failure):
    """A worker refused an order; ``cause`` is one of ``REFUSALS``."""

    name = 'order-refused'
    http_status = 409


@failure
class PermissionServiceBusy(Failure):
    """The service that grants permissions has too many requests waiting."""

    name = 'advice-busy'
    http_status = 429
    run_state = RunState.not_run


#: Why a worker refuses an order.
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
    """What a worker says of itself in the platform's store."""

    worker: str
    service: str
    address: str
    zone: str
    is_ready: bool
    capacity: Resources
    rack: str = ''
    labels: tuple[str, ...] = ()
    #: When this life of the worker began, milliseconds since the epoch.
    born_ms: int = 0
    #: While it drains: the least time it stays, in milliseconds.
    remaining_ms: int = 0


@final
class RunningRow(msgspec.Struct, frozen=True, array_like=True):
    """A run that a worker lists as running."""

    task: str
    run: int
    checkpoint: str
    percent: int
    #: A serving task's tail latency in ms, any other's cpu in use.
    latency_or_cpu: int = 0


@final
class Outcome(enum.Enum):
    """How a run has ended."""

    succeeded = 'succeeded'
    #: By the task's own fault or its worker's; it counts as an attempt.
    failed = 'failed'
    #: On an order to stop.
    stopped = 'stopped'
    #: Its lease was not renewed in time.
    lease_over = 'lease-over'
    #: Another member of its gang has ended otherwise than with success.
    gang_broken = 'gang-broken'
    #: The other members of its gang did not come in time.
    gang_incomplete = 'gang-incomplete'
    #: The platform used a word that this version does not know.
    unknown = 'unknown'


@final
class EndedRow(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run, as a worker lists it until it is acknowledged."""

    seq: int
    task: str
    run: int
    outcome: Outcome
    checkpoint: str


@final
class WorkerReport(msgspec.Struct, frozen=True):
    """What a worker answered to a renewal of its lease."""

    clock_ms: int
    born_ms: int
    running: list[RunningRow]
    ended: list[EndedRow]
    #: Whether more ends wait than one answer holds.
    more: bool = False


@final
class StartOrder(msgspec.Struct, frozen=True):
    """An order to start one run; ``until_ms`` is on the worker's clock."""

    task: str
    run: int
    payload: str
    until_ms: int
    token: int
    checkpoint: str = ''
    ticket: str = ''


@final
class Renewal(msgspec.Struct, frozen=True):
    """Renews the lease of all that runs on a worker, and asks what does.

    ``until_ms`` is on the worker's clock, 0 leaves the lease as it is.  The
    worker answers at the next end, or after ``wait_ms``; an answer that has not
    come ``patience_s`` after that is taken as lost.
    """

    token: int
    acked: int
    until_ms: int = 0
    wait_ms: int = 0
    patience_s: float = 0.8


class WorkerApi(Protocol):
    """Calls to workers; each returns the worker's clock in ms or a failure."""

    async def start(
        self, entry: WorkerEntry, order: StartOrder
    ) -> int | Failure:
        """Start a run; repeating the order is harmless."""

    async def stop(
        self, entry: WorkerEntry, task: str, run: int, token: int
    ) -> int | Failure:
        """Stop a run, also one that has not come yet."""

    async def renew(
        self, entry: WorkerEntry, renewal: Renewal
    ) -> WorkerReport | Failure:
        """Renew the lease and return the report."""

    async def set_pace(
        self, entry: WorkerEntry, task: str, run: int, percent: int, token: int
    ) -> int | Failure:
        """Let a run work at a share of its speed."""


@final
class Permissions(msgspec.Struct, frozen=True):
    """An answer about a step: a ticket for each worker that may run it."""

    tickets: dict[str, str]
    valid_s: float


class PermissionService(Protocol):
    """The service that knows which workers may run a step."""

    async def request_permissions(
        self, step: str, workers: list[str], timeout_s: float
    ) -> Permissions | Failure:
        """Return the permissions among some workers."""


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
    """Where the records of an append ended up."""

    offset: int
    end: int


@final
class Producer(msgspec.Struct, frozen=True):
    """Identifies an append: repeats are answered alike, old epochs refused."""

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

        ``StoreRejected`` if the epoch is old or the topic does not end at
        ``at``; ``LogUnavailable`` if it may or may not have been done, with
        the field ``done`` false if certainly not.
        """

    async def read_newest(
        self, topic: str, *, timeout_s: float
    ) -> Snapshot | Failure:
        """Return the newest record of each key.

        ``timeout_s`` bounds the time without a byte of the answer, here and in
        ``follow``: what still arrives is read to its end.
        """

    async def read_from(
        self, topic: str, offset: int, *, wait_s: float, timeout_s: float
    ) -> Batch | Failure:
        """Return records from an offset on, or none after ``wait_s``.

        ``LogGap`` if they are no longer retained.
        """


class Policies(Protocol):
    """The newest configuration, as the coordinator needs it."""

    @property
    def version(self) -> int:
        """Return the newest version, 0 before the first."""

    def cap(self, tenant: str) -> Resources | None:
        """Return what a tenant may have running; a dimension of 0 is free."""

    def weight(self, tenant: str) -> float:
        """Return a tenant's share when all is full."""
