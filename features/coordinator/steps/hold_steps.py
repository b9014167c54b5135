"""Steps about room and quota that is being freed for a step."""

from behave import given, then, when

from berylspread.coordinator.holds import Holds
from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import Job, JobStatus, Queue, StepSpec
from berylspread_standins.coordinated.fleet import TASK, job
from features.coordinator.cell import (
    make_worker,
    submit_batch_job,
    submit_spec,
)


def _step(priority, job_id, tasks=1):
    queue = Queue(f'q{priority}', 'desk', priority=priority)
    return Job(job(job_id, StepSpec(1, TASK * tasks), queue=queue)).steps[0, 0]


@given('runs that are stopped together end {seconds:g} s after each other')
def step_stagger(context, seconds):
    for worker in context.cell.workers.values():
        worker.orders.stagger_s = seconds


@when('a batch job "{job_id}" of "{team}" with {count:d} tasks waits for room')
def step_batch(context, job_id, team, count):
    submit_batch_job(
        context, job_id, StepSpec(count, TASK, checkpoints=True), team
    )


@when(
    'a job "{job_id}" of "{team}" with a task as large as {size:d} others is '
    'submitted'
)
def step_wide(context, job_id, team, size):
    spec = job(job_id, StepSpec(1, TASK * size, estimate_ms=1000), tenant=team)
    assert isinstance(submit_spec(context, spec), JobAccepted)


@given(
    'a step of priority {priority:d} for which room for {tasks:d} tasks is '
    'being freed'
)
def step_hold(context, priority, tasks):
    context.worker = make_worker('w1', room=0)
    context.holder = _step(priority, 'holder', tasks)
    context.holds = Holds()
    context.holds.hold_room(context.holder, ['w1'], 0.0)
    context.moment = 0.0


@given('{count:d} tasks have room on the worker by now')
def step_room(context, count):
    context.worker.free = TASK * count


@when('{seconds:g} s have passed')
def step_passed(context, seconds):
    context.moment = seconds


@when('the step is placed on the worker')
def step_placed(context):
    context.holds.release(context.holder, 'w1')


@when('the job of that step is cancelled')
def step_cancelled(context):
    context.holder.job.status = JobStatus.cancelled


def _check_room(context, step, count):
    free = context.holds.free_room(context.worker, step, context.moment)
    assert TASK.fit_count(free) == count, free


@then('a step of priority {priority:d} finds room for {count:d} tasks there')
def step_finds(context, priority, count):
    _check_room(context, _step(priority, 'other'), count)


@then('the step itself finds room for {count:d} tasks there')
def step_itself(context, count):
    _check_room(context, context.holder, count)
