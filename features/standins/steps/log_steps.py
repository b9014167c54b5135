"""Steps for the log stand-in."""

import asyncio
import math
import random

from behave import given, then, when
from behave.runner import Context

from berylspread.kernel import now
from berylspread.kernel.errors import Failure, LogUnavailable
from berylspread.log import Page
from berylspread_standins import LocalLog, LogService, Retention
from features.support import run_virtual

SETTLE_S = 60.0
PAUSE_S = 20.0
ENTRY = b'x' * 100
KEPT = {'entries': 'size', 'bytes': 'total_bytes', 'seconds': 'age_s'}


def _lose_answer(log: LocalLog) -> None:
    log.faults.lose_answer = 1.0


def _lose_all_answers(log: LocalLog) -> None:
    log.service.lose_answer = 1.0


def _duplicate(log: LocalLog) -> None:
    log.faults.duplicate = 1.0


def _cut(log: LocalLog) -> None:
    log.faults.is_cut = True


def _outage(log: LocalLog) -> None:
    log.service.is_down = True


def _slow(log: LocalLog) -> None:
    log.service.slow_s = log.timeout_s * 2


def _pause(log: LocalLog) -> None:
    log.gate.pause()
    asyncio.get_running_loop().call_later(PAUSE_S, log.gate.resume)


FAULTS = {
    'none': lambda log: None,
    'answer lost': _lose_answer,
    'all answers lost': _lose_all_answers,
    'duplicated append': _duplicate,
    'cut': _cut,
    'outage': _outage,
    'slow': _slow,
    'node paused': _pause,
}


def describe(answer: int | Failure) -> str:
    """Say what a client learns from the answer to an append."""
    if isinstance(answer, int):
        return f'offset {answer}'
    assert isinstance(answer, LogUnavailable)
    applied = answer.fields['may_have_applied']
    return 'may have applied' if applied else 'not applied'


@given('a log service and a client of it')
def given_log(context: Context) -> None:
    context.service = LogService()
    context.fault = FAULTS['none']


@given('a log service that keeps {amount:d} {what}')
def given_retention(context: Context, amount: int, what: str) -> None:
    retention = Retention(**{KEPT[what]: amount})
    context.service = LogService(retention=retention)


@given('the log fault "{fault}"')
def given_fault(context: Context, fault: str) -> None:
    context.fault = FAULTS[fault]


@when('the client appends an entry')
def when_append(context: Context) -> None:
    async def run() -> None:
        log = LocalLog(context.service, random.Random(1))
        context.fault(log)
        context.answer = await log.append(ENTRY)
        await asyncio.sleep(SETTLE_S)

    run_virtual(run())


@when('{count:d} entries are appended at once')
def when_many(context: Context, count: int) -> None:
    async def run() -> None:
        log = LocalLog(context.service, random.Random(1), timeout_s=SETTLE_S)
        async with asyncio.TaskGroup() as group:
            for _ in range(count):
                group.create_task(log.append(ENTRY))
        context.elapsed_s = now()

    run_virtual(run())


@when('10 entries of 100 bytes are appended, one a minute')
def when_minutes(context: Context) -> None:
    async def run() -> None:
        log = LocalLog(context.service, random.Random(1))
        for _ in range(10):
            await log.append(ENTRY)
            await asyncio.sleep(60)
        context.page = await log.read(1, limit=100, wait_s=0)

    run_virtual(run())


@when('a reader waits {wait_s:d} seconds for an entry that is {appended}')
def when_reader_waits(context: Context, wait_s: int, appended: str) -> None:
    async def run() -> None:
        log = LocalLog(context.service, random.Random(1))
        if appended == 'appended after 10':
            loop = asyncio.get_running_loop()
            loop.call_later(10, context.service.publish, ENTRY)
        context.page = await log.read(1, limit=100, wait_s=wait_s)
        context.elapsed_s = now()

    run_virtual(run())


@then('the append\'s answer is "{answer}"')
def then_answer(context: Context, answer: str) -> None:
    assert describe(context.answer) == answer, context.answer


@then('{count:d} entries are in the log in the end')
def then_entries(context: Context, count: int) -> None:
    assert context.service.end - 1 == count, context.service.end


@then('{count:d} entries or a few more are in the log in the end')
def then_about_entries(context: Context, count: int) -> None:
    assert count <= context.service.end - 1 <= count + 5


@then('the last answer comes after about {seconds:d} seconds')
def then_elapsed(context: Context, seconds: int) -> None:
    found = context.elapsed_s
    assert math.isclose(found, seconds, abs_tol=0.1), found


@then('the first retained offset is {first:d}')
def then_first(context: Context, first: int) -> None:
    assert context.service.first == first, context.service.first


@then('a reader from offset 1 gets {count:d} entries and sees the gap')
def then_gap(context: Context, count: int) -> None:
    assert isinstance(context.page, Page)
    assert len(context.page.entries) == count
    assert context.page.first > 1


@then('the reader got a page of {count:d} after about {seconds:d} seconds')
def then_page(context: Context, count: int, seconds: int) -> None:
    assert len(context.page.entries) == count
    then_elapsed(context, seconds)
