"""Finds the steps that will start soon and need permissions by then.

Load pattern: jobs of several batch steps, where the permission requests of each
step take half a second.  A step whose requests are sent while the tasks before
it still run starts as soon as they have ended.
"""

import functools
import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Final

from berylspread.coordinator.durations import permission_ms
from berylspread.coordinator.fleet import Run, Stage, find_run
from berylspread.coordinator.model import (
    MS_PER_S,
    Job,
    JobStatus,
    Phase,
    Step,
    Task,
)
from berylspread.kernel.clock import now
from berylspread.kernel.turns import Turns, Work, complete_in_turns

if TYPE_CHECKING:
    from berylspread.coordinator.dispatcher import Dispatcher

#: Requests are sent this much earlier than necessary: the steps are examined
#: only five times a second, and the transit to another node delays the replies.
REQUEST_LEAD_S: Final = 0.25

#: Returns the run of a task, if it has one.
FindRun = Callable[[Task], Run | None]
ExpectedDuration = Callable[[Run], float]


async def request_ahead(dispatcher: 'Dispatcher') -> None:
    """Request the permissions of steps that will start soon."""
    coordinator = dispatcher.coordinator
    if not coordinator.is_loaded:
        return
    turns = Turns()
    moment = now()
    fleet = dispatcher.view_fleet(moment)
    find_run_of = functools.partial(find_run, coordinator.workers)
    for job in list(coordinator.table.jobs.values()):
        if not _needs_permissions_ahead(job):
            continue
        work = find_upcoming_steps(
            job, find_run_of, coordinator.expected_s, moment
        )
        for step in await complete_in_turns(work):
            if not job.status.is_final:
                dispatcher.choose_preference(step)
                dispatcher.permission_requester.request_if_needed(step, fleet)
        if await turns.spend(1 + len(job.steps)):
            moment = now()
            fleet = dispatcher.view_fleet(moment)


def find_upcoming_steps(
    job: Job, find_run: FindRun, expected_s: ExpectedDuration, moment: float
) -> Work[list[Step]]:
    """Return the steps of a running job that should request permissions now."""
    horizon_s = permission_ms(job.spec.queue) / MS_PER_S + REQUEST_LEAD_S
    upcoming: list[Step] = []
    #: Whether each step ends within the horizon, by name.
    ends_soon: dict[str, bool] = {}
    for step in list(job.steps.values()):
        yield 1 + len(step.spec.after)
        if len(step.waiting_tasks) < step.spec.count:
            continue
        before = _steps_before(job, step)
        for each in before:
            if each.name not in ends_soon:
                left_s = _remaining_s(each, find_run, expected_s, moment)
                ends_soon[each.name] = left_s <= horizon_s
        if before and all(ends_soon[each.name] for each in before):
            upcoming.append(step)
    return upcoming


def _steps_before(job: Job, step: Step) -> list[Step]:
    """Return the steps that a step waits for, none if the job has ended."""
    if job.status.is_final:
        return []
    return list(job.occurrences.find_prerequisites(step))


def _remaining_s(
    step: Step, find_run: FindRun, expected_s: ExpectedDuration, moment: float
) -> float:
    """Return the expected time until a step ends."""
    if step.waiting_tasks or step.held_tasks:
        return math.inf
    return max(
        (
            _run_remaining_s(find_run(task), expected_s, moment)
            for task in step.tasks
            if task.phase is Phase.placed
        ),
        default=0.0,
    )


def _run_remaining_s(
    run: Run | None, expected_s: ExpectedDuration, moment: float
) -> float:
    if run is None or run.stop_reason or run.stage is not Stage.running:
        return math.inf
    return max(expected_s(run) - (moment - run.since), 0.0)


def _needs_permissions_ahead(job: Job) -> bool:
    return (
        job.status is JobStatus.running
        and len(job.spec.steps) > 1
        and job.spec.queue.permission_terms is not None
    )
