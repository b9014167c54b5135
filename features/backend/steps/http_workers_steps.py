"""Steps for the HTTP client of backend servers, over loopback sockets."""

import asyncio
import collections
import os
import runpy
import time
from collections.abc import Awaitable, Callable
from typing import Any
from unittest import mock

from behave import given, then, when
from behave.runner import Context

from berylspread.backend import (
    CallReply,
    CallRequest,
    SyncReply,
    SyncRequest,
    TaskStart,
)
from berylspread.backend.http_client import HttpBackendClient
from berylspread.kernel import Failure
from berylspread.model import Resources, Vm, VmRole
from berylspread_standins import Observer, Worker
from berylspread_standins.http_apps import workers_app
from berylspread_standins.serving import HttpServer
from features.backend.steps.scripted_server import BODY, ScriptedServer

TIMEOUT_S = 0.3
#: The behaviour of the scripted server that lets a call time out.
SILENT = 'does not respond'
LONG_TIMEOUT_S = 10.0
TIMEOUTS_S = (0.6, 0.6, 0.6, 0.6, 0.6, TIMEOUT_S)
SHAPE = Resources(1500, 64, 0, 1)
SAMPLE = 'examples/sample_worker.py'


def worker_vm(address: str) -> Vm:
    """Return the VM of a worker at an address."""
    return Vm('worker-1', VmRole.worker, address, 'south', 'south-a')


def call_request(number: int = 1, **fields: Any) -> CallRequest:
    """Return a call request with defaults for these features."""
    defaults = {
        'request_id': f'request-{number}',
        'attempt': 2,
        'team': 'team',
        'queue': 'queue',
        'unit': 'workers/south/rack-1',
        'epoch': 3,
        'timeout_s': TIMEOUT_S,
        'body': b'question',
    }
    return CallRequest(**(defaults | fields))


def describe(result: CallReply | SyncReply | Failure) -> str:
    """Describe a result in the words of the examples."""
    if isinstance(result, SyncReply):
        return 'report'
    if isinstance(result, CallReply):
        body = 'complete body' if result.body == BODY else 'other body'
        return f'status {result.status}, {body}'
    sent = result.fields.get('sent')
    if sent is None:
        return result.name
    return f'{result.name}, {"sent" if sent else "not sent"}'


def run_requests(
    context: Context,
    send: Callable[[HttpBackendClient, Vm], Awaitable[list[Any]]],
    connections: int = 5,
) -> None:
    """Start the scripted server, send requests and keep the results."""

    async def run() -> None:
        server = context.server
        await server.start()
        workers = HttpBackendClient(call_connections=connections)
        try:
            context.results = await send(workers, worker_vm(server.address))
        finally:
            await workers.close()
            await server.stop()

    asyncio.run(run())


@given('a backend server that {behaviour}')
def given_server(context: Context, behaviour: str) -> None:
    context.server = ScriptedServer(behaviour)


@when('a call is sent to it')
def when_call(context: Context) -> None:
    async def send(workers: HttpBackendClient, vm: Vm) -> list[Any]:
        is_silent = context.server.behaviour == SILENT
        timeout_s = TIMEOUT_S if is_silent else LONG_TIMEOUT_S
        return [await workers.call(vm, call_request(timeout_s=timeout_s))]

    run_requests(context, send)


@when('a sync is sent to it')
def when_sync(context: Context) -> None:
    async def send(workers: HttpBackendClient, vm: Vm) -> list[Any]:
        return [await workers.sync(vm, SyncRequest('unit', 3))]

    run_requests(context, send)


@when('{count:d} calls are sent to it at once with a share of {share:d}')
def when_calls(context: Context, count: int, share: int) -> None:
    async def send(workers: HttpBackendClient, vm: Vm) -> list[Any]:
        calls = [
            workers.call(vm, call_request(number, timeout_s=LONG_TIMEOUT_S))
            for number in range(count)
        ]
        return list(await asyncio.gather(*calls))

    run_requests(context, send, share)


@when(
    '6 calls, the last with the shortest timeout, are sent with a share of '
    '{share:d}'
)
def when_short_timeout(context: Context, share: int) -> None:
    async def send(workers: HttpBackendClient, vm: Vm) -> list[Any]:
        calls = [
            workers.call(vm, call_request(number, timeout_s=timeout_s))
            for number, timeout_s in enumerate(TIMEOUTS_S)
        ]
        return list(await asyncio.gather(*calls))

    run_requests(context, send, share)


