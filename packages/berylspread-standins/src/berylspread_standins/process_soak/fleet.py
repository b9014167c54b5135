"""The platform's stand-ins on loopback, and the programs as processes."""

import asyncio
import json
import os
import random
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final, final

from berylspread.coordinator.interface import WorkerEntry
from berylspread.coordinator.leader_record import decode_record
from berylspread.kernel.clock import now
from berylspread.model import Resources
from berylspread_standins.coordinated import (
    PermissionServiceStandin,
    StoreStandin,
    WorkerStandin,
)
from berylspread_standins.coordinated.closures import ZoneClosures
from berylspread_standins.coordinated.gangs import Gangs
from berylspread_standins.coordinated.lease import WorkerClock
from berylspread_standins.coordinated.wire import (
    WORKERS_TOPIC,
    AdviceApp,
    StoreApp,
    WorkerApp,
)
from berylspread_standins.coordinated.worker import RunLog
from berylspread_standins.process_soak.programs import Programs, search_path
from berylspread_standins.process_soak.proxy import LoopbackProxy
from berylspread_standins.serving import HttpServer

#: Runs the program; as a script it imports nothing of this package.
CLOCK_SCRIPT: Final = Path(__file__).with_name('clock.py')
CLOCK_VARIABLE: Final = 'SOAK_CLOCK_OFF_S'
LEADER_TOPIC: Final = 'keyed.leader'
FRONT_PORT: Final = 8183
READY_PORT: Final = 8184
PEER_PORT: Final = 7420
METRICS_PORT: Final = 9464
READY_CALL: Final = b'GET /api/readyz HTTP/1.1\r\nHost: node\r\n\r\n'
READY_STATUS: Final = b' 200 '
READY_TIMEOUT_S: Final = 0.5
#: Values of one byte of an address that are no network or broadcast address.
BYTE: Final = 250
KEY: Final = 'k1'
HOST: Final = 'host.example'
MAX_ATTEMPTS: Final = 3
WIDEST: Final = 6
#: Tasks that a worker holds at a time.
ROOM: Final = 8
TASK_MILLI: Final = 1000
#: A stopped process is killed after this time, as the platform does.
GRACE_S: Final = 6.0
WORK_S: Final = 0.3
#: A lasting task that is not stopped fails within this time.
LASTING_S: Final = 10.0
#: How soon a task crashes its worker.
CRASH_S: Final = 0.01
#: Between two rounds of questions whether the programs are ready.
WATCH_S: Final = 0.2
#: Share of the runs that fail by their own fault.
FAILURES: Final = 0.03
#: The queue's service, and another one that it is sent to for a while.
SERVICE: Final = 'desk'
OTHER_SERVICE: Final = 'annex'
OTHER_WORKERS: Final = 2
#: The workers' zones, and how long tasks may start in one that is closed.
ZONES: Final = ('z0', 'z1')
EVACUATE_S: Final = 3.0
MS_PER_S: Final = 1000
#: The longest record of the store; that of a step of 400 tasks would be longer.
RECORD_BYTES: Final = 16_000
CONFIG: Final[dict[str, Any]] = {
    'routes': [
        {
            'name': 'r-1',
            'host': HOST,
            'pathPrefix': '/q/',
            'maxAttempts': MAX_ATTEMPTS,
            'advice': {'decideMs': 20, 'eachMs': 1, 'validMs': 2000},
        }
    ],
    'tenants': [{'name': 'acme', 'apiKeys': [KEY], 'weight': 7}],
}
SETTINGS: Final = """
nodeName = "{name}"
ip = "{ip}"
portRange = [7420,7420]
advice = "{advice}"
[listenAddrs]
front = "{ip}:{front}"
readyAddr = "{ip}:{ready}"
[platform]
address = "{store}"
recordBytes = {record_bytes}
[bounds]
evacuateMs = {evacuate_ms}
{more}
"""


