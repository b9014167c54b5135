"""Steps for more work than the fleet can run."""

import asyncio

import msgspec
from behave import given, then, when

from berylspread.coordinator.contention import Ordering, find_policy
from berylspread.coordinator.durations import critical_paths_ms, objective_ms
from berylspread.coordinator.messages import JobAccepted, SubmitJob
from berylspread.coordinator.model import Job, Queue, StepSpec
from berylspread.coordinator.shares import ShareMeter
from berylspread.kernel.clock import now
from berylspread_standins.coordinated.fleet import (
    EPOCH_S,
    TASK,
    WALL_MS,
    job,
)

TIMEOUT_S = 2.5
#: The objective of the queue is 1.5 times one second of work plus 0.5 s.
OVERLOADED = Queue('q', 'desk', stretch=1.5, target_ms=500)
#: Newer than the cell's, so that its policy of the queue does not replace this.
OVERLOADED_VERSION = 2
OBJECTIVE_S = 2.0
ONE_TASK = (StepSpec(1, TASK, estimate_ms=1000),)
#: When a job is examined, in ms after its acceptance, by its lateness.
EXAMINED_AFTER_MS = {'on time': 900, 'late': 1100, 'useless': 5100}


async def _submit(context, job_id, tenant, steps):
    spec = msgspec.structs.replace(
        job(
            job_id,
            *steps,
            queue=OVERLOADED,
            tenant=tenant,
            accepted_ms=int((EPOCH_S + now()) * 1000),
        ),
        config_version=OVERLOADED_VERSION,
    )
    context.submission_times[job_id] = now()
    gateway = next(iter(context.cell.nodes.values())).node.gateway
    reply = await gateway.send_request(
        SubmitJob(spec), JobAccepted, request=job_id, timeout_s=TIMEOUT_S
    )
    if hasattr(context, 'replies'):
        # Under a policy that refuses jobs.
        context.replies[job_id] = reply
        context.specs[job_id] = spec
        return
    assert isinstance(reply, JobAccepted), reply


def _submit_at_rates(context, rates, seconds, steps_of=None):
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
                            f'{tenant}-{sent[tenant] + number}',
                            tenant,
                            (steps_of or {}).get(tenant, ONE_TASK),
                        )
                    )
                    for number in range(before, after)
                )
            await asyncio.sleep(0.05)
        await asyncio.gather(*sending)

    if not hasattr(context, 'replies'):
        context.submission_times = {}
    sent = {tenant: len(_submitted_jobs(context, tenant)) for tenant in rates}
    context.run(arrive())


def _jobs_on_time(context, tenant):
    ended = {}
    for log in context.cell.runs():
        job_id = log.task.split('.')[0]
        if log.outcome == 'done':
            ended[job_id] = max(ended.get(job_id, 0), log.ended_at)
    return [
        job_id
        for job_id, sent_at in context.submission_times.items()
        if job_id.startswith(f'{tenant}-')
        and ended.get(job_id, float('inf')) - sent_at <= OBJECTIVE_S
    ]


def _submitted_jobs(context, tenant):
    return [
        each
        for each in context.submission_times
        if each.startswith(f'{tenant}-')
    ]


@when('{rate:d} jobs of "{tenant:w}" arrive each second for {seconds:g} s')
def step_arrive(context, rate, tenant, seconds):
    _submit_at_rates(context, {tenant: rate}, seconds)


@when(
    '{rate:d} jobs of {tasks:d} tasks of "{tenant:w}" and {other_rate:d} of '
    '"{other:w}" arrive each second for {seconds:g} s'
)
def step_arrive_wide(context, rate, tasks, tenant, other_rate, other, seconds):
    steps = {tenant: (StepSpec(tasks, TASK, estimate_ms=1000),)}
    _submit_at_rates(context, {tenant: rate, other: other_rate}, seconds, steps)


@when(
    '{rate:d} jobs of "{tenant:w}" and {other_rate:d} of "{other:w}" arrive '
    'each second for {seconds:g} s'
)
def step_arrive_two(context, rate, tenant, other_rate, other, seconds):
    _submit_at_rates(context, {tenant: rate, other: other_rate}, seconds)


@then('at least {count:d} jobs of "{tenant}" were on time')
def step_on_time(context, count, tenant):
    found = len(_jobs_on_time(context, tenant))
    assert found >= count, found


@then('all jobs of "{tenant}" were on time')
def step_all_on_time(context, tenant):
    assert _submitted_jobs(context, tenant)
    late = set(_submitted_jobs(context, tenant)) - set(
        _jobs_on_time(context, tenant)
    )
    assert not late, late


@then('all jobs of "{tenant}" have succeeded')
def step_all_succeeded(context, tenant):
    assert _submitted_jobs(context, tenant)
    done = {
        log.task.split('.')[0]
        for log in context.cell.runs()
        if log.outcome == 'done'
    }
    assert set(_submitted_jobs(context, tenant)) <= done


def _urgency(priority, lateness, share):
    spec = job('a', queue=Queue('q', 'desk', priority=priority, stretch=2.0))
    found = Job(spec)
    found.task_durations_ms = [step.estimate_ms for step in spec.steps]
    found.critical_paths_ms = critical_paths_ms(
        spec, lambda step: step.estimate_ms
    )
    found.deadline_ms = WALL_MS + objective_ms(spec, found.critical_paths_ms)
    found.share_step = int(share == 'beyond')
    step = found.steps[0, 0]
    ordering = Ordering(
        find_policy('urgency'), WALL_MS + EXAMINED_AFTER_MS[lateness]
    )
    return ordering.policy.rank(ordering.standing(step))


@given(
    'a job of priority {priority:d} that is {lateness} and {share} its share'
)
def step_job(context, priority, lateness, share):
    context.order = [
        *getattr(context, 'order', []),
        _urgency(priority, lateness, share),
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
    context.within_share = sum(
        context.share_meter.take('acme', context.rate, context.moment) == 0
        for _ in range(count)
    )


@when('it sends {count:d} jobs {seconds:g} s later')
def step_sends_later(context, count, seconds):
    context.moment += seconds
    step_sends(context, count)


@then('{count:d} of them are within its share')
def step_within(context, count):
    assert context.within_share == count, context.within_share
