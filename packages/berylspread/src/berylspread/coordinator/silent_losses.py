"""Keeps the losses of runs on silent workers until it is known what they were.

Load pattern: some workers are cut off for a few seconds, again and again, while
others crash or are lost for good.  In each case the leases expire and the tasks
run elsewhere.  Only the worker's next life proves a crash, and only a report of
the same life proves that there was none.  A worker that does not come back
counts as crashed after ``GONE_S``.

Until then a task under which too many workers may have crashed is on hold.  It
is neither given up, nor does it cost another worker.
"""

import asyncio
from typing import TYPE_CHECKING, Final, final

from berylspread.coordinator.contacts import NO_CONTACT
from berylspread.coordinator.crashes import (
    add_crash,
    crash_score,
    is_given_up,
    is_on_hold,
)
from berylspread.coordinator.fleet import Worker, find_run
from berylspread.coordinator.interface import EndedRow, WorkerEntry
from berylspread.coordinator.loss_index import LossIndex
from berylspread.coordinator.model import JobStatus, SilentLoss, Task
from berylspread.coordinator.stray_ends import apply_stray_end
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure

if TYPE_CHECKING:
    from berylspread.coordinator.coordinator import Coordinator

#: A worker that has not come back for this long after its leases were over
#: counts as crashed.  Others are back sooner, after a crash as after a cut.
GONE_S: Final = 15.0


@final
class SilentLosses:
    """The tasks with silent losses, until it is known what these were."""

    __slots__ = ('coordinator', 'index')

    def __init__(self, coordinator: 'Coordinator') -> None:
        self.coordinator = coordinator
        self.index = LossIndex()

    def restore_task(self, task: Task) -> None:
        """Find the losses of a task that earlier coordinators have stored."""
        for loss in task.silent_losses:
            self.index.add(loss, task)
        self.review_task(task)

    def record(self, worker: Worker) -> None:
        """Record that a worker was silent until its leases were over.

        A worker that had announced that it leaves has left.
        """
        if worker.is_leaving or not worker.runs:
            return
        for run in worker.runs.values():
            score = crash_score(run)
            if score and run.may_count_crash:
                loss = SilentLoss(
                    worker.name,
                    worker.entry.address,
                    worker.born_ms or run.task.worker_born_ms,
                    score,
                    self.coordinator.wall_ms(),
                    now(),
                )
                run.task.silent_losses.append(loss)
                self.index.add(loss, run.task)
        contacts = self.coordinator.table.contacts
        self.coordinator.log.write(
            'worker-silent',
            worker=worker.name,
            runs=len(worker.runs),
            has_reported=worker.clock.observed_at is not None,
            contact_epoch=contacts.get(worker.name, NO_CONTACT).epoch,
        )

    def apply_report(self, worker: Worker) -> None:
        """Settle the losses of a worker that has reported."""
        for task in self.index.remove_worker(worker.name):
            losses = [
                loss
                for loss in task.silent_losses
                if loss.worker == worker.name
            ]
            crashes = [
                loss
                for loss in losses
                if loss.born_ms and loss.born_ms != worker.born_ms
            ]
            self._confirm(task, crashes)
            self._withdraw(task, worker)

    def apply_end(
        self, worker: Worker, row: EndedRow
    ) -> asyncio.Future[Failure | None] | None:
        """Apply the end of a run that is not booked on the worker.

        The future, if any, is done once what follows from it is stored.
        """
        return apply_stray_end(self.coordinator, worker, row)

    def apply_entry(self, entry: WorkerEntry) -> None:
        """Settle the losses of a worker whose next life has an entry.

        The next life may have another name, at the same address.
        """
        for task in self.index.tasks_of_entry(entry):
            crashes = [
                loss
                for loss in task.silent_losses
                if _is_next_life(entry, loss)
            ]
            self._confirm(task, crashes)

    def review(self) -> None:
        """Count workers that have been silent for too long as crashed."""
        overdue = now() - GONE_S
        for task in self.index.tasks():
            for loss in task.silent_losses:
                if loss.lost_at <= overdue and not loss.counts_as_crash:
                    loss.counts_as_crash = True
                    self._log(loss.worker, task, 'gone')
            self.review_task(task)
        self.index.forget_settled()

    def review_task(self, task: Task) -> None:
        """End a task's job if too many workers have crashed under the task."""
        job = task.step.job
        if is_given_up(task) and not job.status.is_final:
            cause = f'{task.name} crashed its workers'
            self.coordinator.finish_job(job, JobStatus.failed, cause)

    def is_held(self, task: Task) -> bool:
        """Return whether a task that waits again must not be placed."""
        if not is_on_hold(task):
            return False
        self.coordinator.log.write(
            'task-held',
            task=task.name,
            crash_score=task.crash_score,
            silent=[loss.worker for loss in task.silent_losses],
        )
        return True

    def _confirm(self, task: Task, crashes: list[SilentLoss]) -> None:
        """Count losses of a task that were crashes."""
        for loss in crashes:
            task.silent_losses.remove(loss)
            add_crash(task, loss.worker, loss.score)
            self._log(loss.worker, task, 'crashed')
        if crashes:
            self.coordinator.committer.store_tasks(task.step, (task,))
            self.review_task(task)

    def _withdraw(self, task: Task, worker: Worker) -> None:
        """Remove a task's losses on a worker that has not crashed."""
        kept = [
            loss for loss in task.silent_losses if loss.worker != worker.name
        ]
        if len(kept) == len(task.silent_losses):
            return
        task.silent_losses = kept
        self._log(worker.name, task, 'alive')
        self.coordinator.committer.store_tasks(task.step, (task,))
        run = find_run(self.coordinator.workers, task)
        if run is not None:
            run.worker.review_suspicion(run)
        if task in task.step.held_tasks and not is_on_hold(task):
            task.step.held_tasks.remove(task)
            task.step.add_waiting(task, is_held=False)
            self.coordinator.table.ready_steps.add(task.step)
            self.coordinator.wake.set()

    def _log(self, worker: str, task: Task, outcome: str) -> None:
        self.coordinator.log.write(
            'silence-settled', worker=worker, task=task.name, outcome=outcome
        )


def _is_next_life(entry: WorkerEntry, loss: SilentLoss) -> bool:
    is_successor = entry.worker == loss.worker or (
        bool(loss.address) and entry.address == loss.address
    )
    return is_successor and 0 < loss.born_ms < entry.born_ms
