"""Steps about jobs that fail, are cancelled or lose their home."""

import asyncio
import itertools
import random

from behave import given, then, when
from behave.runner import Context

from berylspread.backend import BackendClient, SyncReply, SyncRequest
from berylspread.kernel import Failure
from berylspread.model import TaskState, Vm
from berylspread_standins.run import Ending
from features.support.fault_steps import report
from features.support.fault_world import FaultWorld

NEXT_POLL_S = 1.0
RESTART_LIMIT_S = 60.0
FAILED = Ending(TaskState.failed, exit_code=1)
SUCCEEDED = Ending(TaskState.succeeded)


def end_tasks(
    world: FaultWorld, indexes: list[int], ending: Ending = FAILED
) -> None:
    """Let running tasks of the job end at one moment."""
    names = {f'{world.job.job_id}/{index}' for index in indexes}
    runs = [
        world.worker(run.worker).runs[run.name]
        for run in world.runs_of(world.job)
        if run.name in names
    ]
    assert len(runs) == len(indexes), world.runs_of(world.job)
    world.broken_at = world.time()
    world.call_soon(lambda: [run.end(ending) for run in runs])
    world.sleep(NEXT_POLL_S)


def wait_for_members(world: FaultWorld) -> None:
    """Wait until all tasks of the job run."""
    spec = world.job
    world.wait(lambda: len(world.runs_of(spec)) == spec.tasks, RESTART_LIMIT_S)


class LostAnswers:
    """Workers whose answers to acknowledgements are lost."""

    def __init__(self, inner: BackendClient, count: int) -> None:
        self.inner = inner
        self.left = count

    async def sync(self, vm: Vm, request: SyncRequest) -> SyncReply | Failure:
        """Pass an exchange on; its answer may be lost."""
        reply = await self.inner.sync(vm, request)
        if request.acknowledged and self.left:
            self.left -= 1
            await asyncio.sleep(RESTART_LIMIT_S)
        return reply


@given('the answers to the next {count:d} acknowledgements of workers are lost')
def step_lose_answers(context: Context, count: int) -> None:
    world = context.world
    for run in world.runs_of(world.job):
        owner = world.partition(world.partition_of(run.worker))
        link = owner.links[run.worker]
        link.workers = LostAnswers(link.workers, count)


@when('the owner of the rack dies')
def step_owner_dies(context: Context) -> None:
    world = context.world
    unit = world.partition_of(world.runs_of(world.job)[0].worker)
    world.fail({world.owner_name(unit)})


@given('every worker fails every task')
def step_fail_all(context: Context) -> None:
    for worker in context.world.cluster.workers.values():
        worker.faults.fails_all = True


@given('tasks that start later run {factor:g} times as long')
def step_run_factor(context: Context, factor: float) -> None:
    for worker in context.world.cluster.workers.values():
        worker.faults.run_factor = factor


@when('{jobs:d} jobs of {tasks:d} tasks that run {run_s:g} s come to {queue}')
def step_jobs(
    context: Context, jobs: int, tasks: int, run_s: float, queue: str
) -> None:
    for _ in range(jobs):
        context.world.submit(queue, tasks, run_s=run_s)


@when('the job is cancelled')
@when('every job is cancelled at once')
def step_cancel(context: Context) -> None:
    world = context.world
    world.broken_at = world.time()
    context.log_end = world.cluster.log.end
    world.run(world.cluster.cancel_jobs(1.0, random.Random(1)))
    # The cancellation reaches every rack within this time.
    world.sleep(NEXT_POLL_S)
    context.starts = world.starts()


@when('a worker of the job dies')
def step_worker_dies(context: Context) -> None:
    world = context.world
    world.broken_at = world.time()
    run = world.runs_of(world.job)[0]
    world.call_soon(world.worker(run.worker).die)
    world.sleep(NEXT_POLL_S)


@when('the job loses a worker {count:d} times, each for {seconds:g} s')
def step_workers_die(context: Context, count: int, seconds: float) -> None:
    world = context.world
    for _ in range(count):
        worker = world.worker(world.runs_of(world.job)[0].worker)
        world.call_soon(worker.die)
        world.sleep(seconds)
        worker.faults.is_unreachable = False
        wait_for_members(world)


@when('task {index:d} of the job fails')
def step_task_fails(context: Context, index: int) -> None:
    end_tasks(context.world, [index])


@when('all tasks of the job fail')
def step_all_fail(context: Context) -> None:
    end_tasks(context.world, list(range(context.world.job.tasks)))


