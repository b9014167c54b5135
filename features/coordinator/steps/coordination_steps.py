"""Steps about nodes that coordinate a cell."""

import asyncio
import math

from behave import given, then, when

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
from berylspread.coordinator.model import AdviceTerms, JobSpec, Queue, StepSpec
from berylspread.coordinator.service import NoSuchJob
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Forbidden, NotRun
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import (
    EPOCH_S,
    QUEUE,
    TASK,
    TOPICS,
    job,
)

TIMEOUT_S = 2.5
ASK_EVERY_S = 0.05
PERMITTED = Queue(
    'q', 'desk', max_attempts=2, advice=AdviceTerms(30.0, 1.0, 2000.0)
)


def _start(context, nodes, workers, far=0, queue=QUEUE):
    async def start():
        context.cell = CoordinatedFleet(workers)
        context.queue = queue
        for index in range(nodes):
            context.cell.start_node(f'n{index}', queue=queue)
        for index in range(far):
            context.cell.start_node(f'far{index}', is_far=True, queue=queue)

    context.run(start())


async def _now():
    return now()


def _gateway(context):
    return next(iter(context.cell.nodes.values())).node.gateway


def _submit(context, spec, timeout_s=TIMEOUT_S):
    async def submit():
        return await _gateway(context).ask(
            SubmitJob(spec),
            JobAccepted,
            request=spec.job_id,
            timeout_s=timeout_s,
        )

    return context.run(submit())


def _status(context, job_id):
    return _ask_status(context, job_id).status


def _ask_status(context, job_id):
    async def ask():
        return await _gateway(context).ask(
            AskJobStatus(job_id, 'q', ''),
            JobStatusReply,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )

    return context.run(ask())


def _coordinator(context):
    name = context.cell.leader()
    assert name is not None, 'no single coordinator'
    return name


def _runs(context, job_id):
    return [
        log for log in context.cell.runs() if log.task.startswith(f'{job_id}.')
    ]


def _worker_of(context, job_id):
    return context.cell.workers[_runs(context, job_id)[-1].worker]


@given('a cell of {nodes:d} nodes and {workers:d} workers')
@given('a cell of {nodes:d} nodes and {workers:d} worker')
def step_cell(context, nodes, workers):
    _start(context, nodes, workers)


@given('a cell of {nodes:d} nodes and {workers:d} worker, and {far:d} far node')
def step_cell_far(context, nodes, workers, far):
    _start(context, nodes, workers, far=far)


@given(
    'a cell of {nodes:d} nodes and {workers:d} workers whose queue needs '
    'permissions'
)
def step_cell_permitted(context, nodes, workers):
    _start(context, nodes, workers, queue=PERMITTED)


@given('worker "{worker}" is permitted nothing')
def step_bad_worker(context, worker):
    context.cell.advisor.bad.add(worker)


@given('tasks of job "{job_id}" take {seconds:g} s')
def step_work(context, job_id, seconds):
    for index in range(30):
        context.cell.work[f'{job_id}.0.0.{index}'] = (seconds, 'done')


@given('task {index:d} of job "{job_id}" fails')
def step_fails(context, index, job_id):
    context.cell.work[f'{job_id}.0.0.{index}'] = (0.5, 'failed')


@given('the worker refuses orders as unhealthy')
def step_unhealthy(context):
    for worker in context.cell.workers.values():
        worker.refuse_as = 'unhealthy'


@when('{seconds:g} s passes')
@when('{seconds:g} s pass')
def step_pass(context, seconds):
    context.run(asyncio.sleep(seconds))


@when('a job "{job_id}" with steps of {counts} tasks is submitted')
@when('a job "{job_id}" with steps of {counts} task is submitted')
def step_submit(context, job_id, counts):
    steps = [
        StepSpec(
            int(count),
            TASK,
            estimate_ms=1000,
            after=(number - 1,) if number else (),
        )
        for number, count in enumerate(counts.split(' and '))
    ]
    context.submitted_at = context.run(_now())
    reply = _submit(context, job(job_id, *steps, queue=context.queue))
    assert isinstance(reply, JobAccepted), reply


