"""Steps for the leases that earlier coordinators have granted."""

import asyncio

import msgspec
from behave import given, then, when

from berylspread.coordinator.claim_history import ClaimAge, ClaimHistory
from berylspread.coordinator.leader_record import LeaderRecord
from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import StepSpec
from berylspread.coordinator.records import CONTACT_PREFIX
from berylspread.kernel.clock import now
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import TASK, TOPICS, job
from features.coordinator.cell import (
    cut_off_node,
    find_coordinator,
    reach_worker_alone,
    runs_of,
    submit_spec,
    worker_of,
)

#: How often runs are looked at.
SAMPLE_S = 0.05
LOOK_S = 0.5
ENDLESS_S = 1000.0
MS_PER_S = 1000


@given(
    'a cell of {nodes:d} nodes and {workers:d} workers, and {far:d} far node'
)
def step_cell_with_far(context, nodes, workers, far):
    async def start():
        context.cell = CoordinatedFleet(workers)
        for index in range(nodes):
            context.cell.start_node(f'n{index}', is_far=index >= nodes - far)

    context.run(start())


@when('a job "{job_id}" with a long-running task is submitted')
def step_submit_long(context, job_id):
    context.cell.work[f'{job_id}.0.0.0'] = (ENDLESS_S, 'done')
    spec = job(job_id, StepSpec(1, TASK, long_running=True))
    assert isinstance(submit_spec(context, spec), JobAccepted)


@when('the worker of job "{job_id}" is lost')
def step_lose_worker(context, job_id):
    async def lose():
        worker_of(context, job_id).vanish()
        context.lost_at = now()

    context.run(lose())


@when('{count:d} coordinators leave {gap:g} s apart')
def step_leave_several(context, count, gap):
    for _ in range(count):
        name = find_coordinator(context)
        context.run(context.cell.nodes[name].node.leave())
        context.run(asyncio.sleep(gap))


@then('job "{job_id}" runs again within {limit:g} s of the loss')
def step_runs_again(context, job_id, limit):
    async def wait():
        while len(runs_of(context, job_id)) < 2:
            await asyncio.sleep(SAMPLE_S)
            assert now() < context.lost_at + 2 * limit, 'it does not run'

    context.run(wait())
    took_s = runs_of(context, job_id)[1].started_at - context.lost_at
    assert took_s <= limit, took_s


@when(
    'the worker of job "{job_id}" is reached by the present coordinator alone'
)
def step_reach_alone(context, job_id):
    reach_worker_alone(
        context,
        find_coordinator(context),
        worker_of(context, job_id).entry.worker,
    )


@when('the coordinator is cut off from the other nodes and the store')
def step_cut_coordinator(context):
    cut_off_node(context, context.cell.nodes[find_coordinator(context)])


@when("the next coordinator's contacts with workers are not stored")
def step_lose_contacts(context):
    context.cell.store.lost_prefixes = (CONTACT_PREFIX,)
    context.lease_until_ms = worker_of(context, 'a').lease_until_ms


@then('no lease of the worker of job "{job_id}" has been extended since')
def step_not_extended(context, job_id):
    assert context.cell.leader() is not None
    worker = worker_of(context, job_id)
    assert worker.lease_until_ms == context.lease_until_ms


@then('the store holds the contacts with {count:d} workers')
def step_contacts(context, count):
    keys = [
        item.key
        for item in context.cell.store.newest(TOPICS.jobs).items
        if item.key.startswith(CONTACT_PREFIX)
    ]
    assert len(keys) == count, keys


@when('the entry of worker "{worker}" is withdrawn and it is lost')
def step_withdraw(context, worker):
    async def withdraw():
        context.cell.workers[worker].vanish()
        context.cell.withdraw(worker)

    context.run(withdraw())


@given('a node whose clock shows {seconds:g} s')
def step_clock(context, seconds):
    context.clock = [seconds]
    context.claims = ClaimHistory(lambda: context.clock[0])


@given('it has read a record with claims of {ages}')
def step_read_claims(context, ages):
    rows = [each.split(': ') for each in ages.split(', ')]
    context.claims.apply(
        ClaimAge(int(epoch), int(age.removesuffix(' s')) * MS_PER_S)
        for epoch, age in rows
    )


@when('its clock shows {seconds:g} s')
def step_advance(context, seconds):
    context.clock[0] = seconds


@then('the claim after epoch {epoch:d} is {age:g} s old')
def step_age(context, epoch, age):
    assert context.claims.age_after(epoch) == age


@when('a node reads the record of an earlier version for epoch {epoch:d}')
def step_earlier_version(context, epoch):
    async def read():
        cell = CoordinatedFleet(0)
        node = cell.start_node('n0').node
        blob = msgspec.msgpack.encode(LeaderRecord(epoch, 'old', 1, 'a'))
        cell.store.append(TOPICS.leader, [('leader', blob)])
        await asyncio.sleep(LOOK_S)
        cell.kill('n0')
        return node.leadership.writer.claims

    context.claims = context.run(read())


@then('contacts count only from epoch {epoch:d} on')
def step_untracked(context, epoch):
    assert context.claims.untracked_epoch == epoch - 1
