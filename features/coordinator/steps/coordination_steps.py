"""Steps that set up a cell, submit jobs to it and inject faults."""

import asyncio

import msgspec
from behave import given, when

from berylspread.coordinator.messages import (
    AskJobStatus,
    CancelJob,
    JobAccepted,
    JobCancelled,
    JobStatusReply,
    SubmitJob,
)
from berylspread.coordinator.model import JobSpec, StepSpec
from berylspread.kernel.clock import now
from berylspread.kernel.errors import NotRun
from berylspread_standins.coordinated.fleet import (
    EPOCH_S,
    TASK,
    TOPICS,
    job,
)
from features.coordinator.cell import (
    PERMITTED,
    REQUEST_INTERVAL_S,
    TIMEOUT_S,
    cut_off_node,
    find_coordinator,
    find_other_node,
    gateway_of,
    loop_time,
    start_cell,
    submit_batch_job,
    submit_spec,
    worker_of,
)

WATCH_S = 0.05


@given('a cell of {nodes:d} nodes and {workers:d} workers')
@given('a cell of {nodes:d} nodes and {workers:d} worker')
def step_cell(context, nodes, workers):
    start_cell(context, nodes, workers)


@given('a cell of {nodes:d} nodes and {workers:d} worker, and {far:d} far node')
def step_cell_far(context, nodes, workers, far):
    start_cell(context, nodes, workers, far=far)


@given(
    'a cell of {nodes:d} nodes and {workers:d} workers whose queue needs '
    'permissions'
)
def step_cell_permitted(context, nodes, workers):
    start_cell(context, nodes, workers, queue=PERMITTED)


@given('no run is permitted on worker "{worker}"')
def step_not_permitted(context, worker):
    context.cell.advisor.bad.add(worker)


@given('tasks of job "{job_id}" take {seconds:g} s')
def step_duration(context, job_id, seconds):
    for index in range(30):
        context.cell.work[f'{job_id}.0.0.{index}'] = (seconds, 'done')


@given('task {index:d} of job "{job_id}" fails')
def step_fails(context, index, job_id):
    context.cell.work[f'{job_id}.0.0.{index}'] = (0.5, 'failed')


@given('task {index:d} of job "{job_id}" takes {seconds:g} s and fails')
def step_fails_late(context, index, job_id, seconds):
    context.cell.work[f'{job_id}.0.0.{index}'] = (seconds, 'failed')


@given('the worker refuses orders as unhealthy')
def step_unhealthy(context):
    for worker in context.cell.workers.values():
        worker.orders.refuse_as = 'unhealthy'


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
    context.submitted_at = context.run(loop_time())
    reply = submit_spec(context, job(job_id, *steps, queue=context.queue))
    assert isinstance(reply, JobAccepted), reply


@when(
    'a job "{job_id}" with a long-running step of {count:d} tasks is submitted'
)
def step_submit_lasting(context, job_id, count):
    step = StepSpec(count, TASK, long_running=True)
    assert isinstance(submit_spec(context, job(job_id, step)), JobAccepted)


@when('a job "{job_id}" with a gang of {count:d} tasks is submitted')
def step_submit_gang(context, job_id, count):
    step = StepSpec(count, TASK, gang=True)
    assert isinstance(submit_spec(context, job(job_id, step)), JobAccepted)


@when(
    'a job "{job_id}" with a gang of {count:d} tasks for different workers is '
    'submitted'
)
def step_submit_spread_gang(context, job_id, count):
    step = StepSpec(count, TASK, gang=True, max_per_worker=1)
    assert isinstance(submit_spec(context, job(job_id, step)), JobAccepted)


@when('a worker of the gang is cut off until its run has ended and it restarts')
def step_lose_member_end(context):
    worker = next(
        each for each in context.cell.workers.values() if each.running
    )

    async def lose():
        worker.is_cut = True
        while worker.running:
            await asyncio.sleep(WATCH_S)
        worker.restart()
        worker.is_cut = False

    context.run(lose())