@when('a job "{job_id}" with a lasting step of {count:d} tasks is submitted')
def step_submit_lasting(context, job_id, count):
    step = StepSpec(count, TASK, lasting=True)
    assert isinstance(_submit(context, job(job_id, step)), JobAccepted)


@when('a job "{job_id}" with a gang of {count:d} tasks is submitted')
def step_submit_gang(context, job_id, count):
    step = StepSpec(count, TASK, gang=True)
    assert isinstance(_submit(context, job(job_id, step)), JobAccepted)


@when(
    'a batch job "{job_id}" of {count:d} tasks that save their progress is '
    'submitted'
)
def step_submit_batch(context, job_id, count):
    _submit_batch(context, job_id, StepSpec(count, TASK, checkpoints=True))


@when(
    'a batch job "{job_id}" of {count:d} tasks that save nothing is submitted'
)
def step_submit_batch_plain(context, job_id, count):
    _submit_batch(context, job_id, StepSpec(count, TASK))


@when(
    'a batch job "{job_id}" of the capped team with {count:d} tasks is '
    'submitted'
)
def step_submit_batch_capped(context, job_id, count):
    _submit_batch(
        context, job_id, StepSpec(count, TASK, checkpoints=True), 'capped'
    )


def _submit_batch(context, job_id, step, tenant='acme'):
    spec = job(
        job_id, step, queue=Queue('batch', 'desk', priority=2), tenant=tenant
    )
    assert isinstance(_submit(context, spec), JobAccepted)


@when('a report of the moment in which the start was answered omits the run')
def step_same_moment(context):
    async def settle():
        node = context.cell.nodes[_coordinator(context)].node
        coordinator = node.service.coordinator
        context.session = next(iter(coordinator.sessions.values()))
        run = next(iter(context.session.worker.runs.values()))
        context.session.settle_missing(set(), run.answered_at)

    context.run(settle())


@then('task {index:d} of job "{job_id}" is still booked')
def step_booked(context, index, job_id):
    assert f'{job_id}.0.0.{index}' in context.session.worker.runs


@then('at most {count:d} runs of job "{job_id}" were stopped')
def step_stopped(context, count, job_id):
    stopped = [
        log for log in _runs(context, job_id) if log.outcome == 'stopped'
    ]
    assert len(stopped) <= count, len(stopped)


@when('a job "{job_id}" of the capped team with {count:d} tasks is submitted')
def step_submit_capped(context, job_id, count):
    spec = job(job_id, StepSpec(count, TASK), tenant='capped')
    assert isinstance(_submit(context, spec), JobAccepted)


@when('a job "{job_id}" is submitted and given up after {seconds:g} s')
def step_submit_given_up(context, job_id, seconds):
    reply = _submit(context, job(job_id), timeout_s=seconds)
    assert not isinstance(reply, JobAccepted), reply


@when('a job "{job_id}" accepted {seconds:d} s ahead of the clock is submitted')
def step_submit_ahead(context, job_id, seconds):
    spec = job(job_id)
    ahead = JobSpec(
        job_id=spec.job_id,
        queue=spec.queue,
        tenant=spec.tenant,
        payload=spec.payload,
        steps=spec.steps,
        accepted_ms=int((EPOCH_S + seconds) * 1000),
    )
    assert isinstance(_submit(context, ahead), JobAccepted)


@when('job "{job_id}" is cancelled')
def step_cancel(context, job_id):
    async def cancel():
        return await _gateway(context).ask(
            CancelJob(job_id, 'q', 'acme'),
            JobCancelled,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )

    assert isinstance(context.run(cancel()), JobCancelled)


@when('the coordinator is killed')
def step_kill(context):
    async def kill():
        context.cell.kill(_coordinator(context))

    context.run(kill())


@when('the coordinator leaves')
def step_leave(context):
    name = _coordinator(context)
    context.run(context.cell.nodes[name].node.leave())


