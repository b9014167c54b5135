"""Which workers fail what they are given: suspicion, quarantine, probes."""

import collections
from typing import Final, final

from berylspread.health.failure_rates import (
    ClassRecord,
    FailureRate,
    WorkerRecord,
)
from berylspread.health.quarantine import Quarantine
from berylspread.limits import Barrier, CapacityLedger, WorkerView

MAX_CLASSES: Final = 2000
#: A worker goes into quarantine above this rate and this many blamed failures.
QUARANTINE_RATE: Final = 0.5
QUARANTINE_FAILURES: Final = 2.5
#: Or after as much blame without a success between.
QUARANTINE_STREAK: Final = 4.0
#: A class is faulty above this rate after failures on this many workers.
FAULTY_RATE: Final = 0.5
FAULTY_WORKERS: Final = 3
MAX_QUARANTINED_SHARE: Final = 0.1


@final
class HealthMonitor:
    """Counts ends of tasks per worker and job class, and quarantines workers.

    It sets the barrier and the suspicion in the ledgers that it is given; at
    most ``max_share`` of their workers, and at least one, may be quarantined.
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
        """Start without workers."""
        self.max_share = max_share
        self.overall_rate = FailureRate(now)
        self.worker_records: dict[str, WorkerRecord] = {}
        self.class_records: collections.OrderedDict[str, ClassRecord] = (
            collections.OrderedDict()
        )
        self.quarantines: dict[str, Quarantine] = {}
        self.ledgers: dict[str, CapacityLedger] = {}

    def add_ledger(self, ledger: CapacityLedger) -> None:
        """Include a partition's workers."""
        self.ledgers[ledger.unit] = ledger

    def remove_unit(self, unit: str) -> None:
        """Leave a partition to its next owner."""
        ledger = self.ledgers.pop(unit, None)
        if ledger is not None:
            for worker in ledger.workers:
                self.forget_worker(worker)

    def forget_worker(self, worker: str) -> None:
        """Drop what is known of a worker that has gone."""
        self.worker_records.pop(worker, None)
        self.quarantines.pop(worker, None)

    def record_task(
        self, worker: str, job_class: str, now: float, *, failed: bool
    ) -> None:
        """Take in the end of a task; cancelled and preempted ones don't count.

        The blame for a failure is divided between the class and the worker.
        """
        record = self._class_record(job_class, now)
        blame = 1 - record.fault_share(worker) if failed else 0.0
        record.record(worker, now, failed=failed)
        known = self.worker_records.setdefault(worker, WorkerRecord(now))
        known.record(now, failed=failed, fault_share=blame)
        self.overall_rate.record(now, failed=blame)
        view = self.find_worker(worker)
        if view is not None:
            view.fault_probability = self.fault_probability(worker)
            self._update_quarantine(view, now, failed=failed)

    def fault_probability(self, worker: str) -> float:
        """Return how likely the worker fails a task by its fault, 0 to 1."""
        known = self.worker_records.get(worker)
        prior = min(self.overall_rate.estimate(), QUARANTINE_RATE)
        if known is None:
            return prior
        return max(
            known.failure_rate.estimate(prior),
            known.failure_streak / (known.failure_streak + 2),
        )

    def is_class_faulty(self, job_class: str) -> bool:
        """Return whether a class fails by its own fault wherever it runs."""
        record = self.class_records.get(job_class)
        return (
            record is not None
            and record.failure_rate.estimate() > FAULTY_RATE
            and len(record.failed_on) >= FAULTY_WORKERS
            and len(record.failed_on) > len(record.succeeded_on)
        )

    def workers_to_probe(self, now: float) -> list[str]:
        """Return the quarantined workers that may take one probe task now."""
        return [
            worker
            for worker, quarantine in self.quarantines.items()
            if quarantine.may_probe(now)
        ]

    def record_probe_start(self, worker: str, now: float) -> None:
        """Allow no further probe until this one has ended or timed out."""
        quarantine = self.quarantines.get(worker)
        if quarantine is not None:
            quarantine.start_probe(now)

    def find_worker(self, worker: str) -> WorkerView | None:
        """Return a watched worker."""
        for ledger in self.ledgers.values():
            view = ledger.workers.get(worker)
            if view is not None:
                return view
        return None

    def free_quarantine_places(self) -> int:
        """Return how many more workers may go into quarantine."""
        watched = sum(len(ledger.workers) for ledger in self.ledgers.values())
        allowed = max(int(watched * self.max_share), 1)
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
        self, view: WorkerView, now: float, *, failed: bool
    ) -> None:
        quarantine = self.quarantines.get(view.worker)
        if quarantine is None:
            if failed and self._should_quarantine(view.worker):
                self._start_quarantine(view, now)
        elif quarantine.record_task(now, failed=failed):
            self._end_quarantine(view)

    def _should_quarantine(self, worker: str) -> bool:
        known = self.worker_records[worker]
        prior = min(self.overall_rate.estimate(), QUARANTINE_RATE)
        often = (
            known.failure_rate.failed >= QUARANTINE_FAILURES
            and known.failure_rate.estimate(prior) > QUARANTINE_RATE
        )
        return often or known.failure_streak >= QUARANTINE_STREAK

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
