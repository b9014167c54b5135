"""Finds the tasks that crash the workers that start them.

Load pattern: one job in ten contains a task that crashes each worker that
starts it, moments after the start.  Everything else on these workers is lost as
well, and a task that is started again and again takes down one worker after the
other.

A crash counts most against the runs that may just have been starting.  It
counts little against those that the worker has reported at work before: any of
them may have caused it, but most have not.  It does not count against
long-running tasks that were at work, as they see many crashes.

A crash is proved by the worker's next life.  The leases of a worker that was
only cut off expire as well, so the loss of a worker that is silent counts only
once the worker has not come back for a long time; see ``silent_losses``.
"""

from collections.abc import Container
from typing import Final

from berylspread.coordinator.fleet import Run, Worker
from berylspread.coordinator.model import Task

#: A run is starting until it has been listed this long after its start.
STARTING_S: Final = 1.0
#: What a crash adds to the score of a task.
STARTING_SCORE: Final = 2
PRESENT_SCORE: Final = 1
#: The score at which a task is given up: after three crashes at its start, at
#: the latest after five.
GIVE_UP_SCORE: Final = 5


def record_crash(worker: Worker, survivors: Container[str] = ()) -> list[str]:
    """Count a crash of a worker against the tasks that it ran.

    ``survivors`` are the tasks whose runs have not ended with the crash.  A
    worker may crash again before it is known that a run is over: the run counts
    once.
    Returns the tasks that were starting.
    """
    lost = [
        run
        for name, run in worker.runs.items()
        if name not in survivors and run.may_count_crash
    ]
    for run in lost:
        add_crash(run.task, worker.name, crash_score(run))
        run.record_crash()
    return [run.task.name for run in lost if _may_be_starting(run)]


def crash_score(run: Run) -> int:
    """Return what the crash of its worker would count against a run's task."""
    if _may_be_starting(run):
        return STARTING_SCORE
    return 0 if run.task.step.spec.long_running else PRESENT_SCORE


def add_crash(task: Task, worker: str, score: int) -> None:
    """Count the crash of a worker against a task."""
    task.crash_score += score
    if score >= STARTING_SCORE:
        task.avoided_workers.add(worker)


def is_given_up(task: Task) -> bool:
    """Return whether too many workers have crashed under a task."""
    score = task.crash_score + sum(
        loss.score for loss in task.silent_losses if loss.counts_as_crash
    )
    return score >= GIVE_UP_SCORE


def is_on_hold(task: Task) -> bool:
    """Return whether a task would be given up if silent workers have crashed.

    It is not started until one of them is back, or counts as crashed.
    """
    score = task.crash_score + sum(loss.score for loss in task.silent_losses)
    return score >= GIVE_UP_SCORE


def _may_be_starting(run: Run) -> bool:
    if run.confirmed_at is None or run.listed_at is None:
        return True
    return run.listed_at - run.confirmed_at < STARTING_S