@when('another node leaves')
def step_other_leaves(context):
    name = next(
        name
        for name, node in context.cell.nodes.items()
        if node.node.service is None
    )
    context.run(context.cell.nodes[name].node.leave())


@then('every node finds the coordinator')
def step_all_find(context):
    async def ask(node):
        return await node.node.gateway.ask(
            AskBacklog('q'), BacklogReply, request='q', timeout_s=TIMEOUT_S
        )

    for node in context.cell.nodes.values():
        reply = context.run(ask(node))
        assert isinstance(reply, BacklogReply), (node.name, reply)


@when('a node that does not coordinate is cut off')
def step_cut_off(context):
    name = next(
        name
        for name, node in context.cell.nodes.items()
        if node.node.service is None
    )
    context.lone = context.cell.nodes[name]
    _cut_off(context, context.lone)


def _cut_off(context, node):
    node.view.is_cut = True
    for source, target in ((node.name, '*'), ('*', node.name)):
        context.cell.peers.network.cut(source, target)


@when('every node but the coordinator is cut off')
def step_cut_others(context):
    for node in context.cell.nodes.values():
        if node.node.service is None:
            _cut_off(context, node)


@then(
    'step 1 of job "{job_id}" began within {seconds:g} s of the end of step 0'
)
def step_began_soon(context, job_id, seconds):
    before, after = sorted(_runs(context, job_id), key=lambda log: log.task)
    gap_s = after.started_at - before.ended_at
    assert 0 <= gap_s <= seconds, gap_s


@then('that node refuses a job within {seconds:g} s as not run')
def step_lone_refuses(context, seconds):
    async def submit():
        began = now()
        reply = await context.lone.node.gateway.ask(
            SubmitJob(job('z')), JobAccepted, request='z', timeout_s=TIMEOUT_S
        )
        return reply, now() - began

    reply, took_s = context.run(submit())
    assert isinstance(reply, NotRun), reply
    assert took_s <= seconds, took_s


@when('the coordinator is cut from the store')
def step_cut_store(context):
    context.cell.nodes[_coordinator(context)].view.is_cut = True


@when('the coordinator is cut from the workers')
def step_cut_workers(context):
    context.cell.nodes[_coordinator(context)].pool.is_cut = True


@when('calls to the store overtake each other by up to {seconds:g} s')
def step_jitter(context, seconds):
    context.cell.store.jitter_s = seconds


@when(
    'jobs "{first}" and "{second}" of {count:d} tasks are submitted '
    '{seconds:g} s apart'
)
def step_submit_apart(context, first, second, count, seconds):
    async def submit(job_id, delay_s):
        await asyncio.sleep(delay_s)
        return await _gateway(context).ask(
            SubmitJob(job(job_id, StepSpec(count, TASK))),
            JobAccepted,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )

    async def submit_both():
        return await asyncio.gather(submit(first, 0), submit(second, seconds))

    for reply in context.run(submit_both()):
        assert isinstance(reply, JobAccepted), reply


@when('the store takes {seconds:g} s for an answer')
def step_slow_store(context, seconds):
    context.cell.store.answer_s = seconds


@when(
    'job "{job_id}" is submitted and asked about again and again for '
    '{seconds:g} s'
)
def step_ask_again(context, job_id, seconds):
    spec = job(job_id, StepSpec(4, TASK, estimate_ms=1000))
    context.replies = []

    async def ask(node):
        gateway = node.node.gateway
        for body, kind in (
            (AskJobStatus(job_id, 'q', 'acme'), JobStatusReply),
            (SubmitJob(spec), JobAccepted),
        ):
            context.replies.append(
                await gateway.ask(
                    body, kind, request=job_id, timeout_s=TIMEOUT_S
                )
            )

    async def ask_all():
        asking = []
        for _ in range(round(seconds / ASK_EVERY_S)):
            asking.extend(
                asyncio.create_task(ask(node))
                for node in context.cell.nodes.values()
            )
            await asyncio.sleep(ASK_EVERY_S)
        await asyncio.gather(*asking)

    context.run(ask_all())


