"""Steps for answers that a job is unknown."""

import asyncio
import functools

from behave import then, when

from berylspread.coordinator.messages import AskJobStatus, CancelJob
from berylspread.coordinator.service import NoSuchJob
from berylspread.kernel.clock import now
from berylspread.kernel.errors import NotOwner, Overloaded
from berylspread_standins.coordinated.fleet import TOPICS
from features.coordinator.cell import cut_off_node, find_coordinator


class SlowReads:
    """A view of the store that returns the newest records of jobs late."""

    def __init__(self, view, wait_s):
        self.view = view
        self.wait_s = wait_s

    async def append(self, topic, records, **options):
        return await self.view.append(topic, records, **options)

    async def read_newest(self, topic, **options):
        snapshot = await self.view.read_newest(topic, **options)
        if topic == TOPICS.jobs:
            await asyncio.sleep(self.wait_s)
        return snapshot

    async def read_from(self, topic, offset, **options):
        return await self.view.read_from(topic, offset, **options)


@when('the records of jobs take {wait_s:g} s to be read')
def step_slow_reads(context, wait_s):
    for each in context.cell.nodes.values():
        leadership = each.node.leadership
        leadership.store = SlowReads(leadership.store, wait_s)


@then('the former coordinator does not show job "{job_id}" as unknown')
def step_not_shown_unknown(context, job_id):
    request = AskJobStatus(job_id, 'q', 'acme')
    reply = context.run(context.service.status(request))
    assert not isinstance(reply, NoSuchJob), reply


@then('the coordinator answers within {limit_s:g} s that a job is unknown')
def step_answers_unknown(context, limit_s):
    coordinating = context.cell.nodes[find_coordinator(context)]
    service = coordinating.node.service
    for request in (
        functools.partial(service.status, AskJobStatus('x', 'q', 'acme')),
        functools.partial(service.cancel, CancelJob('x', 'q', 'acme')),
    ):
        began = context.run(_read_time())
        reply = context.run(request())
        waited_s = context.run(_read_time()) - began
        assert isinstance(reply, NoSuchJob), reply
        assert waited_s <= limit_s, waited_s


@when('the coordinator is cut off and asked for {count:d} unknown jobs')
def step_flood(context, count):
    former = context.cell.nodes[find_coordinator(context)]
    context.service = former.node.service

    async def ask():
        cut_off_node(context, former)
        requests = [
            AskJobStatus(f'x{index}', 'q', '') for index in range(count)
        ]
        asked = [
            asyncio.create_task(context.service.status(request))
            for request in requests
        ]
        await asyncio.sleep(0)
        context.most_waiting = len(context.service.confirmations.waiting)
        return await asyncio.gather(*asked)

    context.replies = context.run(ask())


@then('no more than {bound:d} of the requests have waited, and none waits')
def step_bounded(context, bound):
    assert 0 < context.most_waiting <= bound, context.most_waiting
    assert not context.service.confirmations.waiting
    assert context.service.confirmations.task is None


@then('none of the jobs was said to be unknown')
def step_none_unknown(context):
    kinds = {type(reply) for reply in context.replies}
    assert kinds == {NotOwner, Overloaded}, kinds


async def _read_time():
    return now()
