"""Which runs leave a draining worker before it does.

Load pattern: a worker announces that it leaves while tasks that last, or that
have long to go, run on it.  Left there they end with the worker and begin again
only when their lease is surely over; stopped in time they go on elsewhere, from
what they have saved.
"""

from typing import Final

from berylspread.coordinator.fleet import Run, Stage, Worker
from berylspread.coordinator.model import MS_PER_S, WHOLE_PERCENT
from berylspread.kernel.clock import now

#: A worker stays at least this long after its announcement, if it does not say.
DEFAULT_STAY_S: Final = 2.5
#: A stop and its report take up to this time.
STOP_MARGIN_S: Final = 0.8


def runs_to_evacuate(worker: Worker) -> list[Run]:
    """Return the runs on a draining worker that would end with it."""
    left_s = worker.entry.remaining_ms / MS_PER_S or DEFAULT_STAY_S
    left_s -= now() - worker.draining_since + STOP_MARGIN_S
    return [
        run
        for run in worker.runs.values()
        if run.stage is Stage.running
        and not run.stop_reason
        and _is_worth_moving(run, left_s)
    ]


def _is_worth_moving(run: Run, left_s: float) -> bool:
    spec = run.task.step.spec
    if spec.long_running:
        return True
    return spec.checkpoints and not spec.gang and remaining_s(run) > left_s


def remaining_s(run: Run) -> float:
    """Estimate how long a run still takes, from its progress or its size."""
    ran_s = now() - run.since
    if run.progress.percent > 0:
        return (
            ran_s
            * (WHOLE_PERCENT - run.progress.percent)
            / run.progress.percent
        )
    return max(run.task.step.spec.estimate_ms / MS_PER_S - ran_s, 0)
