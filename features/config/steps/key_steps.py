"""Steps for keys and for how long they are trusted."""

import asyncio
import random
import re
from collections.abc import Callable, Coroutine
from typing import Any

from behave import given, then, when
from behave.runner import Context

from berylspread.config.key_trust import (
    KeyTrust,
    Voucher,
    VouchingElectorate,
)
from berylspread.config.keys import NewKey, check_key, make_key
from berylspread.config.operations import Operations
from berylspread.config.vouching import KeyGuard
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import OutcomeUnknown, Unauthenticated
from berylspread.log import (
    Batch,
    ClusterState,
    ElectorateChanged,
    Entry,
    KeyWithdrawn,
    encode_batch,
    encode_state,
)
from berylspread.membership import Liveness, Member
from berylspread.model import NodeRef
from berylspread_standins.gate import Gate
from berylspread_standins.log_service import LocalLog
from berylspread_standins.network import Endpoint, Network
from berylspread_standins.peer_network import PeerNetwork
from berylspread_standins.virtual_time import VirtualTimeLoop
from features.log.world import World

STORE_REGION = 'a'
STORE = Endpoint('log', STORE_REGION)
BOUND_S = 5.0
PROBE_S = 0.25
KEY_TEXT = re.compile('bsk_[0-9a-f]{16}_([0-9a-f]{64})')


class FixedMembership:
    """A membership view in which every node is alive."""

    def __init__(self, names: list[str]) -> None:
        self.names = names

    def members(self, region: str = '') -> list[Member]:
        return [
            Member(name, '', name[0], '', Liveness.alive)
            for name in self.names
            if not region or name[0] == region
        ]


class Node:
    """A node that checks a key repeatedly, with the times and results."""

    def __init__(self, fleet: 'Fleet', name: str) -> None:
        world = fleet.world
        self.name = name
        self.gate = Gate()
        self.endpoint = Endpoint(name, name[0])
        self.client = LocalLog(
            world.service,
            world.rng,
            timeout_s=0.5,
            gate=self.gate,
            network=fleet.network,
            node=self.endpoint,
            place=STORE,
        )
        self.peers = fleet.peer_network.start(self.endpoint, gate=self.gate)
        self.reader = world.reader(self.client)
        self.guard = KeyGuard(
            ref=self.peers.ref,
            reader=self.reader,
            peers=self.peers,
            membership=FixedMembership(fleet.names),
            store_region=STORE_REGION,
            trust_duration_s=BOUND_S,
        )
        world.start_task(self.guard.run())
        self.results: list[tuple[float, bool]] = []

    async def probe(self, text: str) -> None:
        while True:
            await asyncio.sleep(PROBE_S)
            await self.gate.wait()
            works = self.guard.authenticate(text) == 'proofs'
            self.results.append((now(), works))

    def worked(self, since: float, until: float) -> list[bool]:
        return [works for at, works in self.results if since <= at < until]


class Fleet:
    """Eight nodes in two regions; the store is in the first."""

    def __init__(self) -> None:
        self.names = [f'a{n}' for n in range(5)] + [f'b{n}' for n in range(3)]
        self.world = World()
        self.network = Network(random.Random(3))
        self.peer_network = PeerNetwork(random.Random(4), network=self.network)
        self.nodes: dict[str, Node] = {}
        self.key: NewKey | None = None
        self.fault_at = 0.0
        self.withdrawn_at = 0.0
        self.confirmed_at = 0.0
        self.result: Any = None

    async def start(self) -> None:
        for name in self.names:
            self.nodes[name] = Node(self, name)
        members = tuple(
            node.peers.ref
            for name, node in self.nodes.items()
            if name[0] == STORE_REGION
        )
        self.key = make_key('proofs', 'desk', 0.0)
        self.log(ElectorateChanged(STORE_REGION, 1, members), self.key.record)
        await asyncio.sleep(3)
        for node in self.nodes.values():
            self.world.start_task(node.probe(self.key.text))
        await asyncio.sleep(3)

    def log(self, *records) -> None:
        batch = Batch('setup', self.world.service.end, list(records))
        self.world.service.publish(encode_batch(batch))

    async def withdraw(self) -> None:
        node = self.nodes['a0']
        appender = self.world.appender('a0', node.client)
        operations = Operations(
            appender, node.reader, node.guard, self.world.wall
        )
        self.withdrawn_at = now()
        self.result = await operations.withdraw_key(self.key.record.key_id)
        self.confirmed_at = now()

    def cut(self, name: str, others: list[str]) -> None:
        for other in others:
            self.network.cut(name, other)
            self.network.cut(other, name)


