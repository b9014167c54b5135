"""Steps about a coordinator that is suspended while its orders wait."""

import asyncio
import itertools
import json
import math
import random
import shutil
import signal
import tempfile
from pathlib import Path

import aiohttp
from behave import given, then, when

from berylspread.kernel.clock import now
from berylspread_standins.process_soak.callers import (
    ACCEPTED,
    HEADERS,
    Handed,
)
from berylspread_standins.process_soak.faults import BOTH_WAYS, silence
from berylspread_standins.process_soak.fleet import TASK_MILLI, ProcessFleet
from berylspread_standins.process_soak.proxy import Direction

START_LIMIT_S = 30.0
#: A takeover, the wait for inherited leases, and the placement.
SUCCESSOR_LIMIT_S = 25.0
POLL_S = 0.002
#: How long the programs may take to hear of changed entries.
NEWS_S = 1.0
WORK_S = 60.0
JOB = '00000000000000aa'


class World:
    """The programs and what happens to them, on a loop that is kept."""

    def __init__(self, room):
        self.room = room
        self.loop = asyncio.new_event_loop()
        self.folder = Path(tempfile.mkdtemp(prefix='suspended-'))
        self.fleet = ProcessFleet(self.folder, random.Random(1))
        self.coordinator = None

    def run(self, work):
        """Run until the work is done."""
        return self.loop.run_until_complete(work)

    def close(self):
        """End the programs."""
        self.run(self.fleet.stop())
        self.loop.close()
        shutil.rmtree(self.folder)

    def write_room(self, name):
        """Let a worker write an entry with room for all tasks."""
        topic = self.fleet.store.topic('keyed.servers')
        blob = next(
            blob
            for key, blob in reversed(topic.records)
            if key == name and blob
        )
        room = {'cpu': self.room * TASK_MILLI, 'memMb': self.room, 'gpu': 0}
        entry = json.dumps({**json.loads(blob), 'capacity': room}).encode()
        self.fleet.store.append('keyed.servers', [(name, entry)])


async def _wait_for(condition, limit_s):
    ends_at = now() + limit_s
    while not condition():
        assert now() < ends_at, 'the condition did not come about'
        await asyncio.sleep(POLL_S)


@given('a worker "i-0" with room for {room:d} tasks that answers no order')
def step_world(context, room):
    context.world = World(room)
    context.add_cleanup(context.world.close)


def _work_long(task):
    return WORK_S, 'done'


async def _start(world, count):
    fleet = world.fleet
    await fleet.start(count, 2)
    for name in ('i-0', 'i-1'):
        fleet.workers[name].script = _work_long
    fleet.lapse_entry('i-1')
    world.write_room('i-0')
    orders = fleet.workers['i-0'].orders
    orders.mute, orders.delay_s = world.room, WORK_S
    ends_at = now() + START_LIMIT_S
    while not all([await node.is_ready() for node in fleet.nodes]):
        assert now() < ends_at, 'the programs are not ready'
    await asyncio.sleep(NEWS_S)


async def _hand_in(world, count):
    job = Handed(JOB, [count])
    url = f'http://{world.fleet.nodes[0].front}/q/{JOB}'
    async with (
        aiohttp.ClientSession() as session,
        session.post(url, json=job.body(), headers=HEADERS) as response,
    ):
        assert response.status == ACCEPTED, await response.text()
    orders = world.fleet.workers['i-0'].orders
    # All are placed in one pass; the first orders have arrived.
    await _wait_for(lambda: orders.mute < count, START_LIMIT_S)


@given('{count:d} programs that have placed a job of {tasks:d} tasks on "i-0"')
@given('{count:d} program that has placed a job of {tasks:d} tasks on "i-0"')
def step_job(context, count, tasks):
    context.world.run(_start(context.world, count))
    context.world.run(_hand_in(context.world, tasks))


@given('the coordinator is suspended while orders to "i-0" wait for others')
def step_suspend(context):
    world = context.world
    world.coordinator = world.fleet.coordinating_node()
    world.coordinator.send(signal.SIGSTOP)


@given('all others are cut off from "i-0"')
def step_cut(context):
    world = context.world
    for node in world.fleet.nodes:
        if node is not world.coordinator:
            silence(node.relays['i-0'], BOTH_WAYS)


@given('answers of "i-0" are lost')
def step_lost(context):
    silence(context.world.coordinator.relays['i-0'], {Direction.back})


@when('a successor has placed the tasks on "i-1"')
def step_placed(context):
    world = context.world
    world.write_room('i-1')
    history = world.fleet.workers['i-1'].history
    world.run(_wait_for(lambda: len(history) == world.room, SUCCESSOR_LIMIT_S))
    assert world.fleet.coordinating_node() is not world.coordinator


@when('{seconds:g} s have passed')
def step_pass(context, seconds):
    context.world.write_room('i-1')
    context.world.run(asyncio.sleep(seconds))


@when('the coordinator goes on for {seconds:g} s')
def step_continue(context, seconds):
    world = context.world
    orders = world.fleet.workers['i-0'].orders
    assert orders.mute > 0, 'no order waits'
    # What arrives from now on is carried out at once.
    orders.mute = 0
    world.coordinator.send(signal.SIGCONT)
    world.run(asyncio.sleep(seconds))


def _end(log):
    return math.inf if log.ended_at is None else log.ended_at


def _overlap(one, other):
    begin = max(one.started_at, other.started_at)
    return begin < min(_end(one), _end(other))


@then('no task has run twice at a time')
def step_once(context):
    workers = context.world.fleet.workers.values()
    logs = [log for worker in workers for log in worker.history]
    assert logs, 'nothing has run'
    twice = {
        one.task
        for one, other in itertools.combinations(logs, 2)
        if one.task == other.task and _overlap(one, other)
    }
    assert not twice, f'{len(twice)} of {len(logs)} runs: {sorted(twice)}'
