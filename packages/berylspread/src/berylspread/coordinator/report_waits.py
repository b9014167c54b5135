"""How long a worker may wait for an outcome before it replies to a renewal.

Load pattern: replies of workers are lost for seconds, while urgent tasks of one
second end all the time.  A lost report with an outcome is requested again only
after the wait, so the wait ends soon after a run is expected to end.  It is not
much shorter, since each report costs the worker and the coordinator.
"""

from collections.abc import Callable
from typing import Final

from berylspread.coordinator.fleet import Run, Worker
from berylspread.coordinator.model import HIGHEST_PRIORITY

#: The wait while no urgent run is about to end.  A lease of 4 s is longer than
#: three such waits.
MAX_WAIT_S: Final = 0.9
#: A shorter wait would double the number of reports of a busy worker.
MIN_WAIT_S: Final = 0.4
#: The durations of tasks of one image differ by about 15 % of a second.
DURATION_MARGIN_S: Final = 0.15

#: Returns the expected duration of a run in seconds.
ExpectedDuration = Callable[[Run], float]


def report_wait_s(
    worker: Worker, expected_s: ExpectedDuration, moment: float
) -> float:
    """Return how long the next report of a worker may wait for an outcome."""
    left_s = min(
        (
            run.since + expected_s(run) - moment
            for run in worker.runs.values()
            if run.task.step.priority == HIGHEST_PRIORITY
        ),
        default=MAX_WAIT_S,
    )
    return min(max(left_s + DURATION_MARGIN_S, MIN_WAIT_S), MAX_WAIT_S)
