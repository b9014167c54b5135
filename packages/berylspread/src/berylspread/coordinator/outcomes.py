"""Handlers of the outcomes of runs that workers list in their reports."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from berylspread.coordinator.attempts import count_attempts, record_failure
from berylspread.coordinator.fleet import Run
from berylspread.coordinator.interface import Outcome
from berylspread.coordinator.model import (
    MS_PER_S,
    JobStatus,
    Phase,
    Step,
    Task,
)
from berylspread.coordinator.urgency import LATE, ON_TIME, USELESS, lateness
from berylspread.kernel.clock import now

if TYPE_CHECKING:
    from berylspread.coordinator.coordinator import Coordinator

#: Names of the core-seconds of a run by the lateness of its job.
USES: Final = {ON_TIME: 'on time', LATE: 'late', USELESS: 'useless'}

OutcomeHandler = Callable[['Coordinator', Run], None]
OUTCOME_HANDLERS: Final[dict[Outcome, OutcomeHandler]] = {}


def handles(*outcomes: Outcome) -> Callable[[OutcomeHandler], OutcomeHandler]:
    """Return a decorator that registers a handler of outcomes."""

    def register(handler: OutcomeHandler) -> OutcomeHandler:
        OUTCOME_HANDLERS.update(dict.fromkeys(outcomes, handler))
        return handler

    return register


def count_use(coordinator: 'Coordinator', run: Run) -> None:
    """Count the core-seconds of a run by what its job is still worth."""
    step = run.task.step
    use = (
        'lasting'
        if step.spec.long_running
        else USES[lateness(step, coordinator.wall_ms())]
    )
    core_s = (now() - run.since) * run.reserved.cpu_milli / MS_PER_S
    coordinator.log.metrics.core_seconds[use] += round(core_s)


@handles(Outcome.succeeded)
def handle_success(coordinator: 'Coordinator', run: Run) -> None:
    """Mark the task as done, and finish the job after its last task."""
    task, step, job = run.task, run.task.step, run.task.step.job
    run.worker.health.record_success()
    duration_s = run.full_duration_s(now())
    if duration_s is not None:
        coordinator.table.durations.record_task(
            step.spec, duration_s, run.worker.slowness
        )
    if job.status.is_final or task.phase is Phase.done:
        return
    if duration_s is not None:
        coordinator.table.durations.speeds.record_task(run, duration_s, now())
    if step.spec.long_running:
        coordinator.requeue(task)
        return
    complete_task(coordinator, task)


def complete_task(coordinator: 'Coordinator', task: Task) -> None:
    """Mark a task as done, and finish the job after its last task."""
    step, job = task.step, task.step.job
    _mark_done(step, task)
    if not step.is_done():
        return
    coordinator.on_step_done(step)
    if not job.unfinished_steps:
        coordinator.finish_job(job, JobStatus.succeeded, 'all tasks done')


def _mark_done(step: Step, task: Task) -> None:
    """Mark a task as done, or all members of its gang.

    They end with success only together, so the end of one proves that of the
    others, whose own may be lost with their workers.
    """
    for each in step.tasks if step.spec.gang else (task,):
        if each.phase is Phase.waiting:
            step.remove_waiting(each)
        if each.phase is not Phase.done:
            each.phase = Phase.done
            step.unfinished_tasks -= 1


@handles(Outcome.failed)
def handle_failure(coordinator: 'Coordinator', run: Run) -> None:
    """Run the task again on another worker, or fail the job.

    The job fails after the last attempt.
    """
    task, step, job = run.task, run.task.step, run.task.step.job
    # The tasks of a job that has ended, and what failed before, are dropped.
    if job.status.is_final or task.phase is Phase.done:
        return
    task.avoided_workers.add(run.worker.name)
    record_failure(task, run.number)
    if step.spec.long_running:
        coordinator.requeue(task)
        return
    coordinator.health_monitor.record_failure(run)
    attempts = count_attempts(task)
    max_attempts = job.spec.queue.max_attempts
    coordinator.log.write(
        'attempt-failed',
        task=task.name,
        run=run.number,
        worker=run.worker.name,
        attempts=attempts,
        max_attempts=max_attempts,
    )
    if attempts < max_attempts:
        coordinator.requeue(task)
    else:
        coordinator.finish_job(job, JobStatus.failed, f'{task.name} failed')


@handles(
    Outcome.stopped,
    Outcome.lease_over,
    Outcome.gang_broken,
    Outcome.gang_incomplete,
    Outcome.unknown,
)
def handle_interruption(coordinator: 'Coordinator', run: Run) -> None:
    """Run the task again; the run does not count as an attempt."""
    job, progress = run.task.step.job, run.progress
    duration_s = progress.projected_duration_s(progress.changed_at)
    if duration_s is not None and not job.status.is_final:
        coordinator.table.durations.speeds.record_task(run, duration_s, now())
    if run.task.step.spec.checkpoints:
        run.task.progress_percent = max(
            run.task.progress_percent, run.progress.percent
        )
    coordinator.requeue(run.task)


def find_handler(outcome: Outcome) -> OutcomeHandler:
    """Return the handler of an outcome."""
    return OUTCOME_HANDLERS[outcome]