@when('tasks {indexes} of the job fail')
def step_tasks_fail(context: Context, indexes: str) -> None:
    end_tasks(context.world, [int(index) for index in indexes.split(', ')])


@when(
    'the store is down for {seconds:g} s while task {ends:d} ends and task'
    ' {fails:d} fails'
)
def step_store_down(
    context: Context, seconds: float, ends: int, fails: int
) -> None:
    world = context.world
    world.cluster.log.is_down = True
    end_tasks(world, [ends], SUCCEEDED)
    end_tasks(world, [fails])
    world.sleep(seconds - 2 * NEXT_POLL_S)
    world.cluster.log.is_down = False


@when('all members run again')
def step_members_again(context: Context) -> None:
    wait_for_members(context.world)


@when('all members run again and task {index:d} of the job fails')
def step_again_and_fails(context: Context, index: int) -> None:
    wait_for_members(context.world)
    end_tasks(context.world, [index])


@when('a worker of the job and the owner of its rack die')
def step_worker_and_owner_die(context: Context) -> None:
    world = context.world
    run = world.runs_of(world.job)[0]
    world.fail({world.owner_name(world.partition_of(run.worker))})
    world.call_soon(world.worker(run.worker).die)


@then('within {limit:g} s all members of the next run have started together')
def step_next_run(context: Context, limit: float) -> None:
    world = context.world
    spec = world.job

    def is_next_run() -> bool:
        runs = world.runs_of(spec)
        return len(runs) == spec.tasks and all(run.attempt > 1 for run in runs)

    world.wait(is_next_run, limit)
    report(context, world.time() - world.broken_at)


@then('within {limit:g} s all members run at the same time')
def step_all_members(context: Context, limit: float) -> None:
    world = context.world
    spec = world.job
    world.wait(lambda: len(world.runs_of(spec)) == spec.tasks, limit)
    report(context, world.time() - world.broken_at)


@then('within {limit:g} s every job has ended with {count:d} {state}')
def step_all_ended(
    context: Context, limit: float, count: int, state: str
) -> None:
    world = context.world
    world.wait(lambda: all(world.ended(spec) for spec in world.jobs), limit)
    report(context, world.time() - world.broken_at)
    for spec in world.jobs:
        ended = world.ended(spec)
        assert ended is not None
        assert dict(ended.counts) == {state: count}, ended.counts


@then(
    'within {limit:g} s the gang has ended with {failed:d} member failed and'
    ' {stopped:d} stopped'
)
def step_gang_ended(
    context: Context, limit: float, failed: int, stopped: int
) -> None:
    world = context.world
    world.wait(lambda: world.ended(world.job) is not None, limit)
    report(context, world.time() - world.broken_at)
    ended = world.ended(world.job)
    assert ended is not None
    found = dict(ended.counts)
    assert found == {'failed': failed, 'cancelled': stopped}, found


@then('at most {count:d} tasks were started')
def step_at_most(context: Context, count: int) -> None:
    assert context.world.starts() <= count, context.world.starts()


@then('no worker is in quarantine')
def step_no_quarantine(context: Context) -> None:
    placers = [
        sim.node.partitions.placer
        for sim in context.world.cluster.nodes.values()
        if sim.node is not None
    ]
    found = [
        worker
        for placer in placers
        for worker in placer.supervisor.monitor.quarantines
    ]
    assert not found, found


@then('nothing runs')
def step_nothing(context: Context) -> None:
    assert not context.world.runs(), context.world.runs()


@then('no task was started after the cancellations')
def step_no_start(context: Context) -> None:
    assert context.world.starts() == context.starts, context.world.starts()


@then('the cancellations took at most {count:d} log entries')
def step_entries(context: Context, count: int) -> None:
    added = context.world.cluster.log.end - context.log_end
    assert added <= count, added


@then('the time between starts grows')
def step_backoff(context: Context) -> None:
    times = [at for at, _name in context.world.start_times]
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert all(
        later > earlier for earlier, later in itertools.pairwise(gaps)
    ), gaps


@when("the job's home dies, and the rack's owner hangs for {seconds:g} s")
def step_owner_hangs(context: Context, seconds: float) -> None:
    world = context.world
    run = world.runs_of(world.job)[0]
    gate = world.sim(world.owner_name(world.partition_of(run.worker))).gate
    world.fail({world.owner_name(world.job.home)})
    world.sleep(1.0)
    gate.pause()
    world.sleep(seconds)
    gate.resume()
