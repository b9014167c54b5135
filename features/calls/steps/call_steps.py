"""Steps about interactive calls."""

import asyncio
import itertools
from collections.abc import Coroutine
from typing import Any

import msgspec
from behave import given, then, when
from behave.runner import Context

from berylspread.backend import CallReply
from berylspread.kernel import Failure, RunState, now
from features.support.fault_steps import report
from features.support.fault_world import FaultWorld

SLOTS = 16
QUEUE = 'order-status'
LONG_DEADLINE_S = 10.0
#: Run time of the calls that arrive at a multiple of the capacity.
CALL_S = 0.5
MIN_GOODPUT = 0.9
#: How long slow workers continue a call after its deadline.
SLOW_S = 0.5


class MisdirectingClient:
    """A client of workers that returns responses to another call.

    It does so for the first ``mismatch_count`` responses and counts the calls.
    """

    def __init__(self, inner: Any) -> None:
        self.inner = inner
        self.mismatch_count = 1
        self.tries = 0

    async def call(self, vm: Any, request: Any) -> CallReply | Failure:
        """Run a call; the first responses get another request id."""
        self.tries += 1
        reply = await self.inner.call(vm, request)
        if self.mismatch_count and isinstance(reply, CallReply):
            self.mismatch_count -= 1
            return msgspec.structs.replace(reply, request_id='another')
        return reply


def entry_names(world: FaultWorld) -> list[str]:
    """Return the names of the running nodes."""
    return [name for name, sim in world.cluster.nodes.items() if sim.node]


def misdirect(
    world: FaultWorld, mismatch_count: int
) -> list[MisdirectingClient]:
    """Wrap the client of workers of every node; return the wrappers."""
    clients = []
    for name in entry_names(world):
        calls = world.sim(name).running.call_router
        client = MisdirectingClient(calls.workers)
        client.mismatch_count = mismatch_count
        calls.workers = client
        clients.append(client)
    return clients


def start_task(
    context: Context, work: Coroutine[Any, Any, Any]
) -> asyncio.Task:
    """Start a coroutine as a task that continues between the steps."""

    async def start() -> asyncio.Task:
        return asyncio.create_task(work)

    return context.world.run(start())


def wait_for(context: Context, task: asyncio.Task) -> Any:
    """Wait for a task and return its result."""

    async def wait() -> Any:
        return await task

    return context.world.run(wait())


async def timed_call(context: Context, queue: str, **options: Any) -> Any:
    """Run a call; record its id, outcome and duration."""
    world = context.world
    request_id = options.setdefault(
        'request_id', world.cluster.new_request_id()
    )
    started = now()
    outcome = await world.cluster.call(queue, **options)
    context.calls.append((request_id, outcome, now() - started))
    return outcome


def single_call(context: Context) -> tuple[str, Any, float]:
    """Return the only call of the scenario."""
    assert len(context.calls) == 1, context.calls
    return context.calls[0]


def execution_count(world: FaultWorld) -> int:
    """Return the number of call executions at workers."""
    return world.cluster.observer.counts['calls']


@given('every slot is taken by a call of {seconds:g} s')
def step_busy(context: Context, seconds: float) -> None:
    world = context.world
    context.calls = []
    context.entry = next(
        name
        for name in entry_names(world)
        if not world.sim(name).running.partitions.placer.owners
    )
    context.busy = [
        start_task(
            context,
            world.cluster.call(
                QUEUE,
                run_s=seconds,
                node=context.entry,
                timeout_s=seconds + 1.0,
            ),
        )
        for _ in range(SLOTS)
    ]
    world.sleep(0.2)
    running = sum(len(w.calls) for w in world.cluster.workers.values())
    assert running == SLOTS, running


@given('the next response of a worker is that to another call')
def step_mismatched(context: Context) -> None:
    misdirect(context.world, 1)


@given('every worker refuses connections')
def step_refuses(context: Context) -> None:
    for worker in context.world.cluster.workers.values():
        worker.connections = 0
    context.clients = misdirect(context.world, 0)


@when('a call to {queue} has a deadline of {seconds:g} s')
def step_call(context: Context, queue: str, seconds: float) -> None:
    context.calls = []
    context.ran_before = execution_count(context.world)
    context.world.run(timed_call(context, queue, timeout_s=seconds))


@when('a call to quote is repeated at another node {moment}')
def step_repeat(context: Context, moment: str) -> None:
    world = context.world
    context.calls = []
    context.ran_before = execution_count(world)
    home = world.home_name('quotes')
    first, second = [name for name in entry_names(world) if name != home][:2]
    request_id = world.run(new_id(world))
    options = {'request_id': request_id, 'run_s': 1.0, 'timeout_s': 20.0}
    task = start_task(
        context, timed_call(context, 'quote', node=first, **options)
    )
    if moment == 'while it runs':
        world.sleep(0.5)
    elif moment != 'at the same moment':
        wait_for(context, task)
    if moment == 'after its home has died':
        world.fail({home})
        world.sleep(15.0)
    world.run(timed_call(context, 'quote', node=second, **options))
    wait_for(context, task)


async def new_id(world: FaultWorld) -> str:
    """Return a request id with the present time."""
    return world.cluster.new_request_id()


