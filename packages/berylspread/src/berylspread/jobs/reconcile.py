"""Brings a home's book in line with what the partitions really hold.

A home asks for the inventory of each partition under each new epoch of it, and
after its own takeover of all.  Until every partition has answered, tasks that
an earlier home may have handed out stay unsure.
"""

import asyncio
from typing import Final, final

from berylspread.jobs.job_table import JobTable
from berylspread.kernel import Failure, now
from berylspread.model import PARTITION_PREFIX, TaskKey
from berylspread.partition.messages import (
    HeldTask,
    InventoryAsk,
    InventoryReply,
    PartitionInventory,
    UnitEpoch,
)
from berylspread.runtime import NodeContext

INVENTORY_TIMEOUT_S: Final = 3.0
#: A partition whose old leases have still to lapse is asked this often.
SETTLING_REQUEST_INTERVAL_S: Final = 3.0
NEVER: Final = float('-inf')


@final
class Reconciler:
    """Tracks which epoch of each partition the book agrees with."""

    __slots__ = (
        'context',
        'home',
        'is_settled',
        'job_table',
        'reconciled_epochs',
        'requested_at',
        'settled_epochs',
        'stray_tasks',
    )

    def __init__(
        self, context: NodeContext, job_table: JobTable, home: UnitEpoch
    ) -> None:
        """Start in agreement with no partition."""
        self.context = context
        self.job_table = job_table
        self.home = home
        self.reconciled_epochs: dict[str, int] = {}
        self.settled_epochs: dict[str, int] = {}
        self.requested_at: dict[str, float] = {}
        self.is_settled = False
        self.stray_tasks: set[TaskKey] = set()

    async def run_round(self) -> None:
        """Ask the owners of partitions whose epoch is new."""
        due = {
            node
            for unit, node in self._unsettled_partitions().items()
            if self._is_due(unit)
        }
        await asyncio.gather(
            *(self._request_inventories(node) for node in sorted(due))
        )
        if not self.is_settled and not self._unsettled_partitions():
            self.job_table.mark_unsure_lost()
            self.is_settled = True

    def is_reconciled(self, partition: UnitEpoch) -> bool:
        """Return whether the book agrees with this epoch of a partition."""
        return self.reconciled_epochs.get(partition.unit) == partition.epoch

    def _unsettled_partitions(self) -> dict[str, str]:
        owners = self.context.owners(PARTITION_PREFIX)
        return {
            unit: owner.node
            for unit, (owner, epoch) in owners.items()
            if self.settled_epochs.get(unit) != epoch
        }

    def _is_due(self, unit: str) -> bool:
        """Return whether to ask now; one that only has to settle can wait."""
        owner = self.context.owner(unit)
        if owner is None or self.reconciled_epochs.get(unit) != owner[1]:
            return True
        return (
            now() - self.requested_at.get(unit, NEVER)
            >= SETTLING_REQUEST_INTERVAL_S
        )

    async def _request_inventories(self, node: str) -> None:
        reply = await self.context.peers.request(
            node,
            InventoryAsk(self.home),
            InventoryReply,
            timeout_s=INVENTORY_TIMEOUT_S,
        )
        if isinstance(reply, Failure):
            return
        for inventory in reply.partitions:
            if inventory.complete:
                self._apply_inventory(inventory)

    def _apply_inventory(self, inventory: PartitionInventory) -> None:
        partition = inventory.partition
        if self.reconciled_epochs.get(partition.unit, 0) > partition.epoch:
            return
        for task in inventory.tasks:
            self._adopt_task(task, partition)
        self._lose_missing(inventory)
        self.reconciled_epochs[partition.unit] = partition.epoch
        self.requested_at[partition.unit] = now()
        if inventory.settled:
            self.settled_epochs[partition.unit] = partition.epoch

    def _adopt_task(self, held: HeldTask, partition: UnitEpoch) -> None:
        progress = self.job_table.jobs.get(held.task.job_id)
        if progress is None or held.task.index in progress.ended:
            self.stray_tasks.add(held.task)
            return
        index = held.task.index
        out = progress.handed_out.get(index)
        if index not in progress.unsure and (
            out is None or out.attempt != held.attempt
        ):
            return
        progress.adopt_attempt(
            index, held.attempt, partition.unit, partition.epoch
        )
        progress.handed_out[index].worker = held.worker
        progress.handed_out[index].state = held.state

    def _lose_missing(self, inventory: PartitionInventory) -> None:
        partition = inventory.partition
        held = {task.task for task in inventory.tasks}
        adopted = set(inventory.adopted)
        for progress in list(self.job_table.jobs.values()):
            for index, out in list(progress.handed_out.items()):
                key = progress.task_key(index)
                is_gone = inventory.settled or out.worker in adopted
                if (
                    is_gone
                    and key not in held
                    and out.is_from_earlier_epoch(partition)
                ):
                    self.job_table.mark_lost(
                        key, 'its partition has a new owner'
                    )
