"""Updates a home's job table from the inventories of the partitions.

A home requests the inventory of a partition under each new epoch of the
partition, and the inventories of all partitions after its own takeover.  Tasks
that an earlier home may have handed out stay unsure until the inventories of
all partitions are settled.
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
#: Interval of the requests to a partition whose inventory is not settled, since
#: leases of the previous owner may still be valid.
SETTLING_REQUEST_INTERVAL_S: Final = 3.0
NEVER: Final = float('-inf')


@final
class Reconciler:
    """Tracks the epoch of each partition whose inventory is applied."""

    __slots__ = (
        'applied_at',
        'context',
        'home',
        'is_settled',
        'job_table',
        'reconciled_epochs',
        'settled_epochs',
        'stray_tasks',
    )

    def __init__(
        self, context: NodeContext, job_table: JobTable, home: UnitEpoch
    ) -> None:
        self.context = context
        self.job_table = job_table
        self.home = home
        self.reconciled_epochs: dict[str, int] = {}
        self.settled_epochs: dict[str, int] = {}
        self.applied_at: dict[str, float] = {}
        self.is_settled = False
        self.stray_tasks: set[TaskKey] = set()

    async def run_round(self) -> None:
        """Request the inventories of partitions that are not settled.

        The unsure tasks are marked as lost once all partitions are settled.
        """
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
        """Return whether the inventory of this epoch is applied."""
        return self.reconciled_epochs.get(partition.unit) == partition.epoch

    def _unsettled_partitions(self) -> dict[str, str]:
        owners = self.context.owners(PARTITION_PREFIX)
        return {
            unit: owner.node
            for unit, (owner, epoch) in owners.items()
            if self.settled_epochs.get(unit) != epoch
        }

    def _is_due(self, unit: str) -> bool:
        """Return whether to request the inventory of a partition now.

        If it is already applied, but not settled, the next request can wait.
        """
        owner = self.context.owner(unit)
        if owner is None or self.reconciled_epochs.get(unit) != owner[1]:
            return True
        return (
            now() - self.applied_at.get(unit, NEVER)
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
        self.applied_at[partition.unit] = now()
        if inventory.settled:
            self.settled_epochs[partition.unit] = partition.epoch

    def _adopt_task(self, held: HeldTask, partition: UnitEpoch) -> None:
        progress = self.job_table.jobs.get(held.task.job_id)
        if progress is None or held.task.index in progress.ended:
            self.stray_tasks.add(held.task)
            return
        index = held.task.index
        attempt = progress.handed_out.get(index)
        if index not in progress.unsure and (
            attempt is None or attempt.attempt != held.attempt
        ):
            return
        progress.adopt_attempt(held, partition)

    def _lose_missing(self, inventory: PartitionInventory) -> None:
        partition = inventory.partition
        held = {task.task for task in inventory.tasks}
        adopted = set(inventory.adopted)
        for progress in list(self.job_table.jobs.values()):
            for index, attempt in list(progress.handed_out.items()):
                key = progress.task_key(index)
                is_gone = inventory.settled or attempt.worker in adopted
                if (
                    is_gone
                    and key not in held
                    and attempt.is_from_earlier_epoch(partition)
                ):
                    self.job_table.mark_lost(
                        key, 'its partition has a new owner'
                    )
