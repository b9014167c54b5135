"""The platform's list of VMs as a stand-in: it lags, goes stale and fails."""

import asyncio
import collections
from collections.abc import Sequence
from typing import Final, final

import msgspec

from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure
from berylspread.membership.http_directory import VmListUnavailable
from berylspread.model import Vm, VmState
from berylspread_standins.exchange import exchange
from berylspread_standins.gate import Gate
from berylspread_standins.network import Endpoint, Network

LAG_S: Final = 2.0
CLIENT_TIMEOUT_S: Final = 2.0
#: Bytes of a request, and of one VM in the answer.
HEADER_BYTES: Final = 200
VM_BYTES: Final = 160


@final
class VmList:
    """The platform's list: changes show after ``lag_s`` seconds.

    While ``is_stale`` no change shows, and while ``is_down`` nothing answers.
    """

    __slots__ = (
        'changes',
        'extra_lag_s',
        'is_down',
        'is_stale',
        'lag_s',
        'truth',
        'visible',
    )

    def __init__(self, *, lag_s: float = LAG_S) -> None:
        """Start with an empty list."""
        self.lag_s = lag_s
        self.extra_lag_s = 0.0
        self.is_stale = False
        self.is_down = False
        self.truth: dict[str, Vm] = {}
        self.visible: dict[str, Vm] = {}
        self.changes: collections.deque[tuple[float, str, Vm | None]] = (
            collections.deque()
        )

    def put(self, vm: Vm) -> None:
        """Add a VM or replace what the list says of it."""
        self.truth[vm.vm_id] = vm
        self.changes.append((now(), vm.vm_id, vm))

    def mark_leaving(self, vm_id: str) -> None:
        """Announce that a VM will be taken away."""
        leaving = msgspec.structs.replace(
            self.truth[vm_id], state=VmState.leaving
        )
        self.put(leaving)

    def remove(self, vm_id: str) -> None:
        """Take a VM off the list."""
        self.truth.pop(vm_id, None)
        self.changes.append((now(), vm_id, None))

    def settle(self) -> None:
        """Show every change at once, as a list that has long been stable."""
        while self.changes:
            self._apply_first()

    def listed(self) -> list[Vm]:
        """Return the VMs as the list shows them now."""
        if not self.is_stale:
            shown_until = now() - self.lag_s - self.extra_lag_s
            while self.changes and self.changes[0][0] <= shown_until:
                self._apply_first()
        return list(self.visible.values())

    def _apply_first(self) -> None:
        _, vm_id, vm = self.changes.popleft()
        if vm is None:
            self.visible.pop(vm_id, None)
        else:
            self.visible[vm_id] = vm


@final
class LocalDirectory:
    """One node's client of the VM list, in the same process."""

    __slots__ = (
        'delay_s',
        'gate',
        'is_cut',
        'network',
        'node',
        'place',
        'timeout_s',
        'vm_list',
    )

    def __init__(
        self,
        vm_list: VmList,
        *,
        timeout_s: float = CLIENT_TIMEOUT_S,
        gate: Gate | None = None,
        network: Network | None = None,
        node: Endpoint | None = None,
        place: Endpoint | None = None,
    ) -> None:
        """Connect ``node`` to the list at ``place`` over the network."""
        self.vm_list = vm_list
        self.timeout_s = timeout_s
        self.gate = gate or Gate()
        self.network = network
        self.node = node or Endpoint('client', '')
        self.place = place or Endpoint('vm-list', '')
        self.is_cut = False
        self.delay_s = 0.0

    async def fetch(self) -> Sequence[Vm] | Failure:
        """Return the listed VMs, or ``VmListUnavailable``."""
        answer = await exchange(self._fetch(), timeout_s=self.timeout_s)
        await self.gate.wait()
        if answer is None:
            return VmListUnavailable('no answer in time')
        return answer

    async def _fetch(self) -> Sequence[Vm] | Failure | None:
        await self.gate.wait()
        if self.is_cut:
            return None
        await asyncio.sleep(self.delay_s)
        if not await self._travel(self.node, self.place, HEADER_BYTES):
            return None
        if self.vm_list.is_down:
            return VmListUnavailable('outage')
        listed = self.vm_list.listed()
        size = HEADER_BYTES + VM_BYTES * len(listed)
        arrived = await self._travel(self.place, self.node, size)
        return listed if arrived else None

    async def _travel(
        self, source: Endpoint, target: Endpoint, size: int
    ) -> bool:
        if self.network is None:
            return True
        return await self.network.carry(source, target, size, 'vm-list')
