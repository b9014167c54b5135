"""Steps for timers that fire early."""

import asyncio
import math
import random
from collections.abc import Awaitable, Callable

from behave import then, when
from behave.runner import Context

from berylspread.backend import SyncRequest, TaskStart
from berylspread.kernel import now
from berylspread.model import Resources, Vm, VmRole
from berylspread_standins import (
    LocalLog,
    LogService,
    Worker,
    Workload,
    dump_workload,
)
from features.support import run_virtual

WAIT_S = 10.0
EARLY_S = 5e-10
VM = Vm('worker-1', VmRole.worker, '127.0.0.1:1', 'south', 'south-a')


async def _sync() -> None:
    await Worker(VM).sync(SyncRequest('unit', 1, wait_s=WAIT_S))


async def _read() -> None:
    log = LocalLog(LogService(), random.Random(1))
    await log.read(1, limit=1, wait_s=WAIT_S)


async def _lapse() -> None:
    worker = Worker(VM)
    start = TaskStart(
        task='job/0',
        attempt=0,
        team='team',
        job_class='',
        shape=Resources(1000),
        payload=dump_workload(Workload(run_s=None)),
        lease_s=WAIT_S,
        not_after=worker.wall.time() + 1,
    )
    await worker.sync(SyncRequest('unit', 1, starts=[start], lease_s=WAIT_S))
    await worker.sync(SyncRequest('unit', 1, seen=1, wait_s=10 * WAIT_S))


WAITS: dict[str, Callable[[], Awaitable[None]]] = {
    'a sync that waits': _sync,
    'a log reader that waits': _read,
    'a lease that lapses': _lapse,
}


@when('{waiting} meets another timer half a nanosecond before its end')
def when_meets(context: Context, waiting: str) -> None:
    async def run() -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(WAIT_S - EARLY_S, lambda: None)
        await WAITS[waiting]()
        context.elapsed_s = now()

    run_virtual(run())


@then('the wait ends after about 10 seconds')
def then_ends(context: Context) -> None:
    assert math.isclose(context.elapsed_s, WAIT_S, abs_tol=0.001)
