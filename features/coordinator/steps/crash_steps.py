"""Steps for tasks that crash the workers that start them."""

import asyncio

import msgspec
from behave import given, then, when

from berylspread.coordinator.crashes import (
    STARTING_SCORE,
    add_crash,
    record_crash,
)
from berylspread.coordinator.fleet import Run, Stage, find_run
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import Job, StepSpec
from berylspread.coordinator.planner import StepPlacer
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import TASK, job
from berylspread_standins.exchange import detach
from features.coordinator.cell import (
    find_coordinator,
    make_worker,
    runs_of,
    submit_spec,
    worker_of,
)

LONG_DOWN_S = 60.0
WATCH_S = 0.005
CUT_WATCH_S = 0.02


@given('task "{task}" crashes its worker after {seconds:g} s')
def step_crashes(context, task, seconds):
    context.cell.work[task] = (seconds, 'crash')


@given('workers stay down after a crash')
def step_stay_down(context):
    _set_down_time(context, LONG_DOWN_S)


@given('workers are back {seconds:g} s after a crash')
def step_back_soon(context, seconds):
    _set_down_time(context, seconds)


@given('{seconds:g} s after a crash another worker takes the address')
def step_replace(context, seconds):
    async def watch():
        replaced = set()
        while True:
            await asyncio.sleep(CUT_WATCH_S)
            for log in context.cell.runs():
                if log.outcome == 'crashed' and log.worker not in replaced:
                    replaced.add(log.worker)
                    detach(_replace(context.cell, log.worker, seconds))

    _start_watching(context, watch())


async def _replace(cell, worker, seconds):
    await asyncio.sleep(seconds)
    cell.withdraw(worker)
    cell.add_worker(f'{worker}-next', address=worker, born_ms=2)


@given(
    'the worker of each of the first {count:d} starts of job "{job_id}" is cut '
    'off {after:g} s later for {cut:g} s'
)
def step_cut_after_start(context, count, job_id, after, cut):
    async def watch():
        context.cut_runs = []
        while len(context.cut_runs) < count:
            await asyncio.sleep(CUT_WATCH_S)
            for log in runs_of(context, job_id)[len(context.cut_runs) : count]:
                context.cut_runs.append(log)
                detach(_cut(context.cell.workers[log.worker], after, cut))

    _start_watching(context, watch())


async def _cut(worker, after, cut):
    await asyncio.sleep(after)
    worker.is_cut = True
    await asyncio.sleep(cut)
    worker.is_cut = False


def _start_watching(context, watch):
    async def start():
        context.watching = asyncio.create_task(watch)

    context.run(start())


@when('a job "{job_id}" of one {kind} task is submitted')
def step_submit_kind(context, job_id, kind):
    spec = StepSpec(1, TASK, long_running=kind == 'long-running')
    assert isinstance(submit_spec(context, job(job_id, spec)), JobAccepted)


@then('job "{job_id}" has a run that was not cut off')
def step_spared(context, job_id):
    assert len(runs_of(context, job_id)) > len(context.cut_runs)


@then('the task was logged as held')
def step_held(context):
    assert context.cell.events('task-held')


@given('the worker announced that it leaves')
def step_announced(context):
    worker = context.worker
    worker.update_entry(msgspec.structs.replace(worker.entry, is_ready=False))


@when('the worker is silent until its leases are over')
def step_silent(context):
    async def record():
        cell = CoordinatedFleet(0)
        node = cell.start_node('n0').node
        while node.service is None:
            await asyncio.sleep(WATCH_S)
        node.service.coordinator.silent_losses.record(context.worker)
        cell.kill('n0')

    context.run(record())


@then('the task has no silent loss')
def step_no_loss(context):
    assert not context.task.silent_losses


def _set_down_time(context, seconds):
    for worker in context.cell.workers.values():
        worker.orders.crash_down_s = seconds


@given(
    'the coordinator is killed after each start of task "{task}", '
    '{count:d} times'
)
def step_kill_after_start(context, task, count):
    async def watch():
        killed = 0
        while killed < count:
            await asyncio.sleep(WATCH_S)
            leader = context.cell.leader()
            if leader and len(context.cell.runs(task)) > killed:
                context.cell.kill(leader)
                killed += 1

    _start_watching(context, watch())


@then('task "{task}" has been started {count:d} times')
def step_started(context, task, count):
    _check_starts(context, task, count, count)


