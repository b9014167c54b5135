"""Health probes and preemption on the workers of a node's partitions."""

import collections
import math
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

#: A class preempts again only after this time, because the victims of the last
#: preemption may not have made room yet.
PREEMPTION_RETRY_S: Final = 3.0
MAX_EXAMINED_WORKERS: Final = 16
CHECKPOINT_MODE: Final = 'checkpoint'
#: The newest failed runs of gangs that are remembered, by worker.
MAX_FAILED_GANG_RUNS: Final = 1000
#: The outcomes that tell something of the worker, and whether it is a failure.
#: Stopped and lost tasks tell nothing of it.
FAILED_BY_STATE: Final = {TaskState.succeeded: False, TaskState.failed: True}


@final
class WorkerSupervisor:
    """Quarantines workers whose tasks and calls fail, and probes them.

    Also preempts tasks to make room for urgent ones that fit nowhere.
    """

    __slots__ = (
        'failed_gang_runs',
        'monitor',
        'next_preemption_at',
        'owners',
        'preempted_tasks',
    )

    def __init__(self, owners: dict[str, PartitionOwner]) -> None:
        self.owners = owners
        self.monitor = HealthMonitor(now())
        #: The worker, job and attempt of the newest runs of gangs that failed.
        self.failed_gang_runs: collections.deque[tuple[str, str, int]] = (
            collections.deque(maxlen=MAX_FAILED_GANG_RUNS)
        )
        self.next_preemption_at: dict[str, float] = {}
        self.preempted_tasks = 0

    def add_partition(self, ledger: CapacityLedger) -> None:
        """Monitor the workers of a partition."""
        self.monitor.add_ledger(ledger)

    def remove_partition(self, unit: str) -> None:
        """Stop monitoring the workers of a partition."""
        self.monitor.remove_unit(unit)

    def record_attempt(self, attempt: Attempt) -> None:
        """Record an attempt's outcome, if it tells something of the worker.

        The members of a gang fail together, so they count once.
        """
        failed = FAILED_BY_STATE.get(attempt.state)
        if failed and self._has_gang_failed(attempt):
            return
        if failed is not None:
            self.monitor.record_task(
                attempt.worker,
                attempt.grant.job_class,
                now(),
                failed=failed,
                started_at=attempt.started_at,
            )

    def record_call(self, worker: str, queue: str, *, failed: bool) -> None:
        """Record the outcome of an interactive call."""
        # Probes are tasks.
        self.monitor.record_task(
            worker, queue, now(), failed=failed, started_at=-math.inf
        )

    def probe_quarantined(self, classes: Iterable[DemandClass]) -> None:
        """Place a batch task on each quarantined worker whose probe is due."""
        batch = [demand for demand in classes if demand.kind is JobKind.batch]
        for worker in self.monitor.workers_to_probe(now()):
            view = self.monitor.find_worker(worker)
            if view is not None:
                self._start_probe(view, batch)

    def preempt_for(self, demand: DemandClass, pipeline: Pipeline) -> None:
        """Preempt tasks to make room for one urgent task.

        Does nothing within ``PREEMPTION_RETRY_S`` of the class's last
        preemption.
        """
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

    def _has_gang_failed(self, attempt: Attempt) -> bool:
        """Return whether another member of a gang's run has failed there."""
        grant = attempt.grant
        if grant.kind is not JobKind.gang:
            return False
        gang_run = (attempt.worker, grant.task.job_id, grant.attempt)
        if gang_run in self.failed_gang_runs:
            return True
        self.failed_gang_runs.append(gang_run)
        return False

    def _start_probe(self, view: WorkerView, batch: list[DemandClass]) -> None:
        owner = self.owners.get(view.unit)
        fitting = (demand for demand in batch if demand.shape.fits(view.free))
        demand = next(fitting, None)
        if owner is None or demand is None:
            return
        if owner.book(view.worker, demand, probe=True):
            self.monitor.record_probe_start(view.worker, now())

    def _candidate_workers(self, demand: DemandClass) -> list[WorkerView]:
        suitable = (
            view
            for owner in self.owners.values()
            if owner.tenure.is_valid(now())
            for view in owner.ledger.workers.values()
            if not view.barriers and demand.shape.fits(view.capacity)
        )
        return [
            view
            for view, _ in zip(
                suitable, range(MAX_EXAMINED_WORKERS), strict=False
            )
        ]
