"""A model of the ownership protocol for one unit, made of small states.

Times are remaining ticks, so that states recur.  Every decision is made by the
functions of ``berylspread.ownership.rules``, which the program uses too.  A
node that takes no step is paused, cut off or dead.  A restarted node keeps its
identity here, which is worse than in the program.
"""

import functools
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final, NamedTuple

from berylspread.ownership import rules
from berylspread.ownership.rules import MemberStatus, Terms

IDLE: Final = 0
WAITING: Final = 1
HOLDING: Final = 2
UNTOLD: Final = -1


class Record(NamedTuple):
    """A log record: ``E`` electorate, ``C`` claim, ``R`` release."""

    kind: str
    number: int
    owner: int = -1
    members: tuple[int, ...] = ()


class Node(NamedTuple):
    """What one node knows; ``grants`` maps version and member to ticks."""

    read: int
    caught_up: bool
    booted: int
    given: tuple[int, ...]
    ends: int = 0
    older: int = 0
    stopped: int = 0
    state: int = IDLE
    epoch: int = 0
    waits: bool = False
    known: int = 0
    grants: tuple[tuple[int, int, int], ...] = ()
    told: tuple[int, ...] = ()
    told_older: tuple[int, ...] = ()
    own_from: int = 0


Log = tuple[Record, ...]
Ask = Callable[[Log, int, Node, int, Node], tuple[Node, Node]]


@dataclass(frozen=True)
class RuleSet:
    """The rules explored; a mutant replaces one of them."""

    may_promise: Callable[[MemberStatus, int, Terms], bool] = rules.may_promise
    may_consent: Callable[[MemberStatus, int, int, Terms], bool] = (
        rules.may_consent
    )
    is_eligible: Callable[[MemberStatus, Terms], bool] = rules.is_eligible
    authority_until: Callable[..., float] = rules.authority_until
    majority_refuses_from: Callable[..., float] = rules.majority_refuses_from
    may_act: Callable[..., bool] = rules.may_act
    granted_until: Callable[[float, Terms], float] = rules.granted_until
    keeps_promise: bool = True


@dataclass(frozen=True)
class Scope:
    """What bounds an exploration: nodes, electorates, epochs, restarts."""

    nodes: int
    electorates: tuple[tuple[int, ...], ...]
    epochs: int = 2
    claimants: tuple[int, ...] = ()
    restarts: int = 0
    releases: bool = False
    terms: Terms = field(
        default_factory=lambda: Terms(promise_s=2, blind_s=1e9, drift=0)
    )


