"""Gangs, whose tasks start all or none, on several partition owners.

The home requests capacity holds from one owner after the other, in the order of
the unit names.  Holds expire.  An attempt that does not get all of its holds
releases them at once, so that a waiting gang holds no capacity and no two gangs
deadlock.
"""

import random
from collections.abc import Iterable, Sequence
from typing import Final, final

from berylspread.limits import WorkerView
from berylspread.model import Resources
from berylspread.placement.demand import DemandClass

HOLD_TTL_S: Final = 15.0
INITIAL_RETRY_S: Final = 0.5
MAX_RETRY_S: Final = 15.0
MAX_STARVING_RETRY_S: Final = 1.0
JITTER: Final = 0.5
MAX_EARMARKS_PER_GANG: Final = 16


def max_earmarks(demand: DemandClass, largest: Resources) -> int:
    """Return how many workers an owner may earmark for a starving class."""
    if demand.gang is None:
        return 1
    per_worker = max(demand.shape.fit_count(largest), 1)
    wanted = -(-demand.gang.tasks // per_worker)
    return min(wanted, MAX_EARMARKS_PER_GANG)


def distribute_tasks(
    workers: Sequence[WorkerView], shape: Resources, wanted: int
) -> list[tuple[WorkerView, int]]:
    """Return each usable worker with its number of tasks.

    All together take at most ``wanted`` tasks.
    """
    plan: list[tuple[WorkerView, int]] = []
    missing = wanted
    for worker in workers:
        taken = min(shape.fit_count(worker.free), missing)
        if taken > 0:
            plan.append((worker, taken))
            missing -= taken
    return plan


@final
class GangAttempt:
    """One attempt to get holds for all tasks of a gang.

    The caller sends each request that ``next_request`` returns, until it
    returns ``None``.  Then it commits the holds if ``is_complete``, else it
    releases those of all units in ``held_tasks``.  The tasks are spread over at
    least ``min_units`` units.
    """

    __slots__ = ('held_tasks', 'min_units', 'missing_tasks', 'units')

    def __init__(
        self, tasks: int, units: Iterable[str], *, min_units: int = 1
    ) -> None:
        self.units = sorted(units, reverse=True)
        self.missing_tasks = tasks
        self.min_units = max(min_units, 1)
        self.held_tasks: dict[str, int] = {}

    @property
    def is_complete(self) -> bool:
        """Return whether every task has a hold."""
        return not self.missing_tasks

    def next_request(self) -> tuple[str, int] | None:
        """Return the next unit and for how many tasks to request holds."""
        if self.is_complete or not self.units:
            return None
        unit = self.units.pop()
        return unit, -(-self.missing_tasks // self.min_units)

    def apply_reply(self, unit: str, held: int) -> None:
        """Record for how many tasks a unit holds capacity."""
        taken = min(held, self.missing_tasks)
        if taken > 0:
            self.held_tasks[unit] = taken
            self.missing_tasks -= taken
            self.min_units = max(self.min_units - 1, 1)


@final
class GangRetry:
    """The retries of a gang: exponential backoff with jitter.

    ``retry_at`` is the loop time of the next attempt; the first is due at once.
    """

    __slots__ = ('failed_attempts', 'randomness', 'retry_at')

    def __init__(self, now: float, randomness: random.Random) -> None:
        self.failed_attempts = 0
        self.retry_at = now
        self.randomness = randomness

    def schedule_retry(self, now: float, *, starving: bool = False) -> float:
        """Count a failed attempt and return the loop time of the next one.

        A gang for which workers are earmarked retries often, so that they are
        not idle for long.
        """
        max_pause_s = MAX_STARVING_RETRY_S if starving else MAX_RETRY_S
        pause_s = min(INITIAL_RETRY_S * 2**self.failed_attempts, max_pause_s)
        self.failed_attempts += 1
        self.retry_at = now + pause_s * (1 - JITTER * self.randomness.random())
        return self.retry_at
