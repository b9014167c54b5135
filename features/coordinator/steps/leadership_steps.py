"""Steps about changes of the coordinator."""

import asyncio

import msgspec
from behave import given, then, when

from berylspread.coordinator.leader_record import LEADER_KEY, LeaderRecord
from berylspread.coordinator.messages import JobAccepted, SubmitJob
from berylspread.coordinator.store_access import HandoverPolicy
from berylspread.kernel.clock import now
from berylspread.kernel.errors import NotRun
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import QUEUE, TOPICS, job
from features.coordinator.cell import (
    TIMEOUT_S,
    find_coordinator,
    find_other_node,
    gateway_of,
)


def leader_records(context):
    return [
        msgspec.msgpack.decode(blob, type=LeaderRecord)
        for _, blob in context.cell.store.topic(TOPICS.leader).records
    ]


async def submit(node, job_id, timeout_s=TIMEOUT_S):
    return await node.node.gateway.send_request(
        SubmitJob(job(job_id)),
        JobAccepted,
        request=job_id,
        timeout_s=timeout_s,
    )


@when('the next renewal of the coordinator is lost')
def step_lose_renewal(context):
    view = context.cell.nodes[find_coordinator(context)].view
    view.lose_changes[TOPICS.leader] = 1

    async def wait():
        while view.lose_changes[TOPICS.leader]:
            await asyncio.sleep(0.01)

    context.run(wait())


@when('the other node loses the next reply of the store')
def step_lose_claim_reply(context):
    find_other_node(context).view.lose_answers = 1


@when('the store turns the coordinator away')
def step_turn_away(context):
    context.former = find_coordinator(context)
    context.cell.nodes[context.former].view.is_refused = True


@when('a job "{job_id}" is submitted through every node at once')
def step_submit_everywhere(context, job_id):
    async def submit_timed(node):
        began = now()
        return await submit(node, job_id), now() - began

    async def start():
        return [
            asyncio.create_task(submit_timed(node))
            for node in context.cell.nodes.values()
        ]

    context.submissions = context.run(start())


@when('the coordinator stops serving but renews its record')
def step_stop_serving(context):
    node = context.cell.nodes[find_coordinator(context)].node
    context.coordinator = node.service.coordinator
    context.coordinator.is_loaded = False


@when('the coordinator serves again')
def step_serve_again(context):
    context.coordinator.is_loaded = True


@given('a store whose record of epoch 5 has been overwritten with other bytes')
def step_unreadable(context):
    async def start():
        context.cell = CoordinatedFleet(1)
        node = context.cell.start_node('n0', queue=QUEUE)
        node.node.leadership.history.floor = 4
        await asyncio.sleep(1)
        context.cell.kill('n0')
        await asyncio.sleep(1)
        context.cell.store.append(TOPICS.leader, [(LEADER_KEY, b'?')])

    context.run(start())


@given('{count:d} nodes start')
def step_start(context, count):
    async def start():
        for index in range(count):
            context.cell.start_node(f'm{index}', queue=QUEUE)

    context.run(start())


@given('nodes of fitness "{pairs}"')
def step_fitness(context, pairs):
    context.fitness = {}
    for pair in pairs.split():
        name, fitness = pair.split('=')
        context.fitness[name] = float(fitness)
    context.policy = HandoverPolicy()


@given('nodes "{names}" have declined')
def step_declined(context, names):
    for name in names.split():
        context.policy.record_declined(name, 0.0)


@given('nodes "" have declined')
def step_none_declined(context):
    step_declined(context, '')


@then('"{name}" is asked to take over')
def step_asked(context, name):
    chosen = context.policy.choose_node(context.fitness)
    assert chosen == name, chosen


@then('the epochs in the store never went back')
def step_monotone(context):
    epochs = [record.epoch for record in leader_records(context)]
    assert epochs == sorted(epochs), epochs


@then('each epoch has one coordinator')
def step_one_node(context):
    owners = {(record.epoch, record.node) for record in leader_records(context)}
    assert len(owners) == len({epoch for epoch, _ in owners}), owners


@then('exactly {count:d} epoch has been claimed')
@then('exactly {count:d} epochs have been claimed')
def step_epochs(context, count):
    epochs = {record.epoch for record in leader_records(context)}
    assert len(epochs) == count, epochs


@then('another node coordinates')
def step_other(context):
    name = context.cell.leader()
    former = getattr(context, 'former', None)
    claims = {record.node for record in leader_records(context)}
    assert name is not None, 'no single coordinator'
    assert name != former, name
    assert len(claims) == 2, claims


@then('every submission of job "{job_id}" was accepted')
def step_all_accepted(context, job_id):
    step_accepted_within(context, job_id, TIMEOUT_S)


@then('every submission of job "{job_id}" was accepted within {seconds:g} s')
def step_accepted_within(context, job_id, seconds):
    async def collect():
        return await asyncio.gather(*context.submissions)

    for reply, took_s in context.run(collect()):
        assert isinstance(reply, JobAccepted), reply
        assert took_s <= seconds, took_s


@then('the coordinator has asked others to take over at most {count:d} times')
def step_asks(context, count):
    asked = context.cell.events('takeover-request')
    assert 1 <= len(asked) <= count, len(asked)


@then('the epoch is above {epoch:d}')
def step_epoch_above(context, epoch):
    node = context.cell.nodes[find_coordinator(context)].node
    assert node.leadership.current.epoch > epoch


@then('{count:d} more jobs are refused within {seconds:g} s as not run')
def step_refused(context, count, seconds):
    submit_more(context, count, seconds, NotRun)


@then('{count:d} more jobs are accepted within {seconds:g} s')
def step_more_accepted(context, count, seconds):
    submit_more(context, count, seconds, JobAccepted)


def submit_more(context, count, seconds, expected):
    async def submit_all():
        began = now()
        node = next(iter(context.cell.nodes.values()))
        replies = await asyncio.gather(
            *(submit(node, f'more{index}') for index in range(count))
        )
        return replies, now() - began

    replies, took_s = context.run(submit_all())
    assert all(isinstance(reply, expected) for reply in replies), replies
    assert took_s <= seconds, took_s


@then('a job "{job_id}" is accepted within {seconds:g} s')
def step_accepted(context, job_id, seconds):
    async def submit_one():
        began = now()
        reply = await gateway_of(context).send_request(
            SubmitJob(job(job_id)),
            JobAccepted,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )
        return reply, now() - began

    reply, took_s = context.run(submit_one())
    assert isinstance(reply, JobAccepted), reply
    assert took_s <= seconds, took_s
