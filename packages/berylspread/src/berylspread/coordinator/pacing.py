"""How fast tasks that use leftover capacity work beside tasks that serve.

Load pattern: a filler's disturbance of the serving tasks beside it changes
within seconds, and a serving task over its latency target costs its users more
than a slow filler costs a batch job.  The fillers' speed is halved while a
serving task is near its target, and raised in steps while all are well below.
"""

from typing import Final

from berylspread.coordinator.fleet import Run, Worker

#: Share of the latency target above which fillers are slowed down.
HIGH_WATER: Final = 0.85
#: Share of the target below which they may speed up again.
LOW_WATER: Final = 0.6
FULL_PERCENT: Final = 100
RAISE_PERCENT: Final = 20
#: Fillers slower than this are halted instead.
MIN_PERCENT: Final = 15
#: What is assumed of a filler that an earlier coordinator may have slowed.
ASSUMED_PERCENT: Final = 50


def pace_fillers(worker: Worker) -> list[tuple[Run, int]]:
    """Return which fillers on a worker should change to which percent."""
    fillers = [
        run
        for run in worker.runs.values()
        if run.task.step.spec.is_filler and not run.stop_reason
    ]
    if not fillers:
        return []
    pressure = max(
        (
            run.latency_or_cpu / run.task.step.spec.latency_target_ms
            for run in worker.runs.values()
            if run.task.step.spec.latency_target_ms
        ),
        default=0.0,
    )
    return [
        (run, percent)
        for run in fillers
        for percent in (next_percent(run.pace_percent, pressure),)
        if percent != run.pace_percent
    ]


def next_percent(percent: int, pressure: float) -> int:
    """Return a filler's next speed, given the worst share of a target."""
    if percent < 0:
        percent = ASSUMED_PERCENT
    if pressure > HIGH_WATER:
        halved = percent // 2
        return halved if halved >= MIN_PERCENT else 0
    if pressure < LOW_WATER:
        return min(percent + RAISE_PERCENT, FULL_PERCENT)
    return percent
