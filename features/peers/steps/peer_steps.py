"""Steps about streams between nodes, on loopback."""

import asyncio
import socket

from behave import given, then, when
from opentelemetry import trace
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from berylspread.kernel.errors import PeerUnreachable, QuotaExceeded
from berylspread.model import NodeRef
from berylspread.peers import GrpcPeers, Message, PeerSettings, message

EXPORTER = InMemorySpanExporter()
SETTINGS = PeerSettings(silence_s=0.3, max_backoff_s=0.3)


@message
class Question(Message, frozen=True):
    """What a test asks."""

    kind: str = ''
    number: int = 0


@message
class Answer(Message, frozen=True):
    """What a test is answered."""

    number: int
    trace_id: str = ''


@message
class Unheard(Message, frozen=True):
    """What no node has a handler for."""


class Server:
    """Answers by the kind of question."""

    def __init__(self):
        self.seen = []
        self.kinds = {
            'refused': self.refuse,
            'broken': self.break_down,
            'silent': self.stay_silent,
            'late': self.answer_late,
            'odd': self.answer_oddly,
        }

    async def handle(self, _source, body):
        self.seen.append(body)
        return await self.kinds.get(body.kind, self.answer)(body)

    async def answer(self, body):
        context = trace.get_current_span().get_span_context()
        return Answer(body.number, str(context.trace_id))

    async def refuse(self, _body):
        return QuotaExceeded('too much', team='looms')

    async def break_down(self, _body):
        raise ValueError('broken')

    async def stay_silent(self, _body):
        await asyncio.sleep(3600)

    async def answer_oddly(self, _body):
        return Answer(1 << 100)

    async def answer_late(self, body):
        await asyncio.sleep(0.2)
        return Answer(body.number)


def run(context, work):
    return context.runner.run(work)


async def start(context, name, incarnation, listen='127.0.0.1:0'):
    peers = GrpcPeers(
        NodeRef(name, incarnation), context.addresses.get, SETTINGS
    )
    server = Server()
    peers.register_handler(Question, server.handle)
    port = await peers.start(listen)
    context.addresses[name] = f'127.0.0.1:{port}'
    context.nodes[name] = peers
    context.servers[name] = server
    context.started.append(peers)
    return peers


async def ask(context, kind='', timeout_s=5.0, node='b', body=None):
    context.reply = await context.nodes['a'].request(
        node, body or Question(kind), Answer, timeout_s=timeout_s
    )
    return context.reply


@given('nodes a and b with streams between them')
def given_nodes(context):
    context.runner = asyncio.Runner()
    context.addresses = {}
    context.nodes = {}
    context.servers = {}
    context.started = []

    async def begin():
        await start(context, 'a', 1)
        await start(context, 'b', 1)

    async def end():
        for peers in context.started:
            await peers.stop()

    run(context, begin())
    context.add_cleanup(context.runner.close)
    context.add_cleanup(lambda: run(context, end()))


@when('node a asks node b {count:d} questions at once')
def when_many(context, count):
    async def ask_all():
        peers = context.nodes['a']
        return await asyncio.gather(
            *(
                peers.request('b', Question(number=one), Answer, timeout_s=5)
                for one in range(count)
            )
        )

    context.replies = run(context, ask_all())


@then('each answer belongs to its question')
def then_own_answers(context):
    numbers = [reply.number for reply in context.replies]
    assert numbers == list(range(len(numbers)))


@then('fewer frames than questions were needed')
def then_frames(context):
    counters = context.nodes['a'].counters
    assert counters.sent_messages['Question'] == len(context.replies)
    assert counters.received_bytes['Answer'] > 0
    assert 0 < counters.sent_frames < len(context.replies) / 2


@when('node a asks itself')
def when_self(context):
    run(context, ask(context, node='a'))


@then('the answer comes without a stream')
def then_no_stream(context):
    assert isinstance(context.reply, Answer)
    assert not context.nodes['a'].links


@when('node a asks node b what it refuses')
def when_refused(context):
    run(context, ask(context, 'refused'))


@when('node a asks node b what it has no handler for')
def when_unheard(context):
    run(context, ask(context, body=Unheard()))


@when('node a asks node b what its handler breaks on')
def when_broken(context):
    run(context, ask(context, 'broken'))


@when('node a asks node b what has no encoding')
def when_odd(context):
    run(context, ask(context, 'odd'))


@when('node a asks node b what it never answers')
def when_silent(context):
    run(context, ask(context, 'silent', timeout_s=0.2))


