"""Nodes that coordinate, the store and the workers, in one process."""

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any, Final, final

import msgspec

from berylspread.coordinator import (
    Clients,
    CoordinatingNode,
    DecisionLog,
    Topics,
)
from berylspread.coordinator.contention import DEFAULT_POLICY
from berylspread.coordinator.fitness import DEFAULT_CAPACITY, Capacity
from berylspread.coordinator.interface import (
    KeyedItem,
    KeyedStore,
    WorkerApi,
    WorkerEntry,
)
from berylspread.coordinator.model import JobSpec, Queue, StepSpec
from berylspread.coordinator.policy import (
    Configuration,
    PolicyCache,
    QueueRoute,
    Tenant,
    ZoneChange,
)
from berylspread.coordinator.records import DEFAULT_RECORD_BYTES
from berylspread.coordinator.worker_bounds import WorkerBounds
from berylspread.kernel.clock import WallClock, now
from berylspread.model import Resources
from berylspread_standins.coordinated.advisor import PermissionServiceStandin
from berylspread_standins.coordinated.closures import ZoneClosures
from berylspread_standins.coordinated.lease import HOLD_MAX_MS, MAX_STOP_MS
from berylspread_standins.coordinated.store import StoreStandin, StoreView
from berylspread_standins.coordinated.worker import (
    RunLog,
    WorkerPool,
    WorkerStandin,
)
from berylspread_standins.network import Endpoint
from berylspread_standins.peer_network import PeerNetwork
from berylspread_standins.virtual_time import VirtualTimeLoop, process_context

TOPICS: Final = Topics('jobs', 'leader', 'workers', 'config')
TASK: Final = Resources(1000, 1000)
#: Room for eight tasks.
CAPACITY: Final = TASK * 8
#: Shares of organisations in jobs a second.
ACME_PER_S: Final = 20.0
HOT_PER_S: Final = 2.0
TENANT_CAP: Final = Resources(2 * TASK.cpu_milli)
QUEUE: Final = Queue('q', 'desk', max_attempts=2)
#: The time of day at the start.
EPOCH_S: Final = 1.7e9
WALL_MS: Final = int(EPOCH_S * 1000)
KEY_TRUST_S: Final = 4.0
#: Shorter than that of the keys, so that it is the one that holds starts up.
ZONES_TRUST_S: Final = 3.0
FAR_S: Final = 0.02
#: What precedes a zone's name in the key by which the operator closes it.
CLOSED_PREFIX: Final = 'closed/'
DEFAULT_ZONE: Final = 'z'


def _as_is(part: Any) -> Any:
    return part


@final
class NodeStandin:
    """One node: its way to the store, its clients and its main task."""

    __slots__ = ('log', 'name', 'node', 'policies', 'pool', 'task', 'view')

    def __init__(
        self,
        name: str,
        node: CoordinatingNode,
        view: StoreView,
        pool: WorkerPool,
    ) -> None:
        """Keep the parts."""
        self.name = name
        self.node = node
        self.view = view
        self.pool = pool
        self.task = asyncio.create_task(
            node.run(), context=process_context(name)
        )


