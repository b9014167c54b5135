"""What a replay measures."""

import collections
from typing import Final, final

from berylspread.model import Resources

#: Samples count from here on, when the fleet has filled.
WARM_UP_S: Final = 10.0
#: Work waits if it would fill this part of the fleet.
BACKLOG: Final = 0.02
NOTHING: Final = 1e-12


@final
class Results:
    """Counters and samples of one policy."""

    def __init__(self, name: str) -> None:
        """Start empty."""
        self.name = name
        self.waits: dict[str, list[float]] = collections.defaultdict(list)
        self.decision_s: list[float] = []
        self.placing_s: list[float] = []
        self.placing_examined = 0
        self.tick_cpu_s = 0.0
        self.messages = 0
        self.starts = 0
        #: Tasks refused, failed, outgrown, preempted and left pending.
        self.counts: collections.Counter[str] = collections.Counter()
        self.tick_starts = 0
        self.packing: list[float] = []
        self.errors: dict[str, list[float]] = collections.defaultdict(list)
        self.misplaced: list[float] = []

    def decided(self, seconds: float, examined: int, *, placed: bool) -> None:
        """Count a decision, with those that found a worker apart."""
        if placed:
            self.placing_s.append(seconds)
            self.placing_examined += examined
        self.decision_s.append(seconds)

    def ticked(self, seconds: float, starts: int, messages: int) -> None:
        """Count a round of an owner; one sync for each start."""
        self.tick_cpu_s += seconds
        self.tick_starts += starts
        self.messages += messages + starts

    def waited(self, kind: str, seconds: float) -> None:
        """Count a task's waiting time."""
        self.waits[kind].append(seconds)

    def sample(
        self,
        total: Resources,
        used: dict[str, Resources],
        waiting: dict[str, Resources],
        shares: dict[str, float],
        now: float,
    ) -> None:
        """Measure while work waits: packing, and served against entitled."""
        backlog = sum(waiting.values(), start=Resources())
        if now < WARM_UP_S or backlog.dominant_share(total) < BACKLOG:
            return
        in_use = sum(used.values(), start=Resources())
        self.packing.append(
            max(
                in_use.cpu_milli / total.cpu_milli,
                in_use.memory_mib / total.memory_mib,
            )
        )
        served = {
            team: amount.dominant_share(total) for team, amount in used.items()
        }
        wanted = {
            team: served[team] + waiting[team].dominant_share(total)
            for team in served
        }
        entitled = water_filled(sum(served.values()), wanted, shares)
        gaps = {team: abs(served[team] - entitled[team]) for team in served}
        for team, gap in gaps.items():
            self.errors[team].append(gap)
        self.misplaced.append(sum(gaps.values()) / 2)

    @property
    def mean_error(self) -> float:
        """Return the mean absolute error over teams and time."""
        means = [sum(gaps) / len(gaps) for gaps in self.errors.values()]
        return sum(means) / max(len(means), 1)

    @property
    def worst_error(self) -> float:
        """Return the mean absolute error of the worst served team."""
        means = [sum(gaps) / len(gaps) for gaps in self.errors.values()]
        return max(means, default=0)

    @property
    def all_waits(self) -> list[float]:
        """Return the waiting times of every kind."""
        return [wait for waits in self.waits.values() for wait in waits]


def water_filled(
    pie: float, wanted: dict[str, float], shares: dict[str, float]
) -> dict[str, float]:
    """Return the weighted max-min fair parts of a pie."""
    parts = dict.fromkeys(wanted, 0.0)
    open_teams = {team for team, amount in wanted.items() if amount > 0}
    while open_teams and pie > NOTHING:
        weight = sum(shares[team] for team in open_teams)
        level = pie / weight
        full = {
            team for team in open_teams if wanted[team] <= level * shares[team]
        }
        if not full:
            for team in open_teams:
                parts[team] = level * shares[team]
            return parts
        for team in full:
            parts[team] = wanted[team]
            pie -= wanted[team]
        open_teams -= full
    return parts


def quantile(values: list[float], part: float) -> float:
    """Return a quantile, 0 for no values."""
    ordered = sorted(values)
    return (
        ordered[min(int(len(ordered) * part), len(ordered) - 1)]
        if (ordered)
        else 0.0
    )
