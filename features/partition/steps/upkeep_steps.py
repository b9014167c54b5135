"""Steps about quarantine and preemption at a partition."""

import asyncio
from typing import Any

from behave import given, then, when
from behave.runner import Context

from berylspread.kernel import now
from berylspread.model import URGENT_PRIORITY
from berylspread_standins.cluster import Cluster, Place
from berylspread_standins.virtual_time import VirtualTimeLoop
from features.support.fault_world import EXAMPLE

PLACES = (Place('central-java', 'pekalongan', 3, 1, 4),)
#: The number of pattern-run tasks that fit on the four workers.
CAPACITY_TASKS = 16
LONG_S = 60.0
POLL_S = 0.1


def run(context: Context, coroutine: Any) -> Any:
    """Run a coroutine on the event loop of the scenario."""
    return context.runner.run(coroutine)


async def _start() -> Cluster:
    cluster = Cluster(EXAMPLE.read_text('utf-8'), places=PLACES)
    await cluster.start()
    await cluster.until_ready()
    await asyncio.sleep(2)
    return cluster


def _start_scenario_cluster(context: Context) -> Cluster:
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.cluster = run(context, _start())

    def close() -> None:
        run(context, context.cluster.close())
        context.runner.close()

    context.add_cleanup(close)
    return context.cluster


def _workers(context: Context) -> list[Any]:
    return list(context.cluster.workers.values())


def _supervisors(context: Context) -> list[Any]:
    nodes = [sim.running for sim in context.cluster.nodes.values()]
    return [node.partitions.placer.supervisor for node in nodes]


async def _holds_within(limit_s: float, holds: Any) -> bool:
    ends_at = now() + limit_s
    while now() < ends_at:
        if holds():
            return True
        await asyncio.sleep(POLL_S)
    return bool(holds())


@given('a cluster of one rack whose worker {number:d} fails every task')
def step_failing(context: Context, number: int) -> None:
    _start_scenario_cluster(context)
    context.faulty = _workers(context)[number - 1]
    context.faulty.faults.fails_all = True


@given('a cluster of one rack that is full of {kind}')
def step_full(context: Context, kind: str) -> None:
    cluster = _start_scenario_cluster(context)

    async def fill() -> None:
        context.filler = await cluster.submit(
            'pattern-run',
            tasks=CAPACITY_TASKS,
            run_s=LONG_S,
            idempotent=kind == 'checkpointable tasks',
        )
        executed = cluster.observer.executed
        assert await _holds_within(20, lambda: len(executed) == CAPACITY_TASKS)

    run(context, fill())


@when('{count:d} quick tasks come in')
def step_quick(context: Context, count: int) -> None:
    context.spec = run(
        context,
        context.cluster.submit(
            'inspect', tasks=count, run_s=0.5, max_attempts=20
        ),
    )


@when('{count:d} urgent tasks come in')
def step_urgent(context: Context, count: int) -> None:
    context.spec = run(
        context,
        context.cluster.submit(
            'label-print', tasks=count, run_s=1.0, priority=URGENT_PRIORITY
        ),
    )


@then('all {count:d} tasks have succeeded within {limit:g} s')
def step_succeeded(context: Context, count: int, limit: float) -> None:
    ended = context.cluster.node().state.jobs.ended
    job = context.spec.job_id
    assert run(context, _holds_within(limit, lambda: job in ended))
    assert ended[job].counts == {'succeeded': count}, ended[job].counts


@then('worker {number:d} is in quarantine')
def step_quarantined(context: Context, number: int) -> None:
    quarantined = {
        worker
        for supervisor in _supervisors(context)
        for worker in supervisor.monitor.quarantines
    }
    assert quarantined == {context.faulty.vm.vm_id}, quarantined


@then('worker {number:d} was given at most {most:d} of the tasks')
def step_given_few(context: Context, number: int, most: int) -> None:
    given_to = context.cluster.observer.ran_at[context.faulty.vm.vm_id]
    assert 0 < given_to <= most, given_to


@then('the urgent tasks have started within {limit:g} s')
def step_urgent_started(context: Context, limit: float) -> None:
    executed = context.cluster.observer.executed
    names = [
        f'{context.spec.job_id}/{index}' for index in range(context.spec.tasks)
    ]
    assert run(
        context,
        _holds_within(limit, lambda: all(name in executed for name in names)),
    )


@then('the preempted tasks have succeeded within {limit:g} s')
def step_resumed(context: Context, limit: float) -> None:
    ended = context.cluster.node().state.jobs.ended
    job = context.filler.job_id
    assert run(context, _holds_within(limit, lambda: job in ended))
    assert ended[job].counts == {'succeeded': CAPACITY_TASKS}, ended[job].counts
    assert not context.cluster.observer.violations


@then('no task was preempted within {seconds:g} s')
def step_none_preempted(context: Context, seconds: float) -> None:
    run(context, asyncio.sleep(seconds))
    preempted = sum(
        supervisor.preempted_tasks for supervisor in _supervisors(context)
    )
    assert not preempted, preempted
    assert f'{context.spec.job_id}/0' not in context.cluster.observer.executed
