"""Finds the steps that will start soon and need permissions by then.

Load pattern: jobs of several batch steps, where the permission requests of each
step take half a second.  A step whose requests are sent while the tasks before
it still run starts as soon as they have ended.
"""

import math
from collections.abc import Callable, Iterator
from typing import Final

from berylspread.coordinator.durations import permission_ms
from berylspread.coordinator.fleet import Run, Stage
from berylspread.coordinator.model import MS_PER_S, Job, Phase, Step, Task

#: Requests are sent this much earlier than necessary: the steps are examined
#: only five times a second, and the transit to another node delays the replies.
REQUEST_LEAD_S: Final = 0.25

#: Returns the run of a task, if it has one.
FindRun = Callable[[Task], Run | None]
ExpectedDuration = Callable[[Run], float]


def find_upcoming_steps(
    job: Job, find_run: FindRun, expected_s: ExpectedDuration, moment: float
) -> Iterator[Step]:
    """Yield the steps of a running job that should request permissions now."""
    horizon_s = permission_ms(job.spec.queue) / MS_PER_S + REQUEST_LEAD_S
    for step in job.steps.values():
        before = [
            job.steps[step.occurrence, number] for number in step.spec.after
        ]
        if not before or len(step.waiting_tasks) < step.spec.count:
            continue
        begins_in_s = max(
            _remaining_s(each, find_run, expected_s, moment) for each in before
        )
        if begins_in_s <= horizon_s:
            yield step


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
