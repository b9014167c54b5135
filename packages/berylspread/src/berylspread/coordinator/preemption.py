"""Chooses the runs to stop in favour of a more urgent step.

Load pattern: a burst of urgent steps while batch work that saves its progress
fills the fleet, or the quota of the steps' own organisation.  A stop saves the
progress, so a victim loses only its place and the time to start again.  The
urgent step waits for the stop instead of for the end of a task, which takes ten
times as long.
"""

from collections.abc import Iterable
from typing import Final

from berylspread.coordinator.contention.ordering import Ordering
from berylspread.coordinator.fleet import Run, Stage, Worker
from berylspread.coordinator.model import Step
from berylspread.model import ZERO, Resources

#: A run is not stopped before it has run this long, so that its work outweighs
#: the cost of its start.
MIN_RUN_S: Final = 0.5
#: How long a step waits, after runs were stopped for it, before more runs are
#: chosen; a stop takes up to 0.4 s to free the room.
PREEMPTION_PAUSE_S: Final = 0.6


def choose_victims(
    step: Step,
    quota_room: int,
    candidates: Iterable[Worker],
    workers: Iterable[Worker],
    moment: float,
    ordering: Ordering,
) -> list[Run]:
    """Return the runs to stop for the waiting tasks of a step.

    ``quota_room`` is how many of them the quota of the step's organisation
    allows.  If it does not allow all, runs of the organisation are chosen, on
    any worker.  ``ordering`` says which runs give way.  Nothing is stopped for
    tasks beyond the step's limit per worker.
    """
    candidates = list(candidates)
    placeable = sum(worker.unused_limit(step) for worker in candidates)
    wanted = min(len(step.waiting_tasks), placeable)
    if quota_room < wanted:
        return choose_within_quota(
            step, wanted - quota_room, workers, moment, ordering
        )
    return choose_for_room(step, wanted, candidates, moment, ordering)


def choose_for_room(
    step: Step,
    wanted: int,
    workers: Iterable[Worker],
    moment: float,
    ordering: Ordering,
) -> list[Run]:
    """Return the runs to stop so that ``wanted`` tasks of a step find room.

    ``workers`` are those that may run the step.  Nothing is stopped for a gang
    or a step with a limit per worker, since its tasks could still lack room.
    """
    spec = step.spec
    if spec.gang or spec.max_per_worker or spec.is_filler:
        return []
    reserved = spec.reserved_resources()
    victims: list[Run] = []
    for worker in workers:
        if wanted <= 0:
            break
        freed = _victims_on(worker, step, reserved, moment, ordering)
        if freed:
            victims.extend(freed)
            wanted -= 1
    return victims


def choose_within_quota(
    step: Step,
    wanted: int,
    workers: Iterable[Worker],
    moment: float,
    ordering: Ordering,
) -> list[Run]:
    """Return runs of the step's own organisation to stop for ``wanted`` tasks.

    They free at least as much quota as the tasks need, or else all that less
    urgent work uses.
    """
    if step.spec.gang:
        return []
    tenant = step.job.spec.tenant
    runs = [
        run
        for worker in workers
        for run in worker.runs.values()
        if run.task.step.job.spec.tenant == tenant
    ]
    needed = step.spec.demand * wanted
    freed = sum_demands(run for run in runs if run.stop_reason)
    victims: list[Run] = []
    for run in _in_stop_order(runs, step, moment, ordering):
        if needed.fits(freed):
            break
        victims.append(run)
        freed += run.task.step.spec.demand
    return victims


def sum_demands(runs: Iterable[Run]) -> Resources:
    """Return the quota that the runs use together."""
    return sum((run.task.step.spec.demand for run in runs), start=ZERO)


def _victims_on(
    worker: Worker,
    step: Step,
    reserved: Resources,
    moment: float,
    ordering: Ordering,
) -> list[Run]:
    """Return the runs to stop for one more task, or none if that fails."""
    if any(run.stop_reason for run in worker.runs.values()):
        # A stop is already freeing room on this worker.
        return []
    room = worker.free
    chosen: list[Run] = []
    for run in _in_stop_order(worker.runs.values(), step, moment, ordering):
        room += run.reserved
        chosen.append(run)
        if reserved.fits(room):
            return chosen
    return []


def _in_stop_order(
    runs: Iterable[Run], step: Step, moment: float, ordering: Ordering
) -> list[Run]:
    """Return the runs that may be stopped for a step, in order of stopping.

    Of those that are ranked alike, the runs with the most cpu come first.
    """
    preemptible = [
        run
        for run in runs
        if _is_cheap_to_stop(run)
        and _has_run_long_enough(run, moment)
        and ordering.gives_way(run.task.step, step)
    ]
    return sorted(
        preemptible,
        key=lambda run: (
            ordering.victim_rank(run.task.step),
            -run.reserved.cpu_milli,
        ),
    )


def _has_run_long_enough(run: Run, moment: float) -> bool:
    is_running = run.stage is Stage.running and not run.stop_reason
    return is_running and moment - run.since >= MIN_RUN_S


def _is_cheap_to_stop(run: Run) -> bool:
    spec = run.task.step.spec
    return spec.checkpoints and not (
        spec.long_running or spec.gang or spec.is_filler
    )
