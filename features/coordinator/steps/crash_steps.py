"""Steps for tasks that crash the workers that start them."""

import asyncio

from behave import given, then, when

from berylspread.coordinator.crashes import record_crash
from berylspread.coordinator.fleet import Run, Stage
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.model import Job, StepSpec
from berylspread.coordinator.planner import StepPlacer
from berylspread_standins.coordinated.fleet import TASK, job
from features.coordinator.cell import make_worker, runs_of

LONG_DOWN_S = 60.0
WATCH_S = 0.005


@given('task "{task}" crashes its worker after {seconds:g} s')
def step_crashes(context, task, seconds):
    context.cell.work[task] = (seconds, 'crash')


@given('workers stay down after a crash')
def step_stay_down(context):
    _set_down_time(context, LONG_DOWN_S)


@given('workers are back {seconds:g} s after a crash')
def step_back_soon(context, seconds):
    _set_down_time(context, seconds)


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

    async def start():
        context.watching = asyncio.create_task(watch())

    context.run(start())


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
    run.confirmed_at = 0.0
    run.listed_at = age
    context.worker.add_run(run)


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
