"""The interface of ownership to the other packages."""

from collections.abc import Callable
from typing import Protocol, final

from berylspread.kernel.errors import NotOwner
from berylspread.model import NodeRef


@final
class Tenure:
    """One epoch of this node's ownership of a unit.

    ``valid_until`` is a loop time that each renewal moves forward; the holder
    may act only before it.
    """

    __slots__ = ('epoch', 'unit', 'valid_until')

    def __init__(self, unit: str, epoch: int, valid_until: float) -> None:
        self.unit = unit
        self.epoch = epoch
        self.valid_until = valid_until

    def is_valid(self, now: float) -> bool:
        """Return whether the holder may act at ``now``."""
        return now < self.valid_until


TenureListener = Callable[[Tenure], None]


class Ownership(Protocol):
    """Which node owns a unit, and whether this node may act on it."""

    def tenure(self, unit: str) -> Tenure | NotOwner:
        """Return this node's valid tenure, or an error that names the owner."""

    def owner(self, unit: str) -> tuple[NodeRef, int] | None:
        """Return the owner and epoch of a unit's newest claim, if any."""

    def owned(self) -> list[Tenure]:
        """Return this node's tenures, also those that are not valid now."""

    def on_acquire(self, listener: TenureListener) -> None:
        """Call a listener with each tenure when it begins."""

    def on_lose(self, listener: TenureListener) -> None:
        """Call a listener with each tenure when it has ended for good."""

    async def release_all(self) -> None:
        """Hand all units over to successors, as part of a graceful stop."""
