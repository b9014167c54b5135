"""A whole assembly in virtual time: nodes over fakes, workers, an observer."""

import asyncio
import random
from collections.abc import Mapping, MutableMapping, Sequence
from typing import Final, final

import msgspec

from berylspread.backend import CallReply
from berylspread.calls.request_id import new_request_id
from berylspread.calls.router import CallInput
from berylspread.config import Document, parse_document
from berylspread.jobs.shards import home_unit
from berylspread.kernel import Failure, WallClock
from berylspread.log import ConfigApplied, JobAccepted, JobCancelled
from berylspread.model import (
    JobKind,
    JobSpec,
    Resources,
    Vm,
    VmRole,
    is_partition,
)
from berylspread.runtime.node import Node, NodeDependencies, NodeSettings
from berylspread_standins.gate import Gate
from berylspread_standins.local_workers import LocalWorkers
from berylspread_standins.log_service import LocalLog, LogService
from berylspread_standins.network import Endpoint, Network
from berylspread_standins.observer import LimitHistory, Observer
from berylspread_standins.peer_network import PeerNetwork
from berylspread_standins.vm_list import LocalDirectory, VmList
from berylspread_standins.worker import Checks, Worker
from berylspread_standins.workload import Workload, dump_workload

EPOCH_S: Final = 1_800_000_000.0
ENTRY_PORT: Final = 7000
READY_POLL_S: Final = 0.1
PRODUCTION: Final = 'production'
SERVICE: Final = 'service'


@final
class Place(msgspec.Struct, frozen=True):
    """An availability zone with its entry VMs and racks of workers."""

    region: str
    zone: str
    nodes: int
    racks: int = 0
    workers: int = 8


SURYADI: Final = (
    Place('central-java', 'pekalongan', 3, 1),
    Place('central-java', 'batang', 3, 1),
    Place('east-java', 'sidoarjo', 3, 1),
)


@final
class SimNode:
    """An entry VM: its process can be killed, started again and paused."""

    __slots__ = ('address', 'cluster', 'endpoint', 'gate', 'node')

    def __init__(
        self, cluster: 'Cluster', endpoint: Endpoint, address: str
    ) -> None:
        """Take the VM's place; ``start`` starts the process."""
        self.cluster = cluster
        self.endpoint = endpoint
        self.address = address
        self.gate = Gate()
        self.node: Node | None = None

    @property
    def is_running(self) -> bool:
        """Return whether a process runs on the VM."""
        return self.node is not None

    @property
    def running(self) -> Node:
        """Return the process; there must be one."""
        if self.node is None:
            raise RuntimeError(f'{self.endpoint.name} is not running')
        return self.node

    async def start(self) -> None:
        """Start a new incarnation."""
        if self.node is not None:
            return
        self.gate = Gate()
        self.node = Node(self.cluster.parts(self), self.cluster.settings(self))
        self.node.start()

    async def kill(self) -> None:
        """Lose the process without a word."""
        if self.node is None:
            return
        node, self.node = self.node, None
        self.cluster.peers.stop(self.endpoint.name)
        self.gate.resume()
        await node.close()

    async def stop(self) -> None:
        """Stop the process gracefully."""
        await self.running.leave()
        await self.kill()


