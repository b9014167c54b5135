"""Steps about the incarnations whose messages are accepted."""

import asyncio

from behave import given, then, when

from berylspread.kernel.clock import now
from berylspread.model import NodeRef
from berylspread.peers.incarnations import IncarnationTracker
from features.support import run_virtual


@given('processes with lower numbers are accepted after {silence_s:d} seconds')
def step_silence(context, silence_s):
    context.tracker = IncarnationTracker(silence_s)
    context.accepted = []


@when('messages of node {node:w} arrive as incarnation at second: {messages}')
def step_arrive(context, node, messages):
    if 'tracker' not in context:
        context.tracker = IncarnationTracker()
        context.accepted = []

    async def arrive():
        began = now()
        for message in messages.split(', '):
            incarnation, second = message.split(' at ')
            await asyncio.sleep(began + int(second) - now())
            source = NodeRef(node, int(incarnation))
            context.accepted.append(context.tracker.accept(source))

    run_virtual(arrive())


@when('messages arrive as incarnation at second: {messages}')
def step_arrive_of_one(context, messages):
    step_arrive(context, 'a', messages)


@then('those that are accepted are: {accepted}')
def step_accepted(context, accepted):
    expected = [word == 'yes' for word in accepted.split(', ')]
    assert context.accepted == expected, context.accepted
