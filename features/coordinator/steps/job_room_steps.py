"""Steps about the memory that jobs take, without a network."""

import asyncio

import msgspec
from behave import given, then, when

from berylspread.coordinator.job_room import (
    JobRoom,
    job_bytes,
)
from berylspread.coordinator.model import (
    Job,
    JobSpec,
    JobStatus,
    Queue,
    StepSpec,
)
from berylspread.model import Resources
from features.support import run_virtual


def _spec(tasks):
    step = StepSpec(count=tasks, demand=Resources())
    return JobSpec('a', Queue('q', 'desk'), 'acme', '', (step,), 0)


async def _submit(context, specs, *, ends=False, gap_s=0.0):
    for spec in specs:
        problem = context.room.admit(spec, context.jobs)
        context.answers.append('accepted' if problem is None else problem.name)
        if problem is None:
            job = Job(spec)
            context.jobs.append(job)
            if ends:
                job.status = JobStatus.succeeded
                job.release()
        await asyncio.sleep(gap_s)


@given('room for jobs of {tasks:d} tasks')
def step_room(context, tasks):
    context.room = JobRoom(job_bytes(_spec(tasks)))
    context.jobs = []
    context.answers = []


@given('a job of {tasks:d} tasks of an earlier coordinator')
def step_earlier(context, tasks):
    context.jobs.append(Job(_spec(tasks)))


@when('a job of {tasks:d} tasks is submitted')
def step_one(context, tasks):
    run_virtual(_submit(context, [_spec(tasks)]))


@when('a job of {tasks:d} task that is repeated {repeat:d} times is submitted')
def step_repeated(context, tasks, repeat):
    spec = msgspec.structs.replace(_spec(tasks), repeat=repeat)
    run_virtual(_submit(context, [spec]))


@when(
    'jobs of {first:d}, {second:d}, {third:d} and {fourth:d} tasks are '
    'submitted'
)
def step_four(context, **counts):
    run_virtual(_submit(context, [_spec(each) for each in counts.values()]))


@when('jobs of {first:d} and {second:d} tasks are submitted')
def step_two(context, first, second):
    run_virtual(_submit(context, [_spec(first), _spec(second)]))


@when('a job of {tasks:d} tasks is submitted and ends')
def step_ends(context, tasks):
    context.first = _spec(tasks)


@when('{seconds:d} s later a job of {tasks:d} tasks is submitted')
def step_later(context, seconds, tasks):
    async def play():
        await _submit(context, [context.first], ends=True, gap_s=seconds)
        await _submit(context, [_spec(tasks)])

    run_virtual(play())


@then('the answers are {answers}')
def step_answers(context, answers):
    assert context.answers == answers.split(' and '), context.answers
