"""The VMs for which operators requested a drain."""

import collections
from typing import Final, final

import msgspec

from berylspread.log.folds.base import Context, Fold, handles
from berylspread.log.records import DrainRequested

#: Drained VMs that are remembered; one that was drained earlier is no longer in
#: the platform's list of VMs.
MAX_DRAINED_VMS: Final = 1000


@final
class DrainsWire(msgspec.Struct, frozen=True, array_like=True):
    """The drained VMs with the offsets of the requests, oldest first."""

    vms: tuple[tuple[str, int], ...] = ()


@final
class DrainFold(Fold):
    """Keeps the VMs whose last request was a drain."""

    __slots__ = ('vms',)

    def __init__(self) -> None:
        self.vms: collections.OrderedDict[str, int] = collections.OrderedDict()

    def is_draining(self, vm: str) -> bool:
        """Return whether a VM takes no new work."""
        return vm in self.vms

    @handles(DrainRequested)
    def on_requested(self, context: Context, record: DrainRequested) -> None:
        """Record the drain of a VM, or its cancellation."""
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
        """Restore the contents from a snapshot."""
        fold = cls()
        fold.vms.update(wire.vms)
        return fold
