"""Steps for jobs whose records would be longer than the store allows."""

import asyncio
import collections

import msgspec
from behave import given, then, when

from berylspread.coordinator.messages import (
    AskJobStatus,
    JobAccepted,
    JobStatusReply,
    SubmitJob,
)
from berylspread.coordinator.model import Job, StepSpec
from berylspread.coordinator.records import (
    DEFAULT_RECORD_BYTES,
    StepRecord,
    encode_step_part,
    step_key,
)
from berylspread.coordinator.service import NoSuchJob
from berylspread_standins.coordinated.fleet import TASK, TOPICS, job
from features.coordinator.cell import (
    TIMEOUT_S,
    find_coordinator,
    gateway_of,
    runs_of,
    submit_spec,
)

#: More than the steps, and more than the tasks of a step, of any job here.
MAX_COUNT = 6000


def _blobs(context):
    return {
        item.key: item.blob
        for item in context.cell.store.newest(TOPICS.jobs).items
    }


def _tasks_in(blob):
    return msgspec.msgpack.decode(blob, type=StepRecord).tasks


@given('the store takes records of {count:d} bytes')
def step_record_bytes(context, count):
    context.cell.store.record_bytes = count
    for node in context.cell.nodes.values():
        node.node.clients.record_bytes = count


@given('all tasks of the large job "{job_id}" take {seconds:g} s')
def step_all_take(context, job_id, seconds):
    for number in range(MAX_COUNT):
        for task in (f'{job_id}.0.0.{number}', f'{job_id}.0.{number}.0'):
            context.cell.work[task] = (seconds, 'done')


@when('a job "{job_id}" of {count:d} steps is submitted')
def step_submit_steps(context, job_id, count):
    spec = job(job_id, *(StepSpec(1, TASK) for _ in range(count)))
    assert isinstance(submit_spec(context, spec), JobAccepted)


@when(
    'a job "{job_id}" of {steps:d} steps of {tasks:d} tasks, repeated '
    '{repeat:d} times, is submitted'
)
def step_submit_excess(context, job_id, steps, tasks, repeat):
    spec = msgspec.structs.replace(
        job(job_id, *(StepSpec(tasks, TASK) for _ in range(steps))),
        repeat=repeat,
    )
    context.reply = submit_spec(context, spec)


@then('it is refused as "{name}"')
def step_refused(context, name):
    assert context.reply.name == name, context.reply


@then('requests about job "{job_id}" are answered that there is none')
def step_none(context, job_id):
    reply = context.run(
        gateway_of(context).send_request(
            AskJobStatus(job_id, 'q', ''),
            JobStatusReply,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )
    )
    assert isinstance(reply, NoSuchJob), reply


@when('the store holds one record for all tasks of job "{job_id}"')
def step_long_record(context, job_id):
    service = context.cell.nodes[find_coordinator(context)].node.service
    table = service.coordinator.table
    step = table.jobs[job_id].steps[0, 0]
    blobs = _blobs(context)
    rows = []
    for part in range(step.part_count):
        blob = blobs.get(step_key(step, part)) or encode_step_part(
            step, part, DEFAULT_RECORD_BYTES
        )
        rows.extend(_tasks_in(blob))
    whole = msgspec.msgpack.encode(StepRecord(rows))

    async def replace():
        context.cell.store.append(
            TOPICS.jobs,
            [
                (step_key(step, 0), whole),
                *(
                    (step_key(step, part), b'')
                    for part in range(1, step.part_count)
                ),
            ],
        )

    context.run(replace())


@then('the coordinator keeps no task of job "{job_id}"')
def step_no_task(context, job_id):
    service = context.cell.nodes[find_coordinator(context)].node.service
    kept = service.coordinator.table.jobs[job_id]
    assert not kept.steps, len(kept.steps)
    assert not kept.spec.steps, kept.spec


@then('the first record of job "{job_id}" holds {count:d} tasks')
def step_first_record(context, job_id, count):
    rows = _tasks_in(_blobs(context)[f's/{job_id}.0.0'])
    assert len(rows) == count, len(rows)


@then('the store has refused nothing')
def step_nothing_refused(context):
    assert not context.cell.events('append-refused')


@then('the records of the steps of job "{job_id}" are gone')
def step_records_gone(context, job_id):
    left = [key for key in _blobs(context) if key.startswith(f's/{job_id}.')]
    assert not left, left


@then('the store holds no part of the record of job "{job_id}"')
def step_parts_gone(context, job_id):
    left = [key for key in _blobs(context) if key.startswith(f'p/{job_id}/')]
    assert not left, left


@then('no task of job "{job_id}" was started after its success')
def step_not_again(context, job_id):
    runs = collections.defaultdict(list)
    for log in runs_of(context, job_id):
        runs[log.task].append(log.outcome)
    again = {
        task: outcomes
        for task, outcomes in runs.items()
        if 'done' in outcomes[:-1]
    }
    assert not again, again


@given('a step of {count:d} tasks with checkpoints of {size:d} bytes')
def step_checkpoints(context, count, size):
    context.step = Job(job('a', StepSpec(count, TASK))).steps[0, 0]
    for task in context.step.tasks:
        task.checkpoint = 'c' * size


@when('the step is encoded for records of {count:d} bytes')
def step_encode(context, count):
    context.blob = encode_step_part(context.step, 0, count)


@then('its record has at most {count:d} bytes')
def step_length(context, count):
    assert len(context.blob) <= count, len(context.blob)


@then('the tasks in its record have no checkpoints')
def step_no_checkpoints(context):
    rows = _tasks_in(context.blob)
    assert len(rows) == len(context.step.tasks)
    assert not any(row.checkpoint for row in rows)


@when('the store refuses the record "{key}" for good')
def step_refuse(context, key):
    context.cell.store.refused_keys.add(key)


@when('the record "{key}" is lost')
def step_lose_record(context, key):
    async def drop():
        context.cell.store.append(TOPICS.jobs, [(key, b'')])

    context.run(drop())


@when('the store refuses no record')
def step_refuse_none(context):
    context.cell.store.refused_keys.clear()


@when(
    'jobs "{first}", "{second}" and "{third}" are submitted at the same moment'
)
def step_submit_together(context, first, second, third):
    async def submit():
        names = (first, second, third)
        replies = await asyncio.gather(
            *(
                gateway_of(context).send_request(
                    SubmitJob(job(name)),
                    JobAccepted,
                    request=name,
                    timeout_s=TIMEOUT_S,
                )
                for name in names
            )
        )
        return dict(zip(names, replies, strict=True))

    context.replies = context.run(submit())


@then('jobs "{first}" and "{second}" are accepted')
def step_accepted(context, first, second):
    for name in (first, second):
        assert isinstance(context.replies[name], JobAccepted), name


@then('the reply about job "{job_id}" is "{name}"')
def step_job_refused(context, job_id, name):
    assert context.replies[job_id].name == name, context.replies[job_id]


@then('the refusal of the record "{key}" was logged')
def step_refusal_logged(context, key):
    lines = context.cell.events('record-refused')
    assert {line['key'] for line in lines} == {key}, lines


@then('{amount:w} append is logged as slow')
def step_slow_append(context, amount):
    events = context.cell.events('append-slow')
    assert bool(events) == (amount == 'an'), events
    assert all(each['bytes'] > 0 for each in events)
