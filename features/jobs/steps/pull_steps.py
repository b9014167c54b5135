"""Steps about pull requests that the scenario sends itself."""

import asyncio
from typing import Any

from behave import given, then, when
from behave.runner import Context

from berylspread.jobs.home import JobHome
from berylspread.kernel import Failure, now
from berylspread.model import ZERO
from berylspread.partition.messages import (
    PullAsk,
    PullLine,
    PullReply,
    TaskGrant,
    UnitEpoch,
)
from features.support import fault_steps
from features.support.fault_steps import new_world

RACK = 'workers/central-java/pekalongan-rack-1'


def home(context: Context) -> JobHome:
    """Return the home of the job."""
    world = context.world
    unit = world.job.home
    node = world.sim(world.owner_name(unit)).running
    return node.homes.roles[unit].jobs


def pull_request(
    context: Context,
    number: int,
    count: int,
    *,
    rack_age: int = 0,
    home_age: int = 0,
) -> PullAsk:
    """Return a pull request of the rack.

    ``rack_age`` and ``home_age`` are how many epochs the request is behind.
    """
    found = home(context)
    rack = UnitEpoch(RACK, found.reconciler.reconciled_epochs[RACK] - rack_age)
    target = UnitEpoch(found.unit.unit, found.unit.epoch - home_age)
    class_id = next(iter(found.job_table.demand_classes))
    return PullAsk(rack, target, number, [PullLine(class_id, count)])


def send_request(context: Context, message: PullAsk) -> None:
    """Send the request to the home and keep the reply."""
    reply = context.world.run(home(context).handle_pull(message))
    context.world.answers.append(reply)


def grants(reply: Any) -> list[TaskGrant]:
    """Return the tasks in a reply."""
    if isinstance(reply, Failure):
        return []
    assert isinstance(reply, PullReply)
    return [grant for line in reply.grants for grant in line]


def pending(context: Context) -> int:
    """Return the number of pending tasks at the home."""
    return len(home(context).job_table.jobs[context.world.job.job_id].pending)


@given('a fleet without room, with pull requests sent by the scenario')
def step_without_room(context: Context) -> None:
    new_world(context, 'one rack', capacity=ZERO)


@given('a job of {tasks:d} tasks came to {queue}')
def step_job(context: Context, tasks: int, queue: str) -> None:
    context.world.submit(queue, tasks)
    context.world.sleep(1.0)


@given('the log delays its replies by {seconds:g} s')
def step_slow(context: Context, seconds: float) -> None:
    context.world.cluster.log.slow_s = seconds


@given('each append to the log fails after 3 s')
def step_failing(context: Context) -> None:
    world = context.world
    appender = home(context).context.appender

    async def append(*records: Any) -> Failure:
        await asyncio.sleep(3.0)
        return fault_steps.LOG_DOWN

    home(context).context.appender = FailingAppender(append)
    assert appender is not None
    assert world.job is not None


class FailingAppender:
    """An appender on which every append fails after a delay."""

    def __init__(self, append: Any) -> None:
        self.append = append


@when('the rack requests {count:d} tasks under sequence number {number:d}')
def step_request(context: Context, count: int, number: int) -> None:
    send_request(context, pull_request(context, number, count))


@when(
    'the rack requests {count:d} tasks'
    ' under sequence number {number:d} and an older epoch'
)
def step_older_rack(context: Context, count: int, number: int) -> None:
    send_request(context, pull_request(context, number, count, rack_age=1))


@when(
    'the rack requests {count:d} tasks under sequence number {number:d}'
    ' and an older epoch of the home'
)
def step_older_home(context: Context, count: int, number: int) -> None:
    send_request(context, pull_request(context, number, count, home_age=1))


@when(
    'the rack requests {count:d} tasks under sequence number {number:d},'
    ' twice, {apart:g} s apart'
)
def step_twice(context: Context, count: int, number: int, apart: float) -> None:
    message = pull_request(context, number, count)
    pull = home(context).handle_pull
    context.requested_at = context.world.time()

    async def request_after(delay_s: float) -> tuple[Any, float]:
        await asyncio.sleep(delay_s)
        return await pull(message), now()

    async def request_twice() -> list[tuple[Any, float]]:
        return await asyncio.gather(request_after(0), request_after(apart))

    context.future_steps = context.world.run(request_twice())
    context.world.answers = [reply for reply, _at in context.future_steps]


@then('both replies contain the same {count:d} tasks')
def step_same(context: Context, count: int) -> None:
    first, second = (grants(reply) for reply in context.world.answers)
    assert len(first) == count, first
    assert first == second, (first, second)


@then('the replies have no task in common')
def step_other(context: Context) -> None:
    first, second = (
        {grant.task for grant in grants(reply)}
        for reply in context.world.answers
    )
    assert first, first
    assert second, second
    assert not first & second, first & second


@then('{count:d} tasks are still pending')
def step_waiting(context: Context, count: int) -> None:
    assert pending(context) == count, pending(context)


@then('the last request is refused as {name}')
def step_refused(context: Context, name: str) -> None:
    reply = context.world.answers[-1]
    assert isinstance(reply, Failure), reply
    assert reply.name == name, reply


@then('neither reply came before the starts were in the log')
def step_after_log(context: Context) -> None:
    earliest = context.requested_at + context.world.cluster.log.slow_s
    for reply, replied_at in context.future_steps:
        assert isinstance(reply, Failure) or replied_at >= earliest, (
            f'{len(grants(reply))} tasks after'
            f' {replied_at - context.requested_at:.3f} s'
        )


@then('no reply contains a task')
def step_no_task(context: Context) -> None:
    found = [grants(reply) for reply in context.world.answers]
    assert not any(found), found


@when(
    'the rack requests {count:d} tasks under sequence number {number:d},'
    ' with a timeout of {seconds:g} s'
)
def step_timeout(
    context: Context, count: int, number: int, seconds: float
) -> None:
    async def request_with_timeout() -> None:
        try:
            async with asyncio.timeout(seconds):
                await home(context).handle_pull(
                    pull_request(context, number, count)
                )
        except TimeoutError:
            return
        raise AssertionError('the reply came before the timeout')

    context.world.run(request_with_timeout())


@then('the last reply contains {count:d} tasks')
def step_last_contains(context: Context, count: int) -> None:
    reply = context.world.answers[-1]
    assert len(grants(reply)) == count, reply
