"""Steps for the peer network."""

import asyncio
import math
import random

from behave import given, then, when
from behave.runner import Context

from berylspread.kernel import Failure, now
from berylspread.kernel.errors import Internal, QuotaExceeded
from berylspread.model import NodeRef
from berylspread.peers import Message, message
from berylspread_standins import Endpoint, LocalPeers, PeerNetwork
from features.support import run_virtual

REGIONS = {'a1': 'south', 'a2': 'south', 'b1': 'north'}
REFUSED, RAISING = -1, -2


@message
class Number(Message):
    """A number, with padding to be of a size."""

    number: int
    padding: bytes = b''


@message
class Echo(Message):
    """The answer to a number."""

    number: int


class Nodes:
    """Three nodes that note what they handle."""

    def __init__(self) -> None:
        """Start the nodes."""
        self.peers = PeerNetwork(random.Random(1))
        self.handled: list[int] = []
        self.hangs = False
        self.arrived_at = 0.0
        for name in REGIONS:
            self.start(name)

    def start(self, name: str) -> LocalPeers:
        """Start a node, or start it again."""
        node = self.peers.start(Endpoint(name, REGIONS[name], f'{name}-zone'))
        node.register_handler(Number, self._handle)
        return node

    async def _handle(self, source: NodeRef, body: Number) -> Echo | Failure:
        self.handled.append(body.number)
        self.arrived_at = now()
        if body.number == REFUSED:
            return QuotaExceeded('at its limit', team='team')
        if self.hangs:
            await asyncio.Event().wait()
        if body.number == RAISING:
            raise ArithmeticError
        return Echo(number=body.number)


def _cut(nodes: Nodes, source: str, target: str) -> None:
    nodes.peers.network.cut(source, target)


def _pause(nodes: Nodes, name: str, seconds: float) -> None:
    gate = nodes.peers.nodes[name].gate
    gate.pause()
    asyncio.get_running_loop().call_later(seconds, gate.resume)


def _restart(nodes: Nodes) -> None:
    fresh = nodes.peers.start(Endpoint('a2', 'south'))

    async def answer(source: NodeRef, body: Number) -> Echo:
        return Echo(number=body.number)

    fresh.register_handler(Number, answer)


def _restart_in_flight(nodes: Nodes) -> None:
    asyncio.get_running_loop().call_later(0.0001, _restart, nodes)


def _rate(nodes: Nodes, name: str, probability: float) -> None:
    rates = nodes.peers.network.rates
    setattr(rates, name, probability)


FAULTS = {
    'none': lambda nodes: None,
    'cut from a1 to a2': lambda nodes: _cut(nodes, 'a1', 'a2'),
    'cut from a2 to a1': lambda nodes: _cut(nodes, 'a2', 'a1'),
    'cut from south to north': lambda nodes: _cut(nodes, 'south', 'north'),
    'every message dropped': lambda nodes: _rate(nodes, 'drop', 1),
    'every message doubled': lambda nodes: _rate(nodes, 'duplicate', 1),
    'every second message reordered': lambda nodes: _rate(
        nodes, 'reorder', 0.5
    ),
    'a2 is paused for 1 s': lambda nodes: _pause(nodes, 'a2', 1),
    'a2 is paused for 3 s': lambda nodes: _pause(nodes, 'a2', 3),
    'a1 is paused for 1 s': lambda nodes: _pause(nodes, 'a1', 1),
    'a1 is paused for 3 s': lambda nodes: _pause(nodes, 'a1', 3),
    'handlers hang': lambda nodes: setattr(nodes, 'hangs', True),
    'a2 has stopped': lambda nodes: nodes.peers.stop('a2'),
    'a2 starts again': _restart,
    'a2 starts again in flight': _restart_in_flight,
}


@given('nodes a1 and a2 in one region and b1 in another')
def given_nodes(context: Context) -> None:
    context.fault = FAULTS['none']


