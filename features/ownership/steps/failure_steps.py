"""Steps for clusters of nodes under failures."""

import asyncio

import msgspec
from behave import given, then, when

from bench.ownership_cluster import FAR, NEAR, Cluster, Node
from berylspread.kernel.invariants import violations
from berylspread_standins.virtual_time import VirtualTimeLoop

LONG_FAILURE_S = 1000
DRIFTS = {'0.5 % fast': 1.005, '0.5 % slow': 0.995}


class Watch:
    """Records how long each unit has had no holder, and its holders."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.missing = dict.fromkeys(cluster.units(), 0.0)
        self.longest = dict.fromkeys(cluster.units(), 0.0)
        self.moves = {unit: [] for unit in cluster.units()}

    async def run(self):
        while True:
            step_s = self.cluster.observe_s
            held = self.cluster.held()
            for unit in self.missing:
                self.record(unit, held.get(unit), step_s)
            await asyncio.sleep(step_s)

    def record(self, unit, holder, step_s):
        if holder is None:
            self.missing[unit] += step_s
            self.longest[unit] = max(self.longest[unit], self.missing[unit])
            return
        self.missing[unit] = 0.0
        if self.moves[unit][-1:] != [holder]:
            self.moves[unit].append(holder)


def run(context, coroutine):
    return context.runner.run(coroutine)


async def make_cluster(near, far, racks):
    return Cluster(near, far, racks=racks, shards=racks)


async def start_watch(context):
    context.watch = Watch(context.cluster)
    context.watching = asyncio.create_task(context.watch.run())
    context.before = dict(context.cluster.held())
    context.acquisitions = context.cluster.acquisitions


async def snapshot(cluster):
    return cluster.held()


def new_cluster(context, near, far, racks=3):
    context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.cluster = run(context, make_cluster(near, far, racks))
    context.add_cleanup(context.runner.close)
    context.add_cleanup(stop, context)


def stop(context):
    async def end():
        context.cluster.stop()
        if 'watching' in context:
            context.watching.cancel()
        await asyncio.sleep(0)

    run(context, end())


@given('a cluster of {near:d} near and {far:d} far nodes')
def given_cluster(context, near, far):
    new_cluster(context, near, far)


@given('a running cluster of {near:d} near and {far:d} far nodes')
def given_running(context, near, far):
    new_cluster(context, near, far)
    settle(context)


@given('a running cluster of {near:d} near nodes with {units:d} units')
def given_running_units(context, near, units):
    new_cluster(context, near, 0, units // 2)
    settle(context)


def settle(context):
    """Start all nodes, and wait until every unit is held."""

    async def begin():
        cluster = context.cluster
        await cluster.start()
        await cluster.until(cluster.all_held)
        await asyncio.sleep(10)
        assert cluster.all_held()
        await start_watch(context)

    run(context, begin())


@when('all nodes start')
def when_start(context):
    run(context, context.cluster.start())


@when('node {name} is killed')
def when_killed(context, name):
    async def kill():
        context.cluster.nodes[name].kill()

    run(context, kill())


@when('node {dead} dies and {left} and {right} both claim its units')
def when_race(context, dead, left, right):
    async def race():
        nodes = context.cluster.nodes
        context.raced = nodes[dead].holds()
        nodes[dead].kill()
        await asyncio.gather(
            nodes[left].ownership.claimant.claim(context.raced),
            nodes[right].ownership.claimant.claim(context.raced),
        )

    run(context, race())


@then('each of those units has had one new owner')
def then_one_new(context):
    claims = context.cluster.running()[0].state.units.claims
    assert context.raced
    for unit in context.raced:
        assert claims[unit].epoch == 2, claims[unit]


@when('node {name} starts')
def when_starts(context, name):
    async def start():
        context.cluster.nodes[name].start()

    run(context, start())


@when('node {name} stops as planned')
def when_stops(context, name):
    run(context, context.cluster.nodes[name].stop())


@when('node {name} joins')
def when_joins(context, name):
    async def join():
        context.cluster.add(name, NEAR).start()

    run(context, join())


@when('node {name} is killed and leaves the VM list')
def when_killed_and_unlisted(context, name):
    async def kill_and_unlist():
        context.cluster.nodes[name].kill()
        context.cluster.vms.remove(name)

    run(context, kill_and_unlist())


async def sample_holds(context, node, duration_s):
    """Wait; record the units that a node holds after 4.5 s.

    By then its promises must have ended.  In a shorter failure the units are
    recorded at its end.
    """
    await asyncio.sleep(min(duration_s, 4.5))
    context.held_late = node.holds()
    await asyncio.sleep(max(duration_s - 4.5, 0))


@when('node {name} is paused for {duration:g} seconds')
def when_paused(context, name, duration):
    async def pause():
        node = context.cluster.nodes[name]
        node.gate.pause()
        await sample_holds(context, node, duration)
        node.gate.resume()

    run(context, pause())


@when('node {name} is cut off from the other nodes for {duration:g} seconds')
def when_isolated(context, name, duration):
    async def isolate():
        cluster = context.cluster
        others = [one for one in cluster.nodes if one != name]
        for other in others:
            cluster.network.cut(name, other)
            cluster.network.cut(other, name)
        await sample_holds(context, cluster.nodes[name], duration)
        for other in others:
            cluster.network.heal(name, other)
            cluster.network.heal(other, name)

    run(context, isolate())


@when('messages from {source} to {target} are lost for {duration:g} seconds')
def when_one_way(context, source, target, duration):
    async def cut():
        context.cluster.network.cut(source, target)
        await asyncio.sleep(duration)
        context.cluster.network.heal(source, target)

    run(context, cut())


async def store_outage(cluster, duration_s):
    reduce_observation_rate(cluster, duration_s)
    cluster.log.is_down = True
    await asyncio.sleep(duration_s)
    cluster.log.is_down = False


def reduce_observation_rate(cluster, duration_s):
    """Save processor time in failures that last for an hour."""
    if duration_s > LONG_FAILURE_S:
        cluster.observe_s = 0.25


async def region_cut(cluster, duration_s):
    reduce_observation_rate(cluster, duration_s)
    network = cluster.network
    network.cut(NEAR, FAR)
    network.cut(FAR, NEAR)
    await asyncio.sleep(duration_s)
    network.heal(NEAR, FAR)
    network.heal(FAR, NEAR)


@when('the store is down for {duration:g} seconds')
def when_store_down(context, duration):
    run(context, store_outage(context.cluster, duration))


@when(
    'the store is down for {duration:g} seconds and node {name} dies at its '
    'start'
)
def when_store_down_and_dead(context, duration, name):
    async def fail():
        context.cluster.nodes[name].kill()
        await store_outage(context.cluster, duration)

    context.dead = name
    run(context, fail())


@when('the link between the regions is down for {duration:g} seconds')
def when_regions_cut(context, duration):
    run(context, region_cut(context.cluster, duration))


@when(
    'the store and the link between the regions are down for {duration:g} '
    'seconds'
)
def when_both(context, duration):
    async def fail():
        await asyncio.gather(
            store_outage(context.cluster, duration),
            region_cut(context.cluster, duration),
        )
        await asyncio.sleep(30)

    run(context, fail())


@when('every node is replaced by a new VM, one after the other')
def when_replaced(context):
    async def replace():
        cluster = context.cluster
        for number, node in enumerate(list(cluster.running())):
            cluster.add(f'm{number}', node.region).start()
            await asyncio.sleep(20)
            cluster.vms.mark_leaving(node.name)
            await node.stop()
            cluster.vms.remove(node.name)

    run(context, replace())


@when('all nodes die and as many new VMs start')
def when_all_replaced(context):
    async def replace():
        cluster = context.cluster
        for number, node in enumerate(list(cluster.running())):
            node.kill()
            cluster.vms.remove(node.name)
            cluster.add(f'm{number}', node.region).start()

    run(context, replace())


@when('all nodes restart at once')
def when_all_restart(context):
    async def restart():
        for node in context.cluster.running():
            node.kill()
            node.start()

    run(context, restart())


@when('the log loses half of its answers')
def when_answers_lost(context):
    start = Node.start

    def start_lossy(node):
        start(node)
        node.log.faults.lose_answer = 0.5

    for node in context.cluster.nodes.values():
        node.start = start_lossy.__get__(node)


@when("the members' clocks run {members} and the owners' clocks {owners}")
def when_drift(context, members, owners):
    """Scale the promises: on a fast clock a duration ends too early."""
    for node in context.cluster.nodes.values():
        terms = node.ownership.electorate_member.terms
        node.ownership.electorate_member.terms = with_clock_rate(
            terms, DRIFTS[members]
        )
        node.ownership.authority.terms = with_clock_rate(terms, DRIFTS[owners])


def with_clock_rate(terms, rate):
    return msgspec.structs.replace(terms, promise_s=terms.promise_s / rate)


@when('{duration:g} seconds pass')
def when_time_passes(context, duration):
    run(context, asyncio.sleep(duration))


@then('every unit is held within {limit:g} seconds')
def then_held(context, limit):
    async def wait():
        cluster = context.cluster
        return await cluster.until(cluster.all_held, limit)

    run(context, wait())


@then('every unit was acquired once')
def then_acquired_once(context):
    cluster = context.cluster
    assert cluster.acquisitions == len(cluster.units()), cluster.acquisitions


@then('no unit was acquired again')
def then_none_acquired(context):
    assert context.cluster.acquisitions == context.acquisitions


@then('no unit ever had two holders')
def then_no_doubles(context):
    assert not context.cluster.doubles, context.cluster.doubles[:3]
    assert not violations, violations


@then('no unit was without a holder for more than {limit:g} seconds')
def then_no_gap(context, limit):
    longest = max(context.watch.longest.values())
    assert longest <= limit + 1e-9, context.watch.longest


@then('the units of the other nodes never lost their holder')
def then_others_kept(context):
    for unit, holder in context.before.items():
        if holder != context.dead:
            assert context.watch.longest[unit] == 0, unit


@then('node {name} held {amount} units late in the failure')
def then_held_late(context, name, amount):
    assert bool(context.held_late) == (amount == 'some'), context.held_late


@then('no unit moved twice')
def then_moved_once(context):
    for unit, holders in context.watch.moves.items():
        assert len(holders) <= 2, (unit, holders)


@then('node {name} holds as many units as the others')
def then_balanced(context, name):
    held = run(context, snapshot(context.cluster))
    counts = [
        list(held.values()).count(node.name)
        for node in context.cluster.running()
    ]
    assert name in held.values(), held
    assert max(counts) - min(counts) <= 2, counts