@then('the failure is {name}')
def then_failure(context, name):
    assert context.reply.name == name, context.reply


@when('node a asks node z')
def when_unknown(context):
    run(context, ask(context, node='z'))


@then('the failure says that nothing was sent')
def then_unsent(context):
    assert isinstance(context.reply, PeerUnreachable)
    assert context.reply.fields['sent'] is False


@when('node a asks for an answer that comes after its timeout')
def when_late(context):
    async def ask_late():
        await ask(context)
        await ask(context, 'late', timeout_s=0.05)
        await until(lambda: dropped(context, 'a')['late-reply'], 3)

    run(context, ask_late())


@then('one late reply has been dropped at a')
def then_dropped(context):
    assert context.reply.name == 'peer-unreachable'
    assert dropped(context, 'a')['late-reply'] == 1


@when('node b restarts as a new incarnation')
def when_restarts(context):
    async def restart():
        await ask(context)
        address = context.addresses['b']
        await context.nodes['b'].stop()
        await start(context, 'b', 2, address)

    run(context, restart())


@then('node a reaches node b again within {limit:g} seconds')
def then_reaches(context, limit):
    async def reach():
        async with asyncio.timeout(limit):
            await ask(context, timeout_s=1)
            while not isinstance(context.reply, Answer):
                await asyncio.sleep(0.05)
                await ask(context, timeout_s=1)

    run(context, reach())


@when('node a starts again while its former self still runs')
def when_doubled(context):
    async def double():
        former = context.nodes['a']
        await ask(context)
        await start(context, 'a', 2)
        await ask(context)
        context.former_reply = await former.request(
            'b', Question(), Answer, timeout_s=0.3
        )

    run(context, double())


@then('the former self gets no answer from b')
def then_not_heard(context):
    assert isinstance(context.reply, Answer)
    assert context.former_reply.name == 'peer-unreachable'
    assert dropped(context, 'b')['stale-incarnation'] == 1


@when('the address of b leads to node a')
def when_wrong_address(context):
    context.addresses['b'] = context.addresses['a']
    run(context, ask(context, timeout_s=0.3))


@then('a question to b fails and no handler has run')
def then_wrong_target(context):
    assert context.reply.name == 'peer-unreachable'
    assert dropped(context, 'a')['wrong-target'] >= 1
    assert not context.servers['a'].seen


@when('node b freezes')
def when_freezes(context):
    """Lead to a socket that accepts and never answers."""

    async def freeze():
        frozen = socket.create_server(('127.0.0.1', 0))
        context.add_cleanup(frozen.close)
        context.address = context.addresses['b']
        port = frozen.getsockname()[1]
        context.addresses['b'] = f'127.0.0.1:{port}'

    run(context, freeze())


@then('questions of a fail at their timeouts')
def then_timeouts(context):
    async def ask_twice():
        for _ in range(2):
            reply = await ask(context, timeout_s=0.5)
            assert reply.name == 'peer-unreachable'

    run(context, ask_twice())


@when('node b can be reached at a new address')
def when_new_address(context):
    context.addresses['b'] = context.address


@when('node b is down and a asks with a short timeout')
def when_down(context):
    async def ask_in_vain():
        context.address = context.addresses['b']
        await context.nodes['b'].stop()
        await ask(context, timeout_s=0.2)

    run(context, ask_in_vain())


@when('node b comes up')
def when_up(context):
    async def come_up():
        await start(context, 'b', 2, context.address)
        await ask(context, 'after')

    run(context, come_up())


@then('node b never sees the question')
def then_never_seen(context):
    assert [body.kind for body in context.servers['b'].seen] == ['after']


@when('node a asks node b within a span')
def when_span(context):
    tracer()

    async def ask_in_span():
        with trace.get_tracer('features').start_as_current_span('own') as span:
            context.trace_id = span.get_span_context().trace_id
            await ask(context)

    run(context, ask_in_span())


@then('the spans of both sides have its trace id')
def then_one_trace(context):
    names = {
        span.name
        for span in EXPORTER.get_finished_spans()
        if span.context.trace_id == context.trace_id
    }
    assert {'ask Question', 'serve Question', 'own'} <= names, names
    assert context.reply.trace_id == str(context.trace_id)


def tracer():
    provider = TracerProvider()
    provider.add_span_processor(SimpleSpanProcessor(EXPORTER))
    trace.set_tracer_provider(provider)


def dropped(context, name):
    return context.nodes[name].counters.dropped


async def until(holds, limit_s):
    async with asyncio.timeout(limit_s):
        while not holds():
            await asyncio.sleep(0.01)
