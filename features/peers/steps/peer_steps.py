"""Steps about messages between nodes on loopback."""

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
SETTINGS = PeerSettings(
    silence_s=0.3, max_backoff_s=0.3, accepts_set_back_clocks=True
)
#: The time limit of what happens soon, however busy the machine is.
WAIT_LIMIT_S = 20.0


@message
class EchoRequest(Message, frozen=True):
    """A request of a test; ``kind`` selects the server's method."""

    kind: str = ''
    number: int = 0


@message
class EchoReply(Message, frozen=True):
    """The reply to a request of a test."""

    number: int
    trace_id: str = ''


@message
class UnhandledRequest(Message, frozen=True):
    """A request for which no node has a handler."""


class Server:
    """Handles requests by their kind."""

    def __init__(self):
        self.seen = []
        self.may_reply = asyncio.Event()
        self.kinds = {
            'refused': self.refuse,
            'raising': self.raise_error,
            'silent': self.never_reply,
            'late': self.reply_late,
            'unencodable': self.reply_unencodable,
        }

    async def handle(self, _source, body):
        self.seen.append(body)
        return await self.kinds.get(body.kind, self.reply)(body)

    async def reply(self, body):
        context = trace.get_current_span().get_span_context()
        return EchoReply(body.number, str(context.trace_id))

    async def refuse(self, _body):
        return QuotaExceeded('too much', team='looms')

    async def raise_error(self, _body):
        raise ValueError('broken')

    async def never_reply(self, _body):
        await asyncio.sleep(3600)

    async def reply_unencodable(self, _body):
        return EchoReply(1 << 100)

    async def reply_late(self, body):
        await self.may_reply.wait()
        return EchoReply(body.number)


def run(context, work):
    return context.runner.run(work)


async def start(context, name, incarnation, listen='127.0.0.1:0'):
    peers = GrpcPeers(
        NodeRef(name, incarnation), context.addresses.get, SETTINGS
    )
    server = Server()
    peers.register_handler(EchoRequest, server.handle)
    port = await peers.start(listen)
    context.addresses[name] = f'127.0.0.1:{port}'
    context.nodes[name] = peers
    context.servers[name] = server
    context.started.append(peers)
    return peers


