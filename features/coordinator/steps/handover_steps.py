"""Steps about planned changes of the coordinator."""

import asyncio

from behave import given, then, when

from berylspread.coordinator.messages import JobAccepted, SubmitJob
from berylspread.coordinator.model import StepSpec
from berylspread.coordinator.store_access import recent_fitness
from berylspread.kernel.clock import now
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import TASK, job
from berylspread_standins.coordinated.gangs import GANG_S, Gangs
from features.coordinator.cell import (
    TIMEOUT_S,
    find_coordinator,
)
from features.coordinator.steps.leadership_steps import leader_records

SAMPLE_S = 0.002
#: How long the nodes are watched after the coordinator has been told to leave.
WATCH_S = 3.0


def _is_coordinated(cell):
    return any(
        standin.node.service is not None
        and standin.node.service.coordinator.is_loaded
        for standin in cell.nodes.values()
    )


async def _longest_gap_s(cell, until):
    longest, since = 0.0, None
    while now() < until:
        if _is_coordinated(cell):
            since = None
        elif since is None:
            since = now()
        if since is not None:
            longest = max(longest, now() - since)
        await asyncio.sleep(SAMPLE_S)
    return longest


@when('the coordinator leaves while the others are watched')
def step_leave_watched(context):
    context.former = find_coordinator(context)
    node = context.cell.nodes[context.former].node

    async def leave():
        watch = asyncio.create_task(
            _longest_gap_s(context.cell, now() + WATCH_S)
        )
        await node.leave()
        return await watch

    context.gap_s = context.run(leave())


class SlowReplies:
    """A store whose replies to appends take longer than those to reads."""

    def __init__(self, store, delay_s):
        self.store = store
        self.delay_s = delay_s
        self.read_newest = store.read_newest
        self.read_from = store.read_from

    async def append(self, *arguments, **options):
        reply = await self.store.append(*arguments, **options)
        await asyncio.sleep(self.delay_s)
        return reply


@when('replies to claims and renewals take {seconds:g} s more than reads')
def step_slow_replies(context, seconds):
    for standin in context.cell.nodes.values():
        observed = standin.node.leadership.store
        observed.store = SlowReplies(observed.store, seconds)


@given('orders to workers take up to {seconds:g} s')
def step_order_times(context, seconds):
    context.way_s = seconds


async def _leave_after(way_s, delay_s):
    """Return how the runs of a gang ended that was placed at a stop."""
    cell = CoordinatedFleet(3)
    gangs = Gangs()
    gangs.sizes['a.0.0'] = 3
    for index, worker in enumerate(cell.workers.values()):
        worker.gangs = gangs
        worker.orders.way_s = way_s * (index + 1) / 3
    for index in range(3):
        cell.start_node(f'n{index}')
    await asyncio.sleep(2)
    node = cell.nodes[cell.leader()].node
    spec = job('a', StepSpec(3, TASK, gang=True, max_per_worker=1))
    submission = asyncio.create_task(
        node.gateway.send_request(
            SubmitJob(spec), JobAccepted, request='a', timeout_s=TIMEOUT_S
        )
    )
    await asyncio.sleep(delay_s)
    await node.leave()
    await submission
    await asyncio.sleep(GANG_S + 2)
    outcomes = [log.outcome for log in cell.runs('a.0.0.0')]
    for name in list(cell.nodes):
        cell.kill(name)
    return outcomes


@then('no gang is split whenever the coordinator leaves within {seconds:g} s')
def step_not_split(context, seconds):
    for number in range(int(seconds / SAMPLE_S)):
        outcomes = context.run(_leave_after(context.way_s, number * SAMPLE_S))
        assert outcomes == ['done'], (number * SAMPLE_S, outcomes)


@when('the node that would be asked to take over begins to leave')
def step_successor_leaves(context):
    succession = context.cell.nodes[find_coordinator(context)].node.succession

    async def choose():
        return succession.policy.choose_node(
            recent_fitness(succession.fitness_by_node, WATCH_S)
        )

    target = context.run(choose())
    successor = context.cell.nodes[target].node
    successor.leadership.leaving.set()


@when('jobs are submitted through every node {rate:d} times a second')
def step_submit_regularly(context, rate):
    async def submit_timed(node, job_id):
        began = now()
        reply = await node.node.gateway.send_request(
            SubmitJob(job(job_id)),
            JobAccepted,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )
        return reply, now() - began

    async def submit_all():
        submissions = []
        for number in range(int(WATCH_S * rate)):
            submissions.extend(
                asyncio.create_task(submit_timed(node, f'{name}-{number}'))
                for name, node in context.cell.nodes.items()
            )
            await asyncio.sleep(1 / rate)
        return await asyncio.gather(*submissions)

    async def start():
        return asyncio.create_task(submit_all())

    context.submitted = context.run(start())


@then('every one of these jobs was accepted within {seconds:g} s')
def step_all_accepted_within(context, seconds):
    async def collect():
        return await context.submitted

    replies = context.run(collect())
    assert len(replies) > len(context.cell.nodes), replies
    assert all(isinstance(reply, JobAccepted) for reply, _ in replies), replies
    assert max(took_s for _, took_s in replies) <= seconds, max(
        took_s for _, took_s in replies
    )


@then('no node coordinated for at most {seconds:g} s')
def step_gap(context, seconds):
    assert context.gap_s <= seconds, context.gap_s


@then('its jobs were loaded within {seconds:g} s')
def step_loaded(context, seconds):
    loads = [line['load_s'] for line in context.cell.events('coordinating')]
    assert loads[-1] <= seconds, loads


@then('the newest record of the leader is released')
def step_released(context):
    assert leader_records(context)[-1].released