@given('the network fault "{fault}"')
def given_fault(context: Context, fault: str) -> None:
    context.fault = FAULTS[fault]


def ask(context: Context, asker: str, asked: str, number: int) -> None:
    """Ask a question under the fault and keep the answer."""

    async def run() -> None:
        context.nodes = Nodes()
        context.fault(context.nodes)
        started_at = now()
        node = context.nodes.peers.nodes[asker]
        context.answer = await node.request(
            asked, Number(number=number), Echo, timeout_s=2
        )
        context.elapsed_s = now() - started_at
        await asyncio.sleep(10)

    run_virtual(run())


@when('{asker} asks {asked} with a timeout of 2 seconds')
def when_asks(context: Context, asker: str, asked: str) -> None:
    ask(context, asker, asked, 1)


@when('a1 asks b1 for something that its handler refuses')
def when_refused(context: Context) -> None:
    ask(context, 'a1', 'b1', REFUSED)


@when('a1 asks b1 for something that makes its handler raise')
def when_raises(context: Context) -> None:
    ask(context, 'a1', 'b1', RAISING)


def tell(context: Context, count: int, padding: bytes) -> None:
    """Tell b1 numbers at once, under the fault."""

    async def run() -> None:
        context.nodes = Nodes()
        context.fault(context.nodes)
        teller = context.nodes.peers.nodes['a1']
        for number in range(count):
            teller.send('b1', Number(number=number, padding=padding))
        await asyncio.sleep(20)

    run_virtual(run())


@when('a1 tells b1 {count:d} numbers')
def when_tells(context: Context, count: int) -> None:
    tell(context, count, b'')


@when('a1 tells b1 {count:d} messages of {size:d} bytes')
def when_tells_much(context: Context, count: int, size: int) -> None:
    tell(context, count, b'x' * size)


@then('the question is unanswered')
def then_unanswered(context: Context, *, sent: bool = True) -> None:
    assert isinstance(context.answer, Failure), context.answer
    assert context.answer.name == 'peer-unreachable'
    assert context.answer.fields['sent'] is sent


@then('the question is not sent')
def then_unsent(context: Context) -> None:
    then_unanswered(context, sent=False)


@then('the question is answered within {seconds:g} s')
def then_answered(context: Context, seconds: float) -> None:
    assert context.answer == Echo(number=1), context.answer
    assert context.elapsed_s <= seconds, context.elapsed_s


@then('the handler ran {times:d} times')
def then_handled(context: Context, times: int) -> None:
    assert len(context.nodes.handled) == times, context.nodes.handled


@then('b1 got {count:d} numbers in order')
def then_in_order(context: Context, count: int) -> None:
    assert context.nodes.handled == list(range(count))


@then('b1 got {count:d} numbers out of order')
def then_out_of_order(context: Context, count: int) -> None:
    assert sorted(context.nodes.handled) == list(range(count))
    assert context.nodes.handled != list(range(count))


@then('the last arrives after about {seconds:g} seconds at 15 Mbit/s')
def then_last(context: Context, seconds: float) -> None:
    found = context.nodes.arrived_at
    assert math.isclose(found, seconds, abs_tol=0.2), found


@then('the link carried about {size:d} bytes of {purpose}')
def then_carried(context: Context, size: int, purpose: str) -> None:
    found = context.nodes.peers.network.sent_bytes()[purpose]
    assert size <= found < size * 1.02, found


@then('b1 got between {least:d} and {most:d} numbers')
def then_between(context: Context, least: int, most: int) -> None:
    assert least <= len(context.nodes.handled) <= most, len(
        context.nodes.handled
    )


@then("the answer is the handler's quota-exceeded failure")
def then_refused(context: Context) -> None:
    assert context.answer == QuotaExceeded('at its limit', team='team')


@then('the answer is an internal failure')
def then_internal(context: Context) -> None:
    assert isinstance(context.answer, Internal), context.answer