def run_action(
    context: Context, action: Callable[[Fleet], Coroutine[Any, Any, None]]
):
    context.runner.run(action(context.fleet))


@given("5 nodes in the store's region and 3 in another, with a key that works")
def step_fleet(context: Context):
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.add_cleanup(context.runner.close)

    async def begin():
        context.fleet = Fleet()
        await context.fleet.start()

    context.runner.run(begin())
    world = context.fleet.world
    context.add_cleanup(lambda: context.runner.run(world.close()))


def names_in(text: str) -> list[str]:
    return re.findall(r'\b[ab]\d\b', text)


def cut_from_log(fleet: Fleet, text: str):
    for name in names_in(text):
        fleet.cut(name, ['log'])


def cut_from_all(fleet: Fleet, text: str):
    cut = names_in(text)
    others = [name for name in fleet.names if name not in cut]
    for name in cut:
        fleet.cut(name, ['log', *others])


def cut_regions(fleet: Fleet, text: str):
    fleet.cut('a', ['b'])


def cut_together(fleet: Fleet, text: str):
    cut = names_in(text)
    others = [
        name for name in fleet.names if name[0] == 'a' and name not in cut
    ]
    for name in (*cut, 'b'):
        fleet.cut(name, ['log', *others])


def pause(fleet: Fleet, text: str):
    for name in names_in(text):
        fleet.nodes[name].gate.pause()


def stop(fleet: Fleet, text: str):
    for name in names_in(text):
        fleet.nodes[name].gate.pause()
        fleet.peer_network.stop(name)


def nothing(fleet: Fleet, text: str):
    """Leave everything as it is."""


FAULTS = {
    'are cut off together': cut_together,
    'cut off from the log and all nodes': cut_from_all,
    'cut off from the log': cut_from_log,
    'cut off from each other': cut_regions,
    'pauses until the withdrawal': pause,
    'dead': stop,
    'nothing': nothing,
}


def inject_fault(fleet: Fleet, text: str):
    fleet.fault_at = now()
    fault = next(found for words, found in FAULTS.items() if words in text)
    fault(fleet, text)


@when('nothing else happens')
def step_nothing(context: Context):
    step_fault(context, 'nothing')


@when('node {text}')
@when('nodes {text}')
@when('the regions {text}')
def step_fault(context: Context, text: str):
    async def act(fleet: Fleet):
        inject_fault(fleet, text)

    run_action(context, act)


@when('the key is withdrawn {seconds:d} s later')
def step_withdraw(context: Context, seconds: int):
    async def act(fleet: Fleet):
        await asyncio.sleep(seconds)
        await fleet.withdraw()
        for node in fleet.nodes.values():
            node.gate.resume()
        await asyncio.sleep(60)

    run_action(context, act)


@then(
    'no node accepts the key {seconds:d} s after the withdrawal was confirmed'
)
def step_stopped(context: Context, seconds: int):
    fleet = context.fleet
    assert not isinstance(fleet.result, Failure), fleet.result
    accepting = {
        name
        for name, node in fleet.nodes.items()
        if any(node.worked(fleet.confirmed_at + seconds, float('inf')))
    }
    assert not accepting, accepting
    assert all(
        node.results[-1][0] > fleet.confirmed_at + 50
        for node in fleet.nodes.values()
    )


def expected_nodes(fleet: Fleet, where: str) -> set[str]:
    if where == 'every node':
        return set(fleet.names)
    if where == 'no node':
        return set()
    if where.startswith('all but'):
        return set(fleet.names) - set(names_in(where))
    return set(names_in(where))


@then('before the withdrawal the key worked on {where}')
def step_before(context: Context, where: str):
    fleet = context.fleet
    since = fleet.fault_at + 10
    worked = {
        name
        for name, node in fleet.nodes.items()
        if all(found := node.worked(since, fleet.withdrawn_at)) and found
    }
    assert worked == expected_nodes(fleet, where), worked


