"""Steps about a worker on loopback that answers starts late, in real time."""

import asyncio
from unittest import mock

from behave import given, then, when

from berylspread.coordinator.orders import OrderSender
from berylspread.kernel.clock import now
from berylspread_platform.http_calls import HttpClient
from berylspread_platform.workers import WorkerClient
from features.coordinator.cell import make_worker

BODY = b'{"clockMs":1}'
ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (len(BODY), BODY)
LATEST_S = 3.0
POLL_S = 0.005


async def _answer(context, reader, writer):
    while True:
        head = await reader.readuntil(b'\r\n\r\n')
        length = head.lower().partition(b'content-length: ')[2]
        await reader.readexactly(int(length.split(b'\r\n')[0]))
        if b'run-start' in head.partition(b'\r\n')[0]:
            await asyncio.sleep(context.start_s)
        else:
            context.stops_read.append(now())
        writer.write(ANSWER)


@given('a worker on loopback that answers orders to start {late:g} s late')
def step_late_worker(context, late):
    context.start_s, context.stops_read, context.handlers = late, [], []

    async def respond(reader, writer):
        context.handlers.append(asyncio.current_task())
        try:
            await _answer(context, reader, writer)
        except asyncio.IncompleteReadError:
            writer.close()

    context.runner_ = asyncio.Runner()
    context.add_cleanup(context.runner_.close)
    server = context.runner_.run(asyncio.start_server(respond, '127.0.0.1', 0))
    context.add_cleanup(server.close)
    context.port = server.sockets[0].getsockname()[1]


def _make_run(worker, index):
    run = mock.Mock(number=1, since=now(), stop_reason='', confirmed_at=None)
    run.task.name = f'a.0.0.{index}'
    run.task.checkpoint = ''
    run.task.worker_born_ms = worker.born_ms
    run.task.step.job.spec.payload = ''
    worker.runs[run.task.name] = run
    return run


def _make_coordinator():
    coordinator = mock.Mock(token=1)
    coordinator.authority.age_s.return_value = 0
    return coordinator


async def _order_all(context, sender, stopped):
    for run in context.runs:
        sender.start(run, '')
    await asyncio.sleep(context.start_s / 2)
    ordered_at = now()
    sender.stop(stopped, 'cancelled')
    while not context.stops_read and now() < ordered_at + LATEST_S:
        await asyncio.sleep(POLL_S)
    context.stop_s = now() - ordered_at
    await asyncio.sleep(LATEST_S - context.stop_s)


async def _send_orders(context, count):
    worker = make_worker(f'127.0.0.1:{context.port}')
    worker.clock.observe(1, now())
    http = HttpClient()
    await http.start()
    sender = OrderSender(worker, WorkerClient(http), _make_coordinator())
    context.runs = [_make_run(worker, index) for index in range(count)]
    stopped = _make_run(worker, count)
    try:
        await _order_all(context, sender, stopped)
    finally:
        sender.close()
        await http.close()
        await asyncio.gather(*context.handlers, return_exceptions=True)


@when('{count:d} orders to start and then one to stop are sent to it')
def step_send_orders(context, count):
    context.runner_.run(_send_orders(context, count))


@then('the worker has read the stop within {limit:g} s')
def step_stop_read(context, limit):
    assert context.stop_s <= limit, context.stop_s


@then('all orders to start have been answered')
def step_all_answered(context):
    unanswered = [run for run in context.runs if run.confirmed_at is None]
    assert not unanswered, len(unanswered)
