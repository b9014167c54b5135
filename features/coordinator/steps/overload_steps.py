"""Steps about more work than the fleet holds."""

import asyncio

from behave import given, then, when

from berylspread.coordinator.durations import critical_paths_ms, objective_ms
from berylspread.coordinator.messages import JobAccepted, SubmitJob
from berylspread.coordinator.model import Job, Queue, StepSpec
from berylspread.coordinator.shares import ShareMeter
from berylspread.coordinator.urgency import urgency
from berylspread.kernel.clock import now
from berylspread_standins.coordinated.fleet import (
    EPOCH_S,
    TASK,
    WALL_MS,
    job,
)

TIMEOUT_S = 2.5
#: Objective of the queue: 1.5 times a second of work and half a second.
OVERLOADED = Queue('q', 'desk', stretch=1.5, target_ms=500)
OBJECTIVE_S = 2.0
ONE_TASK = (StepSpec(1, TASK, estimate_ms=1000),)
#: When a job of the order's table is looked at, by how it stands.
LOOKED_AT_MS = {'on time': 900, 'late': 1100, 'useless': 5100}


async def _submit(context, job_id, tenant, steps):
    spec = job(
        job_id,
        *steps,
        queue=OVERLOADED,
        tenant=tenant,
        accepted_ms=int((EPOCH_S + now()) * 1000),
    )
    context.sent[job_id] = now()
    gateway = next(iter(context.cell.nodes.values())).node.gateway
    reply = await gateway.send_request(
        SubmitJob(spec), JobAccepted, request=job_id, timeout_s=TIMEOUT_S
    )
    assert isinstance(reply, JobAccepted), reply


def _arrive(context, rates, seconds, steps_of=None):
    async def arrive():
        sending = []
        for tick in range(round(seconds * 20)):
            for tenant, rate in rates.items():
                before = int(tick * rate / 20)
                after = int((tick + 1) * rate / 20)
                sending.extend(
                    asyncio.create_task(
                        _submit(
                            context,
                            f'{tenant}-{number}',
                            tenant,
                            (steps_of or {}).get(tenant, ONE_TASK),
                        )
                    )
                    for number in range(before, after)
                )
            await asyncio.sleep(0.05)
        await asyncio.gather(*sending)

    context.sent = {}
    context.run(arrive())


def _on_time(context, tenant):
    ended = {}
    for log in context.cell.runs():
        job_id = log.task.split('.')[0]
        if log.outcome == 'done':
            ended[job_id] = max(ended.get(job_id, 0), log.ended_at)
    return [
        job_id
        for job_id, sent_at in context.sent.items()
        if job_id.startswith(f'{tenant}-')
        and ended.get(job_id, float('inf')) - sent_at <= OBJECTIVE_S
    ]


def _sent(context, tenant):
    return [each for each in context.sent if each.startswith(f'{tenant}-')]


@when('{rate:d} jobs of "{tenant}" arrive each second for {seconds:g} s')
def step_arrive(context, rate, tenant, seconds):
    _arrive(context, {tenant: rate}, seconds)


@when(
    '{rate:d} jobs of {tasks:d} tasks of "{tenant}" and {other_rate:d} of '
    '"{other}" arrive each second for {seconds:g} s'
)
def step_arrive_wide(context, rate, tasks, tenant, other_rate, other, seconds):
    steps = {tenant: (StepSpec(tasks, TASK, estimate_ms=1000),)}
    _arrive(context, {tenant: rate, other: other_rate}, seconds, steps)


@when(
    '{rate:d} jobs of "{tenant}" and {other_rate:d} of "{other}" arrive each '
    'second for {seconds:g} s'
)
def step_arrive_two(context, rate, tenant, other_rate, other, seconds):
    _arrive(context, {tenant: rate, other: other_rate}, seconds)


@then('at least {count:d} jobs of "{tenant}" were on time')
def step_on_time(context, count, tenant):
    found = len(_on_time(context, tenant))
    assert found >= count, found


@then('all jobs of "{tenant}" were on time')
def step_all_on_time(context, tenant):
    late = set(_sent(context, tenant)) - set(_on_time(context, tenant))
    assert not late, late


@then('all jobs of "{tenant}" have succeeded')
def step_all_succeeded(context, tenant):
    done = {
        log.task.split('.')[0]
        for log in context.cell.runs()
        if log.outcome == 'done'
    }
    assert set(_sent(context, tenant)) <= done


def _urgency(priority, standing, share):
    spec = job('a', queue=Queue('q', 'desk', priority=priority, stretch=2.0))
    found = Job(spec)
    found.task_durations_ms = [step.estimate_ms for step in spec.steps]
    found.critical_paths_ms = critical_paths_ms(
        spec, lambda step: step.estimate_ms
    )
    found.deadline_ms = WALL_MS + objective_ms(spec, found.critical_paths_ms)
    found.over_share = share == 'beyond'
    step = found.steps[0, 0]
    return urgency(step, WALL_MS + LOOKED_AT_MS[standing])


@given(
    'a job of priority {priority:d} that is {standing} and {share} its share'
)
def step_job(context, priority, standing, share):
    context.order = [
        *getattr(context, 'order', []),
        _urgency(priority, standing, share),
    ]


@then('the first job is placed {place}')
def step_place(context, place):
    first, second = context.order
    assert (first < second) == (place == 'before'), context.order


@given('an organisation with a share of {rate:g} jobs a second')
def step_share(context, rate):
    context.share_meter = ShareMeter()
    context.rate = rate
    context.moment = 100.0


@when('it sends {count:d} jobs at once')
def step_sends(context, count):
    context.within = sum(
        context.share_meter.try_take('acme', context.rate, context.moment)
        for _ in range(count)
    )


@when('it sends {count:d} jobs {seconds:g} s later')
def step_sends_later(context, count, seconds):
    context.moment += seconds
    step_sends(context, count)


@then('{count:d} of them are within its share')
def step_within(context, count):
    assert context.within == count, context.within
