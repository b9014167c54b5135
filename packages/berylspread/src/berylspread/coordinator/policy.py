"""The newest configuration: routes calls to queues and authenticates keys.

A node uses its configuration only while the store has recently confirmed it.
After that, a key may have been withdrawn, and a queue that is unknown here may
have been added: the node can neither accept the call nor say that it is wrong.
"""

import asyncio
import contextlib
import math
from collections.abc import Callable
from typing import Final, final

import msgspec

from berylspread.coordinator.closed_zones import ClosedZones
from berylspread.coordinator.model import Queue
from berylspread.kernel.errors import (
    Failure,
    NotRun,
    Unauthenticated,
    UnknownName,
)
from berylspread.model import Resources

DEFAULT_BODY_BYTES: Final = 262_144
DEFAULT_HEAD_BYTES: Final = 16_384
DEFAULT_HEAD_MS: Final = 3000
DEFAULT_IDLE_MS: Final = 15_000


@final
class QueueRoute(msgspec.Struct, frozen=True):
    """The address of a queue; an open queue accepts calls without a key."""

    host: str
    path_prefix: str
    queue: Queue
    is_open: bool = False


@final
class Tenant(msgspec.Struct, frozen=True):
    """An organisation: its keys, its weight and its resource cap."""

    name: str
    keys: tuple[str, ...] = ()
    weight: float = 1.0
    #: The resources that its running tasks may use; a dimension of 0 is
    #: unlimited.
    cap: Resources | None = None


@final
class Configuration(msgspec.Struct, frozen=True):
    """One complete version of the configuration."""

    version: int
    routes: tuple[QueueRoute, ...]
    tenants: tuple[Tenant, ...]
    max_body_bytes: int = DEFAULT_BODY_BYTES
    #: Bytes of all header lines of a request.
    max_head_bytes: int = DEFAULT_HEAD_BYTES
    #: Time to complete a head, and without progress in a request or answer.
    head_timeout_ms: int = DEFAULT_HEAD_MS
    idle_timeout_ms: int = DEFAULT_IDLE_MS


@final
class ZoneChange(msgspec.Struct, frozen=True):
    """The operator's request to close an availability zone, or to open it."""

    zone: str
    is_closed: bool


@final
class PolicyCache:
    """The newest configuration, with the time of its last confirmation."""

    __slots__ = (
        'by_host',
        'by_key',
        'clock',
        'closed_zones',
        'configuration',
        'confirmed_at',
        'known',
        'max_age_s',
        'queues',
        'tenants',
    )

    def __init__(
        self,
        clock: Callable[[], float],
        max_age_s: float,
        zones_max_age_s: float = math.inf,
    ) -> None:
        """Set the clock and the times for which a confirmation is valid.

        Calls are answered up to ``max_age_s`` seconds after a confirmation,
        tasks are started up to ``zones_max_age_s`` after the closed zones were
        confirmed.
        ``clock`` returns seconds and counts the time for which the VM was
        suspended.
        """
        self.clock = clock
        self.max_age_s = max_age_s
        #: Complete only on the node that coordinates.
        self.closed_zones = ClosedZones(clock, zones_max_age_s)
        self.configuration: Configuration | None = None
        self.confirmed_at = float('-inf')
        #: Set once a configuration is in force.
        self.known = asyncio.Event()
        self.by_host: dict[str, list[QueueRoute]] = {}
        self.by_key: dict[str, Tenant] = {}
        self.tenants: dict[str, Tenant] = {}
        self.queues: dict[str, Queue] = {}

    @property
    def version(self) -> int:
        """Return the version in force, 0 before the first."""
        return 0 if self.configuration is None else self.configuration.version

    def apply(self, configuration: Configuration) -> bool:
        """Put a configuration in force and return ``True`` if it is newer."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        by_host: dict[str, list[QueueRoute]] = {}
        # Routes with longer prefixes come first, so that ``find_route`` returns
        # the longest match.
        for route in sorted(
            configuration.routes, key=_prefix_length, reverse=True
        ):
            by_host.setdefault(route.host, []).append(route)
        self.by_host = by_host
        self.by_key = {
            key: tenant
            for tenant in configuration.tenants
            for key in tenant.keys
        }
        self.tenants = {each.name: each for each in configuration.tenants}
        self.queues = {
            route.queue.name: route.queue for route in configuration.routes
        }
        self.known.set()
        return True

    async def wait_known(self, timeout_s: float) -> None:
        """Wait for the first configuration, at most ``timeout_s`` seconds."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.known.wait()

    def confirm(self, as_of: float) -> None:
        """Record that no newer version existed at a time of the clock."""
        self.confirmed_at = max(self.confirmed_at, as_of)

    def age_s(self) -> float:
        """Return seconds since the store last confirmed the configuration."""
        return self.clock() - self.confirmed_at

    def is_outdated(self) -> bool:
        """Return whether a newer version may have to be in force by now."""
        return self.age_s() > self.max_age_s

    def find_route(self, host: str, path: str) -> QueueRoute | Failure:
        """Return the route of a host with the longest matching prefix.

        ``NotRun`` if the configuration is unknown or out of date.
        """
        if self.configuration is None:
            return NotRun('no configuration is known yet')
        if self.is_outdated():
            return NotRun(
                'the configuration known here is out of date',
                age_s=round(self.age_s(), 3),
            )
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return UnknownName('no queue has this address', host=host, path=path)

    def authenticate(self, route: QueueRoute, key: str) -> str | Failure:
        """Return the name of the tenant to which a call's key belongs.

        ``route`` is from ``find_route``, which checks that the configuration is
        up to date.  An open queue also accepts calls without a valid key; the
        name is empty then.
        """
        tenant = self.by_key.get(key) if key else None
        if route.is_open:
            return tenant.name if tenant else ''
        if tenant is None:
            return Unauthenticated('the key is missing, unknown or withdrawn')
        return tenant.name

    def find_queue(self, name: str) -> Queue | None:
        """Return a queue's policy, ``None`` if there is no such queue."""
        return self.queues.get(name)

    def cap(self, tenant: str) -> Resources | None:
        """Return a tenant's resource cap, ``None`` if it has none."""
        found = self.tenants.get(tenant)
        return None if found is None else found.cap

    def weight(self, tenant: str) -> float:
        """Return a tenant's weight when the workers are shared out."""
        found = self.tenants.get(tenant)
        return 1.0 if found is None else found.weight


def _prefix_length(route: QueueRoute) -> int:
    return len(route.path_prefix)