async def send_request(context, kind='', timeout_s=5.0, node='b', body=None):
    context.reply = await context.nodes['a'].request(
        node, body or EchoRequest(kind), EchoReply, timeout_s=timeout_s
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


@when('node a sends node b {count:d} requests at once')
def when_many(context, count):
    async def request_all():
        peers = context.nodes['a']
        return await asyncio.gather(
            *(
                peers.request(
                    'b', EchoRequest(number=one), EchoReply, timeout_s=5
                )
                for one in range(count)
            )
        )

    context.replies = run(context, request_all())


@then('each reply belongs to its request')
def then_own_replies(context):
    numbers = [reply.number for reply in context.replies]
    assert numbers == list(range(len(numbers)))


@then('fewer frames than requests were sent')
def then_frames(context):
    counters = context.nodes['a'].counters
    assert counters.sent_messages['EchoRequest'] == len(context.replies)
    assert counters.received_bytes['EchoReply'] > 0
    assert 0 < counters.sent_frames < len(context.replies) / 2


@when('node a sends a request to itself')
def when_self(context):
    run(context, send_request(context, node='a'))


@then('the reply comes without a stream')
def then_no_stream(context):
    assert isinstance(context.reply, EchoReply)
    assert not context.nodes['a'].links


@when('node a sends node b a request that its handler refuses')
def when_refused(context):
    run(context, send_request(context, 'refused'))


@when('node a sends node b a request without a handler')
def when_unhandled(context):
    run(context, send_request(context, body=UnhandledRequest()))


@when('node a sends node b a request whose handler raises')
def when_raises(context):
    run(context, send_request(context, 'raising'))


@when('node a sends node b a request whose reply cannot be encoded')
def when_unencodable(context):
    run(context, send_request(context, 'unencodable'))


@when('node a sends node b a request that never gets a reply')
def when_silent(context):
    run(context, send_request(context, 'silent', timeout_s=0.2))


@then('the failure is {name}')
def then_failure(context, name):
    assert context.reply.name == name, context.reply


@when('node a sends a request to node z')
def when_unknown(context):
    run(context, send_request(context, node='z'))


@when('node a sends node b a request with a short timeout')
def when_short(context):
    run(context, send_request(context, timeout_s=0.5))


@then('the failure says that nothing was sent')
def then_unsent(context):
    assert isinstance(context.reply, PeerUnreachable)
    assert context.reply.fields['sent'] is False


@when('node a sends a request whose reply comes after the timeout')
def when_late(context):
    async def request_late():
        is_sent = False
        while not is_sent:
            # On a busy machine, a request may time out before it is sent.
            await send_request(context)
            await send_request(context, 'late', timeout_s=0.2)
            is_sent = context.reply.fields['sent']
        context.servers['b'].may_reply.set()
        await until(lambda: dropped(context, 'a')['late-reply'])

    run(context, request_late())


@then('node a has dropped one late reply')
def then_dropped(context):
    assert context.reply.name == 'peer-unreachable'
    assert dropped(context, 'a')['late-reply'] == 1


@when('node b restarts as a new incarnation')
def when_restarts(context):
    async def restart():
        await send_request(context)
        address = context.addresses['b']
        await context.nodes['b'].stop()
        await start(context, 'b', 2, address)

    run(context, restart())


@when('node b restarts with its clock set back')
def when_set_back(context):
    async def restart():
        await send_request(context)
        await context.nodes['b'].request(
            'a', EchoRequest(), EchoReply, timeout_s=5
        )
        address = context.addresses['b']
        await context.nodes['b'].stop()
        await start(context, 'b', 0, address)

    run(context, restart())


@then('node b reaches node a')
def then_reaches_back(context):
    async def reach():
        context.reply = await context.nodes['b'].request(
            'a', EchoRequest(), EchoReply, timeout_s=1
        )

    run(context, reach())
    assert isinstance(context.reply, EchoReply), context.reply


@then('node a reaches node b again within {limit:g} seconds')
def then_reaches(context, limit):
    async def reach():
        async with asyncio.timeout(limit):
            await send_request(context, timeout_s=1)
            while not isinstance(context.reply, EchoReply):
                await asyncio.sleep(0.05)
                await send_request(context, timeout_s=1)

    run(context, reach())


@when('node a restarts while its former incarnation still runs')
def when_doubled(context):
    async def double():
        former = context.nodes['a']
        await send_request(context)
        await start(context, 'a', 2)
        await send_request(context)
        context.former_reply = await former.request(
            'b', EchoRequest(), EchoReply, timeout_s=0.3
        )
        await until(lambda: dropped(context, 'b')['stale-incarnation'])

    run(context, double())


@then('the former incarnation gets no reply from b')
def then_former_dropped(context):
    assert isinstance(context.reply, EchoReply)
    assert context.former_reply.name == 'peer-unreachable'
    assert dropped(context, 'b')['stale-incarnation'] == 1


@when('the address of b is that of node a')
def when_wrong_address(context):
    async def request_wrong():
        context.addresses['b'] = context.addresses['a']
        await send_request(context, timeout_s=0.3)
        await until(lambda: dropped(context, 'a')['wrong-target'])

    run(context, request_wrong())


@then('a request to b fails and no handler has run')
def then_wrong_target(context):
    assert context.reply.name == 'peer-unreachable'
    assert dropped(context, 'a')['wrong-target'] >= 1
    assert not context.servers['a'].seen


@when('node b hangs')
def when_hangs(context):
    """Use the address of a socket that accepts and never replies."""

    async def hang():
        hanging = socket.create_server(('127.0.0.1', 0))
        context.add_cleanup(hanging.close)
        context.address = context.addresses['b']
        port = hanging.getsockname()[1]
        context.addresses['b'] = f'127.0.0.1:{port}'

    run(context, hang())


@then('requests of a fail at their timeouts')
def then_timeouts(context):
    async def request_twice():
        for _ in range(2):
            reply = await send_request(context, timeout_s=0.5)
            assert reply.name == 'peer-unreachable'

    run(context, request_twice())


@when('node b can be reached at a new address')
def when_new_address(context):
    context.addresses['b'] = context.address


@when('node b is down and a sends a request with a short timeout')
def when_down(context):
    async def request_while_down():
        context.address = context.addresses['b']
        await context.nodes['b'].stop()
        await send_request(context, timeout_s=0.2)

    run(context, request_while_down())


@when('node b comes up')
def when_up(context):
    async def come_up():
        await start(context, 'b', 2, context.address)
        await send_request(context, 'after')

    run(context, come_up())


@then('node b never receives the request')
def then_never_received(context):
    assert [body.kind for body in context.servers['b'].seen] == ['after']


@when('node a sends node b a request within a span')
def when_span(context):
    tracer()

    async def request_in_span():
        with trace.get_tracer('features').start_as_current_span('own') as span:
            context.trace_id = span.get_span_context().trace_id
            await send_request(context)

    run(context, request_in_span())


@then('the spans of both nodes have its trace id')
def then_one_trace(context):
    names = {
        span.name
        for span in EXPORTER.get_finished_spans()
        if span.context.trace_id == context.trace_id
    }
    assert {'ask EchoRequest', 'serve EchoRequest', 'own'} <= names, names
    assert context.reply.trace_id == str(context.trace_id)


def tracer():
    provider = TracerProvider()
    provider.add_span_processor(SimpleSpanProcessor(EXPORTER))
    trace.set_tracer_provider(provider)


def dropped(context, name):
    return context.nodes[name].counters.dropped


async def until(holds):
    async with asyncio.timeout(WAIT_LIMIT_S):
        while not holds():
            await asyncio.sleep(0.01)
