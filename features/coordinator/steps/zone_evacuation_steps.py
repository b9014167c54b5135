"""Steps about availability zones that the operator closes and opens again."""

import asyncio
import math

import msgspec
from behave import given, then, when

from berylspread.coordinator.messages import JobAccepted, SubmitJob
from berylspread.coordinator.model import MS_PER_S, StepSpec
from berylspread.coordinator.policy import Configuration, QueueRoute, Tenant
from berylspread.kernel.clock import now
from berylspread.model import Resources
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import QUEUE, TASK, TOPICS, job
from features.coordinator.cell import (
    find_coordinator,
    find_other_node,
    gateway_of,
    runs_of,
    submit_spec,
)

SAMPLE_S = 0.02
LONG_TIMEOUT_S = 10.0
#: More tasks than any job of these scenarios has.
MAX_TASKS = 30
#: Much longer than the scenarios.
ESTIMATE_MS = 60_000


@given('a cell of {nodes:d} nodes and {workers:d} worker in zone "{zone}"')
def step_cell_in_zone(context, nodes, workers, zone):
    async def start():
        context.cell = CoordinatedFleet(0)
        context.queue = QUEUE
        for index in range(nodes):
            context.cell.start_node(f'n{index}')

    context.run(start())
    step_join(context, workers, zone)


@given('a cell of {nodes:d} nodes without a bound for closed zones')
def step_cell_unbounded(context, nodes):
    async def start():
        context.cell = CoordinatedFleet(0)
        context.cell.zones_trust_s = math.inf
        context.queue = QUEUE
        for index in range(nodes):
            context.cell.start_node(f'n{index}')

    context.run(start())


@given('{count:d} worker in zone "{zone}"')
@when('{count:d} worker joins in zone "{zone}"')
@when('{count:d} workers join in zone "{zone}"')
def step_join(context, count, zone):
    async def join():
        for index in range(count):
            context.cell.add_worker(f'{zone}-{index}', zone=zone)

    context.run(join())


@given('the tasks of job "{job_id}" last')
def step_last(context, job_id):
    for index in range(MAX_TASKS):
        context.cell.work[f'{job_id}.0.0.{index}'] = (math.inf, 'done')


@when('zone "{zone}" is closed')
def step_close(context, zone):
    async def close():
        context.closed_at = now()
        context.cell.close_zone(zone)

    context.run(close())


@when('zone "{zone}" is opened')
def step_open(context, zone):
    async def reopen():
        context.cell.open_zone(zone)

    context.run(reopen())


@when('the entry of worker "{name}" is withdrawn')
def step_withdraw_entry(context, name):
    async def withdraw():
        context.cell.withdraw(name)

    context.run(withdraw())


@when('worker "{name}" writes its entry again')
def step_publish_entry(context, name):
    async def publish():
        context.cell.publish(context.cell.workers[name].entry)

    context.run(publish())


@when('the store forgets what the operator wrote')
def step_forget(context):
    context.cell.store.forget(TOPICS.config)


@when("the other nodes' reads of the configuration get no reply")
def step_silence_others(context):
    coordinator = find_coordinator(context)
    for name, standin in context.cell.nodes.items():
        if name != coordinator:
            standin.view.silent_topics.add(TOPICS.config)


@when('the coordinator is cut off from the store')
def step_cut_store(context):
    context.cell.nodes[find_coordinator(context)].view.is_cut = True


@when(
    'a job "{job_id}" with steps of {count:d} tasks is submitted by another '
    'node'
)
def step_submit_elsewhere(context, job_id, count):
    node = find_other_node(context).node

    async def submit():
        context.submitting = asyncio.create_task(
            node.gateway.send_request(
                SubmitJob(job(job_id, StepSpec(count, TASK))),
                JobAccepted,
                request=job_id,
                timeout_s=LONG_TIMEOUT_S,
            )
        )
        await asyncio.sleep(SAMPLE_S)

    context.run(submit())


@when(
    'a job "{job_id}" is submitted whose {count:d} lasting tasks may miss '
    '{may_miss:d} at a time'
)
def step_submit_lasting(context, job_id, count, may_miss):
    step = StepSpec(count, TASK, long_running=True, may_miss=may_miss)
    assert isinstance(submit_spec(context, job(job_id, step)), JobAccepted)


@when('a job "{job_id}" of {kind} steps of {count:d} tasks is submitted')
def step_submit_movable(context, job_id, kind, count):
    work_s = math.inf if kind == 'lasting' else ESTIMATE_MS / MS_PER_S
    for index in range(count):
        context.cell.work[f'{job_id}.0.0.{index}'] = (work_s, 'done')
    step = StepSpec(
        count,
        TASK,
        estimate_ms=ESTIMATE_MS,
        long_running=kind == 'lasting',
        checkpoints=kind == 'checkpointing',
        may_miss=count,
    )
    assert isinstance(submit_spec(context, job(job_id, step)), JobAccepted)


