"""The availability zones in which the operator lets nothing start.

Load pattern: an operator empties a zone for maintenance, while the coordinator
is lost, or cut off from the store, or while another zone is opened again.  A
task that starts there after all is lost with its worker.  So a coordinator
starts tasks only while the store has recently confirmed which zones are closed.
"""

import math
from collections.abc import Callable
from typing import final


@final
class ClosedZones:
    """The names of the closed zones, with the time of the confirmation."""

    __slots__ = ('clock', 'confirmed_at', 'max_age_s', 'names')

    def __init__(
        self, clock: Callable[[], float], max_age_s: float = math.inf
    ) -> None:
        """Set the clock and the time for which a confirmation is valid.

        ``clock`` returns seconds and counts the time for which the VM was
        suspended.  Without ``max_age_s`` a confirmation is valid until
        ``doubt`` withdraws it.
        """
        self.clock = clock
        self.max_age_s = max_age_s
        #: Never replaced, as the workers refer to it.
        self.names: set[str] = set()
        self.confirmed_at = -math.inf

    def update(self, zone: str, *, is_closed: bool) -> bool:
        """Record whether a zone is closed; return whether that is new."""
        if is_closed == (zone in self.names):
            return False
        if is_closed:
            self.names.add(zone)
        else:
            self.names.remove(zone)
        return True

    def confirm(self, as_of: float) -> None:
        """Record that the names were current at a time of the clock."""
        self.confirmed_at = max(self.confirmed_at, as_of)

    def doubt(self) -> None:
        """Withdraw the confirmation, as records may have been skipped."""
        self.confirmed_at = -math.inf

    def is_current(self) -> bool:
        """Return whether no other zone may have to be closed by now."""
        if math.isinf(self.confirmed_at):
            return False
        return self.clock() - self.confirmed_at <= self.max_age_s

    def may_start(self, zone: str) -> bool:
        """Return whether a task may start in a zone now."""
        return zone not in self.names and self.is_current()
