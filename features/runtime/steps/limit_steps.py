"""Steps about a team's upper limit over two regions."""

import asyncio
from collections.abc import Callable
from typing import Any

from behave import given, then, when
from behave.runner import Context

from berylspread.jobs.shards import home_unit
from berylspread.kernel import now
from berylspread.log import ConfigApplied
from berylspread.model import Resources
from berylspread_standins.cluster import Cluster, Place
from berylspread_standins.virtual_time import VirtualTimeLoop
from features.support.fault_world import CENTRAL, EAST, EXAMPLE

PLACES = (
    Place(CENTRAL, 'pekalongan', 3, 1, 4),
    Place(EAST, 'sidoarjo', 3, 1, 4),
)
TEAM = 'inspection'
LARGE = 1 << 60
SAMPLE_S = 0.05


def document(limit: int) -> str:
    """Return the example with a limit on the team's tasks."""
    text = EXAMPLE.read_text('utf-8')
    return text.replace(
        f'[team {TEAM}]', f'[team {TEAM}]\nlimit_tasks = {limit}'
    )


def run(context: Context, coroutine: Any) -> Any:
    """Run a coroutine on the scenario's own loop."""
    return context.runner.run(coroutine)


def running(context: Context) -> int:
    """Return how many tasks of the team the workers run now."""
    used = context.cluster.observer.teams.get(TEAM, Resources())
    return used.slots


async def until(holds: Callable[[], bool], limit_s: float) -> bool:
    """Return whether a condition holds within a time."""
    ends_at = now() + limit_s
    while now() < ends_at:
        if holds():
            return True
        await asyncio.sleep(SAMPLE_S)
    return holds()


async def _sample(context: Context) -> None:
    while True:
        context.most = max(context.most, running(context))
        await asyncio.sleep(SAMPLE_S)


async def _start(context: Context, limit: int) -> None:
    context.cluster = Cluster(document(limit), places=PLACES)
    await context.cluster.start()
    await context.cluster.until_ready()
    await asyncio.sleep(2)
    context.most = 0
    context.sampler = asyncio.create_task(_sample(context))


@given('a fleet of two regions whose team inspection may run {limit:d} tasks')
def step_fleet(context: Context, limit: int) -> None:
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    run(context, _start(context, limit))

    def close() -> None:
        context.sampler.cancel()
        run(context, context.cluster.close())
        context.runner.close()

    context.add_cleanup(close)


@when('jobs of {tasks:d} tasks of {run_s:g} s come to inspect in both regions')
def step_jobs(context: Context, tasks: int, run_s: float) -> None:
    async def submit() -> list[Any]:
        specs = [
            await context.cluster.submit(
                'inspect', tasks=tasks, run_s=run_s, node=node
            )
            for node in ('pekalongan-1', 'sidoarjo-1')
        ]
        await asyncio.sleep(3)
        return specs

    context.specs = run(context, submit())


@when('nothing else happens')
def step_nothing(context: Context) -> None:
    """Leave the fleet alone."""


async def _kill_owners(context: Context, units: list[str]) -> None:
    node = context.cluster.node()
    names = {node.context.owner(unit)[0].node for unit in units}
    for name in sorted(names):
        await context.cluster.nodes[name].kill()
    await asyncio.sleep(1)
    for name in sorted(names):
        await context.cluster.nodes[name].start()


@when("the team's homes die")
def step_homes_die(context: Context) -> None:
    found = context.cluster.node().context
    units = [home_unit(found, TEAM, region) for region in (CENTRAL, EAST)]
    run(context, _kill_owners(context, units))


@when("the racks' owners die")
def step_owners_die(context: Context) -> None:
    units = list(context.cluster.node().context.owners('workers/'))
    run(context, _kill_owners(context, units))


@when('the limit is lowered to {limit:d}')
def step_lower(context: Context, limit: int) -> None:
    async def apply() -> None:
        node = context.cluster.node()
        version = node.context.document_follower.version
        await node.appender.append(
            ConfigApplied('production', version, document(limit), 'operator')
        )
        context.cluster.limits.put(TEAM, Resources(LARGE, LARGE, LARGE, limit))

    run(context, apply())


@then('at no time more than {limit:d} tasks of the team run')
def step_never_more(context: Context, limit: int) -> None:
    run(context, asyncio.sleep(60))
    assert context.most <= limit, context.most


@then('within {seconds:g} s at most {limit:d} tasks of the team run')
def step_at_most(context: Context, seconds: float, limit: int) -> None:
    assert running(context) > limit
    assert run(context, until(lambda: running(context) <= limit, seconds))
    context.most = 0
    run(context, asyncio.sleep(30))
    assert 0 < context.most <= limit, context.most


@then('both jobs have succeeded within {limit:g} s')
def step_succeeded(context: Context, limit: float) -> None:
    def ended() -> bool:
        found = context.cluster.node().state.jobs.ended
        return all(spec.job_id in found for spec in context.specs)

    assert run(context, until(ended, limit))
    found = context.cluster.node().state.jobs.ended
    for spec in context.specs:
        assert found[spec.job_id].counts == {'succeeded': spec.tasks}
    assert not context.cluster.observer.violations


@then('the limit was reached')
def step_reached(context: Context) -> None:
    assert context.most == 6, context.most
