"""Steps for the distribution of the configuration to the nodes."""

import asyncio

from behave import given, then, when

from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import QUEUE, TOPICS

#: How often the age of a configuration is looked at.
SAMPLE_S = 0.05


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
