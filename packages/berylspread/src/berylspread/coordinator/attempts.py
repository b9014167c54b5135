"""Counts the failed attempts of tasks and gangs.

An attempt is a run, however many reports tell of its failure: the members of a
gang share their runs, and several of them may fail in one.
"""

from berylspread.coordinator.model import Step, Task


def record_failure(task: Task, run: int) -> None:
    """Record that a run of a task ended as failed.

    A run of a gang is counted with the member whose failure is recorded first.
    """
    if run > _newest_failed_run(task):
        task.failures += 1
    task.failed_run = run


def count_attempts(task: Task) -> int:
    """Return how many attempts of a task, or of its gang, have failed."""
    step = task.step
    if not step.spec.gang:
        return task.failures
    return min(sum(member.failures for member in step.tasks), _newest_run(step))


def _newest_failed_run(task: Task) -> int:
    members = task.step.tasks if task.step.spec.gang else [task]
    return max((member.failed_run for member in members), default=0)


def _newest_run(step: Step) -> int:
    # Records of earlier versions have a failed run with each member that failed
    # in it, and not its number.
    return max((member.run_number for member in step.tasks), default=0)
