"""How long a worker may wait for an end before it answers a renewal.

Load pattern: answers of workers are lost for seconds, while urgent tasks of a
second end all the time.  A report that lists an end and is lost is asked for
again only after its wait; so the wait ends soon after an end is expected.  Each
report costs the worker and the coordinator, so it is not much shorter.
"""

from collections.abc import Callable
from typing import Final

from berylspread.coordinator.fleet import Run, Worker
from berylspread.coordinator.model import HIGHEST_PRIORITY

#: The wait while no urgent run is near its end.  A lease of 4 s outlasts three.
MAX_WAIT_S: Final = 0.9
#: A shorter wait would double the reports of a busy worker.
MIN_WAIT_S: Final = 0.4
#: Tasks of one image differ by some 15 % of a second.
DURATION_MARGIN_S: Final = 0.15

#: Seconds that a run is expected to take.
ExpectedDuration = Callable[[Run], float]


def report_wait_s(
    worker: Worker, expect: ExpectedDuration, moment: float
) -> float:
    """Return how long the next report of a worker may wait for an end."""
    left_s = min(
        (
            run.since + expect(run) - moment
            for run in worker.runs.values()
            if run.task.step.priority == HIGHEST_PRIORITY
        ),
        default=MAX_WAIT_S,
    )
    return min(max(left_s + DURATION_MARGIN_S, MIN_WAIT_S), MAX_WAIT_S)
