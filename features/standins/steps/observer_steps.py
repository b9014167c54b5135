"""Steps for the observer."""

import asyncio
import re

from behave import given, then, when
from behave.runner import Context

from berylspread.model import Resources
from berylspread_standins import Execution, LimitHistory, Observer
from features.support import run_virtual

STEP = re.compile(r'([-+!~])(\w+)@(\w+)(?::(\d+))?')


def cores(count: int) -> Resources:
    """Return a number of cores."""
    return Resources(count * 1000)


async def play(observer: Observer, history: str) -> None:
    """Tell the observer a history."""
    started: dict[tuple[str, str], Execution] = {}
    for word in history.split():
        if word == 'check':
            observer.check_limits()
        elif word.isdecimal():
            await asyncio.sleep(int(word))
        else:
            tell(observer, started, word)


def tell(
    observer: Observer, started: dict[tuple[str, str], Execution], word: str
) -> None:
    """Tell the observer one start or end."""
    parsed = STEP.fullmatch(word)
    assert parsed, word
    sign, name, worker, size = parsed.groups()
    if sign == '-':
        unknown = Execution(worker, name, 0, 't', cores(3))
        observer.ended(started.pop((name, worker), unknown))
        return
    run = Execution(
        worker,
        name,
        0,
        't',
        cores(int(size)),
        is_once=sign == '!',
        is_call=sign == '~',
    )
    started[name, worker] = run
    observer.started(run)


@given('workers w1 and w2 with 4 cores each')
def given_workers(context: Context) -> None:
    context.limits = LimitHistory()
    context.observer = Observer(context.limits)
    for worker in ('w1', 'w2'):
        context.observer.add_worker(worker, cores(4))
    context.parts = []


@given('an upper limit of {count:d} cores for team "{team}"')
def given_limit(context: Context, count: int, team: str) -> None:
    async def part() -> None:
        context.limits.put(team, cores(count))
        # The limit has been in force for longer than the grace.
        await asyncio.sleep(100)

    context.parts.append(part)


@when('the limit is lowered to {count:d} cores')
def when_lowered(context: Context, count: int) -> None:
    async def part() -> None:
        context.limits.put('t', cores(count))

    context.parts.append(part)


@when('the workers run {history}')
def when_run(context: Context, history: str) -> None:
    async def part() -> None:
        await play(context.observer, history)

    context.parts.append(part)


def run_parts(context: Context) -> None:
    """Run everything that the scenario has said."""

    async def run() -> None:
        for part in context.parts:
            await part()

    run_virtual(run())


@then('the observer reports {violations}')
def then_reports(context: Context, violations: str) -> None:
    run_parts(context)
    kinds = [found.kind for found in context.observer.violations]
    expected = [] if violations == 'nothing' else [violations]
    assert kinds == expected, context.observer.violations


@then('the violation is of "{name}", 5 seconds in, and names both workers')
def then_evidence(context: Context, name: str) -> None:
    run_parts(context)
    assert len(context.observer.violations) == 1
    found = context.observer.violations[0]
    assert (found.subject, found.at) == (name, 105.0), found
    assert 'w1' in found.evidence
    assert 'w2' in found.evidence