class Model:  # noqa: WPS214
    """The steps that the protocol may take.

    Each is a function of the log and of one or two nodes.
    """

    def __init__(self, scope: Scope, rule_set: RuleSet) -> None:
        self.scope = scope
        self.rules = rule_set
        self.promise = int(scope.terms.promise_s)

    def start(self) -> tuple[Log, list[Node]]:
        """Node 0 owns the unit under epoch 1; all but new nodes know it."""
        first = self.scope.electorates[0]
        log = (Record('E', 1, members=first), Record('C', 1, owner=0))
        blank = (0,) * self.scope.nodes
        untold = (UNTOLD,) * self.scope.nodes
        nodes = [
            Node(
                read=2 if number in first else 0,
                caught_up=number in first,
                booted=self.promise,
                given=blank,
                known=1 if number in first else 0,
                told=untold,
                told_older=untold,
                own_from=2,
            )
            for number in range(self.scope.nodes)
        ]
        nodes[0] = nodes[0]._replace(state=HOLDING, epoch=1, own_from=0)
        return log, nodes

    def tick(self, node: Node) -> Node:
        """Let one tick pass at a node."""
        return node._replace(
            booted=min(node.booted + 1, self.promise),
            given=_less(node.given),
            ends=max(node.ends - 1, 0),
            older=max(node.older - 1, 0),
            grants=tuple(
                (version, member, ticks - 1)
                for version, member, ticks in node.grants
                if ticks > 1
            ),
            told=_less(node.told),
            told_older=_less(node.told_older),
        )

    def local_steps(self, log: Log, number: int, node: Node) -> list[Node]:
        """Return what a node may become by a step that involves no other."""
        found = []
        if node.read < len(log):
            found.append(self.read(log, number, node))
        elif not node.caught_up:
            found.append(node._replace(caught_up=True))
        if self.can_act(log, node):
            found.append(node._replace(state=HOLDING, waits=False))
        return found

    def is_acting(self, log: Log, node: Node) -> bool:
        """Return whether a node may act now."""
        if node.state != HOLDING:
            return False
        return rules.has_authority(0, self.authority(log, node))

    def read(self, log: Log, number: int, node: Node) -> Node:
        """Take in the next record of the log."""
        record = log[node.read]
        if record.kind == 'E':
            node = self._read_electorate(node, record)
        elif record.kind == 'C':
            node = self._read_claim(log, number, node)
        return node._replace(read=node.read + 1)

    def _read_electorate(self, node: Node, record: Record) -> Node:
        return node._replace(
            older=max(node.given),
            known=max(node.known, record.number),
            told_older=(UNTOLD,) * self.scope.nodes,
            told=(UNTOLD,) * self.scope.nodes,
        )

    def _read_claim(self, log: Log, number: int, node: Node) -> Node:
        record = log[node.read]
        node = self._end(node, record.number)
        before = _last_claim(log[: node.read])
        released = _is_released(log[: node.read])
        if before is not None and not released and before.owner != number:
            kept = node.given[before.owner] if self.rules.keeps_promise else 0
            node = node._replace(ends=max(node.ends, kept))
        if record.owner != number or node.read < node.own_from:
            return node
        return node._replace(
            state=WAITING,
            epoch=record.number,
            waits=record.number > 1 and not released,
            told=(UNTOLD,) * self.scope.nodes,
        )

    def _end(self, node: Node, epoch: int) -> Node:
        """End what stands on an older epoch."""
        if node.state == IDLE or node.epoch >= epoch:
            return node
        stopped = node.stopped
        if node.state == HOLDING:
            stopped |= 1 << node.epoch
        return node._replace(
            state=IDLE, waits=False, stopped=stopped, grants=()
        )

    def appends(
        self, log: Log, number: int, node: Node
    ) -> list[tuple[Record, Node]]:
        """Return the records that would take effect, and their writer."""
        prefix = log[: node.read]
        found = []
        claim = _last_claim(log)
        knows = claim is not None and _last_claim(prefix) == claim
        if knows and claim is not None and self._may_claim(claim, number):
            found.append((Record('C', claim.number + 1, owner=number), node))
        version = _version(log)
        if self._may_elect(log, node):
            members = self.scope.electorates[version]
            found.append((Record('E', version + 1, members=members), node))
        if self.scope.releases and node.state == HOLDING and knows:
            stopped = node.stopped | (1 << node.epoch)
            released = node._replace(state=IDLE, grants=(), stopped=stopped)
            found.append((Record('R', node.epoch), released))
        return found

    def _may_elect(self, log: Log, node: Node) -> bool:
        version = _version(log)
        return (
            version < len(self.scope.electorates)
            and _version(log[: node.read]) == version
            and self._established_from(log, node) <= 0
        )

    def _may_claim(self, claim: Record, number: int) -> bool:
        return (
            claim.number < self.scope.epochs
            and claim.owner != number
            and number in self.scope.claimants
        )

    def asks(self, node: Node) -> list[Ask]:
        """Return what a node may ask the members."""
        found: list[Ask] = []
        if node.state != IDLE:
            found.append(self.ask_promise)
        if node.waits or len(self.scope.electorates) > 2:
            found.append(self.ask_consent)
        return found

    def ask_promise(
        self, log: Log, number: int, node: Node, member: int, giver: Node
    ) -> tuple[Node, Node]:
        """Let a member promise, or tell what the owner has missed.

        An owner that is a member itself asks itself.
        """
        standing = self.member_status(log, giver)
        claim = _last_claim(log[: giver.read])
        if claim is not None and claim.number > node.epoch:
            return self._end(node, claim.number), giver
        if self.rules.may_promise(standing, node.known, self.scope.terms):
            given = list(giver.given)
            given[number] = self.promise
            giver = giver._replace(given=tuple(given))
            asker = giver if number == member else node
            return self._grant(asker, member), giver
        if standing.version > node.known:
            return node._replace(known=standing.version), giver
        return node, giver

    def _grant(self, node: Node, member: int) -> Node:
        ticks = int(self.rules.granted_until(0, self.scope.terms))
        kept = [
            grant for grant in node.grants if grant[:2] != (node.known, member)
        ]
        kept.append((node.known, member, ticks))
        return node._replace(grants=tuple(sorted(kept)))

    def ask_consent(
        self, log: Log, number: int, node: Node, member: int, giver: Node
    ) -> tuple[Node, Node]:
        """Let a member tell a claimant how long its promises hold."""
        prefix = log[: node.read]
        version = _version(prefix)
        standing = self.member_status(log, giver)
        terms = self.scope.terms
        told_older = list(node.told_older)
        eligible = self.rules.is_eligible(standing, terms)
        if eligible and standing.version >= version:
            told_older[member] = giver.older
        told = list(node.told)
        waits = node.waits
        offset = _claim_offset(prefix, node.epoch)
        if waits and giver.read >= offset:
            if self.rules.may_consent(standing, version, offset, terms):
                told[member] = giver.ends
            if giver.stopped & (1 << (node.epoch - 1)):
                waits = False
        asker = node._replace(
            told=tuple(told), told_older=tuple(told_older), waits=waits
        )
        return asker, giver

    def can_act(self, log: Log, node: Node) -> bool:
        """Return whether a claimant has waited long enough."""
        if node.state != WAITING:
            return False
        refused = rules.NEVER
        established = rules.NEVER
        if node.waits:
            members = _members(log, _version(log[: node.read]))
            refused = self._refused(members, node.told)
            established = self._established_from(log, node)
        until = self.authority(log, node)
        return self.rules.may_act(
            0, refused=refused, established=established, until=until
        )

    def _established_from(self, log: Log, node: Node) -> float:
        version = _version(log[: node.read])
        if version <= 1:
            return rules.NEVER
        return self._refused(_members(log, version - 1), node.told_older)

    def _refused(
        self, members: tuple[int, ...], told: tuple[int, ...]
    ) -> float:
        times = [
            rules.FOREVER if told[one] == UNTOLD else told[one]
            for one in members
        ]
        return self.rules.majority_refuses_from(times, len(members))

    def authority(self, log: Log, node: Node) -> float:
        versions = {version for version, _member, _ticks in node.grants}
        return max(
            (self._authority_under(log, node, version) for version in versions),
            default=rules.NEVER,
        )

    def _authority_under(self, log: Log, node: Node, version: int) -> float:
        members = _members(log, version)
        held = [
            ticks
            for of_version, member, ticks in node.grants
            if of_version == version and member in members
        ]
        return self.rules.authority_until(held, len(members))

    def member_status(self, log: Log, node: Node) -> MemberStatus:
        return MemberStatus(
            booted_s=node.booted,
            caught_up=node.caught_up,
            blind_s=0,
            version=_version(log[: node.read]),
            offset=node.read,
        )

    def restart(self, log: Log) -> Node:
        """Return a node that has forgotten everything but its identity."""
        untold = (UNTOLD,) * self.scope.nodes
        return Node(
            read=0,
            caught_up=False,
            booted=0,
            given=(0,) * self.scope.nodes,
            told=untold,
            told_older=untold,
            own_from=len(log),
        )


def _less(ticks: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(one - 1 if one > 0 else one for one in ticks)


@functools.cache
def _last_claim(log: Log) -> Record | None:
    return next((one for one in reversed(log) if one.kind == 'C'), None)


@functools.cache
def _is_released(log: Log) -> bool:
    """Return whether the newest claim of a log has been released."""
    last = next((one for one in reversed(log) if one.kind != 'E'), None)
    return last is not None and last.kind == 'R'


@functools.cache
def _version(log: Log) -> int:
    return sum(one.kind == 'E' for one in log)


@functools.cache
def _members(log: tuple[Record, ...], version: int) -> tuple[int, ...]:
    return next(
        one.members for one in log if one.kind == 'E' and one.number == version
    )


def _claim_offset(log: tuple[Record, ...], epoch: int) -> int:
    """Return how far a node must have read to know a claim."""
    for index, one in enumerate(log):
        if one.kind == 'C' and one.number == epoch:
            return index + 1
    return len(log)