@then('task "{task}" has been started at most {count:d} times')
def step_started_at_most(context, task, count):
    _check_starts(context, task, 1, count)


def _check_starts(context, task, least, most):
    runs = [run for run in runs_of(context, 'a') if run.task == task]
    assert least <= len(runs) <= most, [
        (run.started_at, run.worker, run.outcome) for run in runs
    ]


@given(
    'a worker that has listed a run of a {kind} task {age:g} s after its start'
)
def step_run(context, kind, age):
    spec = StepSpec(1, TASK, long_running=kind == 'long-running')
    context.task = Job(job('a', spec)).steps[0, 0].tasks[0]
    context.worker = make_worker('w')
    run = Run(context.task, context.worker, Stage.running, 0.0)
    run.record_order(0.0)
    run.confirmed_at = 0.0
    run.listed_at = age
    context.worker.add_run(run)


@given('its run was ordered')
def step_ordered(context):
    _only_run(context).record_order(0.0)


@given('its run was not ordered yet')
def step_unordered(context):
    _replace_run(context, Stage.ordered)


@given('its run was counted by an earlier coordinator')
def step_counted(context):
    _only_run(context).record_crash()
    _replace_run(context, Stage.inherited)


def _only_run(context):
    return next(iter(context.worker.runs.values()))


def _replace_run(context, stage):
    context.worker.remove_run(_only_run(context))
    context.worker.add_run(Run(context.task, context.worker, stage, 0.0))


@when(
    'the worker of job "{job_id}" is restarted {count:d} times, {gap:g} s apart'
)
def step_restart_often(context, job_id, count, gap):
    async def restart():
        worker = worker_of(context, job_id)
        for _ in range(count):
            worker.restart()
            await asyncio.sleep(gap)

    context.run(restart())


def _coordinator(context):
    service = context.cell.nodes[find_coordinator(context)].node.service
    return service.coordinator


def _only_step(coordinator, job_id):
    job = coordinator.table.jobs[job_id]
    return job.steps[0, 0]


@when('the tasks of job "{job_id}" are observed')
def step_observe(context, job_id):
    step = _only_step(_coordinator(context), job_id)
    context.observed_tasks = list(step.tasks)
    assert context.observed_tasks


@then('no crash counts against the observed tasks')
def step_no_crash(context):
    scores = [task.crash_score for task in context.observed_tasks]
    assert not any(scores), scores


@when(
    '{count:d} crashes of its workers count against task "{task}", whose run '
    'is stopped'
)
def step_count_and_stop(context, count, task):
    async def stop():
        coordinator = _coordinator(context)
        found = _only_step(coordinator, task.partition('.')[0]).tasks[0]
        for _ in range(count):
            add_crash(found, '', STARTING_SCORE)
        run = find_run(coordinator.workers, found)
        coordinator.sessions[run.worker.name].orders.stop(run, 'test')

    context.run(stop())


@when('the worker crashes')
def step_crash(context):
    record_crash(context.worker)


@then('the score of the task is {score:d}')
def step_score(context, score):
    assert context.task.crash_score == score, context.task.crash_score


@given('{workers:d} workers with room for {room:d} tasks')
def step_workers(context, workers, room):
    context.workers = [make_worker(f'w{each}', room) for each in range(workers)]


@given('a step of {count:d} tasks under which workers have crashed')
def step_suspects(context, count):
    context.step = Job(job('a', StepSpec(count, TASK))).steps[0, 0]
    for task in context.step.tasks:
        task.crash_score = 2


@when('the step is placed')
def step_place(context):
    context.placed = _place(context, context.step)
    for placement in context.placed:
        run = Run(placement.task, placement.worker, Stage.ordered, 0.0)
        placement.worker.add_run(run)


@then('no two of its tasks share a worker')
def step_apart(context):
    names = {placement.worker.name for placement in context.placed}
    assert len(names) == len(context.step.tasks), names


@then('a new task is placed on the remaining worker')
def step_remaining(context):
    step = Job(job('b', StepSpec(1, TASK))).steps[0, 0]
    worker = _place(context, step)[0].worker
    assert not worker.runs, worker.name


def _place(context, step):
    choices = [(worker, '') for worker in context.workers]
    placer = StepPlacer(step, choices, Holds(), 0.0)
    return placer.place_tasks(len(step.tasks))
