"""Steps about the attempts of tasks and gangs that are counted."""

import asyncio

import msgspec
from behave import given, then, when

from berylspread.coordinator.attempts import count_attempts, record_failure
from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import MS_PER_S, Job, StepSpec
from berylspread.coordinator.records import (
    DEFAULT_RECORD_BYTES,
    encode_step_part,
    restore_step,
)
from berylspread_standins.coordinated.fleet import TASK, job
from features.coordinator.cell import find_coordinator, submit_spec

WAITING = 0


class EarlierTaskRow(msgspec.Struct, frozen=True, array_like=True):
    """A task in the record of a step, as earlier versions read it."""

    phase: int
    run: int
    worker: str
    failures: int
    checkpoint: str
    crash_score: int = 0
    worker_born_ms: int = 0
    silent_losses: tuple[tuple[str, str, int, int, int], ...] = ()


class EarlierStepRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of a step, as earlier versions read it."""

    tasks: list[EarlierTaskRow]


def new_step(spec):
    return Job(job('a', spec)).steps[0, 0]


def encode(step):
    return encode_step_part(step, 0, DEFAULT_RECORD_BYTES)


def restore(context, blob):
    context.step = new_step(context.step.spec)
    restore_step(context.step, {context.step.name: blob}, 0)


@given('a step whose {count:d} tasks are a {kind}')
def step_tasks(context, count, kind):
    context.step = new_step(StepSpec(count, TASK, gang=kind == 'gang'))


@when('its tasks fail as "{failures}"')
def step_fail(context, failures):
    for failure in failures.split():
        index, run = map(int, failure.split(':'))
        for task in context.step.tasks:
            task.run_number = max(task.run_number, run)
        record_failure(context.step.tasks[index], run)


@when('its record is read by a successor')
def step_read(context):
    restore(context, encode(context.step))


@when(
    'its record of an earlier version says that run {run:d} was the newest'
    ' and tasks failed {failures} times'
)
def step_read_earlier(context, run, failures):
    rows = [
        EarlierTaskRow(WAITING, run, '', int(count), '')
        for count in failures.split(', ')
    ]
    restore(context, msgspec.msgpack.encode(EarlierStepRecord(rows)))


@then('{attempts:d} attempts of its task {index:d} have failed')
def step_attempts(context, attempts, index):
    counted = count_attempts(context.step.tasks[index])
    assert counted == attempts, counted


@when('a long-running task of job "{job_id}" fails after 1 s and begins again')
def step_long_running(context, job_id):
    context.cell.work[f'{job_id}.0.0.0'] = (1.0, 'failed')
    spec = job(job_id, StepSpec(1, TASK, long_running=True))
    assert isinstance(submit_spec(context, spec), JobAccepted)
    context.run(asyncio.sleep(1.5))


@then(
    'the log tells that task "{task}" began again after less than {limit:g} s'
)
def step_away(context, task, limit):
    first, again = (
        line for line in context.cell.events('start') if line['task'] == task
    )
    assert first['away_ms'] == 0, first
    assert 0 < again['away_ms'] < limit * MS_PER_S, again


@then('the metrics count {count:d} duration of "{name}"')
def step_durations(context, count, name):
    node = context.cell.nodes[find_coordinator(context)].node
    _, found = node.log.metrics.histograms[name].buckets()[-1]
    assert found == count, found


@then('an earlier version reads that its tasks failed {failures} times')
def step_earlier_reads(context, failures):
    record = msgspec.msgpack.decode(
        encode(context.step), type=EarlierStepRecord
    )
    found = [str(row.failures) for row in record.tasks]
    assert found == failures.split(', '), found


@then('the log counts the failed attempts of job "{job_id}" as')
def step_counted(context, job_id):
    found = [
        [str(line[name]) for name in context.table.headings]
        for line in context.cell.events('attempt-failed')
        if line['task'].startswith(f'{job_id}.')
    ]
    expected = [list(row.cells) for row in context.table]
    assert found == expected, found
