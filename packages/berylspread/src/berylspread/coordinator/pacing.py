"""Sets the speed of fillers, which use the cpu that serving tasks leave.

Load pattern: how much a filler disturbs the serving tasks on its worker changes
within seconds, and a serving task above its latency target costs its users more
than a slow filler costs a batch job.  The speed of the fillers is halved while
a serving task is near its target, and raised in steps while all serving tasks
are well below.
"""

from typing import Final

from berylspread.coordinator.fleet import Run, Worker

#: Share of the latency target above which fillers are slowed down.
HIGH_WATER: Final = 0.85
#: Share of the latency target below which fillers speed up again.
LOW_WATER: Final = 0.6
FULL_PERCENT: Final = 100
RAISE_PERCENT: Final = 20
#: Fillers that would be slower than this are halted instead.
MIN_PERCENT: Final = 15
#: The assumed speed of a filler that an earlier coordinator may have slowed.
ASSUMED_PERCENT: Final = 50


def pace_fillers(worker: Worker) -> list[tuple[Run, int]]:
    """Return the fillers whose speed should change, with the new percentage."""
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
    """Return the next speed of a filler, in percent.

    ``pressure`` is the largest latency of a serving task on the worker, as a
    share of its target.  A negative ``percent`` is an unknown speed.
    """
    if percent < 0:
        percent = ASSUMED_PERCENT
    if pressure > HIGH_WATER:
        halved = percent // 2
        return halved if halved >= MIN_PERCENT else 0
    if pressure < LOW_WATER:
        return min(percent + RAISE_PERCENT, FULL_PERCENT)
    return percent
