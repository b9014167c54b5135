"""Steps about nodes that coordinate a cell."""

import asyncio

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
from berylspread.kernel.clock import now
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import (
    EPOCH_S,
    QUEUE,
    TASK,
    TOPICS,
    job,
)

TIMEOUT_S = 2.5
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
    async def ask():
        return await _gateway(context).ask(
            AskJobStatus(job_id, 'q', 'acme'),
            JobStatusReply,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )

    return context.run(ask()).status


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


@when('the coordinator is cut from the store')
def step_cut_store(context):
    context.cell.nodes[_coordinator(context)].view.is_cut = True


@when('the coordinator is cut from the workers')
def step_cut_workers(context):
    context.cell.nodes[_coordinator(context)].pool.is_cut = True


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
        ends_at = now() + seconds
        asking = []
        while now() < ends_at:
            asking.extend(
                asyncio.create_task(ask(node))
                for node in context.cell.nodes.values()
            )
            await asyncio.sleep(0.05)
        await asyncio.gather(*asking)

    context.run(ask_all())


@then('no answer said that there is no job "{job_id}"')
def step_known(context, job_id):
    assert context.replies
    assert not [
        reply
        for reply in context.replies
        if getattr(reply, 'name', '') == 'no-such-job'
    ]


@when('the coordinator loses the next {count:d} answers of the store')
def step_lose_answers(context, count):
    context.cell.nodes[_coordinator(context)].view.lose_answers = count


@when('the store is down')
def step_store_down(context):
    context.cell.store.is_down = True


@when('the store is up')
def step_store_up(context):
    context.cell.store.is_down = False


@when('the worker of job "{job_id}" is cut off')
def step_cut_worker(context, job_id):
    _worker_of(context, job_id).is_cut = True


@when('the worker of job "{job_id}" is restarted')
def step_restart_worker(context, job_id):
    async def restart():
        _worker_of(context, job_id).restart()

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
            if other.started_at <= log.started_at < (other.ended_at or now())
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
