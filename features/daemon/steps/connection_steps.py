"""Steps for connections over loopback; they run in real time."""

import asyncio
import collections
import itertools

from behave import given, then, when
from behave.runner import Context

from features.daemon.loopback import MAX_BODY_BYTES, LoopbackNode

#: A chunk of 512 bytes in chunked transfer encoding.
CHUNK = b'200\r\n%b\r\n' % bytes(512)
BEHAVIOURS = {
    'stops half way': ([b'half'], 0.0, 8),
    'never begins': ([], 0.0, 8),
    'trickles byte by byte': (itertools.repeat(b'x', 100), 0.05, 100),
    'grows past the bound': (itertools.repeat(CHUNK, 3), 0.0, None),
}


@given('an entry node on loopback that waits 0.3 seconds for a body')
def step_node(context: Context) -> None:
    context.runner_ = asyncio.Runner()
    context.add_cleanup(context.runner_.close)
    start_node(context, LoopbackNode())


def start_node(context: Context, node: LoopbackNode) -> None:
    """Start the node; a cleanup stops it at the end of the scenario."""
    context.node = node
    context.runner_.run(node.start())
    context.address = node.server.address
    context.add_cleanup(lambda: context.runner_.run(node.server.stop()))


@when('a caller sends a body that {behaviour}')
def step_misbehave(context: Context, behaviour: str) -> None:
    context.answer, context.closed = context.runner_.run(
        context.node.send_chunks(*BEHAVIOURS[behaviour])
    )


@when('a caller sends body bytes until {late_s:f} seconds past the time limit')
def step_send_late(context: Context, late_s: float) -> None:
    context.answer, context.closed = context.runner_.run(
        context.node.send_late(late_s)
    )


@when('a caller disconnects before the end of the body')
def step_disconnect(context: Context) -> None:
    async def disconnect() -> None:
        _reader, writer = await context.node.open_call(MAX_BODY_BYTES)
        writer.write(b'half')
        await writer.drain()
        writer.close()
        await writer.wait_closed()

    context.runner_.run(disconnect())


@then('the connection is closed')
def step_closed(context: Context) -> None:
    assert context.closed


@then('the router got {count:d} calls')
def step_calls(context: Context, count: int) -> None:
    assert len(context.node.entry.router.calls) == count


@then('another call is answered')
def step_answered(context: Context) -> None:
    answer = context.runner_.run(context.node.call())
    assert (answer.status_code, answer.content) == (200, b'proof')


@when('the node stops while a call is in flight')
def step_stop(context: Context) -> None:
    async def stop() -> None:
        call = asyncio.create_task(context.node.call())
        await context.node.entry.router.called.wait()
        await context.node.server.stop()
        context.answer = await call

    context.runner_.run(stop())


@then('the call in flight gets its complete response')
def step_call_answered(context: Context) -> None:
    assert context.answer.status_code == 200
    assert context.answer.content == b'proof'


@then('a new connection is refused')
def step_connection_refused(context: Context) -> None:
    host, port = context.address.rsplit(':', 1)

    async def connect() -> bool:
        try:
            await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        return False

    assert context.runner_.run(connect())


@when('the node is leaving')
def step_leaving(context: Context) -> None:
    context.node.is_leaving = True


@then('a response closes its connection')
def step_closing(context: Context) -> None:
    answer = context.runner_.run(context.node.call())
    assert answer.status_code == 200
    assert answer.headers['Connection'] == 'close', answer.headers


@when('{count:d} calls are sent at once to a node with a limit of {limit:d}')
def step_many(context: Context, count: int, limit: int) -> None:
    start_node(context, LoopbackNode(max_in_flight=limit))

    async def call_all() -> list:
        return await asyncio.gather(
            *(context.node.call() for _ in range(count))
        )

    context.answers = context.runner_.run(call_all())


@then('{answered:d} are answered and {refused:d} is refused as {name}')
def step_bounded(
    context: Context, answered: int, refused: int, name: str
) -> None:
    codes = collections.Counter(
        answer.status_code for answer in context.answers
    )
    assert codes == {200: answered, 503: refused}, codes
    problem = next(
        answer.json() for answer in context.answers if answer.status_code == 503
    )
    assert problem['type'].endswith(name), problem