@then('no answer said that there is no job "{job_id}"')
def step_known(context, job_id):
    assert context.replies
    unknown = [
        reply for reply in context.replies if isinstance(reply, NoSuchJob)
    ]
    assert not unknown, len(unknown)


@when('another worker joins')
def step_join(context):
    async def join():
        context.cell.add_worker('other')

    context.run(join())


@when('the worker of job "{job_id}" drains')
def step_drain(context, job_id):
    async def drain():
        context.cell.drain(_worker_of(context, job_id).entry.worker)

    context.run(drain())


@then('all tasks of job "{job_id}" run on the other worker')
def step_on_other(context, job_id):
    running = {
        log.task: log.worker
        for log in _runs(context, job_id)
        if log.ended_at is None
    }
    assert set(running.values()) == {'other'}, running


@when('a job "{job_id}" is refused within {seconds:g} s as not run')
def step_refused_at_once(context, job_id, seconds):
    async def submit():
        began = now()
        reply = await _gateway(context).ask(
            SubmitJob(job(job_id)),
            JobAccepted,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )
        return reply, now() - began

    reply, took_s = context.run(submit())
    assert isinstance(reply, NotRun), reply
    assert took_s <= seconds, took_s


@then('organisation "{tenant}" is forbidden to see or cancel job "{job_id}"')
def step_forbidden(context, tenant, job_id):
    async def ask(body, reply_type):
        return await _gateway(context).ask(
            body, reply_type, request=job_id, timeout_s=TIMEOUT_S
        )

    for body, reply_type in (
        (AskJobStatus(job_id, 'q', tenant), JobStatusReply),
        (CancelJob(job_id, 'q', tenant), JobCancelled),
    ):
        reply = context.run(ask(body, reply_type))
        assert isinstance(reply, Forbidden), reply


@then('there is no job "{job_id}"')
def step_no_job(context, job_id):
    assert not _runs(context, job_id)
    reply = _ask_status(context, job_id)
    assert isinstance(reply, NoSuchJob), reply


@when('the coordinator loses the next {count:d} answers of the store')
def step_lose_answers(context, count):
    context.cell.nodes[_coordinator(context)].view.lose_answers = count


@when('the store is down')
def step_store_down(context):
    context.cell.store.is_down = True


@when('the store is up')
def step_store_up(context):
    context.cell.store.is_down = False


@when("the coordinator's next change never reaches the store")
def step_lose_change(context):
    view = context.cell.nodes[_coordinator(context)].view
    view.lose_changes[TOPICS.jobs] = 1


@when('orders to workers take {seconds:g} s on their way')
def step_order_way(context, seconds):
    for worker in context.cell.workers.values():
        worker.order_way_s = seconds


@when('the next report of an end is lost')
def step_mute_report(context):
    for worker in context.cell.workers.values():
        worker.mute_reports = 1


@when('the worker of job "{job_id}" is cut off')
def step_cut_worker(context, job_id):
    _worker_of(context, job_id).is_cut = True


@when('the worker of job "{job_id}" is restarted')
def step_restart_worker(context, job_id):
    async def restart():
        _worker_of(context, job_id).restart()

    context.run(restart())


@when('orders are answered again')
def step_unmute(context):
    for worker in context.cell.workers.values():
        worker.mute = 0


@when('all workers are restarted')
def step_restart_all(context):
    async def restart():
        for worker in context.cell.workers.values():
            worker.restart()

    context.run(restart())


@when('the entry of the worker is gone')
def step_entry_gone(context):
    async def withdraw():
        for name in context.cell.workers:
            context.cell.withdraw(name)

    context.run(withdraw())


@when('the entry of the worker is back')
def step_entry_back(context):
    async def publish():
        for worker in context.cell.workers.values():
            context.cell.publish(worker.entry)

    context.run(publish())


