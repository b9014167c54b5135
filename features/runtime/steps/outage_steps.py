"""Steps about planned stops and outages."""

import asyncio
from typing import Any

from behave import then, when
from behave.runner import Context

from berylspread.backend import CallReply
from berylspread.kernel import Failure, RunState, now
from berylspread.model import VmState
from features.support import fault_steps
from features.support.fault_world import FaultWorld

CALL_QUEUE = 'order-status'
CALL_EVERY_S = 0.25
OUTAGE_CALL_EVERY_S = 20.0
REGIONS = ('central-java', 'east-java')


async def call_for(context: Context, seconds: float, every_s: float) -> None:
    """Call through every ready node in turn, and keep the outcomes."""
    world = context.world
    ends_at = now() + seconds
    while now() < ends_at:
        for sim in list(world.cluster.nodes.values()):
            if sim.node is not None and sim.node.is_ready:
                context.tasks.append(
                    asyncio.create_task(
                        world.cluster.call(
                            CALL_QUEUE, node=sim.endpoint.name, run_s=0.3
                        )
                    )
                )
        await asyncio.sleep(every_s)
    context.outcomes = await asyncio.gather(*context.tasks)


async def roll(world: FaultWorld) -> None:
    """Stop each node gracefully and start it again."""
    for sim in world.cluster.nodes.values():
        await sim.stop()
        await asyncio.sleep(1.0)
        await sim.start()
        await asyncio.sleep(4.0)


@when('a worker of the job is listed as leaving')
def step_leaving(context: Context) -> None:
    world = context.world
    worker = world.worker(world.runs_of(world.job)[0].worker)
    vms = world.cluster.vms
    world.call_soon(lambda: vms.put(_with_state(worker.vm, VmState.leaving)))
    context.leaving = worker


def _with_state(vm: Any, state: VmState) -> Any:
    fields = {name: getattr(vm, name) for name in vm.__struct_fields__}
    return type(vm)(**fields | {'state': state})


@when('{count:d} calls to {queue} are made')
def step_calls(context: Context, count: int, queue: str) -> None:
    world = context.world
    context.ran_there = world.cluster.observer.ran_at[context.leaving.vm.vm_id]

    async def call_all() -> list[Any]:
        return await asyncio.gather(
            *(world.cluster.call(queue) for _ in range(count))
        )

    context.outcomes = world.run(call_all())
    step_answered(context)


@when(
    'calls come for {seconds:g} s'
    ' while each node in turn stops and starts again'
)
def step_roll(context: Context, seconds: float) -> None:
    context.tasks = []

    async def both() -> None:
        await asyncio.gather(
            call_for(context, seconds, CALL_EVERY_S), roll(context.world)
        )

    context.world.run(both())


@when('the store is down for {seconds:g} s and calls come meanwhile')
def step_store_down(context: Context, seconds: float) -> None:
    world = context.world
    context.tasks = []
    world.cluster.log.is_down = True

    async def outage() -> None:
        context.submitted = await world.cluster.submit('ledger')
        await call_for(context, seconds, OUTAGE_CALL_EVERY_S)

    world.run(outage())
    world.cluster.log.is_down = False
    world.broken_at = world.time()


@when('the regions are cut for {seconds:g} s and calls come to both meanwhile')
def step_regions_cut(context: Context, seconds: float) -> None:
    world = context.world
    context.tasks = []
    pairs = (REGIONS, tuple(reversed(REGIONS)))
    for pair in pairs:
        world.cluster.network.cut(*pair)
    world.run(call_for(context, seconds, OUTAGE_CALL_EVERY_S))
    for pair in pairs:
        world.cluster.network.heal(*pair)
    world.broken_at = world.time()


@then('the leaving worker got no new work')
def step_no_new_work(context: Context) -> None:
    ran = context.world.cluster.observer.ran_at[context.leaving.vm.vm_id]
    assert ran == context.ran_there, (ran, context.ran_there)


@then('every call was answered')
def step_answered(context: Context) -> None:
    assert context.outcomes
    refused = [
        outcome
        for outcome in context.outcomes
        if not isinstance(outcome, CallReply)
    ]
    assert not refused, (
        f'{len(refused)} of {len(context.outcomes)}: {refused[:3]}'
    )


@then('the submission in the outage was refused as unknown')
def step_unknown(context: Context) -> None:
    assert isinstance(context.submitted, Failure), context.submitted
    assert context.submitted.run_state is RunState.unknown, context.submitted


@then('at most {count:d} tasks were started')
def step_at_most(context: Context, count: int) -> None:
    assert context.world.starts() <= count, context.world.starts()


@then('within {limit:g} s the first job has ended with {count:d} {state}')
def step_first(context: Context, limit: float, count: int, state: str) -> None:
    context.world.jobs.append(context.world.jobs[-2])
    fault_steps.step_ended(context, limit, count, state)
    context.world.jobs.pop()
