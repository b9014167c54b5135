"""Measures what waits and what is free, for the log and the metrics.

Load pattern: more work than the room, the quota or the permission service can
take.  An operator sees in one line a second what binds, and for which queues.
"""

import collections
from collections.abc import Iterable
from typing import Any, Final, final

from berylspread.coordinator.fleet import Worker
from berylspread.coordinator.model import MS_PER_S, Step
from berylspread.coordinator.urgency import USELESS, lateness

#: How often the line is written.
REPORT_INTERVAL_S: Final = 1.0
#: The most queues that a line names.
MAX_NAMES: Final = 8
#: The obstacle of a step that no pass has examined yet.
UNEXAMINED: Final = 'not examined'


@final
class LoadReporter:
    """Collects the processor time of passes until the next report."""

    __slots__ = ('longest_pass_s', 'pass_count', 'pass_s', 'reported_at')

    def __init__(self, moment: float) -> None:
        self.reported_at = moment
        self.pass_count = 0
        self.pass_s = 0.0
        self.longest_pass_s = 0.0

    def record_pass(self, took_s: float) -> None:
        """Record the processor time of a pass."""
        self.pass_count += 1
        self.pass_s += took_s
        self.longest_pass_s = max(self.longest_pass_s, took_s)

    def is_due(self, moment: float) -> bool:
        """Return whether it is time for the next report."""
        return moment - self.reported_at >= REPORT_INTERVAL_S

    def report(
        self,
        steps: Iterable[Step],
        workers: Iterable[Worker],
        moment: float,
        wall_ms: float,
    ) -> dict[str, Any]:
        """Return the fields of the next line and begin anew.

        ``steps`` are those that may run.
        """
        passes = {
            'passes': self.pass_count,
            'passes_s': round(self.pass_s, 3),
            'longest_pass_s': round(self.longest_pass_s, 3),
        }
        LoadReporter.__init__(self, moment)
        return {
            **measure_room(workers, moment, wall_ms),
            **measure_waiting(steps),
            **passes,
        }


def measure_room(
    workers: Iterable[Worker], moment: float, wall_ms: float
) -> dict[str, int]:
    """Return the cores of usable workers, those that are free or used in vain.

    A run is in vain if its job can no longer be of use.
    """
    room = 0
    free = 0
    in_vain = 0
    for worker in workers:
        if worker.accepts_runs(moment):
            room += worker.entry.capacity.cpu_milli
            free += worker.free.cpu_milli
        in_vain += sum(
            run.reserved.cpu_milli
            for run in worker.runs.values()
            if not run.task.step.spec.long_running
            and lateness(run.task.step, wall_ms) == USELESS
        )
    return {
        'room_cores': room // MS_PER_S,
        'free_cores': free // MS_PER_S,
        'useless_cores': in_vain // MS_PER_S,
    }


def measure_waiting(steps: Iterable[Step]) -> dict[str, dict[str, int]]:
    """Return the cores that waiting tasks need, by obstacle and by queue."""
    by_obstacle: collections.Counter[str] = collections.Counter()
    by_queue: collections.Counter[str] = collections.Counter()
    for step in steps:
        milli = len(step.waiting_tasks) * step.spec.demand.cpu_milli
        by_obstacle[step.blocked_by or UNEXAMINED] += milli
        by_queue[step.job.spec.queue.name] += milli
    return {
        'waiting_cores': _in_cores(by_obstacle),
        'waiting_by_queue': _in_cores(by_queue),
    }


def _in_cores(milli: collections.Counter[str]) -> dict[str, int]:
    """Return the largest amounts in whole cores."""
    return {
        name: amount // MS_PER_S
        for name, amount in milli.most_common(MAX_NAMES)
    }
