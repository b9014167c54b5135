"""Steps about the ways between nodes and workers."""

import asyncio
import json
import random
from pathlib import Path

import aiohttp
from behave import given, then, when

from berylspread.coordinator.interface import (
    Renewal,
    StartOrder,
    WorkerEntry,
)
from berylspread.kernel.clock import now
from berylspread.model import Resources
from berylspread_standins.coordinated import StoreStandin, WorkerStandin
from berylspread_standins.coordinated.lease import WorkerClock
from berylspread_standins.coordinated.wire import AnswerHold, StoreApp
from berylspread_standins.process_soak import (
    Direction,
    LoopbackProxy,
    ProcessFleet,
)
from berylspread_standins.process_soak.fleet import NodeProcess
from features.support.virtual_time import run_virtual

TIMEOUT = aiohttp.ClientTimeout(total=0.5)


@given("{count:d} nodes' ways to one worker")
def step_ways(context, count):
    context.way_count = count


async def _call(node, entry, token):
    address = json.loads(node.view_entry('w1', entry))['address']
    try:
        async with (
            aiohttp.ClientSession(timeout=TIMEOUT) as session,
            session.get(f'http://{address}/{token}') as response,
        ):
            return response.status
    except (aiohttp.ClientError, TimeoutError):
        return 0


async def _try_ways(context, way):
    context.reached = []

    async def serve(reader, writer):
        line = await reader.readline()
        if not line:
            # Silenced on its way.
            return
        context.reached.append(int(line.split()[1][1:]))
        writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    shared = LoopbackProxy(f'127.0.0.1:{port}')
    await shared.start()
    nodes = [NodeProcess(index, Path()) for index in range(context.way_count)]
    for node in nodes:
        await node.add_relay('w1', shared.address)
    nodes[0].relays['w1'].silent.add(Direction(way))
    entry = json.dumps({'address': shared.address}).encode()
    context.answered = [
        index
        for index, node in enumerate(nodes)
        if await _call(node, entry, index)
    ]
    for each in (shared, *(node.relays['w1'] for node in nodes)):
        await each.stop()
    server.close()


@when('the way of the first node is silent {way}')
def step_silent(context, way):
    asyncio.run(_try_ways(context, way))


def _numbers(text):
    return [int(each) for each in text.split(',')]


@then('the worker gets calls of nodes "{nodes}"')
def step_reaching(context, nodes):
    assert sorted(context.reached) == _numbers(nodes), context.reached


@then('answers come to nodes "{nodes}"')
def step_answered(context, nodes):
    assert context.answered == _numbers(nodes), context.answered


@given('a fleet of worker "{name}"')
def step_fleet(context, name):
    context.fleet = ProcessFleet(Path(), random.Random(1))
    context.fleet.worker_proxies[name] = LoopbackProxy('')
    context.fleet.store.append('keyed.servers', [(name, b'{}')])


@when('the entry of "{name}" lapses')
def step_lapses(context, name):
    context.fleet.lapse_entry(name)
    assert not context.fleet.store.newest('keyed.servers').items


@when('worker "{name}" is {state}')
def step_state(context, name, state):
    if state == 'gone':
        del context.fleet.worker_proxies[name]


@when('the entry of "{name}" is written')
def step_written(context, name):
    context.fleet.write_entry(name)


@then('the store shows the entries of "{names}"')
@then('the store shows the entries of ""')
def step_shown(context, names=''):
    shown = context.fleet.store.newest('keyed.servers').items
    assert [item.key for item in shown] == names.split()


async def _append_held(context, key):
    hold = AnswerHold()
    app = StoreApp(StoreStandin())
    app.answer_hold = hold
    name = key.encode()
    content = b'%c%b1' % (len(name), name)
    body = b'%b%b' % (len(content).to_bytes(4), content)
    answer = asyncio.create_task(app.append({'topic': 'keyed.jobs'}, body))
    await asyncio.wait((answer,), timeout=0.1)
    context.is_answered = answer.done()
    assert len(app.store.topic('keyed.jobs').records) == 1
    hold.released.set()
    assert (await answer)[0] == 200


