"""How far a worker is to blame for tasks that fail there.

Load pattern: jobs that can never be done fail wherever they run, while a sick
worker fails whatever it runs, for some seconds.  A failure counts the less
against a worker the more workers have failed tasks of the same step.
"""

import math
from typing import Final, final

#: A worker that was found to be sick gets no new runs for this long at first.
INITIAL_UNHEALTHY_S: Final = 2.0
#: The longest that one finding lasts: sick workers are well again after five
#: to seven seconds.
MAX_UNHEALTHY_S: Final = 6.0
#: A finding this soon after the end of the last one is the same sickness.
RELAPSE_S: Final = 2.0
#: Blame from which a worker counts as sick: two failures within half a second,
#: or three within a few.
UNHEALTHY_BLAME: Final = 1.9
#: The share of its blame that one success leaves a worker.
SUCCESS_DECAY: Final = 0.5
#: Blame halves in this time.
BLAME_HALF_LIFE_S: Final = 3.0


@final
class WorkerHealth:
    """What a worker has been found to do with its runs."""

    __slots__ = ('blame', 'blamed_at', 'unhealthy_s', 'unhealthy_until')

    def __init__(self) -> None:
        """Start with a worker that is well."""
        self.blame = 0.0
        self.blamed_at = 0.0
        self.unhealthy_until = -math.inf
        #: How long the last finding was made to last.
        self.unhealthy_s = 0.0

    def current_blame(self, moment: float) -> float:
        """Return the blame that is left at a time."""
        return self.blame * math.exp2(
            (self.blamed_at - moment) / BLAME_HALF_LIFE_S
        )

    def record_success(self) -> None:
        """Note that a task has succeeded here."""
        self.blame *= SUCCESS_DECAY

    def record_failure(self, failing_workers: int, moment: float) -> bool:
        """Note that a task has failed here; return whether that is too much.

        ``places`` is the number of workers at which tasks of its step have.
        """
        self.blame = self.current_blame(moment) + 1 / max(failing_workers, 1)
        self.blamed_at = moment
        return self.blame >= UNHEALTHY_BLAME

    def is_unhealthy(self, moment: float) -> bool:
        """Return whether the worker gets no new runs at a time."""
        return moment < self.unhealthy_until

    def mark_unhealthy(self, moment: float) -> bool:
        """Use the worker no more for a while; return whether that is new."""
        if self.is_unhealthy(moment):
            return False
        is_same = moment < self.unhealthy_until + RELAPSE_S
        self.unhealthy_s = (
            min(2 * self.unhealthy_s, MAX_UNHEALTHY_S)
            if is_same
            else INITIAL_UNHEALTHY_S
        )
        self.unhealthy_until = moment + self.unhealthy_s
        return True
