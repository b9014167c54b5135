"""Steps about owners of partitions that die or are paused."""

import asyncio
from typing import Any

from behave import given, then, when
from behave.runner import Context

from berylspread.backend import SyncRequest
from berylspread_standins.worker import Checks
from features.support import fault_steps
from features.support.fault_steps import counts, is_ended, new_world, report

CHECKS = {
    'fencing': Checks.fencing,
    'the deadline': Checks.deadline,
    'nothing': Checks.none,
}
RACK = 'workers/central-java/pekalongan-rack-1'


class StartWatch:
    """A wrapper of a link's workers that calls back when a start is sent."""

    def __init__(self, inner: Any, on_start: Any) -> None:
        self.inner = inner
        self.on_start = on_start

    async def sync(self, vm: Any, request: SyncRequest) -> Any:
        """Forward an exchange."""
        if request.starts:
            self.on_start()
        return await self.inner.sync(vm, request)


def watch_starts(context: Context, on_start: Any) -> None:
    """Call back before each start that the rack's owner sends."""
    for link in context.world.partition(RACK).links.values():
        link.workers = StartWatch(link.workers, on_start)


@given('one rack of workers that check {checks}')
def step_checks(context: Context, checks: str) -> None:
    new_world(context, 'one rack', checks=CHECKS[checks])


@when(
    "the rack's owner is killed"
    ' with starts of {tasks:d} {queue} tasks in flight'
)
def step_killed(context: Context, tasks: int, queue: str) -> None:
    world = context.world
    started = asyncio.Event()
    watch_starts(context, started.set)
    world.submit(queue, tasks, run_s=20.0)
    world.run(started.wait())
    world.fail({world.owner_name(RACK)})


@when(
    "the rack's owner is paused for {seconds:g} s"
    ' with starts of {tasks:d} {queue} tasks in flight'
)
def step_paused(
    context: Context, seconds: float, tasks: int, queue: str
) -> None:
    world = context.world
    gate = world.sim(world.owner_name(RACK)).gate
    world.broken_at = world.time()
    watch_starts(context, gate.pause)
    world.submit(queue, tasks, run_s=60.0)
    world.wait(lambda: gate.is_paused, 10.0)
    world.sleep(seconds)
    context.before = world.starts()
    gate.resume()


@when('the partition owner and a worker die together')
def step_owner_and_worker_die(context: Context) -> None:
    world = context.world
    run = world.runs_of(world.job)[0]
    context.lost = [
        other.name
        for other in world.runs_of(world.job)
        if other.worker == run.worker
    ]
    world.fail({world.owner_name(world.partition_of(run.worker))})
    world.call_soon(world.worker(run.worker).die)


@then(
    'the lost tasks start again after at least {at_least_s:g} s'
    ' and within {within_s:g} s'
)
def step_started_again(
    context: Context, at_least_s: float, within_s: float
) -> None:
    world = context.world
    running = world.cluster.observer.running
    world.wait(lambda: any(name in running for name in context.lost), within_s)
    first = world.time() - world.broken_at
    assert first >= at_least_s, first
    report(context, first)


@then('within {limit:g} s the first job has ended with {count:d} {state}')
def step_first_job_ended(
    context: Context, limit: float, count: int, state: str
) -> None:
    context.world.jobs.append(context.world.jobs[-2])
    fault_steps.step_ended(context, limit, count, state)
    context.world.jobs.pop()


@then('within {limit:g} s the job has ended with only {states}')
def step_ended_with_only(context: Context, limit: float, states: str) -> None:
    context.world.wait(lambda: is_ended(context), limit)
    report(context, context.world.time() - context.world.broken_at)
    found = counts(context)
    assert found.keys() <= set(states.split(' or ')), found
    assert sum(found.values()) == context.world.job.tasks, found


@then('the held back starts were {outcome}')
def step_held_back(context: Context, outcome: str) -> None:
    found = {
        violation.kind
        for violation in context.world.cluster.observer.violations
    }
    if outcome == 'rejected':
        assert not found, found
        return
    # If the worker checks nothing, the next owner can only stop them.
    assert found <= {'duplicate-execution', 'overcommit'}, found
    assert not any(
        len(runs) > 1
        for runs in context.world.cluster.observer.running.values()
    )


@when(
    'the partition owner dies'
    ' and a worker is cut off from all for {seconds:g} s'
)
def step_cut_off(context: Context, seconds: float) -> None:
    world = context.world
    worker = world.runs_of(world.job)[0].worker
    network = world.cluster.network
    world.fail({world.owner_name(world.partition_of(worker))})
    for pair in (('*', worker), (worker, '*')):
        network.cut(*pair)
    world.sleep(seconds)
    for pair in (('*', worker), (worker, '*')):
        network.heal(*pair)
