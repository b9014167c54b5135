"""How recently the store has confirmed the leader of an epoch."""

from collections.abc import Callable
from typing import Final, final

from berylspread.coordinator.fenced_log import FencedLog

#: A coordinator whose authority has not been confirmed for this long renews no
#: leases and stops no runs, so that a successor knows when the leases have
#: expired.  Tasks outlast an outage of the store for this time and a lease.
AUTHORITY_GRACE_S: Final = 4.0


@final
class EpochAuthority:
    """The authority of one epoch's coordinator to decide and to act."""

    __slots__ = ('age_s', 'fenced_log')

    def __init__(
        self, fenced_log: FencedLog, age_s: Callable[[], float]
    ) -> None:
        """Set the epoch's log and ``age_s``.

        ``age_s`` returns the seconds since the last confirmation.
        """
        self.fenced_log = fenced_log
        self.age_s = age_s

    def is_confirmed(self, grace_s: float) -> bool:
        """Return whether the authority was confirmed within ``grace_s``."""
        return self.fenced_log.end_failure is None and self.age_s() <= grace_s
