"""What a node does for its workers beside placing: health and preemption."""

from collections.abc import Iterable
from typing import Final, final

from absl import logging

from berylspread.health import HealthMonitor
from berylspread.kernel import now
from berylspread.limits import CapacityLedger, WorkerView
from berylspread.model import JobKind, TaskState
from berylspread.partition.attempts import Attempt
from berylspread.partition.owner import PartitionOwner
from berylspread.placement import DemandClass, Pipeline

#: A class whose victims have not made room yet waits this long for them.
PREEMPTION_RETRY_S: Final = 3.0
MAX_EXAMINED_WORKERS: Final = 16
CHECKPOINT_MODE: Final = 'checkpoint'
#: Ends that tell something of the worker; stops and losses do not.
FAILED_BY_STATE: Final = {TaskState.succeeded: False, TaskState.failed: True}


@final
class WorkerSupervisor:
    """Quarantines workers that fail what they are given, and probes them.

    Makes room for urgent work that fits nowhere by preempting other tasks.
    """

    __slots__ = ('monitor', 'next_preemption_at', 'owners', 'preempted_tasks')

    def __init__(self, owners: dict[str, PartitionOwner]) -> None:
        """Look after the workers of a node's partitions."""
        self.owners = owners
        self.monitor = HealthMonitor(now())
        self.next_preemption_at: dict[str, float] = {}
        self.preempted_tasks = 0

    def add_partition(self, ledger: CapacityLedger) -> None:
        """Include a partition."""
        self.monitor.add_ledger(ledger)

    def remove_partition(self, unit: str) -> None:
        """Leave a partition to its next owner."""
        self.monitor.remove_unit(unit)

    def record_attempt(self, attempt: Attempt) -> None:
        """Take in how a task ended."""
        failed = FAILED_BY_STATE.get(attempt.state)
        if failed is not None:
            self.monitor.record_task(
                attempt.worker,
                attempt.grant.job_class,
                now(),
                failed=failed,
            )

    def record_call(self, worker: str, queue: str, *, failed: bool) -> None:
        """Take in how an interactive call ended."""
        self.monitor.record_task(worker, queue, now(), failed=failed)

    def probe_quarantined(self, classes: Iterable[DemandClass]) -> None:
        """Give each quarantined worker that is due one batch task."""
        batch = [demand for demand in classes if demand.kind is JobKind.batch]
        for worker in self.monitor.workers_to_probe(now()):
            view = self.monitor.find_worker(worker)
            if view is not None:
                self._start_probe(view, batch)

    def preempt_for(self, demand: DemandClass, pipeline: Pipeline) -> None:
        """Make room for one urgent task, unless that is under way."""
        if now() < self.next_preemption_at.get(demand.class_id, 0):
            return
        victims = pipeline.victims(demand, self._candidate_workers(demand))
        if not victims:
            return
        self.next_preemption_at[demand.class_id] = now() + PREEMPTION_RETRY_S
        for booking in victims:
            for owner in self.owners.values():
                owner.stop_booking(booking, CHECKPOINT_MODE)
            logging.info('preempted %s for %s', booking.key, demand.queue)
        self.preempted_tasks += len(victims)

    def _start_probe(self, view: WorkerView, batch: list[DemandClass]) -> None:
        owner = self.owners.get(view.unit)
        fitting = (demand for demand in batch if demand.shape.fits(view.free))
        demand = next(fitting, None)
        if owner is None or demand is None:
            return
        if owner.book(view.worker, demand, probe=True):
            self.monitor.record_probe_start(view.worker, now())

    def _candidate_workers(self, demand: DemandClass) -> list[WorkerView]:
        able = (
            view
            for owner in self.owners.values()
            if owner.tenure.is_valid(now())
            for view in owner.ledger.workers.values()
            if not view.barriers and demand.shape.fits(view.capacity)
        )
        return [
            view
            for view, _ in zip(able, range(MAX_EXAMINED_WORKERS), strict=False)
        ]