@final
class NodeProcess:
    """One program: its ports, its way to the store, and its process."""

    __slots__ = (
        'clock_off_s',
        'folder',
        'index',
        'ip',
        'more_settings',
        'name',
        'process',
        'programs',
        'proxy',
        'relays',
        'restarting',
        'starts',
        'store_app',
    )

    def __init__(
        self, index: int, folder: Path, store: StoreStandin | None = None
    ) -> None:
        """Choose an address; nothing runs before ``start``."""
        #: Tables of the settings file beside those that all nodes have.
        self.more_settings = ''
        self.index = index
        self.name = f'node-{index}'
        self.programs = Programs()
        #: The source tree of each start.
        self.starts: list[str] = []
        self.folder = folder
        #: The node's own view of the store, and the way there, whose address
        #: is set before ``start``.
        self.store_app = StoreApp(store or StoreStandin(), self.view_entry)
        self.proxy = LoopbackProxy('')
        #: The node's own ways to the workers, each to the worker's proxy.
        self.relays: dict[str, LoopbackProxy] = {}
        self.ip = _own_address(index)
        self.process: asyncio.subprocess.Process | None = None
        #: Faults overlap: only one of them may start the program again.
        self.restarting = asyncio.Lock()
        #: How wrong the clock of the VM is when the program starts.
        self.clock_off_s = 0.0

    async def is_ready(self) -> bool:
        """Return whether the program says that it takes new connections."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    self.ip, READY_PORT
                )
                writer.write(READY_CALL)
                line = await reader.readline()
        except (OSError, TimeoutError):
            # Not up, or paused: the same to a caller.
            return False
        writer.close()
        return READY_STATUS in line

    @property
    def ready(self) -> str:
        """Return where the node is asked whether it is ready."""
        return f'{self.ip}:{READY_PORT}'

    @property
    def metrics(self) -> str:
        """Return where the node serves its metrics."""
        return f'{self.ip}:{METRICS_PORT}'

    @property
    def peer(self) -> str:
        """Return where the node's peers reach it."""
        return f'{self.ip}:{PEER_PORT}'

    @property
    def front(self) -> str:
        """Return where callers reach the node."""
        return f'{self.ip}:{FRONT_PORT}'

    async def add_relay(self, worker: str, target: str) -> None:
        """Open a way of this node alone to a worker's address."""
        self.relays[worker] = LoopbackProxy(target)
        await self.relays[worker].start()

    def view_entry(self, worker: str, blob: bytes) -> bytes:
        """Return a worker's entry with the address of this node's relay."""
        relay = self.relays.get(worker)
        if relay is None or not blob:
            return blob
        return _pack({**json.loads(blob), 'address': relay.address})

    async def stop(self) -> None:
        """End the program and close the node's ways."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        await self.wait()
        for way in (self.proxy, *self.relays.values()):
            await way.stop()

    async def start(self, advice: str) -> None:
        """Start the program, or start it again."""
        settings = self.folder / f'{self.name}.toml'
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                front=FRONT_PORT,
                ready=READY_PORT,
                advice=advice,
                store=self.proxy.address,
                record_bytes=RECORD_BYTES,
                evacuate_ms=round(EVACUATE_S * MS_PER_S),
                more=self.more_settings,
            )
        )
        tree = self.programs.choose(self.index, len(self.starts))
        self.starts.append(tree)
        with (self.folder / f'{self.name}.log').open('ab') as log:
            log.write(f'{{"event":"soak-start","tree":"{tree}"}}\n'.encode())
            log.flush()
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(CLOCK_SCRIPT),
                env={
                    **os.environ,
                    'PYTHONPATH': search_path(tree),
                    'BERYLSPREAD_SETTINGS': str(settings),
                    CLOCK_VARIABLE: str(self.clock_off_s),
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self, limit_s: float = GRACE_S) -> None:
        """Wait for the process's end; kill it after the limit."""
        assert self.process is not None
        try:
            async with asyncio.timeout(limit_s):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()


@final
class FleetOptions:
    """What all nodes have in common in their settings, and all workers."""

    __slots__ = (
        'advice',
        'draw_clock',
        'draw_kill_s',
        'late_orders_reach_next_life',
        'more_settings',
        'programs',
        'widest_step',
    )

    def __init__(self) -> None:
        #: The address of the permission service.
        self.advice = ''
        #: Draws the clock of a worker that comes.
        self.draw_clock: Callable[[], WorkerClock] = WorkerClock
        #: Draws how long a worker needs to kill what runs when a lease expires.
        self.draw_kill_s: Callable[[], float] = float
        #: Tables that are added at the end.
        self.more_settings = ''
        #: Whether orders that are carried out late survive a worker's restart.
        self.late_orders_reach_next_life = False
        #: What the nodes run.
        self.programs = Programs()
        #: The most tasks of a usual step.
        self.widest_step = WIDEST


