"""Nodes with membership and ownership over the stand-ins, in virtual time.

An observer notes each unit that two nodes may act on at one time.
"""

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import Final

from berylspread.kernel.clock import now
from berylspread.log.appender import Appender, AppenderSettings
from berylspread.log.reader import LogReader
from berylspread.log.source import StoreSource
from berylspread.log.state import ClusterState
from berylspread.membership import (
    HeartbeatMembership,
    MembershipSettings,
    NodeStatus,
)
from berylspread.model import NodeRef, Vm, VmRole, partition_unit, shard_unit
from berylspread.ownership import (
    PROMISE_EXTENSION,
    LogOwnership,
    LogView,
    OwnershipSettings,
    Tenure,
)
from berylspread_standins.gate import Gate
from berylspread_standins.log_service import LocalLog, LogService
from berylspread_standins.network import Endpoint, Network
from berylspread_standins.peer_network import PeerNetwork
from berylspread_standins.vm_list import LocalDirectory, VmList

OBSERVE_S: Final = 0.02
NEAR: Final = 'near'
FAR: Final = 'far'


class Node:
    """One VM: started, killed, paused, and replaced."""

    def __init__(self, cluster: 'Cluster', name: str, region: str) -> None:
        self.cluster = cluster
        self.name = name
        self.region = region
        self.endpoint = Endpoint(name, region, f'{region}-{name}')
        self.gate = Gate()
        self.tasks: list[asyncio.Task[None]] = []
        self.leaving = False

    def start(self) -> None:
        cluster = self.cluster
        self.gate = Gate()
        peers = cluster.peers.start(self.endpoint, gate=self.gate)
        self.ref: NodeRef = peers.ref
        self.leaving = False
        self.log = LocalLog(
            cluster.log,
            cluster.rng,
            gate=self.gate,
            network=cluster.network,
            node=self.endpoint,
            place=cluster.store,
        )
        self.state = ClusterState()
        self.reader = LogReader(
            StoreSource(self.log), self.state, rng=cluster.rng
        )
        writer = f'{self.ref.node}/{self.ref.incarnation}'
        self.appender = Appender(
            self.log, writer, AppenderSettings(), rng=cluster.rng
        )
        self.state.on_batch(self.appender.confirm_from_log)
        self.membership = HeartbeatMembership(
            self.ref,
            peers,
            LocalDirectory(cluster.vms, gate=self.gate),
            self.status,
            cluster.membership_settings,
            cluster.rng,
        )
        self.ownership = LogOwnership(
            self.ref,
            self.region,
            peers,
            self.membership,
            LogView(self.state, lambda: self.reader.fresh_at),
            self.appender,
            cluster.units_of,
            cluster.regions,
            cluster.settings,
            cluster.rng,
        )
        self.membership.add_extension(
            PROMISE_EXTENSION, self.ownership.promise_exchange
        )
        self.ownership.on_acquire(self.acquired)
        self.tasks = [
            asyncio.create_task(work)
            for work in (
                self.reader.run(),
                self.appender.run(),
                self.membership.run(),
                self.ownership.run(),
            )
        ]

    def status(self) -> NodeStatus:
        return NodeStatus(
            address=f'10.0.0.1:{self.name}',
            region=self.region,
            zone=self.endpoint.zone,
            log_offset=self.state.offset,
            ready=not self.leaving,
            leaving=self.leaving,
        )

    def acquired(self, tenure: Tenure) -> None:
        self.cluster.acquired[tenure.unit] = now()
        self.cluster.acquisitions += 1
        self.cluster.observe()

    def kill(self) -> None:
        self.cluster.peers.stop(self.name)
        for task in self.tasks:
            task.cancel()
        self.tasks = []

    async def stop(self) -> None:
        """Stop as planned: hand everything over first."""
        self.leaving = True
        await self.ownership.release_all()
        self.kill()

    def holds(self) -> set[str]:
        """Return the units that this node may act on now."""
        if not self.tasks:
            return set()
        time = now()
        return {
            tenure.unit
            for tenure in self.ownership.owned()
            if tenure.is_valid(time)
        }


class Cluster:  # noqa: WPS230
    """Nodes in two regions, the store in the first; units in each."""

    def __init__(
        self,
        near: int = 3,
        far: int = 0,
        racks: int = 3,
        shards: int = 3,
        seed: int = 1,
        settings: OwnershipSettings | None = None,
    ) -> None:
        self.rng = random.Random(seed)
        self.network = Network(self.rng)
        self.peers = PeerNetwork(self.rng, network=self.network)
        self.store = Endpoint('store', NEAR, 'store')
        self.log = LogService()
        self.vms = VmList()
        self.settings = settings or OwnershipSettings()
        self.membership_settings = MembershipSettings()
        self.racks = racks
        self.shards = shards
        self.nodes: dict[str, Node] = {}
        self.acquired: dict[str, float] = {}
        self.acquisitions = 0
        self.doubles: list[tuple[float, str, list[str]]] = []
        self.far_nodes = far
        self.observe_s = OBSERVE_S
        for number in range(near):
            self.add(f'n{number}', NEAR)
        for number in range(far):
            self.add(f'f{number}', FAR)
        self.vms.settle()

    def add(self, name: str, region: str) -> Node:
        node = Node(self, name, region)
        self.nodes[name] = node
        self.vms.put(
            Vm(
                name,
                VmRole.entry,
                f'10.0.0.1:{name}',
                region,
                f'{region}-{name}',
            )
        )
        return node

    def regions(self) -> list[str]:
        return [FAR, NEAR] if self.far_nodes else [NEAR]

    def units_of(self, region: str) -> list[str]:
        return [
            *(partition_unit(region, f'r{one}') for one in range(self.racks)),
            *(shard_unit(region, one) for one in range(self.shards)),
        ]

    def units(self) -> list[str]:
        return [
            unit for region in self.regions() for unit in self.units_of(region)
        ]

    async def start(self) -> None:
        for node in self.nodes.values():
            node.start()
        self.observer = asyncio.create_task(self.watch())

    async def watch(self) -> None:
        while True:
            self.observe()
            await asyncio.sleep(self.observe_s)

    def observe(self) -> None:
        holders: dict[str, list[str]] = {}
        for node in self.nodes.values():
            for unit in node.holds():
                holders.setdefault(unit, []).append(node.name)
        for unit, names in holders.items():
            if len(names) > 1:
                self.doubles.append((now(), unit, names))

    def held(self) -> dict[str, str]:
        return {
            unit: node.name
            for node in self.nodes.values()
            for unit in node.holds()
        }

    def all_held(self, units: Iterable[str] | None = None) -> bool:
        return set(units or self.units()) <= set(self.held())

    def running(self) -> list[Node]:
        return [node for node in self.nodes.values() if node.tasks]

    async def until(
        self, holds: Callable[[], bool], limit_s: float = 60.0
    ) -> float:
        """Return the seconds until a condition holds."""
        began = now()
        async with asyncio.timeout(limit_s):
            while not holds():
                await asyncio.sleep(0.01)
        return now() - began

    def stop(self) -> None:
        for node in self.running():
            node.kill()
        self.observer.cancel()
