"""Steps about when orders leave a coordinator for a worker."""

import asyncio

from behave import given, then, when

from berylspread.coordinator.interface import RunningRow
from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import StepSpec
from berylspread.kernel.clock import now
from berylspread.model import Resources
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import job
from features.coordinator.cell import (
    find_coordinator,
    reach_worker_alone,
    runs_of,
    submit_spec,
    worker_of,
)

SMALL_TASK = Resources(5, 5)
ENDLESS_S = 1000.0
PACE_PERCENT = 50


class ListedCalls:
    """One node's calls to the workers, with a list of those to stop or pace.

    A call is listed as its kind, its task and when it was made.  Replies to
    orders to start are ``start_s`` late.
    """

    def __init__(self, pool):
        self.pool = pool
        self.start_s = 0.0
        self.calls = []

    async def start(self, entry, order):
        reply = await self.pool.start(entry, order)
        await asyncio.sleep(self.start_s)
        return reply

    async def stop(self, entry, task, run, token):
        self.calls.append(('stop', task, now()))
        return await self.pool.stop(entry, task, run, token)

    async def set_pace(self, entry, task, run, percent, token):
        self.calls.append(('pace', task, now()))
        return await self.pool.set_pace(entry, task, run, percent, token)

    async def renew(self, entry, renewal):
        return await self.pool.renew(entry, renewal)


@given('a cell of {nodes:d} nodes and {workers:d} workers with listed calls')
@given('a cell of {nodes:d} node and {workers:d} worker with listed calls')
def step_listed_cell(context, nodes, workers):
    async def start():
        context.cell = CoordinatedFleet(workers)
        context.queue = job('any').queue
        context.listed = {}
        for index in range(nodes):
            _start_node(context, f'n{index}')

    context.run(start())


def _start_node(context, name):
    def wrap_workers(pool):
        context.listed[name] = ListedCalls(pool)
        return context.listed[name]

    context.cell.start_node(name, wrap_workers=wrap_workers)


@when('the worker of job "{job_id}" is reached by the coordinator alone')
def step_reached_alone(context, job_id):
    worker = worker_of(context, job_id).entry.worker
    context.former = find_coordinator(context)
    context.service = context.cell.nodes[context.former].node.service
    reach_worker_alone(context, context.former, worker)


@when('the coordinator ends')
def step_end(context):
    async def end():
        context.service.coordinator.close()

    context.run(end())


@when('it orders a {kind} of the run of job "{job_id}"')
def step_order(context, kind, job_id):
    worker = worker_of(context, job_id).entry.worker
    session = context.service.coordinator.sessions[worker]
    run = session.worker.runs[f'{job_id}.0.0.0']
    row = RunningRow(run.task.name, run.number, '', 0)

    async def order():
        if kind == 'stop':
            session.orders.stop(run, 'preempted')
        elif kind == 'stray stop':
            session.orders.stop_stray(row)
        else:
            session.orders.set_pace(run, PACE_PERCENT)
        context.orders = session.orders

    context.run(order())


@when('replies to orders to start are {late:g} s late')
def step_late_replies(context, late):
    for calls in context.listed.values():
        calls.start_s = late


@when(
    'a job "{job_id}" with a gang of {count:d} small endless tasks is submitted'
)
def step_small_gang(context, job_id, count):
    for index in range(count):
        context.cell.work[f'{job_id}.0.0.{index}'] = (ENDLESS_S, 'done')
    spec = job(job_id, StepSpec(count, SMALL_TASK, gang=True))
    assert isinstance(submit_spec(context, spec), JobAccepted)


def _calls(context, job_id):
    return [
        (kind, at)
        for calls in context.listed.values()
        for kind, task, at in calls.calls
        if task.startswith(f'{job_id}.')
    ]


@then('no order about the run of job "{job_id}" has left')
def step_none_left(context, job_id):
    assert not _calls(context, job_id), _calls(context, job_id)


@then('the run of job "{job_id}" goes on')
def step_goes_on(context, job_id):
    outcomes = [log.outcome for log in runs_of(context, job_id)]
    assert outcomes == [''], outcomes


@then('no order is repeated')
def step_none_repeated(context):
    assert not context.orders.tasks, context.orders.tasks


@then('the stop of job "{job_id}" has left within {limit:g} s')
def step_left_within(context, job_id, limit):
    async def wait():
        began_at = now()
        while now() - began_at < limit and not _calls(context, job_id):
            await asyncio.sleep(0.01)

    context.run(wait())
    assert _calls(context, job_id), 'no stop has left'


@then('the gang of job "{job_id}" has begun {count:d} time')
def step_gang_begun(context, job_id, count):
    runs = {log.run for log in runs_of(context, job_id)}
    assert len(runs) == count, runs


@then('{count:d} members of job "{job_id}" run')
def step_members_run(context, count, job_id):
    logs = runs_of(context, job_id)
    running = [log for log in logs if log.ended_at is None]
    lost = context.cell.events('run-lost')
    assert len(running) == count, (len(running), len(logs), lost[:1])
