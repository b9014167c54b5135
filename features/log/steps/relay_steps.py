"""Steps for the relay."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from typing import Any

from behave import given, then, when
from behave.runner import Context

from berylspread.kernel import now
from berylspread.log import (
    Batch,
    ClusterState,
    Entry,
    LogReader,
    RelayService,
    RelaySettings,
    RelaySource,
    StoreSource,
    encode_batch,
)
from berylspread.log.rendezvous import rendezvous
from berylspread.log.snapshot import compress_state, split_snapshot
from berylspread.membership import Liveness, Member
from berylspread_standins.gate import Gate
from berylspread_standins.log_service import LocalLog
from berylspread_standins.network import Endpoint, Network
from berylspread_standins.peer_network import PeerNetwork
from berylspread_standins.virtual_time import VirtualTimeLoop
from features.log.world import World, key_record

REGION = 'b'
STORE = Endpoint('log', 'a')
SAMPLE_S = 0.1
MAX_LAG_S = 2.5
SETTLE_S = 10


class FixedMembership:
    """A membership view that the scenario sets."""

    def __init__(self) -> None:
        self.members_by_node: dict[str, Member] = {}

    def add(self, name: str) -> None:
        self.members_by_node[name] = Member(
            name, '', REGION, '', Liveness.alive
        )

    def members(self, region: str = '') -> list[Member]:
        return list(self.members_by_node.values())


class Node:
    """A node in the region without the store."""

    def __init__(self, region: 'Region', name: str, buffer_bytes: int) -> None:
        world = region.world
        self.name = name
        self.gate = Gate()
        self.endpoint = Endpoint(name, REGION)
        self.client = LocalLog(
            world.service,
            world.rng,
            timeout_s=0.5,
            gate=self.gate,
            network=region.network,
            node=self.endpoint,
            place=STORE,
        )
        self.peers = region.peer_network.start(self.endpoint, gate=self.gate)
        settings = RelaySettings(buffer_bytes=buffer_bytes)
        self.source = RelaySource(
            StoreSource(self.client),
            self.peers,
            region.membership,
            name,
            REGION,
            settings,
        )
        self.reader = LogReader(self.source, ClusterState(), rng=world.rng)
        self.relay = RelayService(
            self.reader, self.peers, self.source.reads_from_store, settings
        )
        self.entries: list[Entry] = []
        self.reader.on_entry(self.entries.append)
        self.task = world.start_task(self.reader.run())
        self.lag_samples: list[tuple[float, float]] = []

    def store_reads(self) -> int:
        return self.source.store.reads


class Region:
    """A region of five nodes, and a store and writer in another region."""

    def __init__(self, buffer_bytes: int) -> None:
        self.world = World()
        self.network = Network(random.Random(3))
        self.peer_network = PeerNetwork(random.Random(4), network=self.network)
        self.membership = FixedMembership()
        self.buffer_bytes = buffer_bytes
        self.nodes: dict[str, Node] = {}
        self.stopped: set[str] = set()
        self.sequence = 0
        self.logged = 0
        self.reads: list[tuple[float, dict[str, int]]] = []

    def start(self) -> None:
        for number in range(5):
            self.membership.add(f'n{number}')
        for name in self.membership.members_by_node:
            self.nodes[name] = Node(self, name, self.buffer_bytes)
        self.world.start_task(self.sample())

    async def sample(self) -> None:
        while True:
            await asyncio.sleep(SAMPLE_S)
            reads = {name: node.store_reads() for name, node in self.running()}
            self.reads.append((now(), reads))
            for _name, node in self.running():
                lag_s = now() - node.reader.fresh_at
                node.lag_samples.append((now(), lag_s))

    def running(self) -> list[tuple[str, Node]]:
        return [
            item for item in self.nodes.items() if item[0] not in self.stopped
        ]

    def relay(self) -> Node:
        return self.nodes[self.running()[0][1].source.current_relay()]

    def log_records(self, count: int) -> None:
        for _ in range(count):
            self.sequence += 1
            self.logged += 1
            batch = Batch('writer', self.sequence, [key_record(self.sequence)])
            self.world.service.publish(encode_batch(batch))

    def log_snapshot(self) -> None:
        state = self.nodes['n0'].reader.state
        blob = compress_state(state.to_wire())
        for part in split_snapshot('s', state.offset, blob, len(blob)):
            self.sequence += 1
            batch = Batch('writer', self.sequence, [part])
            self.world.service.publish(encode_batch(batch))

    async def log_every_second(self, count: int, seconds: int) -> None:
        for _ in range(seconds):
            self.log_records(count)
            await asyncio.sleep(1)


def run_action(
    context: Context, action: Callable[[Region], Coroutine[Any, Any, None]]
):
    """Run an action in the event loop of the scenario."""
    if not hasattr(context, 'region'):
        context.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        context.add_cleanup(context.runner.close)
        buffer_bytes = getattr(context, 'buffer_bytes', 1 << 20)

        async def prepare():
            context.region = Region(buffer_bytes)
            context.region.start()
            await asyncio.sleep(SETTLE_S)

        context.runner.run(prepare())
        world = context.region.world
        context.add_cleanup(lambda: context.runner.run(world.close()))
    context.runner.run(action(context.region))


@given('a store in region a and 5 nodes in region b')
def step_region(context: Context):
    """Describe the region; the first action starts its nodes."""


@given('the relay keeps {size:d} bytes of entries')
def step_buffer(context: Context, size: int):
    context.buffer_bytes = size


@when('{count:d} records are logged every second for {seconds:d} s')
def step_log(context: Context, count: int, seconds: int):
    run_action(context, lambda region: region.log_every_second(count, seconds))


def step_fault(
    context: Context, fault: Callable[[Region, Node], None], seconds: int
):
    async def act(region: Region):
        node = region.relay()
        context.failed_relay = node.name
        context.fault_at = now()
        context.fault_offset = region.sequence
        context.relayed = {
            name: other.source.relayed_bytes
            for name, other in region.nodes.items()
        }
        fault(region, node)
        await region.log_every_second(5, seconds)

    run_action(context, act)


def stop_node(region: Region, node: Node):
    node.task.cancel()
    region.peer_network.stop(node.name)
    region.stopped.add(node.name)
    asyncio.get_running_loop().call_later(
        3, region.membership.members_by_node.pop, node.name
    )


@when('the relay dies and 5 records are logged every second for {seconds:d} s')
def step_die(context: Context, seconds: int):
    step_fault(context, stop_node, seconds)


def pause_node(region: Region, node: Node):
    node.gate.pause()
    region.stopped.add(node.name)


@when(
    'the relay pauses and 5 records are logged every second for {seconds:d} s'
)
def step_pause(context: Context, seconds: int):
    step_fault(context, pause_node, seconds)


def cut_off_store(region: Region, node: Node):
    node.client.faults.is_cut = True
    region.stopped.add(node.name)


@when(
    'the relay is cut off from the store and 5 records a second for'
    ' {seconds:d} s'
)
def step_cut(context: Context, seconds: int):
    step_fault(context, cut_off_store, seconds)


@when('the store is down for {seconds:d} s')
def step_down(context: Context, seconds: int):
    async def act(region: Region):
        region.world.service.is_down = True
        await asyncio.sleep(seconds)
        context.ages_s = [
            now() - node.reader.fresh_at for _name, node in region.running()
        ]

    run_action(context, act)


@when('node 3 is away while {count:d} records are logged')
def step_away(context: Context, count: int):
    async def act(region: Region):
        gate = region.nodes['n3'].gate
        gate.pause()
        region.log_records(count)
        await asyncio.sleep(30)
        gate.resume()
        await asyncio.sleep(10)

    run_action(context, act)


@when('{count:d} records are logged with a snapshot in the middle')
def step_snapshot(context: Context, count: int):
    async def act(region: Region):
        region.log_records(count // 2)
        await asyncio.sleep(10)
        region.log_snapshot()
        region.log_records(count // 2)
        await asyncio.sleep(10)

    run_action(context, act)


def restart(region: Region, name: str):
    old = region.nodes[name]
    old.task.cancel()
    region.nodes[name] = Node(region, name, region.buffer_bytes)


@when('node 3 starts again')
def step_restart(context: Context):
    async def act(region: Region):
        restart(region, 'n3')
        await asyncio.sleep(10)

    run_action(context, act)


@when('every node starts again')
def step_restart_all(context: Context):
    async def act(region: Region):
        for name in region.nodes:
            restart(region, name)
        await asyncio.sleep(20)

    run_action(context, act)


@when('node 3 starts again and its first neighbour fails at once')
def step_restart_alone(context: Context):
    async def act(region: Region):
        others = [name for name in region.nodes if name != 'n3']
        first = rendezvous('n3', others)[0]
        restart(region, 'n3')
        await asyncio.sleep(0.001)
        stop_node(region, region.nodes[first])
        await asyncio.sleep(20)

    run_action(context, act)


@when(
    'node 3 is away while {count:d} records are logged and all but {kept:d}'
    ' age out'
)
def step_aged_out(context: Context, count: int, kept: int):
    async def act(region: Region):
        node = region.nodes['n3']
        node.gate.pause()
        region.log_records(count)
        await asyncio.sleep(30)
        service = region.world.service
        service.cut_retention(service.end - kept)
        for name, other in region.running():
            if name != 'n3':
                other.relay.buffer.clear()
        context.read_before = node.source.store.read_bytes
        node.gate.resume()
        await asyncio.sleep(10)

    run_action(context, act)


@then('node 3 read at most {size:d} bytes from the store')
def step_read_bytes(context: Context, size: int):
    before = getattr(context, 'read_before', 0)
    node = context.region.nodes['n3']
    read = node.source.store.read_bytes - before
    assert read <= size, read


@then("every node's state equals the log's")
@then("every running node has the log's state")
@then("every other node's state equals the log's")
def step_equal(context: Context):
    async def check(region: Region):
        await asyncio.sleep(3)
        for name, node in region.running():
            assert node.reader.state.offset == region.sequence, name
            keys = len(node.reader.state.keys.active)
            assert keys == region.logged, (name, keys)

    run_action(context, check)


@then('only the relay read from the store in the last {seconds:d} s')
def step_only_relay(context: Context, seconds: int):
    async def check(region: Region):
        before = next(
            reads for at, reads in region.reads if at >= now() - seconds
        )
        reading = {
            name
            for name, node in region.running()
            if node.store_reads() > before[name]
        }
        assert reading == {region.relay().name}, reading

    run_action(context, check)


@then('the link carried each record once')
def step_link(context: Context):
    region = context.region
    logged = sum(len(entry.blob) for entry in region.world.service.entries)
    carried = sum(
        node.source.store.read_bytes for node in region.nodes.values()
    )
    assert carried == logged, (carried, logged)
    served = sum(node.relay.served_bytes for node in region.nodes.values())
    assert served == 4 * logged, (served, logged)


def max_lag_s(context: Context, since: float) -> float:
    return max(
        lag_s
        for _name, node in context.region.running()
        for at, lag_s in node.lag_samples
        if at >= since
    )


@then('every node is at most 2.5 s behind within {seconds:d} s of the fault')
def step_recovered(context: Context, seconds: int):
    lag_s = max_lag_s(context, context.fault_at + seconds)
    assert lag_s <= MAX_LAG_S, lag_s


@then('every running node was at most {bound_s:g} s behind')
@then('every other node was at most {bound_s:g} s behind')
def step_behind(context: Context, bound_s: float):
    lag_s = max_lag_s(context, context.fault_at)
    assert lag_s <= bound_s, lag_s


@then('the others read at least half of the records through another relay')
def step_through(context: Context):
    region = context.region
    logged = sum(
        len(entry.blob)
        for entry in region.world.service.entries
        if entry.offset > context.fault_offset
    )
    relayed = sum(
        node.source.relayed_bytes - context.relayed[name]
        for name, node in region.running()
    )
    others = len(region.running()) - 1
    assert relayed >= others * logged / 2, (relayed, logged)


@then('no node reports that its state is younger than {seconds:d} s')
def step_ages(context: Context, seconds: int):
    assert min(context.ages_s) >= seconds, context.ages_s


@then("the entries that each node applied are the log's")
def step_bytes(context: Context):
    async def check(region: Region):
        await asyncio.sleep(3)
        logged = list(region.world.service.entries)
        for node in region.nodes.values():
            assert node.entries == logged

    run_action(context, check)
