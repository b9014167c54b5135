"""Drains VMs at an operator's request, beside those that the platform lists.

The request is a record, so every node sees it and a restart forgets nothing.
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
    """What operators ask of single VMs."""

    __slots__ = ('context',)

    def __init__(self, context: NodeContext) -> None:
        """Take the node's parts."""
        self.context = context

    async def request_drain(
        self, vm: str, *, undo: bool = False
    ) -> DrainView | Failure:
        """Give a listed VM no new work, or let it take work again."""
        known = self._known_vms()
        if vm not in known:
            return UnknownName(
                f'no VM is called {vm!r}',
                kind='vm',
                key=vm,
                nearest=nearest(vm, known),
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
    """The platform's list with the drained VMs marked as leaving."""

    __slots__ = ('directory', 'state')

    def __init__(self, directory: VmDirectory, state: ClusterState) -> None:
        """Take the list and the state that knows the requests."""
        self.directory = directory
        self.state = state

    async def fetch(self) -> Sequence[Vm] | Failure:
        """Return every listed VM."""
        listed = await self.directory.fetch()
        if isinstance(listed, Failure):
            return listed
        return [self._with_drain_state(vm) for vm in listed]

    def _with_drain_state(self, vm: Vm) -> Vm:
        if not self.state.drains.is_draining(vm.vm_id):
            return vm
        return structs.replace(vm, state=VmState.leaving)