@when('{count:d} calls to {queue} arrive at {rate:d} a second')
def step_call_rate(context: Context, count: int, queue: str, rate: int) -> None:
    context.calls = []
    context.world.run(send_calls(context, queue, count, 1 / rate))


@when('calls of 0.5 s arrive at {factor:d} times the capacity for {span:g} s')
def step_overload(context: Context, factor: int, span: float) -> None:
    context.calls = []
    started = context.world.time()
    rate = factor * SLOTS / CALL_S
    count = int(rate * span)
    context.world.run(
        send_calls(context, QUEUE, count, 1 / rate, run_s=CALL_S, timeout_s=2.0)
    )
    context.span = context.world.time() - started


async def send_calls(
    context: Context, queue: str, count: int, gap_s: float, **options: Any
) -> None:
    """Send calls at a constant rate to all nodes in turn."""
    names = itertools.cycle(entry_names(context.world))
    async with asyncio.TaskGroup() as group:
        for _ in range(count):
            group.create_task(
                timed_call(context, queue, node=next(names), **options)
            )
            await asyncio.sleep(gap_s)


@when('the entry node of the calls dies')
def step_entry_dies(context: Context) -> None:
    context.world.fail({context.entry})


@then('it is refused as {name} within {limit:g} s')
def step_refused_early(context: Context, name: str, limit: float) -> None:
    _id, outcome, took = single_call(context)
    assert isinstance(outcome, Failure), outcome
    assert outcome.name == name, outcome
    assert took <= limit, took
    report(context, took)


@then('it is answered within {limit:g} s')
def step_answered_in(context: Context, limit: float) -> None:
    _id, outcome, took = single_call(context)
    assert isinstance(outcome, CallReply), outcome
    assert took <= limit, took


@then('it is answered')
def step_answered(context: Context) -> None:
    request_id, outcome, _took = single_call(context)
    assert isinstance(outcome, CallReply), outcome
    assert outcome.request_id == request_id, outcome


@then('it is refused as {name}')
def step_refused(context: Context, name: str) -> None:
    _id, outcome, _took = single_call(context)
    assert isinstance(outcome, Failure), outcome
    assert outcome.name == name, outcome


@then('the call ran {times:d} times')
def step_ran(context: Context, times: int) -> None:
    ran = execution_count(context.world) - context.ran_before
    assert ran == times, ran


@then('one copy is answered and one is refused as {name}')
def step_one_copy(context: Context, name: str) -> None:
    outcomes = [outcome for _id, outcome, _took in context.calls]
    answered = [one for one in outcomes if isinstance(one, CallReply)]
    refused = [one.name for one in outcomes if isinstance(one, Failure)]
    assert len(answered) == 1, outcomes
    assert refused == [name], outcomes


@then('no call is answered')
def step_none_answered(context: Context) -> None:
    answered = [one for _id, one, _t in context.calls if not failed(one)]
    assert not answered, answered


def failed(outcome: Any) -> bool:
    """Return whether a call was not answered."""
    return isinstance(outcome, Failure)


@then('the workers were tried at most {count:d} times')
def step_tries(context: Context, count: int) -> None:
    tried = sum(client.tries for client in context.clients)
    # A worker in quarantine is not tried, so a few calls find no worker left.
    assert 0.9 * len(context.calls) <= tried <= count, tried


@then('within {limit:g} s every slot is free')
def step_slots_free(context: Context, limit: float) -> None:
    world = context.world
    unit = 'workers/central-java/pekalongan-rack-1'

    def is_free() -> bool:
        ledger = world.partition(unit).ledger
        return sum(v.free.slots for v in ledger.workers.values()) == SLOTS

    world.wait(is_free, limit)
    report(context, world.time() - world.broken_at)


@then('a call to {queue} is answered')
def step_call_answered(context: Context, queue: str) -> None:
    context.calls = []
    context.world.run(timed_call(context, queue))
    step_answered(context)


@then('at least 90% of the peak is served in time')
def step_goodput(context: Context) -> None:
    served = sum(not failed(one) for _id, one, _took in context.calls)
    peak = SLOTS / CALL_S * context.span
    report(context, 100 * served / peak)
    assert served >= MIN_GOODPUT * peak, f'{served} of {peak}'


@then('no call that was refused as not run has run')
def step_not_run_refusals(context: Context) -> None:
    executed = context.world.cluster.observer.executed
    untrue = [
        request_id
        for request_id, outcome, _took in context.calls
        if isinstance(outcome, Failure)
        and outcome.run_state is RunState.not_run
        and request_id in executed
    ]
    assert not untrue, untrue


@given(
    'every slot is taken by a call of {seconds:g} s with a deadline of '
    '{limit:g} s'
)
def step_busy_past_deadline(
    context: Context, seconds: float, limit: float
) -> None:
    world = context.world
    context.calls = []
    workers = world.cluster.workers.values()
    for worker in workers:
        worker.faults.slow_s = SLOW_S
    for _ in range(SLOTS):
        start_task(
            context, timed_call(context, QUEUE, run_s=seconds, timeout_s=limit)
        )
    world.sleep(0.2)
    for worker in workers:
        worker.faults.slow_s = 0.0
