"""Drains of VMs that an operator requests, in addition to the platform's.

A request is a record in the log, so that every node sees it and it survives
restarts.
"""

from collections.abc import Sequence
from typing import final

from msgspec import structs

from berylspread.entry.views import DrainView
from berylspread.kernel.errors import Failure, UnknownName
from berylspread.kernel.registry import nearest
from berylspread.log import ClusterState, DrainRequested
from berylspread.membership import VmDirectory
from berylspread.model import Vm, VmState
from berylspread.runtime import NodeContext


@final
class DrainAdministration:
    """Records the drain requests of operators."""

    __slots__ = ('context',)

    def __init__(self, context: NodeContext) -> None:
        self.context = context

    async def request_drain(
        self, vm: str, *, undo: bool = False
    ) -> DrainView | Failure:
        """Drain a known VM; with ``undo``, end its drain."""
        known_vms = self._known_vms()
        if vm not in known_vms:
            return UnknownName(
                f'no VM is called {vm!r}',
                kind='vm',
                key=vm,
                nearest=nearest(vm, known_vms),
            )
        offset = await self.context.appender.append(
            DrainRequested(vm, undo, self.context.wall.time())
        )
        if isinstance(offset, Failure):
            return offset
        return DrainView(vm, offset)

    def _known_vms(self) -> set[str]:
        membership = self.context.membership
        nodes = {member.node for member in membership.members()}
        workers = {vm.vm_id for vm in membership.workers()}
        return nodes | workers | set(self.context.state.drains.vms)


@final
class DrainedDirectory:
    """The platform's VM list with the drained VMs marked as leaving."""

    __slots__ = ('directory', 'state')

    def __init__(self, directory: VmDirectory, state: ClusterState) -> None:
        self.directory = directory
        self.state = state

    async def fetch(self) -> Sequence[Vm] | Failure:
        """Return every listed VM, those under a drain request as leaving."""
        listed = await self.directory.fetch()
        if isinstance(listed, Failure):
            return listed
        return [self._with_drain_state(vm) for vm in listed]

    def _with_drain_state(self, vm: Vm) -> Vm:
        if not self.state.drains.is_draining(vm.vm_id):
            return vm
        return structs.replace(vm, state=VmState.leaving)
