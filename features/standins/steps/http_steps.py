"""Steps for the stand-ins' servers and the library's HTTP clients."""

import asyncio
import tempfile
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

from behave import given, then, when
from behave.runner import Context

from berylspread.backend import SyncRequest, TaskStart
from berylspread.backend.http_client import HttpBackendClient
from berylspread.log import Page
from berylspread.log.http_client import HttpLog
from berylspread.membership.http_directory import (
    HttpDirectory,
    VmListUnavailable,
)
from berylspread.model import Resources, VmRole
from berylspread_standins.servers import ServerOptions, StandinServers

#: The time limit of a call that the server leaves unanswered.
TIMEOUT_S = 0.3
#: The same for a call that it answers, however busy the machine is.
LONG_TIMEOUT_S = 10.0
UNANSWERED = frozenset(('loses answers', 'is slow'))
ALL_BYTES = bytes(range(256))
FILES = {
    'one entry VM': (
        '[{"vm_id": "entry-1", "role": "entry", "address": "127.0.0.1:1",'
        ' "region": "south", "zone": "south-a"}]'
    ),
    'something else': 'not JSON',
    'nothing at all': '',
}


def _fail(servers: StandinServers) -> None:
    servers.service.is_down = True


def _lose(servers: StandinServers) -> None:
    servers.service.lose_answer = 1.0


def _slow_down(servers: StandinServers) -> None:
    servers.service.slow_s = 10 * TIMEOUT_S


CONDITIONS = {
    'is in an outage': _fail,
    'loses answers': _lose,
    'is slow': _slow_down,
}


def converse(
    context: Context, talk: Callable[[StandinServers], Awaitable[Any]]
) -> None:
    """Serve the stand-ins, talk to them, and keep the answer."""

    async def run() -> None:
        servers = StandinServers(context.options)
        context.service = servers.service
        await servers.start()
        if context.condition == 'does not listen':
            await servers.stop()
        CONDITIONS.get(context.condition, lambda _: None)(servers)
        try:
            context.answer = await talk(servers)
        finally:
            await servers.stop()

    asyncio.run(run())


@given('stand-in servers with {workers:d} workers')
def given_servers(context: Context, workers: int) -> None:
    context.options = ServerOptions(workers=workers)
    context.condition = 'is up'


@given('the log server {condition}')
def given_condition(context: Context, condition: str) -> None:
    context.condition = condition


@given('a file of further VMs that holds {held}')
def given_file(context: Context, held: str) -> None:
    directory = tempfile.TemporaryDirectory()
    context.add_cleanup(directory.cleanup)
    path = Path(directory.name) / 'vms.json'
    path.write_text(FILES[held], encoding='utf-8')
    workers = context.options.workers
    context.options = ServerOptions(workers=workers, vms_file=str(path))


def talk_to_log(
    context: Context, talk: Callable[[HttpLog], Awaitable[Any]]
) -> None:
    """Talk to the log server with the library's client."""

    async def run(servers: StandinServers) -> Any:
        url = f'http://{servers.addresses.log}'
        is_silent = context.condition in UNANSWERED
        log = HttpLog(url, timeout_s=TIMEOUT_S if is_silent else LONG_TIMEOUT_S)
        answer = await talk(log)
        await log.close()
        return answer

    converse(context, run)


@when('an entry is appended over HTTP')
def when_appended(context: Context) -> None:
    talk_to_log(context, lambda log: log.append(ALL_BYTES))


@when('5 entries of all bytes are appended over HTTP')
def when_five(context: Context) -> None:
    async def talk(log: HttpLog) -> list[Any]:
        for _ in range(5):
            await log.append(ALL_BYTES)
        started_at = time.monotonic()
        pages = [
            await log.read(3, limit=100, wait_s=0),
            await log.read(6, limit=100, wait_s=TIMEOUT_S),
        ]
        context.elapsed_s = time.monotonic() - started_at
        return pages

    talk_to_log(context, talk)


@then('reading from offset 3 returns entries 3, 4 and 5 and the end 6')
def then_entries_read(context: Context) -> None:
    page = context.answer[0]
    assert isinstance(page, Page), page
    assert [entry.offset for entry in page.entries] == [3, 4, 5]
    assert {entry.blob for entry in page.entries} == {ALL_BYTES}
    assert page.end == 6


@then('reading from offset 6 waits and returns none')
def then_none_read(context: Context) -> None:
    assert not context.answer[1].entries
    assert context.elapsed_s >= TIMEOUT_S


@when('the VM list is fetched over HTTP')
def when_fetched(context: Context) -> None:
    async def talk(servers: StandinServers) -> Any:
        directory = HttpDirectory(f'http://{servers.addresses.vms}')
        listed = await directory.fetch()
        await directory.close()
        return listed

    converse(context, talk)


@then('it lists {count:d} workers in {racks:d} racks and {nodes:d} entry VMs')
def then_listed(context: Context, count: int, racks: int, nodes: int) -> None:
    workers = [vm for vm in context.answer if vm.role is VmRole.worker]
    assert len(workers) == count
    assert len({vm.rack for vm in workers}) == racks
    assert len(context.answer) - count == nodes


@then('it is unavailable')
def then_unavailable(context: Context) -> None:
    assert isinstance(context.answer, VmListUnavailable), context.answer


@when('a task is started on each listed worker over HTTP')
def when_each(context: Context) -> None:
    async def talk(servers: StandinServers) -> Any:
        workers = HttpBackendClient()
        replies = {}
        for vm in servers.listed():
            start = TaskStart(
                task=f'{vm.vm_id}/0',
                attempt=0,
                team='team',
                job_class='',
                shape=Resources(1000),
                payload='',
                lease_s=10.0,
                not_after=time.time() + 10,
            )
            replies[vm.vm_id] = await workers.sync(
                vm, SyncRequest('unit', 1, starts=[start], lease_s=10.0)
            )
        await workers.close()
        return replies

    converse(context, talk)


@then('each worker reports its own task, and only that')
def then_each(context: Context) -> None:
    assert len(context.answer) == context.options.workers
    for vm_id, reply in context.answer.items():
        tasks = [report.task for report in reply.tasks]
        assert (reply.worker, tasks) == (vm_id, [f'{vm_id}/0'])
