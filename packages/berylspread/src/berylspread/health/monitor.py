"""Detection and quarantine of workers that fail tasks by their own fault."""

import collections
import math
from typing import Final, final

from berylspread.health.failure_rates import (
    ClassRecord,
    FailureRate,
    WorkerRecord,
)
from berylspread.health.quarantine import Quarantine
from berylspread.limits import Barrier, CapacityLedger, WorkerView

MAX_CLASSES: Final = 2000
#: A worker is quarantined above this failure rate if at least
#: ``QUARANTINE_FAILURES`` failures are attributed to it; both are decayed.
QUARANTINE_RATE: Final = 0.5
QUARANTINE_FAILURES: Final = 2.5
#: A worker is also quarantined if this many failures since its last success
#: are attributed to it.
QUARANTINE_STREAK: Final = 4.0
#: A job class is faulty above this failure rate if it failed on at least
#: ``FAULTY_WORKERS`` workers.
FAULTY_RATE: Final = 0.5
FAULTY_WORKERS: Final = 3
MAX_QUARANTINED_SHARE: Final = 0.1


@final
class HealthMonitor:
    """Records the outcomes of tasks and quarantines workers.

    It sets the quarantine barrier and the fault probability of the workers in
    the added ledgers.  At most ``max_share`` of these workers may be in
    quarantine at one time, but always at least one.
    """

    __slots__ = (
        'class_records',
        'ledgers',
        'max_share',
        'overall_rate',
        'quarantines',
        'worker_records',
    )

    def __init__(
        self, now: float, max_share: float = MAX_QUARANTINED_SHARE
    ) -> None:
        self.max_share = max_share
        self.overall_rate = FailureRate(now)
        self.worker_records: dict[str, WorkerRecord] = {}
        self.class_records: collections.OrderedDict[str, ClassRecord] = (
            collections.OrderedDict()
        )
        self.quarantines: dict[str, Quarantine] = {}
        self.ledgers: dict[str, CapacityLedger] = {}

    def add_ledger(self, ledger: CapacityLedger) -> None:
        """Monitor the workers of a partition."""
        self.ledgers[ledger.unit] = ledger

    def remove_unit(self, unit: str) -> None:
        """Forget the workers of a partition that another owner takes over."""
        ledger = self.ledgers.pop(unit, None)
        if ledger is not None:
            for worker in ledger.workers:
                self.forget_worker(worker)

    def forget_worker(self, worker: str) -> None:
        """Drop the record and the quarantine of a worker."""
        self.worker_records.pop(worker, None)
        self.quarantines.pop(worker, None)

    def record_task(
        self,
        worker: str,
        job_class: str,
        now: float,
        *,
        failed: bool,
        started_at: float = math.inf,
    ) -> None:
        """Record the outcome of a task that was not cancelled or preempted.

        ``started_at`` tells whether the task was the worker's running probe.
        The fault for a failure is shared between the job class and the worker.
        """
        class_record = self._class_record(job_class, now)
        fault = 1 - class_record.fault_share(worker) if failed else 0.0
        class_record.record(worker, now, failed=failed)
        worker_record = self.worker_records.setdefault(
            worker, WorkerRecord(now)
        )
        worker_record.record(now, failed=failed, blame=fault)
        self.overall_rate.record(now, failed=fault)
        view = self.find_worker(worker)
        if view is not None:
            view.fault_probability = self.fault_probability(worker)
            self._update_quarantine(
                view, now, failed=failed, started_at=started_at
            )

    def fault_probability(self, worker: str) -> float:
        """Return the probability that the worker makes a task fail, 0 to 1."""
        record = self.worker_records.get(worker)
        prior = min(self.overall_rate.estimate(), QUARANTINE_RATE)
        if record is None:
            return prior
        return max(
            record.failure_rate.estimate(prior),
            record.failure_streak / (record.failure_streak + 2),
        )

    def is_class_faulty(self, job_class: str) -> bool:
        """Return whether a job class fails regardless of the worker."""
        record = self.class_records.get(job_class)
        return (
            record is not None
            and record.failure_rate.estimate() > FAULTY_RATE
            and len(record.failed_on) >= FAULTY_WORKERS
            and len(record.failed_on) > len(record.succeeded_on)
        )

    def workers_to_probe(self, now: float) -> list[str]:
        """Return the quarantined workers for which a probe task is due."""
        return [
            worker
            for worker, quarantine in self.quarantines.items()
            if quarantine.may_probe(now)
        ]

    def record_probe_start(self, worker: str, now: float) -> None:
        """Start no other probe until this one has ended or timed out."""
        quarantine = self.quarantines.get(worker)
        if quarantine is not None:
            quarantine.start_probe(now)

    def find_worker(self, worker: str) -> WorkerView | None:
        """Return a monitored worker, or ``None`` for an unknown one."""
        for ledger in self.ledgers.values():
            view = ledger.workers.get(worker)
            if view is not None:
                return view
        return None

    def free_quarantine_places(self) -> int:
        """Return how many more workers may go into quarantine."""
        monitored = sum(len(ledger.workers) for ledger in self.ledgers.values())
        allowed = max(int(monitored * self.max_share), 1)
        return allowed - len(self.quarantines)

    def _class_record(self, job_class: str, now: float) -> ClassRecord:
        record = self.class_records.get(job_class)
        if record is None:
            record = ClassRecord(now)
            self.class_records[job_class] = record
            if len(self.class_records) > MAX_CLASSES:
                self.class_records.popitem(last=False)
        self.class_records.move_to_end(job_class)
        return record

    def _update_quarantine(
        self, view: WorkerView, now: float, *, failed: bool, started_at: float
    ) -> None:
        quarantine = self.quarantines.get(view.worker)
        if quarantine is None:
            if failed and self._should_quarantine(view.worker):
                self._start_quarantine(view, now)
        elif quarantine.is_probe(started_at) and quarantine.record_probe(
            now, failed=failed
        ):
            self._end_quarantine(view)

    def _should_quarantine(self, worker: str) -> bool:
        record = self.worker_records[worker]
        prior = min(self.overall_rate.estimate(), QUARANTINE_RATE)
        fails_often = (
            record.failure_rate.failed >= QUARANTINE_FAILURES
            and record.failure_rate.estimate(prior) > QUARANTINE_RATE
        )
        return fails_often or record.failure_streak >= QUARANTINE_STREAK

    def _start_quarantine(self, view: WorkerView, now: float) -> None:
        if self.free_quarantine_places() <= 0:
            return
        self.quarantines[view.worker] = Quarantine(now)
        self.ledgers[view.unit].add_barrier(view.worker, Barrier.quarantined)

    def _end_quarantine(self, view: WorkerView) -> None:
        self.quarantines.pop(view.worker)
        self.worker_records.pop(view.worker)
        view.fault_probability = self.fault_probability(view.worker)
        self.ledgers[view.unit].remove_barrier(view.worker, Barrier.quarantined)
