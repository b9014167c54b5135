"""What the platform guarantees of its workers."""

from typing import Final, final

#: Used unless the settings give another.
DEFAULT_MAX_LEASE_MS: Final = 10_000
DEFAULT_MAX_STOP_MS: Final = 1000


@final
class WorkerBounds:
    """Bounds on the leases that workers grant and on the time of a kill."""

    __slots__ = ('max_lease_ms', 'max_stop_ms')

    def __init__(
        self,
        max_lease_ms: int = DEFAULT_MAX_LEASE_MS,
        max_stop_ms: int = DEFAULT_MAX_STOP_MS,
    ) -> None:
        """Set the bounds, in ms on a worker's clock.

        ``max_lease_ms`` is the longest lease that a worker grants.  It kills
        a run at most ``max_stop_ms`` after a stop or the end of its lease.
        """
        self.max_lease_ms = max_lease_ms
        self.max_stop_ms = max_stop_ms
