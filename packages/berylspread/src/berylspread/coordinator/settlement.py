"""Settles the runs of one worker that its reports list or omit.

A run is removed from a worker only on proof that it is over: the worker lists
its outcome; a report that was requested after the order's result was known does
not list it; the worker has been restarted; or every lease that was requested
has expired on the worker's clock.
"""

import asyncio
from typing import Final, final

from berylspread.coordinator.fleet import Run, Stage, Worker
from berylspread.coordinator.interface import (
    EndedRow,
    RunningRow,
    WorkerReport,
)
from berylspread.coordinator.orders import (
    GONE,
    NEVER_BEGAN,
    RESTARTED,
    CoordinatorInterface,
    OrderSender,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure

#: A run that is not listed this long after its order is stopped; the time limit
#: of the order itself is well below this.
ORDER_TIMEOUT_S: Final = 3.0


@final
class Settlement:
    """Settles the runs of one worker."""

    __slots__ = ('applied_seq', 'coordinator', 'orders', 'worker')

    def __init__(
        self,
        worker: Worker,
        orders: OrderSender,
        coordinator: CoordinatorInterface,
    ) -> None:
        self.worker = worker
        self.orders = orders
        self.coordinator = coordinator
        #: The last end that has been applied; it may not be acknowledged.
        self.applied_seq = 0

    def apply_outcomes(
        self, rows: list[EndedRow]
    ) -> asyncio.Future[Failure | None] | None:
        """Record the outcomes that a report lists.

        The future, if any, is done once the last of them is stored.
        """
        stored = None
        for row in rows:
            if row.seq > self.worker.acked_seq:
                stored = self._apply_end(row) or stored
        self.applied_seq = max(
            (row.seq for row in rows), default=self.applied_seq
        )
        return stored

    def _apply_end(
        self, row: EndedRow
    ) -> asyncio.Future[Failure | None] | None:
        run = self.worker.runs.get(row.task)
        if run is not None and run.number == row.run:
            run.record_running()
            return self.coordinator.record_outcome(
                run, row.outcome, row.checkpoint
            )
        if row.seq > self.applied_seq:
            return self.coordinator.silent_losses.apply_end(self.worker, row)
        return None

    def forget_life(self) -> None:
        """Apply that the worker's next life counts its ends anew."""
        self.applied_seq = 0

    def lists_order_of_other_life(self, report: WorkerReport) -> bool:
        """Return whether a newly listed run was not ordered for this life.

        Its order may have made the worker grant its longest lease.
        """
        return any(
            self._is_order_of_other_life(row, report.born_ms)
            for row in report.running
        )

    def _is_order_of_other_life(self, row: RunningRow, born_ms: int) -> bool:
        run = self.worker.runs.get(row.task)
        if run is None or run.number != row.run:
            return row.task not in self.worker.stray_tasks
        return run.listed_at is None and run.task.worker_born_ms != born_ms

    def apply_running(self, rows: list[RunningRow]) -> set[str]:
        """Update the runs that a report lists; return their tasks' names.

        Those that the coordinator does not know are stopped, and their tasks'
        names are returned as well.
        """
        listed = set()
        strays = set()
        for row in rows:
            run = self.worker.runs.get(row.task)
            # A task is not placed again while another run of it goes on.
            listed.add(row.task)
            if run is None or run.number != row.run:
                strays.add(row.task)
                self.orders.stop_stray(row)
            else:
                _update_run(run, row)
        self.worker.stray_tasks = frozenset(strays)
        return listed

    def settle_omitted(self, listed: set[str], sent_at: float) -> None:
        """Settle the runs that a report requested at ``sent_at`` omits."""
        self._record_inherited_crash(listed)
        for name, run in list(self.worker.runs.items()):
            if name not in listed:
                self._settle(run, sent_at)

    def _record_inherited_crash(self, listed: set[str]) -> None:
        """Count a restart that happened before this coordinator's first report.

        The runs concerned were placed in an earlier life of the worker.
        """
        runs = self.worker.runs
        lost = {
            name
            for name, run in runs.items()
            if name not in listed
            and run.stage is Stage.inherited
            and run.task.worker_born_ms not in {0, self.worker.born_ms}
        }
        if lost:
            self.orders.record_crash(RESTARTED, runs.keys() - lost)

    def _settle(self, run: Run, sent_at: float) -> None:
        """Settle a run that a report requested at ``sent_at`` omits."""
        # The order of an inherited run had a lower fencing token than the
        # request for the report: the worker refuses it from then on.
        if run.stage is Stage.inherited or _is_before(
            run.confirmed_at, sent_at
        ):
            self.coordinator.record_lost_run(run, GONE)
        elif _is_before(run.start_prevented_at, sent_at):
            self.coordinator.record_lost_run(run, NEVER_BEGAN)
        elif run.stage is Stage.uncertain and run.since <= sent_at:
            self.orders.stop(run, 'unanswered')
        elif run.since + ORDER_TIMEOUT_S <= sent_at:
            # Its record is still being stored, or sending its order failed.
            self.orders.stop(run, 'not-ordered')


def _update_run(run: Run, row: RunningRow) -> None:
    run.progress.record_report(row.percent, now())
    run.latency_or_cpu = row.latency_or_cpu
    if row.checkpoint:
        run.task.checkpoint = row.checkpoint
    run.listed_at = now()
    if run.confirmed_at is None:
        run.confirmed_at = now()
    run.record_running()


def _is_before(moment: float | None, limit: float) -> bool:
    # Loop time does not advance within one iteration of the loop, so what
    # happened at an equal time may have happened later.
    return moment is not None and moment < limit
