"""How long ago epochs were claimed, as nodes tell each other.

A claim ends the authority of the leader before it, and so the renewals of its
leases.  A coordinator that finds a silent worker waits until the leases that
earlier coordinators have granted are over.  Each coordinator's wait would begin
anew if it counted from its own claim only.

The clocks of two VMs may differ and jump, so no time of day is stored.  A
leader stores the ages of the claims with each renewal of its record.  A node
that reads the record adds the time since then on its own clock.
"""

from collections.abc import Callable, Iterable
from typing import Final, final

import msgspec

#: The newest epochs that are kept; a worker that earlier ones have reached has
#: been settled since.
MAX_EPOCHS: Final = 32
MS_PER_S: Final = 1000


@final
class ClaimAge(msgspec.Struct, frozen=True, array_like=True):
    """An epoch, and for how many milliseconds at least it has been claimed."""

    epoch: int
    age_ms: int


@final
class ClaimHistory:
    """When the newest epochs were claimed at the latest, on this VM's clock.

    ``clock`` returns seconds and counts the time for which the VM was
    suspended.
    """

    __slots__ = ('claimed_by', 'clock', 'untracked_epoch')

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        #: The time by which an epoch had certainly been claimed.
        self.claimed_by: dict[int, float] = {}
        #: The newest epoch whose leader stored no contacts with workers.
        self.untracked_epoch = 0

    def record_claimed(self, epoch: int, age_s: float = 0.0) -> None:
        """Record that an epoch was claimed at least ``age_s`` seconds ago."""
        moment = self.clock() - age_s
        known = self.claimed_by.get(epoch, moment)
        self.claimed_by[epoch] = min(known, moment)
        while len(self.claimed_by) > MAX_EPOCHS:
            del self.claimed_by[min(self.claimed_by)]

    def apply(self, ages: Iterable[ClaimAge]) -> None:
        """Apply the ages in a record that has just been read."""
        for each in ages:
            self.record_claimed(each.epoch, each.age_ms / MS_PER_S)

    def ages(self) -> tuple[ClaimAge, ...]:
        """Return the ages of the known claims at present."""
        moment = self.clock()
        return tuple(
            ClaimAge(epoch, int((moment - claimed_by) * MS_PER_S))
            for epoch, claimed_by in sorted(self.claimed_by.items())
        )

    def age_after(self, epoch: int) -> float:
        """Return seconds since ``epoch`` was ended by a later claim at least.

        0 if no later claim is known.
        """
        later = [
            claimed_by
            for known, claimed_by in self.claimed_by.items()
            if known > epoch
        ]
        return self.clock() - min(later) if later else 0.0
