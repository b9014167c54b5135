"""The platform's VM list as this node last fetched it."""

from collections.abc import Sequence
from typing import Final, final

from berylspread.model import Vm, VmRole, VmState, partition_unit

NEVER: Final = float('-inf')


@final
class VmList:
    """The listed VMs, and since when other VMs are missing from the list."""

    __slots__ = ('entry_vms', 'fetched_at', 'missing_since', 'workers')

    def __init__(self) -> None:
        self.entry_vms: dict[str, Vm] = {}
        self.workers: dict[str, Vm] = {}
        self.missing_since: dict[str, float] = {}
        self.fetched_at = NEVER

    def replace(self, vms: Sequence[Vm], now: float) -> None:
        """Replace the list by one fetched at loop time ``now``."""
        listed = {vm.vm_id: vm for vm in vms}
        for vm_id in (*self.entry_vms, *self.workers):
            if vm_id not in listed:
                self.missing_since.setdefault(vm_id, now)
        for vm_id in listed:
            self.missing_since.pop(vm_id, None)
        self.entry_vms = _with_role(listed, VmRole.entry)
        self.workers = _with_role(listed, VmRole.worker)
        self.fetched_at = now

    def track_unlisted(self, vm_id: str) -> None:
        """Record since when a VM known from elsewhere is not listed."""
        if self.fetched_at != NEVER and vm_id not in self.entry_vms:
            self.missing_since.setdefault(vm_id, self.fetched_at)

    def missing_at(self, vm_id: str) -> float | None:
        """Return the loop time since which a VM is not listed, if it is not."""
        return self.missing_since.get(vm_id)

    def is_leaving(self, vm_id: str) -> bool:
        """Return whether the platform lists an entry VM as leaving."""
        vm = self.entry_vms.get(vm_id)
        return vm is not None and vm.state is VmState.leaving

    def workers_of(self, unit: str) -> list[Vm]:
        """Return the listed workers of a partition unit, of all for ''."""
        return [
            vm
            for vm in self.workers.values()
            if not unit or partition_unit(vm.region, vm.rack) == unit
        ]

    def units_of(self, region: str) -> list[str]:
        """Return a region's partition units in order of their names."""
        return sorted(
            {
                partition_unit(vm.region, vm.rack)
                for vm in self.workers.values()
                if vm.region == region
            }
        )


def _with_role(listed: dict[str, Vm], role: VmRole) -> dict[str, Vm]:
    return {vm_id: vm for vm_id, vm in listed.items() if vm.role is role}