@when('the next order is carried out {late:g} s late without an answer')
def step_mute(context, late):
    for worker in context.cell.workers.values():
        worker.mute = 1
        worker.delay_s = late


@then('job "{job_id}" is {status}')
def step_status(context, job_id, status):
    found = _status(context, job_id)
    assert found == status, found


@then('callers see within {seconds:g} s that job "{job_id}" has succeeded')
def step_shown(context, seconds, job_id):
    while _status(context, job_id) != 'succeeded':
        context.run(asyncio.sleep(ASK_EVERY_S))
    took_s = context.run(_now()) - context.submitted_at
    assert took_s <= seconds, took_s


@then('each task of job "{job_id}" ran once')
def step_ran_once(context, job_id):
    names = [log.task for log in _runs(context, job_id)]
    assert names, 'no run'
    assert len(names) == len(set(names)), names


@then('no task of step 1 of job "{job_id}" began before step 0 had ended')
def step_order(context, job_id):
    runs = _runs(context, job_id)
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
    assert not _coordinator(context).startswith('far')


@then('task {index:d} of job "{job_id}" has begun {count:d} time')
@then('task {index:d} of job "{job_id}" has begun {count:d} times')
def step_begun(context, index, job_id, count):
    runs = context.cell.runs(f'{job_id}.0.0.{index}')
    assert len(runs) == count, len(runs)


@then('task {index:d} of job "{job_id}" has begun at least {count:d} times')
def step_begun_least(context, index, job_id, count):
    assert len(context.cell.runs(f'{job_id}.0.0.{index}')) >= count


@then('no two runs of job "{job_id}" overlap')
def step_no_overlap(context, job_id):
    ended = {}
    for log in _runs(context, job_id):
        before = ended.get(log.task, 0.0)
        assert before is not None, f'{log.task} runs twice'
        assert log.started_at >= before, f'{log.task} overlapped'
        ended[log.task] = log.ended_at


@then('no task of job "{job_id}" succeeded twice')
def step_once_done(context, job_id):
    done = [log.task for log in _runs(context, job_id) if log.outcome == 'done']
    assert len(done) == len(set(done)), done


@then('the worker still lists the end of job "{job_id}"')
def step_still_listed(context, job_id):
    rows = _worker_of(context, job_id).ended
    assert [row.task for row in rows] == [f'{job_id}.0.0.0'], rows


@then('no worker runs a task')
def step_idle(context):
    running = [
        name
        for worker in context.cell.workers.values()
        for name in worker.running
    ]
    assert not running, running


@then('no worker ever ran more than {count:d} tasks')
def step_room(context, count):
    for worker in context.cell.workers.values():
        for log in worker.history:
            beside = [
                other
                for other in worker.history
                if other.started_at <= log.started_at
                and (other.ended_at is None or other.ended_at > log.started_at)
            ]
            assert len(beside) <= count, [each.task for each in beside]


@then('at most {count:d} tasks of job "{job_id}" ran at a time')
def step_at_a_time(context, count, job_id):
    runs = _runs(context, job_id)
    for log in runs:
        beside = [
            other
            for other in runs
            if other.started_at <= log.started_at < (other.ended_at or math.inf)
        ]
        assert len(beside) <= count, len(beside)


@then('the tasks of job "{job_id}" began within {seconds:g} s under one run')
def step_together(context, job_id, seconds):
    runs = _runs(context, job_id)
    assert len({log.run for log in runs}) == 1
    times = [log.started_at for log in runs]
    assert max(times) - min(times) <= seconds, times


@then('{count:d} job waits')
def step_backlog(context, count):
    async def ask():
        return await _gateway(context).ask(
            AskBacklog('q'), BacklogReply, request='q', timeout_s=TIMEOUT_S
        )

    assert context.run(ask()).jobs == count


@then('no task of job "{job_id}" ran on worker "{worker}"')
def step_not_on(context, job_id, worker):
    assert worker not in {log.worker for log in _runs(context, job_id)}
