"""Gangs: all tasks start, or none, over several partition owners.

The home asks one owner after the other, in the order of unit names, to hold
capacity.  Holds expire; an attempt that falls short is given up at once, so
that a waiting gang holds nothing and no two gangs wait for each other.
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
    """Return how many workers an owner keeps for a starving class."""
    if demand.gang is None:
        return 1
    per_worker = max(demand.shape.times_in(largest), 1)
    wanted = -(-demand.gang.tasks // per_worker)
    return min(wanted, MAX_EARMARKS_PER_GANG)


def distribute_tasks(
    workers: Sequence[WorkerView], shape: Resources, wanted: int
) -> list[tuple[WorkerView, int]]:
    """Return how many tasks each worker takes, at most ``wanted`` in all."""
    plan: list[tuple[WorkerView, int]] = []
    missing = wanted
    for worker in workers:
        taken = min(shape.times_in(worker.free), missing)
        if taken > 0:
            plan.append((worker, taken))
            missing -= taken
    return plan


@final
class GangAttempt:
    """One try to reserve all tasks of a gang.

    Ask ``next_ask`` until it returns ``None``; then commit if ``is_complete``,
    else release every unit in ``granted``.
    """

    __slots__ = ('held_tasks', 'min_units', 'missing_tasks', 'units')

    def __init__(
        self, tasks: int, units: Iterable[str], *, min_units: int = 1
    ) -> None:
        """Plan to ask the units; ``parts`` spreads over at least so many."""
        self.units = sorted(units, reverse=True)
        self.missing_tasks = tasks
        self.min_units = max(min_units, 1)
        self.held_tasks: dict[str, int] = {}

    @property
    def is_complete(self) -> bool:
        """Return whether every task has a hold."""
        return not self.missing_tasks

    def next_request(self) -> tuple[str, int] | None:
        """Return the next unit and how many tasks to hold there."""
        if self.is_complete or not self.units:
            return None
        unit = self.units.pop()
        return unit, -(-self.missing_tasks // self.min_units)

    def apply_reply(self, unit: str, held: int) -> None:
        """Take in how many tasks the unit holds capacity for."""
        taken = min(held, self.missing_tasks)
        if taken > 0:
            self.held_tasks[unit] = taken
            self.missing_tasks -= taken
            self.min_units = max(self.min_units - 1, 1)


@final
class GangRetry:
    """When a gang tries again: a growing pause with jitter."""

    __slots__ = ('failed_attempts', 'randomness', 'retry_at')

    def __init__(self, now: float, randomness: random.Random) -> None:
        """Allow the first attempt at once."""
        self.failed_attempts = 0
        self.retry_at = now
        self.randomness = randomness

    def schedule_retry(self, now: float, *, starving: bool = False) -> float:
        """Count a failed attempt; return the loop time of the next one.

        A gang for which workers are kept tries often, so that they are not
        idle for long.
        """
        longest_s = MAX_STARVING_RETRY_S if starving else MAX_RETRY_S
        pause_s = min(INITIAL_RETRY_S * 2**self.failed_attempts, longest_s)
        self.failed_attempts += 1
        self.retry_at = now + pause_s * (1 - JITTER * self.randomness.random())
        return self.retry_at
