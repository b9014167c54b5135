"""Steps that check what a cell has done."""

import asyncio
import math

from behave import then

from berylspread.coordinator.messages import (
    AskBacklog,
    AskJobStatus,
    BacklogReply,
    CancelJob,
    JobAccepted,
    JobCancelled,
    JobStatusReply,
    SubmitJob,
)
from berylspread.coordinator.service import NoSuchJob
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Forbidden, NotRun
from berylspread_standins.coordinated.fleet import (
    TOPICS,
    job,
)
from features.coordinator.cell import (
    REQUEST_INTERVAL_S,
    TIMEOUT_S,
    find_coordinator,
    gateway_of,
    loop_time,
    request_status,
    runs_of,
    status_of,
    worker_of,
)


@then('the run of task {index:d} of job "{job_id}" is kept')
def step_kept(context, index, job_id):
    assert f'{job_id}.0.0.{index}' in context.session.worker.runs


@then('at most {count:d} runs of job "{job_id}" were stopped')
def step_stopped(context, count, job_id):
    stopped = [
        log for log in runs_of(context, job_id) if log.outcome == 'stopped'
    ]
    assert len(stopped) <= count, len(stopped)


@then('{count:d} tasks of job "{job_id}" are running')
def step_running(context, count, job_id):
    running = [log for log in runs_of(context, job_id) if not log.outcome]
    assert len(running) == count, len(running)


@then('every node finds the coordinator')
def step_all_find(context):
    async def ask(node):
        return await node.node.gateway.send_request(
            AskBacklog('q'), BacklogReply, request='q', timeout_s=TIMEOUT_S
        )

    for node in context.cell.nodes.values():
        reply = context.run(ask(node))
        assert isinstance(reply, BacklogReply), (node.name, reply)


@then(
    'step 1 of job "{job_id}" began within {seconds:g} s of the end of step 0'
)
def step_began_soon(context, job_id, seconds):
    before, after = sorted(runs_of(context, job_id), key=lambda log: log.task)
    gap_s = after.started_at - before.ended_at
    assert 0 <= gap_s <= seconds, gap_s


@then('that node refuses a job within {seconds:g} s as not run')
def step_isolated_refuses(context, seconds):
    async def submit():
        began = now()
        reply = await context.isolated_node.node.gateway.send_request(
            SubmitJob(job('z')), JobAccepted, request='z', timeout_s=TIMEOUT_S
        )
        return reply, now() - began

    reply, took_s = context.run(submit())
    assert isinstance(reply, NotRun), reply
    assert took_s <= seconds, took_s


@then('no reply said that job "{job_id}" does not exist')
def step_never_unknown(context, job_id):
    assert context.replies
    unknown = [
        reply for reply in context.replies if isinstance(reply, NoSuchJob)
    ]
    assert not unknown, len(unknown)


@then('all tasks of job "{job_id}" run on the other worker')
def step_on_other(context, job_id):
    running = {
        log.task: log.worker
        for log in runs_of(context, job_id)
        if log.ended_at is None
    }
    assert set(running.values()) == {'other'}, running


@then('organisation "{tenant}" is forbidden to see or cancel job "{job_id}"')
def step_forbidden(context, tenant, job_id):
    async def ask(body, reply_type):
        return await gateway_of(context).send_request(
            body, reply_type, request=job_id, timeout_s=TIMEOUT_S
        )

    for body, reply_type in (
        (AskJobStatus(job_id, 'q', tenant), JobStatusReply),
        (CancelJob(job_id, 'q', tenant), JobCancelled),
    ):
        reply = context.run(ask(body, reply_type))
        assert isinstance(reply, Forbidden), reply


@then('job "{job_id}" does not exist')
def step_no_job(context, job_id):
    assert not runs_of(context, job_id)
    reply = request_status(context, job_id)
    assert isinstance(reply, NoSuchJob), reply


@then('job "{job_id}" is {status}')
def step_status(context, job_id, status):
    found = status_of(context, job_id)
    assert found == status, found


@then('callers see within {seconds:g} s that job "{job_id}" has succeeded')
def step_shown(context, seconds, job_id):
    while status_of(context, job_id) != 'succeeded':
        context.run(asyncio.sleep(REQUEST_INTERVAL_S))
    took_s = context.run(loop_time()) - context.submitted_at
    assert took_s <= seconds, took_s


