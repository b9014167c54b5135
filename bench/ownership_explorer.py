"""Explore every state of the ownership model, breadth first.

``python -m bench.ownership_explorer`` explores the chosen rules within the
scopes below, and then each mutant until two nodes may act at one time.
"""

import functools
import sys
import time
from collections import deque
from collections.abc import Hashable, Iterator
from dataclasses import dataclass, replace
from typing import Final, Generic, TypeVar

from bench.ownership_model import WAITING, Log, Model, Node, RuleSet, Scope
from bench.registry import benchmark
from berylspread.ownership import rules
from berylspread.ownership.rules import MemberStatus, Terms

State = tuple[int, ...]
Value = TypeVar('Value', bound=Hashable)
Steps = tuple[tuple[int, int], ...]


class Interned(Generic[Value]):
    """Small numbers for values, so that states are cheap to compare."""

    def __init__(self) -> None:
        self.numbers: dict[Value, int] = {}
        self.values: list[Value] = []

    def number(self, value: Value) -> int:
        number = self.numbers.setdefault(value, len(self.values))
        if number == len(self.values):
            self.values.append(value)
        return number


@dataclass(frozen=True)
class Finding:
    """The states visited, and the steps to two holders if they were found."""

    visited: int
    steps: int
    is_complete: bool


class Explorer:
    """Breadth-first search; a state is restarts, log and nodes by number.

    Steps are remembered by the log and the nodes that they involve.
    """

    def __init__(self, scope: Scope, rule_set: RuleSet | None = None) -> None:
        self.scope = scope
        self.model = Model(scope, rule_set or RuleSet())
        self.logs: Interned[Log] = Interned()
        self.nodes: Interned[Node] = Interned()
        self.tick = functools.cache(self._tick)
        self.is_acting = functools.cache(self._is_acting)
        self.alone = functools.cache(self._alone)
        self.appended = functools.cache(self._appended)
        self.asked = functools.cache(self._asked)

    def run(self, limit: int | None = None) -> Finding:
        """Visit the reachable states, at most ``limit``."""
        start = self._start()
        depths = {start: 0}
        queue = deque([start])
        while queue:
            state = queue.popleft()
            fresh = [one for one in self.steps(state) if one not in depths]
            depths.update(dict.fromkeys(fresh, depths[state] + 1))
            if any(self.holders(one) > 1 for one in fresh):
                return Finding(len(depths), depths[state] + 1, False)
            queue.extend(dict.fromkeys(fresh))
            if limit is not None and len(depths) >= limit:
                return Finding(len(depths), 0, False)
        return Finding(len(depths), 0, True)

    def _start(self) -> State:
        log, nodes = self.model.start()
        return (
            self.scope.restarts,
            self.logs.number(log),
            *(self.nodes.number(node) for node in nodes),
        )

    def holders(self, state: State) -> int:
        return sum(self.is_acting(state[1], node) for node in state[2:])

    def steps(self, state: State) -> Iterator[State]:
        """Yield every state that one step leads to."""
        restarts, log, *nodes = state
        yield (restarts, log, *map(self.tick, nodes))
        for number, node in enumerate(nodes):
            at = number + 2
            for after in self.alone(log, number, node):
                yield _put(state, at, after)
            for longer, after in self.appended(log, number, node):
                yield _put(_put(state, 1, longer), at, after)
            for member, giver in enumerate(nodes):
                for asker, answered in self.asked(
                    log, number, node, member, giver
                ):
                    after_answer = _put(state, member + 2, answered)
                    yield _put(after_answer, at, asker)
            if restarts:
                yield self._restarted(state, number)

    def _restarted(self, state: State, number: int) -> State:
        restarts, log, *_nodes = state
        fresh = self.nodes.number(self.model.restart(self.logs.values[log]))
        return _put(_put(state, 0, restarts - 1), number + 2, fresh)

    def _tick(self, node: int) -> int:
        return self.nodes.number(self.model.tick(self.nodes.values[node]))

    def _is_acting(self, log: int, node: int) -> bool:
        return self.model.is_acting(
            self.logs.values[log], self.nodes.values[node]
        )

    def _alone(self, log: int, number: int, node: int) -> tuple[int, ...]:
        found = self.model.local_steps(
            self.logs.values[log], number, self.nodes.values[node]
        )
        return tuple(self.nodes.number(after) for after in found)

    def _appended(self, log: int, number: int, node: int) -> Steps:
        records = self.logs.values[log]
        found = self.model.appends(records, number, self.nodes.values[node])
        return tuple(
            (self.logs.number((*records, record)), self.nodes.number(after))
            for record, after in found
        )

    def _asked(
        self, log: int, number: int, node: int, member: int, giver: int
    ) -> Steps:
        asker = self.nodes.values[node]
        found = [
            ask(
                self.logs.values[log],
                number,
                asker,
                member,
                self.nodes.values[giver],
            )
            for ask in self.model.asks(asker)
        ]
        return tuple(
            (self.nodes.number(after), self.nodes.number(answered))
            for after, answered in found
        )


def explore(
    scope: Scope, rule_set: RuleSet | None = None, limit: int | None = None
) -> Finding:
    """Visit the states that are reachable within a scope."""
    return Explorer(scope, rule_set).run(limit)


def _put(state: State, at: int, value: int) -> State:
    return (*state[:at], value, *state[at + 1 :])


def _any_consent(times: list[float], members: int) -> float:
    """Let the consent of one member suffice."""
    return min(times)