@when(
    'an append of record "{key}" to "keyed.jobs" is answered while those of '
    'steps are held back'
)
def step_append_held(context, key):
    asyncio.run(_append_held(context, key))


@then('the answer is sent {when}')
def step_answer(context, when):
    assert context.is_answered is (when == 'at once')


def _worker():
    entry = WorkerEntry('w1', 'desk', '', 'z', True, Resources(), born_ms=1)
    return WorkerStandin(entry, lambda task: (1.0, 'done'))


@given('a worker that answers no order and carries it out {late:g} s late')
def step_late_worker(context, late):
    context.worker = _worker()
    context.worker.orders.mute = 1
    context.worker.orders.delay_s = late


@given('late orders {may} reach its next life')
def step_reach(context, may):
    context.worker.orders.reach_next_life = may == 'may'


async def _order(worker, course):
    order = StartOrder('a.0.0.0', 1, '', worker.clock_ms() + 1800, 1, '', '')
    ordering = asyncio.create_task(worker.start(order))
    await asyncio.sleep(0.1)
    if 'restarted' in course:
        worker.restart(WorkerClock(offset_ms=0))
    elif 'down' in course:
        worker.vanish()
    await ordering


@when('it is ordered to start a task and is {course}')
def step_order(context, course):
    asyncio.run(_order(context.worker, course))


@then('{count:d} runs have begun')
def step_begun(context, count):
    assert len(context.worker.history) == count


@given('a worker whose clock runs at {rate:g} of real time')
def step_slow_clock(context, rate):
    context.worker = _worker()
    context.clock = WorkerClock(rate=rate)


async def _grant(worker, clock, lease_ms):
    worker.restart(clock)
    began = now()
    worker.lease.hold(worker.clock_ms() + lease_ms)
    while not worker.has_lapsed(began, now()):
        await asyncio.sleep(0.01)
    return worker.lapses[0] - began, now() - began


@when('it grants a lease of {lease:d} ms')
def step_grant(context, lease):
    context.lapsed = asyncio.run(_grant(context.worker, context.clock, lease))


@then('the lease lapses between {least:g} and {most:g} s later')
def step_lapse_time(context, least, most):
    recorded, seen = context.lapsed
    assert least <= recorded <= min(seen, most), context.lapsed


async def _acknowledge(worker, after_s, lease_ms):
    until_ms = worker.clock_ms() + lease_ms
    worker.script = lambda task: (0.1, 'done')
    await worker.start(StartOrder('a.0.0.0', 1, '', until_ms, 1, '', ''))
    await asyncio.sleep(after_s)
    for acked in (0, 1):
        await worker.renew(Renewal(token=1, acked=acked, until_ms=0, wait_ms=0))


@when(
    'a run of 0.1 s on it ends and its end is acknowledged after {after:g} s '
    'of a lease of {lease:d} ms'
)
def step_acknowledge(context, after, lease):
    asyncio.run(_acknowledge(context.worker, after, lease))


@then('its end was {noted}')
def step_end_noted(context, noted):
    log = context.worker.history[0]
    assert log.outcome == 'done'
    assert log.is_noted is (noted == 'acknowledged')


@given('a worker that needs {seconds:g} s to kill a run')
def step_slow_kill(context, seconds):
    context.worker = _worker()
    context.worker.lease.kill_s = seconds


async def _hold_run(worker, lease_ms):
    until_ms = worker.clock_ms() + lease_ms
    await worker.start(StartOrder('a.0.0.0', 1, '', until_ms, 1, '', ''))
    await worker.has_ended.wait()


@when('a run of it holds a lease of {lease:d} ms')
def step_hold(context, lease):
    run_virtual(_hold_run(context.worker, lease))


@then('the run ends between {least:g} and {most:g} s later')
def step_killed(context, least, most):
    log = context.worker.history[0]
    assert log.outcome == 'lapsed'
    assert least <= log.ended_at - log.started_at <= most
