"""Steps about the whole program on loopback."""

import asyncio
import contextlib
import json
import socket

import aiohttp
from behave import given, then, when

from berylspread.coordinator import DecisionLog
from berylspread.coordinator.interface import WorkerEntry
from berylspread.kernel.clock import now
from berylspread.model import Resources
from berylspread_platform.program import Program
from berylspread_platform.settings import parse_settings
from berylspread_standins.coordinated import (
    PermissionServiceStandin,
    StoreStandin,
    WorkerStandin,
)
from berylspread_standins.coordinated.wire import (
    AdviceApp,
    StoreApp,
    WorkerApp,
)
from berylspread_standins.serving import HttpServer

JOB_ID = '5c0e7a21d94b36f8'
HEADERS = {'Host': 'host.example', 'X-Api-Key': 'k1', 'Deadline-Ms': '3000'}
#: Time limit for what usually takes a second, because the machine may be busy.
WAIT_LIMIT_S = 20.0
JOB = {
    'spec': 'text',
    'steps': [
        {'count': 2, 'cpu': 500, 'memMb': 256},
        {'count': 1, 'cpu': 500, 'dependsOn': [0]},
    ],
}
CONFIG = {
    'version': 1,
    'routes': [
        {
            'name': 'r-1',
            'host': 'host.example',
            'pathPrefix': '/q/',
            'service': 'desk',
            'advice': {'decideMs': 20, 'eachMs': 1, 'validMs': 2000},
        }
    ],
    'tenants': [{'name': 'acme', 'apiKeys': ['k1'], 'weight': 7}],
}
SETTINGS = """
nodeName = "entry-1"
ip = "127.0.0.1"
zone = "z1"
region = "r1"
portRange = [{peer},{peer}]
advice = "127.0.0.1:{advice}"
[listenAddrs]
front = "127.0.0.1:{front}"
readyAddr = "127.0.0.1:{ready}"
metrics = "127.0.0.1:{metrics}"
[platform]
address = "127.0.0.1:{store}"
"""
PORT_NAMES = ('peer', 'advice', 'front', 'ready', 'metrics', 'store', 'worker')


def _free_ports():
    sockets = [socket.socket() for _ in PORT_NAMES]
    for each in sockets:
        each.bind(('127.0.0.1', 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return dict(zip(PORT_NAMES, ports, strict=True))


class World:
    """Runs the platform, the program and a caller in one event loop."""

    def __init__(self):
        self.ports = _free_ports()
        self.task_s = 0.1
        self.runner = asyncio.Runner()
        self.run = self.runner.run
        self.stack = contextlib.AsyncExitStack()
        self.task = None
        self.session = None

    async def start_platform(self):
        store = StoreStandin()
        entry = {
            'service': 'desk',
            'address': f'127.0.0.1:{self.ports["worker"]}',
            'zone': 'z1',
            'state': 'ready',
            'capacity': {'cpu': 4000, 'memMb': 4000, 'gpu': 0},
            'labels': ['a', 'r1-1'],
        }
        self.worker = WorkerStandin(
            WorkerEntry('i-1', 'desk', '', 'z1', True, Resources(), born_ms=1),
            lambda task: (self.task_s, 'done'),
        )
        store.append('keyed.op', [('config', json.dumps(CONFIG).encode())])
        store.append('keyed.servers', [('i-1', json.dumps(entry).encode())])
        for app, port_name in (
            (StoreApp(store), 'store'),
            (WorkerApp(self.worker), 'worker'),
            (AdviceApp(PermissionServiceStandin()), 'advice'),
        ):
            server = HttpServer(app, [self.ports[port_name]])
            await server.start()
            self.stack.push_async_callback(server.stop)
        self.session = await self.stack.enter_async_context(
            aiohttp.ClientSession()
        )

    async def start_program(self):
        settings = parse_settings(SETTINGS.format(**self.ports), 'test')
        program = Program(settings, DecisionLog('entry-1', lambda line: None))
        self.task = asyncio.create_task(program.run())
        self.program = program

    async def stop(self):
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            await self.program.close()
        await self.stack.aclose()

    async def request(self, method, port_name, path, body=None):
        url = f'http://127.0.0.1:{self.ports[port_name]}{path}'
        async with self.session.request(
            method, url, json=body, headers=HEADERS
        ) as response:
            return response.status, await response.text()

    async def wait_until(self, is_met, seconds=WAIT_LIMIT_S):
        ends_at = now() + seconds
        while True:
            found = await is_met()
            if found:
                return found
            assert now() < ends_at, 'the condition was not met in time'
            await asyncio.sleep(0.05)

    async def is_ready(self):
        try:
            status, _ = await self.request('GET', 'ready', '/api/readyz')
        except aiohttp.ClientError:
            return False
        return status == 200

    async def job_state(self):
        _, text = await self.request('GET', 'front', f'/q/{JOB_ID}')
        return json.loads(text).get('state')


def _close(context):
    context.world.run(context.world.stop())
    context.world.runner.close()


@given(
    "the platform's store, one worker and the permission service on loopback"
)
def step_platform(context):
    context.world = World()
    context.add_cleanup(_close, context)
    context.world.run(context.world.start_platform())


@given('tasks that take {seconds:g} s')
def step_task_time(context, seconds):
    context.world.task_s = seconds


@given('the program with its settings file')
def step_program(context):
    context.world.run(context.world.start_program())


@when('the node reports that it is ready')
def step_ready(context):
    context.world.run(context.world.wait_until(context.world.is_ready))


@when('a caller submits a job of 2 steps')
def step_submit(context):
    response = context.world.run(
        context.world.request('POST', 'front', f'/q/{JOB_ID}', JOB)
    )
    context.status = response[0]


@when('the caller cancels it once its state is "{state}"')
def step_cancel(context, state):
    async def has_state():
        return await context.world.job_state() == state

    context.world.run(context.world.wait_until(has_state))
    status, _ = context.world.run(
        context.world.request('DELETE', 'front', f'/q/{JOB_ID}')
    )
    assert status == 200, status


@then('the job is accepted')
def step_accepted(context):
    assert context.status == 200, context.status


@then('within {seconds:g} s the state of the job is "{state}"')
def step_state(context, seconds, state):
    async def has_state():
        return await context.world.job_state() == state

    context.world.run(context.world.wait_until(has_state, seconds))


@then('within {seconds:g} s the worker runs nothing')
def step_idle(context, seconds):
    async def is_idle():
        return not context.world.worker.running

    context.world.run(context.world.wait_until(is_idle, seconds))


@then('the worker ran each of its {count:d} tasks once')
def step_once(context, count):
    names = [log.task for log in context.world.worker.history]
    assert len(names) == count == len(set(names)), names


@then('the metrics count {count:d} runs that have ended')
def step_metrics(context, count):
    _, text = context.world.run(
        context.world.request('GET', 'metrics', '/metrics')
    )
    line = f'berylspread_events_total{{event="run-ended"}} {float(count)}'
    assert line in text, text