@when(
    'a batch job "{job_id}" of {count:d} tasks that save their progress is '
    'submitted'
)
def step_submit_batch(context, job_id, count):
    submit_batch_job(context, job_id, StepSpec(count, TASK, checkpoints=True))


@when(
    'a batch job "{job_id}" of {count:d} tasks that save nothing is submitted'
)
def step_submit_batch_plain(context, job_id, count):
    submit_batch_job(context, job_id, StepSpec(count, TASK))


@when(
    'a batch job "{job_id}" of the capped team with {count:d} tasks is '
    'submitted'
)
def step_submit_batch_capped(context, job_id, count):
    submit_batch_job(
        context, job_id, StepSpec(count, TASK, checkpoints=True), 'capped'
    )


@when(
    'a job "{job_id}" of the capped team with {count:d} tasks, at most '
    '{limit:d} on a worker, is submitted'
)
def step_submit_capped_limited(context, job_id, count, limit):
    step = StepSpec(count, TASK, max_per_worker=limit)
    spec = job(job_id, step, tenant='capped')
    assert isinstance(submit_spec(context, spec), JobAccepted)


@when(
    'a report requested at the moment of the reply to the start omits the run'
)
def step_same_moment(context):
    async def settle():
        node = context.cell.nodes[find_coordinator(context)].node
        coordinator = node.service.coordinator
        context.session = next(iter(coordinator.sessions.values()))
        run = next(iter(context.session.worker.runs.values()))
        context.session.settlement.settle_omitted(set(), run.confirmed_at)

    context.run(settle())


@when('a job "{job_id}" of the capped team with {count:d} tasks is submitted')
def step_submit_capped(context, job_id, count):
    spec = job(job_id, StepSpec(count, TASK), tenant='capped')
    assert isinstance(submit_spec(context, spec), JobAccepted)


@when('a job "{job_id}" is submitted and times out after {seconds:g} s')
def step_submit_given_up(context, job_id, seconds):
    reply = submit_spec(context, job(job_id), timeout_s=seconds)
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
    assert isinstance(submit_spec(context, ahead), JobAccepted)


@when('job "{job_id}" is cancelled')
def step_cancel(context, job_id):
    async def cancel():
        return await gateway_of(context).send_request(
            CancelJob(job_id, 'q', 'acme'),
            JobCancelled,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )

    assert isinstance(context.run(cancel()), JobCancelled)


@when('the coordinator is killed')
def step_kill(context):
    async def kill():
        context.cell.kill(find_coordinator(context))

    context.run(kill())


@when('the coordinator leaves')
def step_leave(context):
    name = find_coordinator(context)
    context.run(context.cell.nodes[name].node.leave())


@when('another node leaves')
def step_other_leaves(context):
    context.run(find_other_node(context).node.leave())


@when('a node that does not coordinate is cut off')
def step_cut_off(context):
    context.isolated_node = find_other_node(context)
    cut_off_node(context, context.isolated_node)


@when('every node but the coordinator is cut off')
def step_cut_others(context):
    for node in context.cell.nodes.values():
        if node.node.service is None:
            cut_off_node(context, node)


@when('the coordinator is cut from the store')
def step_cut_store(context):
    context.cell.nodes[find_coordinator(context)].view.is_cut = True


@when('the coordinator is cut from the workers')
def step_cut_workers(context):
    context.cell.nodes[find_coordinator(context)].pool.is_cut = True


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
        return await gateway_of(context).send_request(
            SubmitJob(job(job_id, StepSpec(count, TASK))),
            JobAccepted,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )

    async def submit_both():
        return await asyncio.gather(submit(first, 0), submit(second, seconds))

    for reply in context.run(submit_both()):
        assert isinstance(reply, JobAccepted), reply