@final
class ProcessFleet:
    """Nodes, workers and the store; faults and load act on it."""

    __slots__ = (
        'closures',
        'crashing',
        'folder',
        'gangs',
        'halts',
        'is_serving',
        'lasting',
        'nodes',
        'options',
        'restarts',
        'rng',
        'servers',
        'services',
        'store',
        'worker_proxies',
        'workers',
    )

    def __init__(self, folder: Path, rng: random.Random) -> None:
        """Keep logs and settings below a folder."""
        self.folder = folder
        self.rng = rng
        self.store = StoreStandin()
        self.store.record_bytes = RECORD_BYTES
        self.closures = ZoneClosures()
        #: The queue's services, and from when on each was published.
        self.services: list[tuple[str, float]] = [(SERVICE, 0.0)]
        self.nodes: list[NodeProcess] = []
        self.options = FleetOptions()
        self.workers: dict[str, WorkerStandin] = {}
        #: The ways to the workers that are there; ``workers`` has all.
        self.worker_proxies: dict[str, LoopbackProxy] = {}
        self.gangs = Gangs()
        #: The jobs whose tasks run until they are cancelled.
        self.lasting: set[str] = set()
        #: The tasks that crash each worker that starts them.
        self.crashing: set[str] = set()
        self.servers: list[HttpServer] = []
        #: Faults under way while which nothing can be accepted.
        self.halts = 0
        #: Whether any program has lately said that it is ready.
        self.is_serving = False
        #: When each worker began another life.
        self.restarts: list[tuple[str, float]] = []

    async def start(self, nodes: int, workers: int) -> None:
        """Start the platform's stand-ins and then the programs."""
        self.options.advice = await self._serve(
            AdviceApp(PermissionServiceStandin())
        )
        self.send_queue_to(SERVICE)
        for index in range(nodes):
            await self._add_node(index)
        for _ in range(workers):
            await self._add_worker(SERVICE)
        for _ in range(OTHER_WORKERS):
            await self._add_worker(OTHER_SERVICE)
        for node in self.nodes:
            await node.start(self.options.advice)

    async def watch(self) -> None:
        """Ask the programs again and again whether they are ready."""
        while True:
            ready = await asyncio.gather(
                *(node.is_ready() for node in self.nodes)
            )
            self.is_serving = any(ready)
            await asyncio.sleep(WATCH_S)

    async def stop(self) -> None:
        """End the programs that this fleet started, and the stand-ins."""
        for node in self.nodes:
            await node.stop()
        for proxy in self.worker_proxies.values():
            await proxy.stop()
        for server in self.servers:
            await server.stop()

    async def restart(self, node: NodeProcess) -> None:
        """Start a program again after its end, unless that has been done."""
        ended = node.process
        async with node.restarting:
            if node.process is ended:
                await node.wait()
                await node.start(self.options.advice)

    def restart_worker(self, name: str) -> None:
        """Let a worker lose all and begin another life under its id."""
        self.restarts.append((name, now()))
        self.workers[name].restart()

    def coordinating_node(self) -> NodeProcess | None:
        """Return the node that the store names as the coordinator."""
        for item in self.store.newest(LEADER_TOPIC).items:
            leader = decode_record(item.blob)
            for node in self.nodes:
                if node.name == leader.node and not leader.released:
                    return node
        return None

    def node_names(self) -> list[str]:
        """Return the names of the programs."""
        return [node.name for node in self.nodes]

    def take_worker_down(self, name: str) -> None:
        """Let a worker lose all and its connections, and be away."""
        self.restarts.append((name, now()))
        self.workers[name].vanish()
        self.worker_proxies[name].reset()

    def bring_worker_up(self, name: str, clock: WorkerClock) -> None:
        """Let a worker begin another life, unless it has been replaced."""
        if name not in self.worker_proxies:
            return
        worker = self.workers[name]
        worker.restart(clock)
        worker.is_cut = False
        self.worker_proxies[name].reset()
        entry = json.loads(self._last_entry(name))
        blob = _pack({**entry, 'born': worker.entry.born_ms})
        self.store.append(WORKERS_TOPIC, [(name, blob)])

    def newest_run(self, task: str = '') -> RunLog | None:
        """Return the newest run of a task, or of any."""
        runs = [
            log
            for worker in self.workers.values()
            for log in worker.history
            if task in {'', log.task}
        ]
        return max(runs, key=_started_at, default=None)

    def send_queue_to(self, service: str) -> None:
        """Publish a version that sends the queue to a service."""
        self.services.append((service, now()))
        route = {**CONFIG['routes'][0], 'service': service}
        document = {
            **CONFIG,
            'version': len(self.services),
            'routes': [route],
        }
        self.store.append('keyed.op', [('config', _pack(document))])

    def close_zone(self, zone: str) -> None:
        """Let the operator request that nothing more starts in a zone."""
        self.closures.close(zone)
        self.store.append('keyed.op', [(f'evacuate/{zone}', b'{}')])

    def open_zone(self, zone: str) -> None:
        """Let the operator take the request back."""
        self.closures.open(zone)
        self.store.append('keyed.op', [(f'evacuate/{zone}', b'')])

    def lapse_entry(self, name: str) -> None:
        """Remove a worker's entry, whether the worker lives or not."""
        self.store.append(WORKERS_TOPIC, [(name, b'')])

    def write_entry(self, name: str) -> None:
        """Let a worker write its entry again, unless the worker is gone."""
        if name in self.worker_proxies:
            self.store.append(WORKERS_TOPIC, [(name, self._last_entry(name))])

    async def replace_worker(self, name: str) -> None:
        """Let a worker vanish, and another one come under a new name."""
        self.restarts.append((name, now()))
        self.workers[name].vanish()
        self.lapse_entry(name)
        await self.worker_proxies.pop(name).stop()
        for node in self.nodes:
            await node.relays.pop(name).stop()
        await self._add_worker(self.workers[name].entry.service)

    async def _serve(self, app: Any) -> str:
        server = HttpServer(app)
        await server.start()
        self.servers.append(server)
        return server.addresses[0]

    async def _add_node(self, index: int) -> None:
        node = NodeProcess(index, self.folder, self.store)
        node.proxy.target = await self._serve(node.store_app)
        await node.proxy.start()
        node.more_settings = self.options.more_settings
        node.programs = self.options.programs
        self.nodes.append(node)

    async def _add_worker(self, service: str) -> None:
        name = f'i-{len(self.workers)}'
        zone = ZONES[len(self.workers) % len(ZONES)]
        worker = WorkerStandin(
            WorkerEntry(name, service, '', zone, True, Resources(), born_ms=1),
            self._script,
        )
        worker.lease.reset(self.options.draw_clock())
        worker.lease.kill_s = self.options.draw_kill_s()
        worker.gangs = self.gangs
        worker.orders.crash_down_s = 0.0
        worker.orders.reach_next_life = self.options.late_orders_reach_next_life
        proxy = LoopbackProxy(await self._serve(WorkerApp(worker)))
        await proxy.start()
        for node in self.nodes:
            await node.add_relay(name, proxy.address)
        self.workers[name] = worker
        self.worker_proxies[name] = proxy
        entry = {
            'service': service,
            'address': proxy.address,
            'zone': zone,
            'state': 'ready',
            'capacity': {'cpu': ROOM * TASK_MILLI, 'memMb': ROOM, 'gpu': 0},
            'labels': ['a', 'r1-1'],
        }
        self.store.append(WORKERS_TOPIC, [(name, _pack(entry))])

    def _last_entry(self, name: str) -> bytes:
        written = reversed(self.store.topic(WORKERS_TOPIC).records)
        return next(blob for key, blob in written if key == name and blob)

    def _script(self, task: str) -> tuple[float, str]:
        if task.partition('.')[0] in self.lasting:
            return self.rng.uniform(WORK_S, LASTING_S), 'failed'
        if task in self.crashing:
            return CRASH_S, 'crash'
        has_failed = self.rng.random() < FAILURES
        outcome = 'failed' if has_failed else 'done'
        return self.rng.uniform(WORK_S / 3, WORK_S * 3), outcome


def _started_at(log: RunLog) -> float:
    return log.started_at


def _pack(document: dict[str, Any]) -> bytes:
    return json.dumps(document).encode()


def _own_address(index: int) -> str:
    """Return a loopback address that no other soak and no client uses.

    A port of the shared address could be taken, by a client's connection or by
    another soak, while its process is down.
    """
    run, node = os.getpid() % BYTE**2, index + 1
    return f'127.{run // BYTE + 1}.{run % BYTE + 1}.{node}'