@when('the quota of the organisation is lowered to {count:d} tasks')
def step_lower_quota(context, count):
    acme = Tenant('acme', ('key',), 1.0, Resources(TASK.cpu_milli * count))
    configuration = Configuration(
        version=2,
        routes=(QueueRoute('host', '/q/', QUEUE),),
        tenants=(acme,),
    )
    blob = msgspec.msgpack.encode(configuration)

    async def configure():
        context.cell.store.append(TOPICS.config, [('config', blob)])

    context.run(configure())


@then(
    '{count:d} tasks of job "{job_id}" run, {moved:d} of them in zone "{zone}"'
)
def step_moved_of_all(context, count, job_id, moved, zone):
    zones = [_zone_of(context, log) for log in _working(context, job_id)]
    assert len(zones) == count, zones
    assert zones.count(zone) == moved, zones


@when(
    'a job "{job_id}" with a gang of {count:d} tasks is submitted and the next '
    '{lost:d} appends are lost'
)
def step_submit_unstored_gang(context, job_id, count, lost):
    view = context.cell.nodes[find_coordinator(context)].view
    view.lose_changes[TOPICS.jobs] = lost
    spec = job(job_id, StepSpec(count, TASK, gang=True))

    async def submit():
        context.submitting = asyncio.create_task(
            gateway_of(context).send_request(
                SubmitJob(spec),
                JobAccepted,
                request=job_id,
                timeout_s=LONG_TIMEOUT_S,
            )
        )
        await asyncio.sleep(SAMPLE_S)

    context.run(submit())


@then('{count:d} runs of job "{job_id}" began')
def step_run_count(context, count, job_id):
    runs = runs_of(context, job_id)
    assert len(runs) == count, [(log.task, log.outcome) for log in runs]


def _zone_of(context, log):
    return context.cell.workers[log.worker].entry.zone


@then('no task of job "{job_id}" ran in zone "{zone}"')
def step_not_in_zone(context, job_id, zone):
    runs = runs_of(context, job_id)
    assert runs
    zones = [_zone_of(context, log) for log in runs]
    assert zone not in zones, zones


@then('no run began in zone "{zone}" over {seconds:g} s after it was closed')
def step_none_later(context, zone, seconds):
    limit = context.closed_at + seconds
    late = [
        (log.task, log.started_at - context.closed_at)
        for log in context.cell.runs()
        if _zone_of(context, log) == zone and log.started_at > limit
    ]
    assert not late, late


@then('the log says once that step "{step}" waits for a zone to open')
def step_logged_waiting(context, step):
    lines = context.cell.events('step-zones-closed')
    assert [line['step'] for line in lines] == [step], lines


@then('no permission was requested for a worker in zone "{zone}"')
def step_not_asked(context, zone):
    named = context.cell.advisor.named
    zones = {context.cell.workers[name].entry.zone for name in named}
    assert named
    assert zone not in zones, zones


@then(
    'for {duration:g} s at most {limit:d} tasks of job "{job_id}" are stopped '
    'at a time'
)
def step_few_stopped(context, duration, limit, job_id):
    count = len(_working(context, job_id))

    async def watch():
        ends_at = now() + duration
        while now() < ends_at:
            away = count - len(_working(context, job_id))
            assert away <= limit, away
            await asyncio.sleep(SAMPLE_S)

    context.run(watch())


@then('all tasks of job "{job_id}" run in zone "{zone}"')
def step_run_in(context, job_id, zone):
    zones = [_zone_of(context, log) for log in _working(context, job_id)]
    assert zones
    assert set(zones) == {zone}, zones


@then('no run of job "{job_id}" has ended')
def step_none_ended(context, job_id):
    runs = runs_of(context, job_id)
    assert runs
    assert all(log.ended_at is None for log in runs)


@then('{count:d} tasks of job "{job_id}" run, of which some never moved')
def step_some_stayed(context, count, job_id):
    running = _working(context, job_id)
    assert len(running) == count, len(running)
    moved = [log for log in running if log.run > 1]
    assert 0 < len(moved) < count, len(moved)


@then(
    'the metrics of the coordinator alone tell of {count:d} runs in zone '
    '"{zone}"'
)
def step_metrics(context, count, zone):
    line = f'berylspread_closed_zone_runs{{zone="{zone}"}} {float(count)}'
    telling = [
        name
        for name, standin in context.cell.nodes.items()
        if line in standin.node.log.metrics.render().decode().splitlines()
    ]
    assert telling == [find_coordinator(context)], telling


@then('no metrics tell of zone "{zone}"')
def step_no_metrics(context, zone):
    for standin in context.cell.nodes.values():
        assert (
            f'zone="{zone}"' not in standin.node.log.metrics.render().decode()
        )


@then('no order to a closed zone was given up')
def step_none_given_up(context):
    lost = context.cell.events('run-lost')
    assert not lost, [(line['task'], line['reason']) for line in lost[-5:]]


@then('zone "{zone}" is logged as empty')
def step_logged_empty(context, zone):
    lines = context.cell.events('zone-empty')
    assert {line['zone'] for line in lines} == {zone}, lines


def _working(context, job_id):
    return [log for log in runs_of(context, job_id) if log.ended_at is None]