@when('the store takes {seconds:g} s to reply')
def step_slow_store(context, seconds):
    context.cell.store.answer_s = seconds


@when(
    'job "{job_id}" is submitted and its status requested repeatedly for '
    '{seconds:g} s'
)
def step_request_repeatedly(context, job_id, seconds):
    spec = job(job_id, StepSpec(4, TASK, estimate_ms=1000))
    context.replies = []

    async def ask(node):
        gateway = node.node.gateway
        for body, kind in (
            (AskJobStatus(job_id, 'q', 'acme'), JobStatusReply),
            (SubmitJob(spec), JobAccepted),
        ):
            context.replies.append(
                await gateway.send_request(
                    body, kind, request=job_id, timeout_s=TIMEOUT_S
                )
            )

    async def ask_all():
        asking = []
        for _ in range(round(seconds / REQUEST_INTERVAL_S)):
            asking.extend(
                asyncio.create_task(ask(node))
                for node in context.cell.nodes.values()
            )
            await asyncio.sleep(REQUEST_INTERVAL_S)
        await asyncio.gather(*asking)

    context.run(ask_all())


@when('another worker joins')
def step_join(context):
    async def join():
        context.cell.add_worker('other')

    context.run(join())


@when('the worker of job "{job_id}" drains')
def step_drain(context, job_id):
    async def drain():
        context.cell.drain(worker_of(context, job_id).entry.worker)

    context.run(drain())


@when('a job "{job_id}" is refused within {seconds:g} s as not run')
def step_refused_at_once(context, job_id, seconds):
    async def submit():
        began = now()
        reply = await gateway_of(context).send_request(
            SubmitJob(job(job_id)),
            JobAccepted,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )
        return reply, now() - began

    reply, took_s = context.run(submit())
    assert isinstance(reply, NotRun), reply
    assert took_s <= seconds, took_s


@when('the coordinator loses the next {count:d} replies of the store')
def step_lose_answers(context, count):
    context.cell.nodes[find_coordinator(context)].view.lose_answers = count


@when('the store is down')
def step_store_down(context):
    context.cell.store.is_down = True


@when('the store is up')
def step_store_up(context):
    context.cell.store.is_down = False


@when("the coordinator's next change never reaches the store")
def step_lose_change(context):
    view = context.cell.nodes[find_coordinator(context)].view
    view.lose_changes[TOPICS.jobs] = 1


@when('orders to workers take {seconds:g} s in transit')
def step_order_transit(context, seconds):
    for worker in context.cell.workers.values():
        worker.orders.way_s = seconds


@when('the next report of an outcome is lost')
def step_mute_report(context):
    for worker in context.cell.workers.values():
        worker.mute_reports = 1


@when('the worker of job "{job_id}" is cut off')
def step_cut_worker(context, job_id):
    worker_of(context, job_id).is_cut = True


@when('the worker of job "{job_id}" is restarted')
def step_restart_worker(context, job_id):
    async def restart():
        worker_of(context, job_id).restart()

    context.run(restart())


@when('orders get replies again')
def step_unmute(context):
    for worker in context.cell.workers.values():
        worker.orders.mute = 0


@when('all workers are restarted')
def step_restart_all(context):
    async def restart():
        for worker in context.cell.workers.values():
            worker.restart()

    context.run(restart())


@when("the worker's capacity shrinks to {tasks:d} tasks")
def step_shrink(context, tasks):
    worker = next(iter(context.cell.workers.values()))
    worker.entry = msgspec.structs.replace(worker.entry, capacity=TASK * tasks)
    context.cell.publish(worker.entry)


@when('an entry that cannot be decoded is published')
def step_odd_entry(context):
    context.cell.store.append(TOPICS.workers, [('odd', b'\xc1')])


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


@when('the next order is carried out {late:g} s late without a reply')
def step_mute(context, late):
    for worker in context.cell.workers.values():
        worker.orders.mute = 1
        worker.orders.delay_s = late
