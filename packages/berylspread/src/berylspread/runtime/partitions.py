"""The partitions of one node and the handlers of their messages."""

from typing import final

from berylspread.backend import BackendClient
from berylspread.calls.messages import CallDone, CallSlotAsk
from berylspread.calls.slots import CallSlots
from berylspread.kernel import Failure
from berylspread.kernel.errors import NotOwner, StaleEpoch
from berylspread.model import NodeRef
from berylspread.ownership import Tenure
from berylspread.partition.messages import (
    CapacityReport,
    CommitAsk,
    CommitReply,
    DemandUpdate,
    InventoryAsk,
    InventoryReply,
    ReleaseHold,
    ReserveAsk,
    ReserveReply,
    StopTasks,
)
from berylspread.partition.owner import PartitionOwner
from berylspread.partition.placer import Placer
from berylspread.peers import Message
from berylspread.runtime.context import NodeContext


@final
class Partitions:
    """Passes messages to the partition owners of this node."""

    __slots__ = ('call_slots', 'context', 'placer')

    def __init__(self, context: NodeContext, workers: BackendClient) -> None:
        self.context = context
        self.placer = Placer(context, workers)
        self.call_slots: dict[str, CallSlots] = {}
        self.placer.serve_calls = self._grant_call_slots
        handlers = (
            (DemandUpdate, self._handle_demand),
            (InventoryAsk, self._handle_inventory),
            (ReserveAsk, self._handle_reserve),
            (CommitAsk, self._handle_commit),
            (ReleaseHold, self._handle_release),
            (StopTasks, self._handle_stop),
            (CapacityReport, self._handle_capacity),
            (CallSlotAsk, self._handle_call_slot),
            (CallDone, self._handle_call_done),
        )
        for message_type, handler in handlers:
            context.peers.register_handler(message_type, handler)

    def start(self) -> None:
        """Start the placement of tasks."""
        self.placer.start()

    def acquire(self, tenure: Tenure) -> None:
        """Start to act as the owner of a partition."""
        owner = self.placer.acquire(tenure)
        self.call_slots[tenure.unit] = CallSlots(owner)

    def lose(self, tenure: Tenure) -> None:
        """Stop acting as the owner of a partition."""
        slots = self.call_slots.get(tenure.unit)
        if slots is not None and slots.owner.unit.epoch == tenure.epoch:
            slots.close()
            self.call_slots.pop(tenure.unit)
        self.placer.lose(tenure)

    def close(self) -> None:
        """Stop acting as the owner of every partition."""
        for slots in self.call_slots.values():
            slots.close()
        self.call_slots.clear()
        self.placer.close()

    def _grant_call_slots(self) -> None:
        for slots in self.call_slots.values():
            slots.grant_slots()

    async def _handle_demand(
        self, source: NodeRef, update: DemandUpdate
    ) -> None:
        self.placer.update_demand(source.node, update)

    async def _handle_inventory(
        self, source: NodeRef, request: InventoryAsk
    ) -> Message | Failure:
        if not self.placer.demands.accept_epoch(request.home):
            return StaleEpoch(
                'the home has a newer epoch', unit=request.home.unit
            )
        return InventoryReply(
            [
                owner.inventory(request.home.unit)
                for unit in list(self.placer.owners)
                if (owner := self.placer.owner(unit)) is not None
            ]
        )

    async def _handle_reserve(
        self, source: NodeRef, request: ReserveAsk
    ) -> Message | Failure:
        if not self.placer.demands.accept_epoch(request.home):
            return StaleEpoch(
                'the home has a newer epoch', unit=request.home.unit
            )
        owner = self._find_owner(request.partition)
        if isinstance(owner, Failure):
            return owner
        reserved = owner.gang_holds.reserve(request, self.placer.pipeline)
        return ReserveReply(owner.unit, request.gang, reserved)

    async def _handle_commit(
        self, source: NodeRef, request: CommitAsk
    ) -> Message | Failure:
        if not self.placer.demands.accept_epoch(request.home):
            return StaleEpoch(
                'the home has a newer epoch', unit=request.home.unit
            )
        owner = self._find_owner(request.partition.unit)
        if isinstance(owner, Failure):
            return owner
        if owner.unit.epoch != request.partition.epoch:
            return StaleEpoch('the partition has another epoch')
        return CommitReply(request.gang, owner.commit_gang(request))

    async def _handle_release(
        self, source: NodeRef, message: ReleaseHold
    ) -> None:
        owner = self._find_owner(message.partition)
        if not isinstance(owner, Failure):
            owner.gang_holds.release(message.gang)
            self.placer.on_capacity_freed()

    async def _handle_stop(self, source: NodeRef, message: StopTasks) -> None:
        if not self.placer.demands.accept_epoch(message.home):
            return
        for unit in list(self.placer.owners):
            owner = self.placer.owner(unit)
            if owner is not None:
                owner.stop_tasks(message)

    async def _handle_capacity(
        self, source: NodeRef, report: CapacityReport
    ) -> None:
        self.context.capacities.update(source.node, report)

    async def _handle_call_slot(
        self, source: NodeRef, request: CallSlotAsk
    ) -> Message | Failure:
        owner = self._find_owner(request.unit)
        if isinstance(owner, Failure):
            return owner
        return await self.call_slots[request.unit].acquire(request)

    async def _handle_call_done(
        self, source: NodeRef, message: CallDone
    ) -> None:
        slots = self.call_slots.get(message.unit)
        if slots is not None:
            worker = slots.release(message)
            if worker and message.queue:
                self.placer.supervisor.record_call(
                    worker, message.queue, failed=message.failed
                )
            self.placer.on_capacity_freed()

    def _find_owner(self, unit: str) -> PartitionOwner | NotOwner:
        owner = self.placer.owner(unit)
        if owner is None:
            return NotOwner('this node does not own the unit', unit=unit)
        return owner