@when('the store is down for {seconds:d} s and {also}')
def step_outage(context: Context, seconds: int, also: str):
    async def act(fleet: Fleet):
        fleet.world.service.is_down = True
        inject_fault(fleet, also)
        await asyncio.sleep(seconds)

    run_action(context, act)


def nodes_alive(fleet: Fleet) -> dict[str, Node]:
    return {
        name: node
        for name, node in fleet.nodes.items()
        if not node.gate.is_paused
    }


@then('the key works on {where} throughout the outage')
def step_throughout(context: Context, where: str):
    fleet = context.fleet
    assert where == 'every node'
    for name, node in nodes_alive(fleet).items():
        worked = node.worked(fleet.fault_at, float('inf'))
        assert len(worked) > 2000
        assert all(worked), (name, worked.index(False))


@then('{seconds:d} s into the outage the key works on {where} only')
def step_only(context: Context, seconds: int, where: str):
    fleet = context.fleet
    worked = {
        name
        for name, node in nodes_alive(fleet).items()
        if any(node.worked(fleet.fault_at + seconds, float('inf')))
    }
    assert worked == expected_nodes(fleet, where), worked
    for name in worked:
        assert all(fleet.nodes[name].worked(fleet.fault_at, float('inf')))


@then('the operator is told that the outcome is unknown')
def step_unknown(context: Context):
    assert isinstance(context.fleet.result, OutcomeUnknown)


@when('a key for "{team}" is made')
def step_make(context: Context, team: str):
    context.key = make_key(team, 'desk', 0.0)


@then('its text has the form bsk_ID_SECRET with a secret of 256 bits')
def step_form(context: Context):
    assert KEY_TEXT.fullmatch(context.key.text), context.key.text


def fold(*records) -> ClusterState:
    state = ClusterState()
    blob = encode_batch(Batch('writer', 1, list(records)))
    state.apply_entry(Entry(1, blob))
    return state


@then('neither the record nor the snapshot holds the secret')
def step_secret(context: Context):
    secret = context.key.text.rpartition('_')[2]
    snapshot = encode_state(fold(context.key.record).to_wire())
    for kept in (snapshot, repr(context.key.record).encode()):
        assert secret.encode() not in kept
        assert bytes.fromhex(secret) not in kept
    assert context.key.record.digest in snapshot


@given('a key for "{team}" that works and one that was withdrawn')
def step_two(context: Context, team: str):
    works, withdrawn = make_key(team, '', 0.0), make_key(team, '', 0.0)
    context.keys = fold(
        works.record,
        withdrawn.record,
        KeyWithdrawn(withdrawn.record.key_id, 1.0),
    ).keys
    text = works.text
    other = make_key(team, '', 0.0).text
    context.texts = {
        'the key': text,
        'the withdrawn key': withdrawn.text,
        'the key with another secret': text[:30] + other[30:],
        'the key with another id': other[:20] + text[20:],
        'the key with another prefix': text.replace('bsk', 'bsx'),
        'the key followed by a space': f'{text} ',
        'an empty text': '',
        'a text of a million characters': text + 'x' * 10**6,
    }


@then('{text} gives {result}')
def step_check(context: Context, text: str, result: str):
    found = check_key(context.keys, context.texts[text])
    expected = found.name if isinstance(found, Unauthenticated) else found
    assert expected == result, found


@given(
    'a node that trusts a majority for at most {seconds:d} s without the log'
)
def step_trust(context: Context, seconds: int):
    context.trust = KeyTrust(BOUND_S, max_without_log_s=seconds)
    context.trust.record_complete(0.0)


@when('the majority vouches every second for {hours:d} h without the log')
def step_vouch(context: Context, hours: int):
    members = [NodeRef(f'n{number}', 1) for number in range(3)]
    electorate = VouchingElectorate(1, frozenset(members))
    context.ended_at = None
    for second in range(hours * 3600):
        vouchers = [Voucher(member, 0, float(second)) for member in members[:2]]
        context.trust.apply_vouchers(float(second), vouchers, electorate)
        if context.ended_at is None and not context.trust.is_trusted(second):
            context.ended_at = second


@then("the node's trust ended {seconds:d} s after it last read the log")
def step_ended(context: Context, seconds: int):
    assert seconds <= context.ended_at <= seconds + BOUND_S + 1, (
        context.ended_at
    )
