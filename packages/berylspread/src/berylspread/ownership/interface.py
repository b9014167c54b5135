"""What the other parts see of ownership."""

from collections.abc import Callable
from typing import Protocol, final

from berylspread.kernel.errors import NotOwner
from berylspread.model import NodeRef


@final
class Tenure:
    """One epoch of this node's ownership of a unit.

    ``valid_until`` is on the loop's clock and moves on with each renewal; a
    holder acts only while it lies ahead.
    """

    __slots__ = ('epoch', 'unit', 'valid_until')

    def __init__(self, unit: str, epoch: int, valid_until: float) -> None:
        """Start a tenure that is valid until the given loop time."""
        self.unit = unit
        self.epoch = epoch
        self.valid_until = valid_until

    def is_valid(self, now: float) -> bool:
        """Return whether the holder may act at ``now``."""
        return now < self.valid_until


TenureListener = Callable[[Tenure], None]


class Ownership(Protocol):
    """Who decides for a unit, and whether this node may."""

    def tenure(self, unit: str) -> Tenure | NotOwner:
        """Return this node's valid tenure, or who else owns the unit."""

    def owner(self, unit: str) -> tuple[NodeRef, int] | None:
        """Return the last logged owner of a unit and its epoch."""

    def owned(self) -> list[Tenure]:
        """Return this node's tenures, valid or suspended."""

    def on_acquire(self, listener: TenureListener) -> None:
        """Call back once a tenure has become valid for the first time."""

    def on_lose(self, listener: TenureListener) -> None:
        """Call back once a tenure has ended for good."""

    async def release_all(self) -> None:
        """Hand every unit to a successor; part of the graceful stop."""
