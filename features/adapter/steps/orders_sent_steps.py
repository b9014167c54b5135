"""Steps about a worker on loopback that breaks connections, in real time."""

import asyncio
import contextlib
import itertools

from behave import given, then, when

from berylspread.coordinator.interface import StartOrder, WorkerEntry
from berylspread.kernel.errors import Failure
from berylspread.model import Resources
from berylspread_platform import workers
from berylspread_platform.http_calls import HttpClient

BODY = b'{"clockMs":1}'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(BODY), BODY)
ORDER = StartOrder('a.0.0.0', 1, '', until_ms=1, token=1)

#: How many orders of a connection are read, and how many of them answered;
#: ``None`` reads on without an answer.
KINDS = {
    'closes each connection': (0, 0),
    'reads an order and closes': (1, 0),
    'answers one order and closes at another': (2, 1),
    'reads an order and does not answer': (None, 0),
}


async def _read_order(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    length = head.lower().partition(b'content-length: ')[2]
    await reader.readexactly(int(length.split(b'\r\n')[0]))


def _serve(context, read, answered):
    async def respond(reader, writer):
        context.handlers.append(asyncio.current_task())
        with contextlib.suppress(asyncio.IncompleteReadError):
            for number in itertools.count() if read is None else range(read):
                await _read_order(reader)
                context.orders_read += 1
                if number < answered:
                    writer.write(ANSWER)
        writer.close()

    return asyncio.start_server(respond, '127.0.0.1', 0)


@given('a worker on loopback that {kind}')
def step_worker(context, kind):
    context.handlers, context.orders_read = [], 0
    context.runner_ = asyncio.Runner()
    context.add_cleanup(context.runner_.close)
    server = context.runner_.run(_serve(context, *KINDS.get(kind, (0, 0))))
    context.add_cleanup(server.close)
    context.port = server.sockets[0].getsockname()[1]
    if kind not in KINDS:
        server.close()


@when('two orders are sent to it one after the other')
def step_send(context):
    entry = WorkerEntry(
        worker='w',
        service='desk',
        address=f'127.0.0.1:{context.port}',
        zone='z',
        is_ready=True,
        capacity=Resources(),
    )

    async def send():
        http = HttpClient()
        await http.start()
        try:
            client = workers.WorkerClient(http)
            await client.start(entry, ORDER)
            return await client.start(entry, ORDER)
        finally:
            await http.close()
            await asyncio.gather(*context.handlers, return_exceptions=True)

    context.result = context.runner_.run(send())


@then('the second order was certainly not sent')
def step_not_sent(context):
    assert isinstance(context.result, Failure)
    assert context.result.fields.get('sent') is False, context.result


@then('the second order may have been sent')
def step_may_be_sent(context):
    assert isinstance(context.result, Failure)
    assert context.result.fields.get('sent') is not False, context.result


@then('the worker has read {count:d} orders')
def step_orders_read(context, count):
    assert context.orders_read == count, context.orders_read
