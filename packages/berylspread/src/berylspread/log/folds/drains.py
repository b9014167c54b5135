"""The VMs that operators want to leave."""

import collections
from typing import Final, final

import msgspec

from berylspread.log.folds.base import Context, Fold, handles
from berylspread.log.records import DrainRequested

#: Drained VMs that are remembered; an older one has left the platform's list.
MAX_DRAINED_VMS: Final = 1000


@final
class DrainsWire(msgspec.Struct, frozen=True, array_like=True):
    """The drained VMs with the offsets of their requests, oldest first."""

    vms: tuple[tuple[str, int], ...] = ()


@final
class DrainFold(Fold):
    """Keeps the VMs whose last request was to leave."""

    __slots__ = ('vms',)

    def __init__(self) -> None:
        """Start without any."""
        self.vms: collections.OrderedDict[str, int] = collections.OrderedDict()

    def is_draining(self, vm: str) -> bool:
        """Return whether a VM takes no new work."""
        return vm in self.vms

    @handles(DrainRequested)
    def on_requested(self, context: Context, record: DrainRequested) -> None:
        """Note a VM that has to leave, or one that may stay."""
        self.vms.pop(record.vm, None)
        if record.undo:
            return
        self.vms[record.vm] = context.offset
        if len(self.vms) > MAX_DRAINED_VMS:
            self.vms.popitem(last=False)

    def to_wire(self) -> DrainsWire:
        """Return the contents for a snapshot."""
        return DrainsWire(tuple(self.vms.items()))

    @classmethod
    def from_wire(cls, wire: DrainsWire) -> 'DrainFold':
        """Rebuild from a snapshot."""
        fold = cls()
        fold.vms.update(wire.vms)
        return fold
