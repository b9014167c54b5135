"""Steps that measure the turns of the event loop under very large jobs."""

import asyncio
import time
from unittest import mock

import msgspec
from behave import given, then, when

from berylspread.coordinator.leadership import SILENCE_TIMEOUT_S
from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import Queue, StepSpec
from berylspread.coordinator.term import RENEWAL_INTERVAL_S
from berylspread.model import Resources
from berylspread_standins.coordinated.fleet import TASK, WALL_MS, job
from features.coordinator.cell import submit_spec

#: A renewal that is due waits for the turn that has begun.
LONGEST_TURN_S = SILENCE_TIMEOUT_S - RENEWAL_INTERVAL_S
BATCH = Queue('batch', 'desk', priority=2)
SMALL_TASK = Resources(1, 1)
MINUTE_MS = 60_000
DAY_MS = 24 * 60 * MINUTE_MS
#: Time of the first occurrence relative to the start, and the interval, in ms.
SCHEDULES = {
    'at once': lambda count: (0, 0),
    'one a minute until now': lambda count: (-count * MINUTE_MS, MINUTE_MS),
    'one a millisecond in 2 s': lambda count: (3000, 1),
    'one a minute from tomorrow on': lambda count: (DAY_MS, MINUTE_MS),
}


@given('the processor time of each turn is measured')
def step_measure(context):
    context.longest_s = 0.0
    run_once = asyncio.BaseEventLoop._run_once

    def measure(loop):
        began_s = time.thread_time()
        run_once(loop)
        took_s = time.thread_time() - began_s
        context.longest_s = max(context.longest_s, took_s)

    patch = mock.patch.object(asyncio.BaseEventLoop, '_run_once', measure)
    patch.start()
    context.add_cleanup(patch.stop)


@when(
    'a job "{job_id}" of {repeat:d} occurrences of {steps:d} steps of '
    '{tasks:d} tasks is submitted, due {due}'
)
def step_submit_scheduled(context, job_id, repeat, steps, tasks, due):
    first_ms, interval_ms = SCHEDULES[due](repeat)
    spec = msgspec.structs.replace(
        job(
            job_id, *(StepSpec(tasks, TASK) for _ in range(steps)), queue=BATCH
        ),
        first_ms=WALL_MS + first_ms,
        interval_ms=interval_ms,
        repeat=repeat,
    )
    reply = submit_spec(context, spec)
    assert isinstance(reply, JobAccepted), reply


@when('a job "{job_id}" of {count:d} small tasks is submitted')
def step_submit_wide(context, job_id, count):
    spec = job(job_id, StepSpec(count, SMALL_TASK), queue=BATCH)
    reply = submit_spec(context, spec)
    assert isinstance(reply, JobAccepted), reply


@when('a gang "{job_id}" of {count:d} small members is submitted')
def step_submit_gang(context, job_id, count):
    spec = job(job_id, StepSpec(count, SMALL_TASK, gang=True), queue=BATCH)
    reply = submit_spec(context, spec)
    assert isinstance(reply, JobAccepted), reply


@when(
    'a job "{job_id}" of {steps:d} steps is submitted, each after the '
    '{before:d} steps before it'
)
def step_submit_dependent(context, job_id, steps, before):
    specs = (
        StepSpec(1, TASK, after=tuple(range(max(number - before, 0), number)))
        for number in range(steps)
    )
    reply = submit_spec(context, job(job_id, *specs, queue=BATCH))
    assert isinstance(reply, JobAccepted), reply


@when(
    'a job "{job_id}" of 2 steps is submitted, the second of which names the '
    'first {count:d} times'
)
def step_submit_repeated(context, job_id, count):
    repeated = (0,) * count
    specs = StepSpec(1, TASK), StepSpec(1, TASK, after=repeated)
    reply = submit_spec(context, job(job_id, *specs, queue=BATCH))
    assert isinstance(reply, JobAccepted), reply


@then('no other node has coordinated')
def step_one_term(context):
    epochs = {line['epoch'] for line in context.cell.events('coordinating')}
    assert len(epochs) == 1, epochs


@then('no turn took as long as a leader may be silent')
def step_short_turns(context):
    assert context.longest_s < LONGEST_TURN_S, context.longest_s
