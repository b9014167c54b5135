"""Steps about gangs on workers that run them only together."""

import asyncio

from behave import given, then, when

from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import Queue, StepSpec
from berylspread_standins.coordinated.fleet import TASK, job
from berylspread_standins.coordinated.gangs import Gangs
from features.coordinator.cell import runs_of, submit_spec

WATCH_S = 0.001
WAIT_S = 20.0


@given('the tasks of job "{job_id}" work only as a gang of {size:d}')
def step_gangs(context, job_id, size):
    gangs = Gangs()
    gangs.sizes[f'{job_id}.0.0'] = size
    for worker in context.cell.workers.values():
        worker.gangs = gangs


@when('worker "{name}" refuses orders as "{cause}"')
def step_refuse(context, name, cause):
    context.cell.workers[name].orders.refuse_as = cause


@when('a worker of the gang restarts')
def step_restart_member(context):
    async def restart():
        await asyncio.sleep(0)
        worker = next(
            each for each in context.cell.workers.values() if each.running
        )
        worker.restart()

    context.run(restart())


@then('the runs of the gang ended as')
def step_ended(context):
    outcomes = {}
    for log in runs_of(context, 'a'):
        outcomes.setdefault(str(log.run), []).append(log.outcome)
    found = {run: ', '.join(sorted(ended)) for run, ended in outcomes.items()}
    expected = {row['run']: row['outcomes'] for row in context.table}
    assert found == expected, found


@given('members {members} of the gang fail in run {run:d}')
def step_members_fail(context, members, run):
    failing = next(iter(context.cell.workers.values())).gangs.failing
    failing.update(
        (f'a.0.0.{member}', run) for member in members.split(' and ')
    )


@given('only worker "{name}" is left')
def step_one_left(context, name):
    for other in context.cell.workers:
        if other != name:
            context.cell.withdraw(other)


@given('the queue allows {attempts:d} attempts')
@given('the queue allows {attempts:d} attempt')
def step_attempts(context, attempts):
    context.queue = Queue('q', 'desk', max_attempts=attempts)
    context.cell.configure(2, context.queue)


@when(
    'a job "{job_id}" with a gang of {size:d} tasks for any workers is '
    'submitted'
)
def step_submit_any(context, job_id, size):
    spec = job(job_id, StepSpec(size, TASK, gang=True), queue=context.queue)
    assert isinstance(submit_spec(context, spec), JobAccepted)


async def _until(found):
    """Wait until a call returns something, and return that."""
    async with asyncio.timeout(WAIT_S):
        while not found():
            await asyncio.sleep(WATCH_S)
    return found()


def _member_worker(context, number):
    """Return the worker of a member's first run, once that has begun."""
    runs = context.run(_until(lambda: context.cell.runs(f'a.0.0.{number}')))
    return context.cell.workers[runs[0].worker]


@when('the worker of member {number:d} is cut off')
def step_cut_member(context, number):
    _member_worker(context, number).is_cut = True


@when('the worker of member {number:d} is back')
def step_member_back(context, number):
    _member_worker(context, number).is_cut = False


@when(
    'the next report of an outcome is lost from the worker of member {number:d}'
)
def step_mute_member(context, number):
    _member_worker(context, number).mute_reports = 1


@when('all workers are cut off as soon as a member is known to have ended')
def step_cut_when_known(context):
    context.run(_until(lambda: context.cell.events('run-ended')))
    for worker in context.cell.workers.values():
        worker.is_cut = True


@when('all workers are back and list the failed ends again')
def step_all_back(context):
    for log in runs_of(context, 'a'):
        if log.outcome == 'failed':
            assert context.cell.workers[log.worker].ended, log.worker
    for worker in context.cell.workers.values():
        worker.is_cut = False


@when('all nodes are restarted')
def step_restart_nodes(context):
    async def restart():
        names = list(context.cell.nodes)
        for name in names:
            context.cell.kill(name)
        for name in names:
            context.cell.start_node(name, queue=context.queue)

    context.run(restart())


@when('run {run:d} of the gang has ended')
def step_run_ended(context, run):
    def has_ended():
        logs = [log for log in runs_of(context, 'a') if log.run == run]
        return logs and all(log.outcome for log in logs)

    context.run(_until(has_ended))


@when('run {run:d} of the gang has begun')
def step_run_begun(context, run):
    context.run(
        _until(lambda: any(log.run == run for log in runs_of(context, 'a')))
    )


@then('the members of each run shared {count:d} worker')
@then('the members of each run shared {count:d} workers')
def step_shared(context, count):
    workers = {}
    for log in runs_of(context, 'a'):
        workers.setdefault(log.run, set()).add(log.worker)
    assert {len(names) for names in workers.values()} == {count}, workers


@when('the gang has run {count:d} times')
@then('the gang has run {count:d} times')
def step_run_count(context, count):
    runs = {log.run for log in runs_of(context, 'a')}
    assert len(runs) == count, runs