@final
class Cluster:
    """Nodes, workers, log and VM list of one assembly; implements ``World``."""

    __slots__ = (
        'document',
        'limits',
        'log',
        'network',
        'nodes',
        'observer',
        'peers',
        'places',
        'rng',
        'text',
        'vms',
        'wall',
        'workers',
    )

    def __init__(
        self,
        text: str,
        *,
        places: Sequence[Place] = SURYADI,
        seed: int = 1,
        checks: Checks = Checks.full,
        capacity: Resources | None = None,
    ) -> None:
        """Lay out the VMs; ``text`` is the first production document."""
        document = parse_document(PRODUCTION, text)
        if isinstance(document, Failure):
            raise TypeError(document.reason)
        self.text = text
        self.document: Document = document
        self.places = places
        self.rng = random.Random(seed)
        self.wall = WallClock(EPOCH_S)
        self.log = LogService(wall=self.wall)
        self.vms = VmList(lag_s=1.0)
        self.network = Network(self.rng)
        self.peers = PeerNetwork(self.rng, network=self.network)
        self.limits = LimitHistory()
        self.observer = Observer(self.limits)
        self.nodes: Mapping[str, SimNode] = {}
        self.workers: MutableMapping[str, Worker] = {}
        self._lay_out(checks, capacity)

    async def start(self) -> None:
        """Publish the document and start every node."""
        for name, team in self.document.teams.items():
            self.limits.put(name, _unlimited_as_large(team.limit()))
        for node in self.nodes.values():
            await node.start()
        first = next(iter(self.nodes.values())).running
        await first.appender.append(
            ConfigApplied(PRODUCTION, 0, self.text, 'setup')
        )

    async def until_ready(self, limit_s: float = 60.0) -> None:
        """Wait until every unit has an owner with authority."""
        async with asyncio.timeout(limit_s):
            while not self.is_ready:
                await asyncio.sleep(READY_POLL_S)

    @property
    def is_ready(self) -> bool:
        """Whether every worker takes work and every home is owned."""
        running = [node.node for node in self.nodes.values() if node.node]
        units = {unit for node in running for unit in node.all_units()}
        owned = {
            tenure.unit
            for node in running
            for tenure in node.ownership.owned()
            if tenure.is_valid(asyncio.get_running_loop().time())
        }
        reported = {
            unit for node in running for unit in node.context.capacities.reports
        }
        partitions = {unit for unit in units if is_partition(unit)}
        return bool(partitions) and units <= owned and partitions <= reported

    async def close(self) -> None:
        """Kill every node."""
        for node in self.nodes.values():
            await node.kill()

    def parts(self, sim: SimNode) -> NodeDependencies:
        """Return the fakes of one incarnation of a node."""
        place = Endpoint('platform', self.places[0].region)
        peers = self.peers.start(sim.endpoint, gate=sim.gate)
        return NodeDependencies(
            ref=peers.ref,
            peers=peers,
            log=LocalLog(
                self.log,
                self.rng,
                gate=sim.gate,
                network=self.network,
                node=sim.endpoint,
                place=place,
            ),
            directory=LocalDirectory(
                self.vms,
                gate=sim.gate,
                network=self.network,
                node=sim.endpoint,
                place=place,
            ),
            workers=LocalWorkers(
                self.workers,
                self.rng,
                gate=sim.gate,
                network=self.network,
                node=sim.endpoint,
            ),
            wall=self.wall,
            rng=random.Random(self.rng.random()),
        )

    def settings(self, sim: SimNode) -> NodeSettings:
        """Return a node's settings."""
        return NodeSettings(
            address=sim.address,
            region=sim.endpoint.region,
            zone=sim.endpoint.zone,
            store_region=self.places[0].region,
        )

    def node(self, name: str = '') -> Node:
        """Return one running process, by name or any."""
        if name:
            return self.nodes[name].running
        return next(sim.running for sim in self.nodes.values() if sim.node)

    async def submit(
        self,
        queue: str,
        *,
        tasks: int = 1,
        run_s: float | None = 5.0,
        node: str = '',
        **options: object,
    ) -> JobSpec | Failure:
        """Submit a job of a queue's shape through a node."""
        entry = self.node(node)
        section = entry.context.document.queue(queue)
        if section is None:
            raise KeyError(queue)
        workload = Workload(
            run_s=run_s,
            idempotent=section.idempotent or section.work == SERVICE,
            checkpointable=True,
        )
        home = home_unit(entry.context, section.team, section.region)
        unique = self.new_request_id().replace('-', '')
        _teams, region, shard = home.split('/')
        spec = JobSpec(
            job_id=f'{region}.{shard}.{unique}',
            team=section.team,
            queue=queue,
            kind=JobKind(section.work),
            tasks=tasks,
            shape=section.shape(),
            home=home,
            submitted_at=self.wall.time(),
            priority=section.priority,
            idempotent=section.idempotent,
            preemptible=section.preemptible,
            job_class=queue,
            payload=dump_workload(workload),
        )
        spec = msgspec.structs.replace(spec, **options)
        offset = await entry.appender.append(JobAccepted(spec))
        return offset if isinstance(offset, Failure) else spec

    async def call(
        self,
        queue: str,
        *,
        run_s: float = 0.05,
        node: str = '',
        timeout_s: float | None = None,
        request_id: str = '',
    ) -> CallReply | Failure:
        """Run an interactive call through a node."""
        entry = self.node(node)
        section = entry.context.document.queue(queue)
        if section is None:
            raise KeyError(queue)
        workload = Workload(run_s=run_s, idempotent=section.idempotent)
        return await entry.call_router.call(
            CallInput(
                request_id=request_id or self.new_request_id(),
                team=section.team,
                queue=queue,
                shape=section.shape(),
                timeout_s=timeout_s or section.default_deadline_s,
                idempotent=section.idempotent,
                body=dump_workload(workload).encode(),
                region=section.region,
            )
        )

    def new_request_id(self) -> str:
        """Return a request id of the present time."""
        return new_request_id(self.wall.time(), self.rng.randbytes(10))

    async def cancel_jobs(self, share: float, rng: random.Random) -> None:
        """Cancel a share of the jobs that have not ended."""
        entry = self.node()
        for job in list(entry.state.jobs.active.values()):
            if job.spec.kind is not JobKind.service and rng.random() < share:
                await entry.appender.append(
                    JobCancelled(job.spec.job_id, 'cancelled by the caller')
                )

    def _lay_out(self, checks: Checks, capacity: Resources | None) -> None:
        nodes: dict[str, SimNode] = {}
        for index, place in enumerate(self.places, start=1):
            for number in range(1, place.nodes + 1):
                name = f'{place.zone}-{number}'
                address = f'10.0.{index}.{number}:{ENTRY_PORT}'
                nodes[name] = SimNode(
                    self, Endpoint(name, place.region, place.zone), address
                )
                self._list(name, VmRole.entry, address, place)
            self._add_racks(index, place, checks, capacity)
        self.nodes = nodes
        self.vms.settle()

    def _add_racks(
        self,
        index: int,
        place: Place,
        checks: Checks,
        capacity: Resources | None,
    ) -> None:
        for rack_number in range(1, place.racks + 1):
            rack = f'{place.zone}-rack-{rack_number}'
            for number in range(1, place.workers + 1):
                address = f'10.{index}.{rack_number}.{number}:8000'
                vm = self._list(
                    f'{rack}-{number}', VmRole.worker, address, place, rack
                )
                self.workers[address] = Worker(
                    vm, checks=checks, observer=self.observer, wall=self.wall
                )
                if capacity is not None:
                    self.workers[address].capacity = capacity

    def _list(
        self,
        name: str,
        role: VmRole,
        address: str,
        place: Place,
        rack: str = '',
    ) -> Vm:
        vm = Vm(name, role, address, place.region, place.zone, rack)
        self.vms.put(vm)
        return vm


def _unlimited_as_large(limit: Resources) -> Resources:
    large = 1 << 60
    return Resources(
        *(amount or large for amount in msgspec.structs.astuple(limit))
    )
