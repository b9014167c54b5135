"""Which workers are sick, and which of their runs had better move.

Load pattern: a few workers in a hundred say that they are well and for some
seconds fail, stall or slow down all that they run.  A job of ten tasks meets
one of them every other time and then waits for its slowest task.

Progress is compared with what tasks of the same image have taken; failures are
weighed by ``blame``.
"""

import math
from collections.abc import Callable, Iterable
from typing import Final

from berylspread.coordinator.fleet import Run, Stage, Worker
from berylspread.coordinator.model import MS_PER_S, WHOLE_PERCENT

#: At most this share of the workers counts as sick at a time; if more seem to
#: be, it is the measure that is wrong.
MAX_UNHEALTHY_SHARE: Final = 0.25
#: A run without any progress for this long stands still.  Longer than a task
#: takes to resume from its checkpoint, 0.6 s.
STALLED_S: Final = 0.75
#: A run that should have got at least this far and has not reached the share
#: of it is slow; tasks of an image differ by a third.
MIN_EXPECTED_PERCENT: Final = 50.0
SLOW_SHARE: Final = 0.35
#: Progress that a run must owe before its standing still means anything.
MIN_MISSING_PERCENT: Final = 4.0
#: A move takes this long: the stop, its report and the new start.
MOVE_S: Final = 0.6

#: Seconds that a run is expected to take; ``None`` while nothing is known of
#: its image.
MeanDuration = Callable[[Run], float | None]


def may_mark_unhealthy(workers: Iterable[Worker], moment: float) -> bool:
    """Return whether one worker more may be found to be sick."""
    sick = [worker.health.is_unhealthy(moment) for worker in workers]
    return sum(sick) < MAX_UNHEALTHY_SHARE * len(sick)


def find_slow_or_stalled(
    worker: Worker, learned_s: MeanDuration, moment: float
) -> list[Run]:
    """Return the runs that make too little progress, by the newest report."""
    return [
        run
        for run in worker.runs.values()
        if _is_comparable(run)
        and _is_slow_or_stalled(run, learned_s(run), moment)
    ]


def is_worth_moving(run: Run, takes_s: float | None, moment: float) -> bool:
    """Return whether a run would end sooner if it began on another worker."""
    return _remaining_here_s(run, moment) > _remaining_elsewhere_s(run, takes_s)


def _is_comparable(run: Run) -> bool:
    # Members of a gang wait for each other, and fillers for what is left.
    spec = run.task.step.spec
    is_plain = not (spec.gang or spec.is_filler or spec.long_running)
    return is_plain and run.stage is Stage.running and not run.stop_reason


def _is_slow_or_stalled(run: Run, takes_s: float | None, moment: float) -> bool:
    return _is_stalled(run, takes_s, moment) or _is_slow(run, takes_s, moment)


def _is_stalled(run: Run, takes_s: float | None, moment: float) -> bool:
    if takes_s is None:
        takes_s = run.task.step.spec.estimate_ms / MS_PER_S
    still_s = moment - run.progress.changed_at
    owed = WHOLE_PERCENT * still_s / max(takes_s, STALLED_S)
    return still_s >= STALLED_S and owed >= MIN_MISSING_PERCENT


def _is_slow(run: Run, takes_s: float | None, moment: float) -> bool:
    if not takes_s:
        return False
    due = WHOLE_PERCENT * (moment - run.progress.measured_from) / takes_s
    due = min(due, WHOLE_PERCENT - max(run.progress.measured_from_percent, 0))
    return (
        due >= MIN_EXPECTED_PERCENT
        and run.progress.gained_percent() < SLOW_SHARE * due
    )


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


def _remaining_elsewhere_s(run: Run, takes_s: float | None) -> float:
    if takes_s is None:
        return 0.0
    saved = run.progress.percent if run.task.step.spec.checkpoints else 0
    return MOVE_S + takes_s * (WHOLE_PERCENT - saved) / WHOLE_PERCENT