@when('{count:d} calls are sent to it one after another')
def when_calls_in_turn(context: Context, count: int) -> None:
    async def send(workers: HttpBackendClient, vm: Vm) -> list[Any]:
        return [
            await workers.call(vm, call_request(one)) for one in range(count)
        ]

    run_requests(context, send)


@then('the call\'s result is "{result}"')
@then('the sync\'s result is "{result}"')
def then_result(context: Context, result: str) -> None:
    assert describe(context.results[0]) == result, context.results


@then('all {count:d} get a complete response')
def then_all_complete(context: Context, count: int) -> None:
    counts = collections.Counter(map(describe, context.results))
    assert counts == {'status 200, complete body': count}, counts


@then('{count:d} results are "{result}"')
@then('{count:d} result is "{result}"')
def then_results(context: Context, count: int, result: str) -> None:
    counts = collections.Counter(map(describe, context.results))
    assert counts[result] == count, counts


@then('the server saw {count:d} connections at most at once')
def then_max_connections(context: Context, count: int) -> None:
    assert context.server.max_open == count, context.server.max_open


@then('the server saw {count:d} connection in all')
def then_connections(context: Context, count: int) -> None:
    assert context.server.connections == count, context.server.connections


@given('worker stand-ins over HTTP')
def given_worker(context: Context) -> None:
    context.observer = Observer()


@when('a call with the id "{request_id}" and the team "{team}" is sent')
def when_named_call(context: Context, request_id: str, team: str) -> None:
    async def run() -> None:
        served: dict[int, Worker] = {}
        server = HttpServer(workers_app(served))
        vm = worker_vm(server.addresses[0])
        served[server.ports[0]] = Worker(vm, observer=context.observer)
        await server.start()
        workers = HttpBackendClient()
        context.request = call_request(
            request_id=request_id.replace(r'\n', '\n'),
            team=team,
            shape=SHAPE,
            body=b'{"run_s": 0, "idempotent": false}',
        )
        context.results = [await workers.call(vm, context.request)]
        await workers.close()
        await server.stop()

    asyncio.run(run())


@then('the worker ran it for that id and team, in that shape')
def then_named(context: Context) -> None:
    assert isinstance(context.results[0], CallReply), context.results
    request = context.request
    execution = context.observer.executed_once[request.request_id]
    assert (execution.team, execution.shape) == (request.team, SHAPE), execution


@given('the sample worker over HTTP')
def given_sample(context: Context) -> None:
    with mock.patch.dict(os.environ, {'VM_ID': 'worker-1'}):
        context.app = runpy.run_path(SAMPLE)['app']


@when('it is sent a task of 0.3 s and one of 60 s, with a lease of 0.5 s')
def when_tasks(context: Context) -> None:
    context.starts = [
        TaskStart(
            task=f'job/{index}',
            attempt=0,
            team='team',
            job_class='',
            shape=SHAPE,
            payload=payload,
            lease_s=0.5,
            not_after=time.time() + 60,
        )
        for index, payload in enumerate(('0.3', '60'))
    ]


@when('a call with the body "{body}"')
def when_body(context: Context, body: str) -> None:
    async def run() -> None:
        server = HttpServer(context.app)
        await server.start()
        vm = worker_vm(server.addresses[0])
        workers = HttpBackendClient()
        names = [start.task for start in context.starts]
        context.results = [
            await workers.sync(
                vm, SyncRequest('unit', 1, starts=context.starts, lease_s=0.5)
            ),
            await workers.call(vm, call_request(body=body.encode())),
        ]
        await asyncio.sleep(0.8)
        for acknowledged in ([], names):
            request = SyncRequest('unit', 1, acknowledged=acknowledged)
            context.results.append(await workers.sync(vm, request))
        await workers.close()
        await server.stop()

    asyncio.run(run())


def states(reply: SyncReply) -> list[str]:
    """Return the states of the tasks that a worker reports."""
    assert isinstance(reply, SyncReply), reply
    return [report.state.value for report in reply.tasks]


@then('it reports the first as {first} and the second as {second}')
def then_states(context: Context, first: str, second: str) -> None:
    assert states(context.results[0]) == ['running', 'running']
    assert states(context.results[2]) == [first, second]


@then('it drops both after they are acknowledged')
def then_drops(context: Context) -> None:
    assert not states(context.results[3])


@then('its response was "{body}"')
def then_body(context: Context, body: str) -> None:
    assert context.results[1].body == body.encode()