@final
class CoordinatedFleet:
    """A small cell whose faults a test injects."""

    __slots__ = (
        'advisor',
        'closures',
        'contention',
        'hold_max_ms',
        'lines',
        'max_stop_ms',
        'nodes',
        'peers',
        'record_bytes',
        'store',
        'wall',
        'work',
        'workers',
        'zones_trust_s',
    )

    def __init__(self, workers: int, seed: int = 1) -> None:
        """Start the workers; nodes are started one by one."""
        self.store = StoreStandin()
        #: The longest lease that workers grant.
        self.hold_max_ms = HOLD_MAX_MS
        #: How long workers need at most to kill a run, as the nodes are told.
        self.max_stop_ms = MAX_STOP_MS
        #: The longest record of the store, as the nodes are told.
        self.record_bytes = DEFAULT_RECORD_BYTES
        #: For how long the nodes trust a confirmation of the closed zones.
        self.zones_trust_s = ZONES_TRUST_S
        self.advisor = PermissionServiceStandin()
        self.closures = ZoneClosures()
        #: The policy for too little room that the nodes use.
        self.contention = DEFAULT_POLICY
        self.peers = PeerNetwork(random.Random(seed))
        self.nodes: dict[str, NodeStandin] = {}
        self.wall = WallClock(EPOCH_S)
        #: Seconds of work and outcome by task; others take a second.
        self.work: dict[str, tuple[float, str]] = {}
        self.lines: list[dict[str, object]] = []
        self.workers: dict[str, WorkerStandin] = {}
        for index in range(workers):
            self.add_worker(f'w{index}')

    def script(self, task: str) -> tuple[float, str]:
        """Return how a task's next run goes."""
        return self.work.get(task, (1.0, 'done'))

    def add_worker(
        self,
        name: str,
        *,
        service: str = QUEUE.service,
        address: str = '',
        born_ms: int = 1,
        zone: str = DEFAULT_ZONE,
    ) -> None:
        """Let a worker join; its address is its name unless it is given."""
        entry = _entry(name, service, address or name, born_ms, zone)
        worker = WorkerStandin(entry, self.script)
        worker.lease.hold_max_ms = self.hold_max_ms
        self.workers[name] = worker
        self.publish(worker.entry)

    def drain(self, name: str) -> None:
        """Let a worker announce that it leaves."""
        entry = self.workers[name].entry
        self.publish(msgspec.structs.replace(entry, is_ready=False))

    def publish(self, entry: WorkerEntry) -> None:
        """Write a worker's entry to the store."""
        self.store.append(
            TOPICS.workers, [(entry.worker, msgspec.msgpack.encode(entry))]
        )

    def configure(self, version: int, queue: Queue | None = QUEUE) -> None:
        """Let the operator publish a configuration, with or without a queue."""
        blob = msgspec.msgpack.encode(_configuration(queue, version))
        self.store.append(TOPICS.config, [('config', blob)])

    def close_zone(self, zone: str) -> None:
        """Let the operator request that nothing more starts in a zone."""
        self.closures.close(zone)
        self.store.append(TOPICS.config, [(CLOSED_PREFIX + zone, b'{}')])

    def open_zone(self, zone: str) -> None:
        """Let the operator take the request back."""
        self.closures.open(zone)
        self.store.append(TOPICS.config, [(CLOSED_PREFIX + zone, b'')])

    def withdraw(self, worker: str) -> None:
        """Remove a worker's entry."""
        self.store.append(TOPICS.workers, [(worker, b'')])

    def start_node(
        self,
        name: str,
        *,
        is_far: bool = False,
        queue: Queue = QUEUE,
        capacity: Capacity = DEFAULT_CAPACITY,
        is_configured: bool = True,
        wrap_store: Callable[[StoreView], KeyedStore] = _as_is,
        wrap_workers: Callable[[WorkerPool], WorkerApi] = _as_is,
    ) -> NodeStandin:
        """Start a node, or start it again.

        Unless ``is_configured`` it knows no configuration at first.  The node
        uses what ``wrap_store`` and ``wrap_workers`` return.
        """
        view = StoreView(self.store, far_s=FAR_S if is_far else 0.0)
        pool = WorkerPool(self.workers)
        peers = self.peers.start(Endpoint(name, 'r', 'z'))
        board = PolicyCache(now, KEY_TRUST_S, self.zones_trust_s)
        if is_configured:
            board.apply(_configuration(queue))
        clients = Clients(
            wrap_store(view),
            wrap_workers(pool),
            self.advisor,
            board,
            _decode,
            _decode_config,
            wall_clock=self.wall,
            authority_clock=now,
            record_bytes=self.record_bytes,
        )
        clients.contention = self.contention
        clients.worker_bounds = WorkerBounds(max_stop_ms=self.max_stop_ms)
        node = CoordinatingNode(
            peers.ref,
            name,
            clients,
            TOPICS,
            _memory_log(name, self.lines),
            capacity=capacity,
        )
        node.attach_peers(peers)
        self.nodes[name] = NodeStandin(name, node, view, pool)
        return self.nodes[name]

    def kill(self, name: str) -> None:
        """End a node's process at once."""
        standin = self.nodes.pop(name)
        # What a paused node would still send is lost.
        standin.view.is_cut = True
        standin.pool.is_cut = True
        self.peers.stop(name)
        standin.task.cancel()
        if standin.node.service is not None:
            standin.node.service.coordinator.close()
        loop = standin.task.get_loop()
        if isinstance(loop, VirtualTimeLoop):
            loop.resume(name)

    def pause(self, name: str) -> None:
        """Let a node stand still; what it is sent waits for it.

        The store, the workers and the other nodes go on.
        """
        _virtual_loop().pause(name)

    def resume(self, name: str) -> None:
        """Let a node go on where it stood still."""
        _virtual_loop().resume(name)

    def leader(self) -> str | None:
        """Return the node that coordinates, if exactly one says so."""
        leaders = [
            name
            for name, standin in self.nodes.items()
            if standin.node.service is not None
        ]
        return leaders[0] if len(leaders) == 1 else None

    def runs(self, task: str = '') -> list[RunLog]:
        """Return the runs that workers saw, oldest first."""
        found = [
            log
            for worker in self.workers.values()
            for log in worker.history
            if not task or log.task == task
        ]
        return sorted(found, key=lambda log: log.started_at)

    def events(self, event: str) -> list[dict[str, object]]:
        """Return the lines that the nodes logged for an event."""
        return [line for line in self.lines if line['event'] == event]


