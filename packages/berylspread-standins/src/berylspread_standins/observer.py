"""An observer of what the worker stand-ins really ran.

It knows nothing of the scheduler's own books.  Workers tell it when a task or a
call starts and ends; it collects each violation with its time and evidence.
"""

import collections
from typing import Final, final

import msgspec

from berylspread.kernel.clock import now
from berylspread.model import ZERO, Resources

LIMIT_GRACE_S: Final = 10.0
#: Violations kept; more are only counted.
MAX_VIOLATIONS: Final = 1000


@final
class Violation(msgspec.Struct, frozen=True):
    """One broken guarantee: when on the loop's clock, and what shows it."""

    kind: str
    at: float
    subject: str
    evidence: str


@final
class Execution(msgspec.Struct, frozen=True):
    """One run of a task or a call at a worker.

    ``name`` is the task's or the request's name; ``is_once`` marks work that is
    not idempotent, and ``is_call`` interactive calls.
    """

    worker: str
    name: str
    attempt: int
    team: str
    shape: Resources
    is_once: bool = False
    is_call: bool = False


@final
class LimitHistory:
    """Each team's upper limits over time, on the loop's clock."""

    __slots__ = ('changes',)

    def __init__(self) -> None:
        """Start without limits."""
        self.changes: dict[str, list[tuple[float, Resources]]] = {}

    def put(self, team: str, limit: Resources) -> None:
        """Put a limit in force from now on."""
        self.changes.setdefault(team, []).append((now(), limit))

    def within(self, team: str, since: float, until: float) -> list[Resources]:
        """Return the limits that were in force at any time of a span.

        The list is empty if the team was without a limit at some time.
        """
        changes = self.changes.get(team, [])
        before = [limit for at, limit in changes if at <= since]
        later = [limit for at, limit in changes if since < at <= until]
        return [before[-1], *later] if before else []


@final
class Observer:
    """Checks executions against the guarantees, each in one method."""

    __slots__ = (
        'capacities',
        'counts',
        'executed',
        'executed_once',
        'grace_s',
        'high_water',
        'limits',
        'ran_at',
        'ran_by',
        'running',
        'teams',
        'violations',
        'workers',
    )

    def __init__(
        self,
        limits: LimitHistory | None = None,
        *,
        grace_s: float = LIMIT_GRACE_S,
    ) -> None:
        """Take the teams' limits over time.

        A team may stay above a lowered limit for ``grace_s`` seconds.
        """
        self.limits = limits or LimitHistory()
        self.grace_s = grace_s
        self.capacities: dict[str, Resources] = {}
        self.workers: dict[str, Resources] = {}
        self.teams: dict[str, Resources] = {}
        self.running: dict[str, list[Execution]] = {}
        self.executed_once: dict[str, Execution] = {}
        self.high_water: dict[str, Resources] = {}
        self.ran_at: collections.Counter[str] = collections.Counter()
        self.ran_by: collections.Counter[str] = collections.Counter()
        #: Loop time of the first start, by name.
        self.executed: dict[str, float] = {}
        self.violations: list[Violation] = []
        self.counts: collections.Counter[str] = collections.Counter()

    def add_worker(self, worker: str, capacity: Resources) -> None:
        """Learn what a worker holds."""
        self.capacities[worker] = capacity

    def started(self, run: Execution) -> None:
        """Take note of a start and check every guarantee that it concerns."""
        self.counts['calls' if run.is_call else 'tasks'] += 1
        self._check_single(run)
        self._check_once(run)
        self.ran_at[run.worker] += 1
        self.ran_by[run.team] += 1
        self.executed.setdefault(run.name, now())
        self.running.setdefault(run.name, []).append(run)
        self._add(self.workers, run.worker, run.shape)
        self._add(self.teams, run.team, run.shape)
        self._check_capacity(run)
        self.check_limit(run.team)

    def ended(self, run: Execution) -> None:
        """Take note of an end."""
        runs = self.running.get(run.name, [])
        if run not in runs:
            self._violate('end-without-start', run.name, repr(run))
            return
        runs.remove(run)
        if not runs:
            del self.running[run.name]
        self._add(self.workers, run.worker, ZERO - run.shape)
        self._add(self.teams, run.team, ZERO - run.shape)
        self.check_limit(run.team)

    def check_limits(self) -> None:
        """Check every team's limit; to be called from time to time."""
        for team in self.teams:
            self.check_limit(team)

    def check_limit(self, team: str) -> None:
        """Check that a team is under a limit that was in force in the grace."""
        used = self.teams.get(team, ZERO)
        limits = self.limits.within(team, now() - self.grace_s, now())
        if limits and not any(used.fits(limit) for limit in limits):
            self._violate(
                'over-limit', team, f'uses {used!r} of a limit of {limits!r}'
            )

    def _check_single(self, run: Execution) -> None:
        others = self.running.get(run.name)
        if others:
            self._violate(
                'duplicate-execution',
                run.name,
                f'starts as {run!r} beside {others!r}',
            )

    def _check_once(self, run: Execution) -> None:
        if not run.is_once:
            return
        earlier = self.executed_once.setdefault(run.name, run)
        if earlier is not run:
            self._violate(
                'executed-twice', run.name, f'{earlier!r}, then {run!r}'
            )

    def _check_capacity(self, run: Execution) -> None:
        used = self.workers[run.worker]
        high = self.high_water.get(run.worker, ZERO)
        self.high_water[run.worker] = Resources(
            max(used.cpu_milli, high.cpu_milli),
            max(used.memory_mib, high.memory_mib),
            max(used.accelerators, high.accelerators),
            max(used.slots, high.slots),
        )
        capacity = self.capacities.get(run.worker, ZERO)
        if not used.fits(capacity):
            self._violate(
                'overcommit',
                run.worker,
                f'{used!r} of {capacity!r} with {run!r}',
            )

    def _add(
        self, totals: dict[str, Resources], key: str, amount: Resources
    ) -> None:
        totals[key] = totals.get(key, ZERO) + amount

    def _violate(self, kind: str, subject: str, evidence: str) -> None:
        self.counts[kind] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(Violation(kind, now(), subject, evidence))
