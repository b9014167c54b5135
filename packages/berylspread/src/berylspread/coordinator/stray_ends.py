"""Applies the ends of runs that were given up before a worker listed them.

Load pattern: workers are cut off for longer than their leases, again and again.
Many of the runs that were given up with the leases had been done by then, but
could not be reported.
"""

import asyncio
from typing import TYPE_CHECKING

from berylspread.coordinator.fleet import Worker, find_run
from berylspread.coordinator.interface import EndedRow, Outcome
from berylspread.coordinator.model import Job, JobStatus, Phase, Task
from berylspread.coordinator.outcomes import complete_task
from berylspread.kernel.errors import Failure

if TYPE_CHECKING:
    from berylspread.coordinator.coordinator import Coordinator


def apply_stray_end(
    coordinator: 'Coordinator', worker: Worker, row: EndedRow
) -> asyncio.Future[Failure | None] | None:
    """Apply the end of a run that is not booked on a worker.

    A task that was done counts as done, whichever of its runs it was.  Other
    ends tell nothing new: the run was settled when it was given up, and a
    failure that is listed after the leases were over counts as no attempt.

    Returns a future that is done when what follows from it is stored.
    """
    if row.outcome is not Outcome.succeeded:
        return None
    job = coordinator.table.jobs.get(row.task.partition('.')[0])
    if job is None:
        return None
    if job.status.is_final:
        return _store_status(coordinator, job)
    task = job.find_task(row.task)
    # A run that was never placed belongs to an earlier job of the same id.
    if task is None or task.step.spec.long_running or row.run > task.run_number:
        return None
    if task.phase is not Phase.done:
        _complete(coordinator, worker, task, row)
    step, committer = task.step, coordinator.committer
    if step.spec.gang:
        return committer.store_step(step)
    return committer.store_tasks(step, (task,))


def _store_status(
    coordinator: 'Coordinator', job: Job
) -> asyncio.Future[Failure | None] | None:
    if job.status_stored is None or job.status_stored.done():
        return None
    # The future must not be earlier than that of another end in the report.
    return coordinator.committer.store_job(job)


def _complete(
    coordinator: 'Coordinator', worker: Worker, task: Task, row: EndedRow
) -> None:
    """Mark a task as done, and stop its newest run or that of its gang."""
    step, job = task.step, task.step.job
    coordinator.log.write(
        'stray-done',
        task=task.name,
        run=row.run,
        worker=worker.name,
        newest_run=task.run_number,
        phase=task.phase.name,
    )
    if job.status is JobStatus.queued:
        job.status = JobStatus.running
    for each in step.tasks if step.spec.gang else (task,):
        run = find_run(coordinator.workers, each)
        if run is not None:
            orders = coordinator.sessions[run.worker.name].orders
            orders.stop(run, 'done-before')
    complete_task(coordinator, task)
