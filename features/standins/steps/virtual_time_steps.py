"""Steps for the event loop in virtual time."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine
from typing import Any

from behave import given, then, when
from behave.runner import Context

from berylspread_standins.virtual_time import VirtualTimeStalledError
from features.support import run_virtual

# Room for what the loop's rounding adds to a timer.
TOLERANCE_S = 1e-6


async def observe(context: Context, main: Coroutine[Any, Any, object]) -> None:
    """Await a coroutine and keep its result or error and the times."""
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    try:
        context.answer = await main
    finally:
        context.virtual_s = loop.time() - started_s


def run_observed(context: Context, main: Coroutine[Any, Any, object]) -> None:
    """Run a coroutine in virtual time and keep its result and the times."""
    started_s = time.perf_counter()
    run_virtual(observe(context, main), limit_s=None)
    context.wall_s = time.perf_counter() - started_s


def run_failing(context: Context, main: Coroutine[Any, Any, object]) -> None:
    """Run a coroutine in virtual time that has to fail; keep its error."""
    try:
        run_observed(context, main)
    except (ArithmeticError, TimeoutError, VirtualTimeStalledError) as error:
        context.error = error
        return
    raise AssertionError('the run has not failed')


async def sleep_and_log(log: list[tuple[float, int]], after: float) -> None:
    """Sleep three times and log the clock after each."""
    for step in range(3):
        await asyncio.sleep(after)
        log.append((asyncio.get_running_loop().time(), step))


async def run_all(delays: list[float]) -> list[tuple[float, int]]:
    """Run one task for each delay and return what they logged."""
    log: list[tuple[float, int]] = []
    async with asyncio.TaskGroup() as group:
        for delay in delays:
            group.create_task(sleep_and_log(log, delay))
    return log


async def fire_timers(delays: list[float]) -> list[float]:
    """Set timers and return the times at which they fire."""
    loop = asyncio.get_running_loop()
    fired: list[float] = []

    def fire() -> None:
        fired.append(loop.time())

    for delay in delays:
        loop.call_later(delay, fire)
    await asyncio.sleep(max(delays) + 1)
    return fired


async def sleep_often(times: int, seconds: float) -> None:
    """Sleep several times."""
    for _ in range(times):
        await asyncio.sleep(seconds)


async def wait_forever() -> None:
    """Wait for an event that nobody sets."""
    await asyncio.Event().wait()


def fail() -> None:
    """Raise the error that the scenario names."""
    raise ZeroDivisionError


async def call_in_executor(function: Callable[[], object]) -> object:
    """Hand a function to the default executor."""
    return await asyncio.get_running_loop().run_in_executor(None, function)


@given('timers after {first:d}, {second:d} and {third:d} seconds')
def step_timers(
    context: Context,
    first: int,
    second: int,
    third: int,
) -> None:
    context.delays = [float(first), float(second), float(third)]


@when('the timers run in virtual time')
def step_run_timers(context: Context) -> None:
    run_observed(context, fire_timers(context.delays))


@then('they fired after {first:d}, {second:d} and {third:d} seconds')
def step_fired(context: Context, first: int, second: int, third: int) -> None:
    assert context.answer == [first, second, third], context.answer


@when('a task sleeps for {seconds:d} seconds in virtual time')
def step_sleep(context: Context, seconds: int) -> None:
    run_observed(context, asyncio.sleep(seconds))


@when('a task sleeps {times:d} times for {seconds:f} seconds in virtual time')
def step_sleep_often(context: Context, times: int, seconds: float) -> None:
    run_observed(context, sleep_often(times, seconds))


@when('a wait without end has a timeout of {seconds:d} seconds in virtual time')
def step_wait_with_timeout(context: Context, seconds: int) -> None:
    run_failing(context, asyncio.wait_for(wait_forever(), seconds))


@when('a wait without end runs in virtual time')
def step_wait(context: Context) -> None:
    run_failing(context, wait_forever())


@when('a function runs in the executor in virtual time')
def step_executor(context: Context) -> None:
    run_observed(context, call_in_executor(lambda: 'result'))


@when('a function that fails runs in the executor in virtual time')
def step_executor_fails(context: Context) -> None:
    run_failing(context, call_in_executor(fail))


@given('{count:d} tasks that sleep for random times')
def step_random_tasks(context: Context, count: int) -> None:
    context.delays = [random.uniform(0, 10) for _ in range(count)]


@when('the tasks run twice in virtual time')
def step_run_twice(context: Context) -> None:
    context.runs = [run_virtual(run_all(context.delays)) for _ in range(2)]


@then('both runs have the same course')
def step_same_course(context: Context) -> None:
    first, second = context.runs
    assert len(first) == 3 * len(context.delays)
    assert first == second


@then('{seconds:d} seconds of virtual time have passed')
def step_virtual_passed(context: Context, seconds: int) -> None:
    assert abs(context.virtual_s - seconds) < TOLERANCE_S, context.virtual_s


@then('less than {seconds:d} seconds of wall time have passed')
def step_wall_passed(context: Context, seconds: int) -> None:
    assert context.wall_s < seconds, context.wall_s


@then('the run fails with {name}')
def step_fails(context: Context, name: str) -> None:
    assert context.error.__class__.__name__ == name, context.error


@then("the function's result is returned")
def step_returned(context: Context) -> None:
    assert context.answer == 'result'