def _eligible_at_once(standing: MemberStatus, terms: Terms) -> bool:
    """Let a member promise as soon as it has booted."""
    return True


def _promise_at_once(
    standing: MemberStatus, stated_version: int, terms: Terms
) -> bool:
    return stated_version == standing.version


def _consent_at_once(
    standing: MemberStatus, stated_version: int, offset: int, terms: Terms
) -> bool:
    return stated_version == standing.version and standing.offset >= offset


def _act_unestablished(
    now: float, *, refused: float, established: float, until: float
) -> bool:
    """Act without waiting for the electorate to be established."""
    return rules.may_act(
        now, refused=refused, established=rules.NEVER, until=until
    )


def _counted_from_receipt(sent_at: float, terms: Terms) -> float:
    """Count a promise from when its reply came, one tick later."""
    return rules.granted_until(sent_at, terms) + 1


class NaiveModel(Model):
    """The form without a logged electorate, as first proposed.

    An owner needs the promise of every peer that it knows, or the end of the
    log; a claimant acts one promise after its claim.
    """

    def _read_claim(self, log: Log, number: int, node: Node) -> Node:
        node = super()._read_claim(log, number, node)
        if node.state != WAITING:
            return node
        return node._replace(ends=self.promise, waits=False)

    def can_act(self, log: Log, node: Node) -> bool:
        return node.state == WAITING and node.ends == 0

    def authority(self, log: Log, node: Node) -> float:
        if node.read == len(log):
            return rules.FOREVER
        return super().authority(log, node)


CLAIMS: Final = Scope(nodes=3, electorates=((0, 1, 2),), claimants=(1,))
RACE: Final = replace(CLAIMS, claimants=(1, 2))
EPOCHS: Final = Scope(
    nodes=2, electorates=((0, 1),), claimants=(0, 1), epochs=4
)
RESTART: Final = replace(CLAIMS, restarts=1)
RELEASE: Final = replace(CLAIMS, releases=True)
ELECTORATE: Final = Scope(nodes=3, electorates=((0, 1), (1, 2)), claimants=(2,))
REPLACED: Final = Scope(nodes=2, electorates=((0,), (1,)), claimants=(1,))
TWICE: Final = Scope(nodes=3, electorates=((0,), (1,), (2,)), claimants=(2,))
UNKNOWN_NODE: Final = Scope(nodes=3, electorates=((0, 1),), claimants=(2,))

SCOPES: Final = {
    'one claimant': CLAIMS,
    'two claimants': RACE,
    'four epochs': EPOCHS,
    'one restart': RESTART,
    'a release': RELEASE,
    'a new electorate': ELECTORATE,
    'an electorate replaced': REPLACED,
    'two new electorates': TWICE,
}

MUTANTS: Final = {
    'promise dropped on consent': (CLAIMS, RuleSet(keeps_promise=False)),
    'minority consent': (CLAIMS, RuleSet(majority_refuses_from=_any_consent)),
    'promise counted from receipt': (
        CLAIMS,
        RuleSet(granted_until=_counted_from_receipt),
    ),
    'boot quarantine skipped': (
        RESTART,
        RuleSet(
            may_promise=_promise_at_once,
            may_consent=_consent_at_once,
            is_eligible=_eligible_at_once,
        ),
    ),
    'electorate not established': (
        REPLACED,
        RuleSet(may_act=_act_unestablished),
    ),
}


def explore_naive() -> Finding:
    """Look for two holders in the naive form."""
    explorer = Explorer(UNKNOWN_NODE)
    explorer.model = NaiveModel(
        UNKNOWN_NODE, RuleSet(authority_until=_all_promises)
    )
    return explorer.run()


def _all_promises(held: list[float], members: int) -> float:
    """Demand the promise of every known peer."""
    return min(held) if len(held) == members else rules.NEVER


LIMIT: Final = 1_200_000
BENCH_LIMIT: Final = 100_000


def report_scopes(limit: int) -> bool:
    """Explore the chosen rules; return whether nothing was found."""
    is_safe = True
    for name, scope in SCOPES.items():
        began = time.perf_counter()
        found = explore(scope, limit=limit)
        is_safe = is_safe and not found.steps
        verdict = 'two holders' if found.steps else 'never two holders'
        extent = 'all' if found.is_complete else 'the first'
        seconds = time.perf_counter() - began
        print(
            f'{name}: {extent} {found.visited} states, '
            f'{verdict}, {seconds:.1f} s',
            flush=True,
        )
    return is_safe


def report_faults() -> bool:
    """Explore the naive form and the mutants; return if all were found."""
    naive = explore_naive()
    found = {'naive form': naive}
    for name, (scope, rule_set) in MUTANTS.items():
        found[f'mutant, {name}'] = explore(scope, rule_set)
    for name, finding in found.items():
        print(
            f'{name}: {finding.visited} states, '
            f'two holders after {finding.steps} steps',
            flush=True,
        )
    return all(finding.steps for finding in found.values())


@benchmark('ownership-explorer')
def run_bounded() -> bool:
    """Explore a bounded number of states of each scope, and the mutants."""
    is_safe = report_scopes(BENCH_LIMIT)
    return report_faults() and is_safe


def main() -> int:
    is_safe = report_scopes(LIMIT)
    return 0 if report_faults() and is_safe else 1


if __name__ == '__main__':
    sys.exit(main())
