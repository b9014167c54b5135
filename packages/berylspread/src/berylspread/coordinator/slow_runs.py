"""Finds slow and stalled runs, and whether it pays to move them.

Load pattern: a few workers in a hundred report that they are healthy, but for
some seconds fail, stall or slow down everything that they run.  Every other job
of ten tasks has a task on such a worker and waits for its slowest task.

The progress of a run is compared with the mean duration of tasks of the same
image, or else of the other tasks of its step, on its worker.  So a slow kind of
worker is not taken as unhealthy.  The module ``blame`` rates failures.
"""

import math
from collections.abc import Callable, Iterable
from typing import Final

from berylspread.coordinator.fleet import Run, Stage, Worker
from berylspread.coordinator.model import MS_PER_S, WHOLE_PERCENT

#: At most this share of the workers is marked as unhealthy at a time; if more
#: seem to be unhealthy, the measurement is wrong.
MAX_UNHEALTHY_SHARE: Final = 0.25
#: A run without any progress for this long is stalled.  A task that resumes
#: from its checkpoint needs 0.6 s, which must not count as a stall.
STALLED_S: Final = 0.75
#: A run is slow if its expected progress is at least MIN_EXPECTED_PERCENT and
#: its actual progress is less than SLOW_SHARE of the expected progress; the
#: durations of tasks of one image differ by a third.
MIN_EXPECTED_PERCENT: Final = 50.0
SLOW_SHARE: Final = 0.35
#: A run is stalled only if at least this much expected progress is missing.
MIN_MISSING_PERCENT: Final = 4.0
#: The time to move a run: the stop, its report and the new start.
MOVE_S: Final = 0.6

#: Returns the mean duration of the tasks of a run's image on the run's worker
#: in seconds; ``None`` if no task of the image has ended.
MeanDuration = Callable[[Run], float | None]


def may_mark_unhealthy(workers: Iterable[Worker], moment: float) -> bool:
    """Return whether one more worker may be marked as unhealthy."""
    unhealthy = [worker.health.is_unhealthy(moment) for worker in workers]
    return sum(unhealthy) < MAX_UNHEALTHY_SHARE * len(unhealthy)


def find_slow_or_stalled(
    worker: Worker, mean_duration_s: MeanDuration, moment: float
) -> list[Run]:
    """Return the runs with too little progress in the newest report."""
    return [
        run
        for run in worker.runs.values()
        if _is_comparable(run)
        and _is_slow_or_stalled(run, mean_duration_s(run), moment)
    ]


def is_worth_moving(run: Run, mean_s: float | None, moment: float) -> bool:
    """Return whether a run would end sooner if it moved to another worker.

    ``mean_s`` is the mean duration there of the tasks of the run's image.
    """
    return _remaining_here_s(run, moment) > _remaining_elsewhere_s(run, mean_s)


def _is_comparable(run: Run) -> bool:
    # Members of a gang wait for each other, and fillers wait for leftover cpu.
    spec = run.task.step.spec
    is_plain = not (spec.gang or spec.is_filler or spec.long_running)
    return is_plain and run.stage is Stage.running and not run.stop_reason


def _is_slow_or_stalled(run: Run, mean_s: float | None, moment: float) -> bool:
    return is_stalled(run, mean_s, moment) or _is_slow(run, mean_s, moment)


def is_stalled(run: Run, mean_s: float | None, moment: float) -> bool:
    """Return whether a run makes no progress at all."""
    if mean_s is None:
        estimate_s = run.task.step.spec.estimate_ms / MS_PER_S
        mean_s = estimate_s * run.worker.slowness
    stalled_s = moment - run.progress.changed_at
    missing = WHOLE_PERCENT * stalled_s / max(mean_s, STALLED_S)
    return stalled_s >= STALLED_S and missing >= MIN_MISSING_PERCENT


def _is_slow(run: Run, mean_s: float | None, moment: float) -> bool:
    if not mean_s or _is_long_by_itself(run, moment):
        return False
    expected = WHOLE_PERCENT * (moment - run.progress.measured_from) / mean_s
    expected = min(
        expected, WHOLE_PERCENT - max(run.progress.measured_from_percent, 0)
    )
    return (
        expected >= MIN_EXPECTED_PERCENT
        and run.progress.gained_percent() < SLOW_SHARE * expected
    )


def _is_long_by_itself(run: Run, moment: float) -> bool:
    # A task that is slow on a second worker takes longer than those like it;
    # it would be moved for ever.  It tells nothing if the second worker is
    # unhealthy by its other runs.
    is_unhealthy = run.worker.health.is_unhealthy(moment)
    return run.task.has_crawled and not is_unhealthy


def _remaining_here_s(run: Run, moment: float) -> float:
    if (
        not run.progress.gained_percent()
        or moment - run.progress.changed_at >= STALLED_S
    ):
        return math.inf
    pace_s = (
        moment - run.progress.measured_from
    ) / run.progress.gained_percent()
    return (WHOLE_PERCENT - run.progress.percent) * pace_s


def _remaining_elsewhere_s(run: Run, mean_s: float | None) -> float:
    if mean_s is None:
        return 0.0
    saved = run.progress.percent if run.task.step.spec.checkpoints else 0
    return MOVE_S + mean_s * (WHOLE_PERCENT - saved) / WHOLE_PERCENT
