"""Steps on a fleet that fails, for several folders."""

import sys

from behave import given, then, when
from behave.runner import Context

from berylspread.kernel import invariants
from berylspread.kernel.errors import LogUnavailable
from features.support.fault_world import FaultWorld

#: Far longer than a scenario takes.
LONG_RUN_S = 100_000.0
START_LIMIT_S = 30.0
LOG_DOWN = LogUnavailable('outage', may_have_applied=False)


def new_world(context: Context, fleet: str, **options: object) -> FaultWorld:
    """Start the scenario's fleet."""
    invariants.violations.clear()
    context.world = FaultWorld(fleet, **options)
    context.add_cleanup(context.world.close)
    return context.world


def owners(context: Context, role: str) -> set[str]:
    """Return the nodes that decide for the job submitted last."""
    world = context.world
    spec = world.job
    found: set[str] = set()
    if 'job home' in role:
        found.add(world.owner_name(spec.home))
    if 'partition owner' in role:
        found.update(
            world.owner_name(world.partition_of(run.worker))
            for run in world.runs_of(spec)
        )
    assert len(found) == role.count(' and ') + 1, found
    return found


def counts(context: Context) -> dict[str, int]:
    """Return the ended tasks of the job submitted last, by state."""
    ended = context.world.ended(context.world.job)
    assert ended is not None
    return dict(ended.counts)


def is_ended(context: Context) -> bool:
    """Return whether the job submitted last has ended."""
    return context.world.ended(context.world.job) is not None


def report(context: Context, took_s: float) -> None:
    """Tell what a run measured; behave shows it with ``--no-capture``."""
    sys.stdout.write(f'measured: {context.scenario.name}: {took_s:.1f} s\n')


@given('a fleet of {fleet}')
def step_fleet(context: Context, fleet: str) -> None:
    new_world(context, fleet)


@given('the next {count:d} {message} messages are lost')
def step_lose(context: Context, count: int, message: str) -> None:
    context.world.lose(message, count)


@given('{tasks:d} tasks of {queue} that run {run_s:g} s')
def step_running(
    context: Context, tasks: int, queue: str, run_s: float
) -> None:
    world = context.world
    spec = world.submit(queue, tasks, run_s=run_s)
    world.wait(lambda: len(world.runs_of(spec)) == tasks, START_LIMIT_S)


@given('{count:d} running watchers')
def step_watchers(context: Context, count: int) -> None:
    world = context.world
    specs = [world.submit('loom-watcher', run_s=None) for _ in range(count)]
    world.wait(
        lambda: all(world.runs_of(spec) for spec in specs), START_LIMIT_S
    )
    # Nothing is reported as young any more.
    world.sleep(2.0)
    context.watchers = {spec.job_id: world.runs_of(spec) for spec in specs}


@when('a job of {tasks:d} tasks that run {run_s:g} s comes to {queue}')
def step_submit(context: Context, tasks: int, run_s: float, queue: str) -> None:
    context.world.submit(queue, tasks, run_s=run_s)


@when('the {role} is killed')
def step_kill(context: Context, role: str) -> None:
    context.world.fail(owners(context, role))


@when('the {role} is paused for {seconds:g} s')
def step_pause(context: Context, role: str, seconds: float) -> None:
    world = context.world
    world.broken_at = world.time()
    gates = [world.sim(name).gate for name in owners(context, role)]
    for gate in gates:
        gate.pause()
    world.sleep(seconds)
    for gate in gates:
        gate.resume()


@when('the killed nodes start again')
def step_restart(context: Context) -> None:
    world = context.world
    for name in world.killed:
        world.run(world.sim(name).start())


@when("the job's home dies")
def step_home_dies(context: Context) -> None:
    world = context.world
    world.fail({world.owner_name(world.job.home)})


@when(
    "the job's home and every worker die, and the workers return after {s:g} s"
)
def step_all_die(context: Context, s: float) -> None:
    world = context.world
    world.fail({world.owner_name(world.job.home)})
    for worker in world.cluster.workers.values():
        world.call_soon(worker.die)
    world.sleep(s)
    for worker in world.cluster.workers.values():
        worker.faults.is_unreachable = False


@given('the fleet has run for {seconds:g} s')
@when('{seconds:g} s pass')
def step_pass(context: Context, seconds: float) -> None:
    context.world.sleep(seconds)


@then('within {limit:g} s a new task starts')
def step_new_start(context: Context, limit: float) -> None:
    world = context.world
    spec = world.submit('ledger', run_s=LONG_RUN_S)
    world.wait(lambda: bool(world.runs_of(spec)), limit)
    report(context, world.time() - world.broken_at)


@then('within {limit:g} s the job has ended with {count:d} {state}')
def step_ended(context: Context, limit: float, count: int, state: str) -> None:
    context.world.wait(lambda: is_ended(context), limit)
    report(context, context.world.time() - context.world.broken_at)
    found = counts(context)
    assert found == {state: count}, found


@then('{count:d} tasks were started')
def step_started(context: Context, count: int) -> None:
    assert context.world.starts() == count, context.world.starts()


@then('each task was started once')
def step_started_once(context: Context) -> None:
    found = context.world.starts()
    wanted = sum(spec.tasks for spec in context.world.jobs)
    assert found == wanted, f'{found} starts, not {wanted}'


@then('no watcher was restarted')
def step_same_watchers(context: Context) -> None:
    running = {
        name.rpartition('/')[0]: runs
        for name, runs in context.world.cluster.observer.running.items()
    }
    for job_id, runs in context.watchers.items():
        assert running.get(job_id) == runs, running.get(job_id)


@then('every guarantee held')
def step_guarantees(context: Context) -> None:
    found = context.world.violations()
    assert not found, found
    assert not invariants.violations, invariants.violations
