"""Steps for members and their liveness."""

import asyncio

from behave import given, then, when

from bench.ownership_cluster import NEAR, Cluster
from berylspread.membership import MembershipSettings
from berylspread.membership.failure_detector import FailureDetector
from berylspread_standins.virtual_time import VirtualTimeLoop


def reply_for(context, interval_s, duration_s):
    for _ in range(round(duration_s / interval_s)):
        context.now += interval_s
        context.detector.record_reply(context.now)
        context.states.add(context.detector.state)


def run(context, coroutine):
    return context.runner.run(coroutine)


def member(context, name, seen):
    async def get_member():
        return membership_of(context, name).member(seen)

    return run(context, get_member())


def membership_of(context, name):
    return context.cluster.nodes[name].membership


def departed_at(context, name, ref):
    async def get_member():
        return membership_of(context, name).departed_at(ref)

    return run(context, get_member())


@given('a peer that replies every second for {duration:g} seconds')
def given_peer(context, duration):
    given_slow_peer(context, 1.0, duration)


@given(
    'a peer that replies every {interval:g} seconds for {duration:g} seconds'
)
def given_slow_peer(context, interval, duration):
    context.now = 0.0
    context.states = set()
    context.detector = FailureDetector(MembershipSettings(), 1.0, context.now)
    reply_for(context, interval, duration)
    context.states = {context.detector.state}


@when('it is silent for {silence:g} seconds')
def when_silent(context, silence):
    context.now += silence


@when(
    'it is silent for {silence:g} seconds and then replies for {more:g} seconds'
)
def when_silent_then(context, silence, more):
    context.now += silence
    reply_for(context, 1.0, more)


@when('it replies every {interval:g} seconds for {duration:g} seconds')
def when_replies_slowly(context, interval, duration):
    reply_for(context, interval, duration)


@when('it replies')
def when_replies(context):
    reply_for(context, 1.0, 1.0)


@when('the node itself does not run for {stall:g} seconds')
def when_stalled(context, stall):
    context.now += stall
    context.detector.discount_stall(stall)


@then('it is {state}')
def then_state(context, state):
    found = context.detector.update(context.now)
    assert found.value == state, found


@then('its state has not changed')
def then_unchanged(context):
    assert len(context.states) == 1, context.states


@given('a running cluster of {near:d} near and {far:d} far nodes')
def given_running(context, near, far):
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)

    async def begin():
        context.cluster = Cluster(near, far)
        await context.cluster.start()
        await asyncio.sleep(15)
        context.former = context.cluster.nodes['n1'].ref

    async def end():
        context.cluster.stop()
        await asyncio.sleep(0)

    run(context, begin())
    context.add_cleanup(context.runner.close)
    context.add_cleanup(lambda: run(context, end()))


@when('{duration:g} seconds pass')
def when_time_passes(context, duration):
    run(context, asyncio.sleep(duration))


@when('node {name} starts and the VM list does not show it')
def when_unlisted(context, name):
    async def start():
        context.cluster.vms.is_stale = True
        context.cluster.add(name, NEAR).start()

    run(context, start())


@when('node {name} restarts')
def when_restarts(context, name):
    async def restart():
        context.cluster.nodes[name].kill()
        context.cluster.nodes[name].start()

    run(context, restart())


@when('the platform lists {name} as leaving')
def when_leaving(context, name):
    async def mark():
        context.cluster.vms.mark_leaving(name)

    run(context, mark())


@when('node {name} is killed and leaves the VM list')
def when_killed_and_unlisted(context, name):
    async def kill_and_unlist():
        context.cluster.nodes[name].kill()
        context.cluster.vms.remove(name)

    run(context, kill_and_unlist())


@when('the VM list drops {name} by mistake')
def when_dropped(context, name):
    async def drop():
        context.cluster.vms.remove(name)

    run(context, drop())


@when('the VM list cannot be fetched')
def when_list_down(context):
    context.cluster.vms.is_down = True


@then('{name} sees {seen} as {state}')
def then_sees(context, name, seen, state):
    found = member(context, name, seen)
    assert found is not None
    assert found.liveness.value == state.split()[0], found
    if state.endswith('new incarnation'):
        assert found.ref.incarnation > context.former.incarnation, found


@then('{name} knows that the former n1 has ended')
def then_ended(context, name):
    assert departed_at(context, name, context.former) is not None


@then('{name} does not know that n1 has ended')
def then_not_ended(context, name):
    assert departed_at(context, name, context.former) is None


@then('the link carried fewer than {limit:g} bytes of heartbeats a second')
def then_few_bytes(context, limit):
    sent = context.cluster.network.sent_bytes()
    heartbeats = sent['Heartbeat'] + sent['HeartbeatReply']
    assert 0 < heartbeats / 75 < limit, sent