def _virtual_loop() -> VirtualTimeLoop:
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualTimeLoop)
    return loop


def _memory_log(node: str, lines: list[dict[str, object]]) -> DecisionLog:
    """Return a log whose lines are appended to a list."""

    def emit(line: bytes) -> None:
        lines.append(json.loads(line))

    return DecisionLog(node, emit=emit)


def job(
    job_id: str,
    *steps: StepSpec,
    queue: Queue = QUEUE,
    tenant: str = 'acme',
    accepted_ms: int = WALL_MS,
) -> JobSpec:
    """Return a job; without steps it has one of a single task."""
    return JobSpec(
        job_id=job_id,
        queue=queue,
        tenant=tenant,
        payload='payload',
        steps=steps or (StepSpec(1, TASK, estimate_ms=1000),),
        accepted_ms=accepted_ms,
    )


def _configuration(queue: Queue | None, version: int = 1) -> Configuration:
    return Configuration(
        version=version,
        routes=(QueueRoute('host', '/q/', queue),) if queue else (),
        tenants=(
            Tenant('acme', ('key',), ACME_PER_S, Resources()),
            Tenant('small', ('key-4',), ACME_PER_S, Resources()),
            Tenant('hot', ('key-3',), HOT_PER_S, Resources()),
            Tenant('capped', ('key-2',), 1.0, TENANT_CAP),
        ),
    )


def _entry(
    name: str, service: str, address: str, born_ms: int, zone: str
) -> WorkerEntry:
    return WorkerEntry(
        worker=name,
        service=service,
        address=address,
        zone=zone,
        is_ready=True,
        capacity=CAPACITY,
        rack='r1',
        born_ms=born_ms,
    )


def _decode_config(item: KeyedItem) -> Configuration | ZoneChange | None:
    if item.key.startswith(CLOSED_PREFIX):
        zone = item.key.removeprefix(CLOSED_PREFIX)
        return ZoneChange(zone, is_closed=bool(item.blob))
    if not item.blob:
        return None
    return msgspec.msgpack.decode(item.blob, type=Configuration)


def _decode(item: KeyedItem) -> WorkerEntry | None:
    return msgspec.msgpack.decode(item.blob, type=WorkerEntry)