@then('each task of job "{job_id}" ran once')
def step_ran_once(context, job_id):
    names = [log.task for log in runs_of(context, job_id)]
    assert names, 'no run'
    assert len(names) == len(set(names)), names


@then('no task of step 1 of job "{job_id}" began before step 0 had ended')
def step_order(context, job_id):
    runs = runs_of(context, job_id)
    ended = max(
        log.ended_at for log in runs if log.task.startswith(f'{job_id}.0.0.')
    )
    begun = min(
        log.started_at for log in runs if log.task.startswith(f'{job_id}.0.1.')
    )
    assert begun >= ended, (begun, ended)


@then('exactly {count:d} node has claimed the coordination')
@then('exactly {count:d} nodes have claimed the coordination')
def step_claims(context, count):
    won = [line for line in context.cell.events('claim') if line['won']]
    assert len(won) == count, won


@then('one node coordinates')
def step_one(context):
    assert context.cell.leader() is not None
    store = context.cell.store.newest(TOPICS.leader)
    assert len(store.items) == 1


@then('the coordinator is not far')
def step_near(context):
    assert not find_coordinator(context).startswith('far')


@then('task {index:d} of job "{job_id}" has begun {count:d} time')
@then('task {index:d} of job "{job_id}" has begun {count:d} times')
def step_begun(context, index, job_id, count):
    runs = context.cell.runs(f'{job_id}.0.0.{index}')
    assert len(runs) == count, len(runs)


@then('task {index:d} of job "{job_id}" has begun at least {count:d} times')
def step_begun_at_least(context, index, job_id, count):
    assert len(context.cell.runs(f'{job_id}.0.0.{index}')) >= count


@then('no two runs of job "{job_id}" overlap')
def step_no_overlap(context, job_id):
    ended = {}
    for log in runs_of(context, job_id):
        before = ended.get(log.task, 0.0)
        assert before is not None, f'{log.task} runs twice'
        assert log.started_at >= before, f'{log.task} overlapped'
        ended[log.task] = log.ended_at


@then('no task of job "{job_id}" succeeded twice')
def step_once_done(context, job_id):
    done = [
        log.task for log in runs_of(context, job_id) if log.outcome == 'done'
    ]
    assert len(done) == len(set(done)), done


@then('the worker still lists the outcome of job "{job_id}"')
def step_still_listed(context, job_id):
    rows = worker_of(context, job_id).ended
    assert [row.task for row in rows] == [f'{job_id}.0.0.0'], rows


@then('no worker runs a task')
def step_no_runs(context):
    running = [
        name
        for worker in context.cell.workers.values()
        for name in worker.running
    ]
    assert not running, running


@then('no worker ever ran more than {count:d} tasks')
def step_max_tasks(context, count):
    for worker in context.cell.workers.values():
        for log in worker.history:
            beside = [
                other
                for other in worker.history
                if other.started_at <= log.started_at
                and (other.ended_at is None or other.ended_at > log.started_at)
            ]
            assert len(beside) <= count, [each.task for each in beside]


@then('the tasks of job "{job_id}" ran on {count:d} workers')
def step_worker_count(context, job_id, count):
    workers = {log.worker for log in runs_of(context, job_id)}
    assert len(workers) == count, workers


@then('at most {count:d} tasks of job "{job_id}" ran at a time')
def step_at_a_time(context, count, job_id):
    runs = runs_of(context, job_id)
    for log in runs:
        beside = [
            other
            for other in runs
            if other.started_at <= log.started_at < (other.ended_at or math.inf)
        ]
        assert len(beside) <= count, len(beside)


@then(
    'the tasks of job "{job_id}" began within {seconds:g} s with one run number'
)
def step_together(context, job_id, seconds):
    runs = runs_of(context, job_id)
    assert len({log.run for log in runs}) == 1
    times = [log.started_at for log in runs]
    assert max(times) - min(times) <= seconds, times


@then('{count:d} job waits')
def step_backlog(context, count):
    async def ask():
        return await gateway_of(context).send_request(
            AskBacklog('q'), BacklogReply, request='q', timeout_s=TIMEOUT_S
        )

    assert context.run(ask()).jobs == count


@then('no task of job "{job_id}" ran on worker "{worker}"')
def step_not_on(context, job_id, worker):
    assert worker not in {log.worker for log in runs_of(context, job_id)}


@then('no node has logged a fault of the program')
def step_no_fault(context):
    lines = [
        line
        for event in ('session-failed', 'task-failed')
        for line in context.cell.events(event)
    ]
    assert not lines, lines
