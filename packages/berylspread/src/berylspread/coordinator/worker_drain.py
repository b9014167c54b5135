"""Chooses the runs to stop on a draining worker before it leaves.

Load pattern: a worker announces that it leaves while it runs long-running tasks
or tasks with much work left.  If they stay, they end with the worker and start
again only when their lease has certainly expired.  If they are stopped in time,
they resume on another worker from their checkpoint.
"""

from typing import Final

from berylspread.coordinator.fleet import Run, Stage, Worker
from berylspread.coordinator.model import MS_PER_S, WHOLE_PERCENT
from berylspread.kernel.clock import now

#: The shortest time that a worker stays after its announcement, for workers
#: that give no time.
DEFAULT_STAY_S: Final = 2.5
#: The longest time that a stop and its report take.
STOP_MARGIN_S: Final = 0.8


def runs_to_move(worker: Worker) -> list[Run]:
    """Return the runs to move away from a draining worker."""
    stay_s = worker.entry.remaining_ms / MS_PER_S or DEFAULT_STAY_S
    stay_s -= now() - worker.draining_since + STOP_MARGIN_S
    return [
        run
        for run in worker.runs.values()
        if run.stage is Stage.running
        and not run.stop_reason
        and _is_worth_moving(run, stay_s)
    ]


def _is_worth_moving(run: Run, stay_s: float) -> bool:
    spec = run.task.step.spec
    if spec.long_running:
        return True
    return spec.checkpoints and not spec.gang and remaining_s(run) > stay_s


def remaining_s(run: Run) -> float:
    """Estimate the remaining time of a run from its progress or estimate."""
    ran_s = now() - run.since
    if run.progress.percent > 0:
        return (
            ran_s
            * (WHOLE_PERCENT - run.progress.percent)
            / run.progress.percent
        )
    return max(run.task.step.spec.estimate_ms / MS_PER_S - ran_s, 0)
