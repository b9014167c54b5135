"""Steps for the distribution of the configuration to the nodes."""

import asyncio

import msgspec
from behave import given, then, when

from berylspread.coordinator.messages import JobAccepted, SubmitJob
from berylspread.coordinator.model import Queue, StepSpec
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import QUEUE, TASK, TOPICS, job
from features.coordinator.cell import (
    find_coordinator,
    gateway_of,
    runs_of,
    submit_spec,
)

#: How often the age of a configuration is looked at.
SAMPLE_S = 0.05
LONG_TIMEOUT_S = 10.0
WATCHERS = Queue('watchers', 'desk')


@given('{count:d} workers of service "{service}"')
@when('{count:d} workers of service "{service}" join')
def step_other_service(context, count, service):
    async def join():
        for index in range(count):
            context.cell.add_worker(f'{service}-{index}', service=service)

    context.run(join())


@given('long-running tasks fill the service of the queue')
def step_fill(context):
    workers = context.cell.workers.values()
    count = sum(
        worker.entry.capacity.cpu_milli // TASK.cpu_milli
        for worker in workers
        if worker.entry.service == QUEUE.service
    )
    spec = job(
        'watch', StepSpec(count, TASK, long_running=True), queue=WATCHERS
    )
    assert isinstance(submit_spec(context, spec), JobAccepted)
    context.run(asyncio.sleep(1))
    assert len(runs_of(context, 'watch')) == count


@when('version {version:d} sends the queue to service "{service}"')
def step_move_queue(context, version, service):
    context.cell.configure(
        version, msgspec.structs.replace(QUEUE, service=service)
    )


@when('version {version:d} allows {attempts:d} attempts')
def step_attempts(context, version, attempts):
    context.cell.configure(
        version, msgspec.structs.replace(QUEUE, max_attempts=attempts)
    )


@when('version {version:d} drops the queue')
def step_drop_queue(context, version):
    context.cell.configure(version, None)


@when('task "{task}" fails no more')
def step_mend(context, task):
    context.cell.work[task] = (1.0, 'done')


@when(
    'a job "{job_id}" is submitted by a node with version {version:d}, which '
    'sends the queue to service "{service}"'
)
def step_submit_newer(context, job_id, version, service):
    queue = msgspec.structs.replace(QUEUE, service=service)
    spec = msgspec.structs.replace(
        job(job_id, queue=queue), config_version=version
    )
    assert isinstance(submit_spec(context, spec), JobAccepted)


@when("the coordinator's reads of the configuration get no reply")
def step_silence(context):
    view = context.cell.nodes[find_coordinator(context)].view
    view.silent_topics.add(TOPICS.config)


@when("the coordinator's reads of the configuration get replies again")
def step_unsilence(context):
    for node in _nodes(context):
        node.view.silent_topics.clear()


@when('a job "{job_id}" is submitted and the next {count:d} appends are lost')
def step_submit_unstored(context, job_id, count):
    view = context.cell.nodes[find_coordinator(context)].view
    view.lose_changes[TOPICS.jobs] = count

    async def submit():
        context.submitting = asyncio.create_task(
            gateway_of(context).send_request(
                SubmitJob(job(job_id)),
                JobAccepted,
                request=job_id,
                timeout_s=LONG_TIMEOUT_S,
            )
        )
        await asyncio.sleep(SAMPLE_S)

    context.run(submit())


@given('task "{task}" always fails')
def step_always_fails(context, task):
    context.cell.work[task] = (1.0, 'failed')


@when('{count:d} coordinators are killed {gap:g} s apart')
def step_kill_several(context, count, gap):
    for _ in range(count):
        context.cell.kill(find_coordinator(context))
        context.run(asyncio.sleep(gap))


@then(
    '{first:d} tasks of job "{job_id}" ran on service "{one}" and {second:d} '
    'on service "{other}"'
)
def step_split(context, first, job_id, one, second, other):
    workers = context.cell.workers
    services = [
        workers[log.worker].entry.service for log in runs_of(context, job_id)
    ]
    assert services.count(one) == first, services
    assert services.count(other) == second, services


@then('no task of job "{job_id}" has run')
def step_not_run(context, job_id):
    assert not runs_of(context, job_id)


@then('all tasks of job "{job_id}" ran on service "{service}"')
def step_ran_on(context, job_id, service):
    runs = runs_of(context, job_id)
    assert runs
    workers = context.cell.workers
    services = {workers[log.worker].entry.service for log in runs}
    assert services == {service}, services


def _nodes(context):
    return list(context.cell.nodes.values())


def _ages(context):
    async def ages():
        return [each.node.clients.policies.age_s() for each in _nodes(context)]

    return context.run(ages())


def _follower(context):
    return next(each for each in _nodes(context) if each.node.service is None)


@given('a cell of 1 node without a configuration and {workers:d} workers')
def step_unconfigured(context, workers):
    async def start():
        context.cell = CoordinatedFleet(workers)
        context.queue = QUEUE
        context.cell.start_node('n0', is_configured=False)

    context.run(start())


@when('a node without a configuration starts')
def step_start_unconfigured(context):
    async def start():
        context.cell.start_node('late', is_configured=False)

    context.run(start())


@when('version {version:d} of the configuration is published')
def step_publish(context, version):
    context.cell.configure(version)


@when(
    'versions {first:d} to {last:d} of the configuration are published '
    '{gap:g} s apart'
)
def step_publish_many(context, first, last, gap):
    for version in range(first, last + 1):
        context.cell.configure(version)
        context.run(asyncio.sleep(gap))


@when('a node that does not coordinate is cut off from the others')
def step_cut_peers(context):
    name = _follower(context).name
    for source, target in ((name, '*'), ('*', name)):
        context.cell.peers.network.cut(source, target)


@when('a node that does not coordinate is cut off from the store')
def step_cut_store(context):
    _follower(context).view.is_cut = True


@then('every node has version {version:d} of the configuration')
def step_version(context, version):
    known = [each.node.clients.policies.version for each in _nodes(context)]
    assert set(known) == {version}, known


@then('only the coordinator has read the configuration from the store')
def step_one_reader(context):
    readers = [
        each.name for each in _nodes(context) if each.view.reads[TOPICS.config]
    ]
    assert readers == [context.cell.leader()], readers


@then("no node's configuration is older than {seconds:g} s")
def step_fresh(context, seconds):
    ages = _ages(context)
    assert max(ages) <= seconds, ages


@then("for {duration:g} s no node's configuration is older than {seconds:g} s")
def step_always_fresh(context, duration, seconds):
    for _ in range(round(duration / SAMPLE_S)):
        context.run(asyncio.sleep(SAMPLE_S))
        ages = _ages(context)
        assert max(ages) <= seconds, ages


@then("every node's configuration is at least {seconds:g} s old")
def step_old(context, seconds):
    ages = _ages(context)
    assert min(ages) >= seconds, ages


@then('every node has logged that its configuration is out of date')
def step_logged_outdated(context):
    _check_logged(context, 'config-outdated')


@then('every node has logged that its configuration is confirmed again')
def step_logged_confirmed(context):
    _check_logged(context, 'config-confirmed')


def _check_logged(context, event):
    lines = context.cell.events(event)
    assert {line['node'] for line in lines} == set(context.cell.nodes), lines
