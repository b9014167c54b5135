"""Rates how likely a worker is the cause of the failures on it.

Load pattern: jobs that can never succeed fail on every worker, while an
unhealthy worker fails everything that it runs for some seconds.  The more
workers have failed tasks of a step, the less a failure of the step counts
against a worker.
"""

import collections
import math
from typing import Final, final

#: How long a worker gets no new runs when it is marked as unhealthy for the
#: first time.
INITIAL_UNHEALTHY_S: Final = 2.0
#: The longest time without new runs: unhealthy workers recover after five to
#: seven seconds.
MAX_UNHEALTHY_S: Final = 6.0
#: A worker that is marked again this soon after the end of the last period has
#: not recovered, and the next period is longer.
RELAPSE_S: Final = 2.0
#: The blame from which a worker is unhealthy: two failures within half a
#: second, or three within a few seconds.
UNHEALTHY_BLAME: Final = 1.9
#: The share of the blame that remains after a success.
SUCCESS_DECAY: Final = 0.5
#: The blame halves in this time.
BLAME_HALF_LIFE_S: Final = 3.0
#: The newest failed runs of gangs that a worker remembers.
FAILED_GANG_RUNS: Final = 32


@final
class WorkerHealth:
    """The failures and speed of a worker, and whether it is unhealthy."""

    __slots__ = (
        'blame',
        'blamed_at',
        'failed_gang_runs',
        'kind_tier',
        'own_tier',
        'slowness',
        'unhealthy_s',
        'unhealthy_until',
    )

    def __init__(self) -> None:
        self.blame = 0.0
        self.blamed_at = 0.0
        #: The step and number of the newest runs of gangs that failed here.
        self.failed_gang_runs: collections.deque[tuple[str, int]] = (
            collections.deque(maxlen=FAILED_GANG_RUNS)
        )
        self.unhealthy_until = -math.inf
        #: The length of the last period without new runs.
        self.unhealthy_s = 0.0
        #: The time that a task takes here, relative to a typical worker, and
        #: the tiers of the worker's kind and of the worker among its kind; see
        #: ``worker_speeds``.
        self.slowness = 1.0
        self.kind_tier = 0
        self.own_tier = 0

    def current_blame(self, moment: float) -> float:
        """Return the blame that remains at a time."""
        return self.blame * math.exp2(
            (self.blamed_at - moment) / BLAME_HALF_LIFE_S
        )

    def record_success(self) -> None:
        """Record that a task has succeeded on the worker."""
        self.blame *= SUCCESS_DECAY

    def record_failure(self, failing_workers: int, moment: float) -> bool:
        """Record that a task has failed on the worker.

        ``failing_workers`` is the number of workers on which tasks of the same
        step have failed.  Returns whether the worker is to be marked as
        unhealthy.
        """
        self.blame = self.current_blame(moment) + 1 / max(failing_workers, 1)
        self.blamed_at = moment
        return self.blame >= UNHEALTHY_BLAME

    def record_gang_failure(self, step: str, run: int) -> bool:
        """Record that a member of a gang's run has failed on the worker.

        Returns whether it is the first of that run here.
        """
        if (step, run) in self.failed_gang_runs:
            return False
        self.failed_gang_runs.append((step, run))
        return True

    def is_unhealthy(self, moment: float) -> bool:
        """Return whether the worker gets no new runs at a time."""
        return moment < self.unhealthy_until

    def mark_unhealthy(self, moment: float) -> bool:
        """Stop using the worker for a while.

        Returns ``False`` if it is already marked as unhealthy.
        """
        if self.is_unhealthy(moment):
            return False
        is_relapse = moment < self.unhealthy_until + RELAPSE_S
        self.unhealthy_s = (
            min(2 * self.unhealthy_s, MAX_UNHEALTHY_S)
            if is_relapse
            else INITIAL_UNHEALTHY_S
        )
        self.unhealthy_until = moment + self.unhealthy_s
        return True
