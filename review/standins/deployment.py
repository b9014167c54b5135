"""Starts the project's program as on a small deployment, and calls it."""

import asyncio
import json
import os
import random
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path

from store import Store
from worker import Worker

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Bounds of the deployment, as on the sheet of suryadi-loom.
BOUNDS = {
    'contactMs': 4000, 'ackMs': 5000, 'drainMs': 2500, 'graceS': 6,
    'configApplyMs': 2500, 'maxStretchMs': 6000, 'revokeMs': 5000,
    'strictRevocation': True, 'holdMaxMs': 6000, 'stopMs': 400,
    'gangMs': 3000, 'cancel_ms': 3000, 'visible_ms': 3000, 'finish_s': 14,
}
LIMITS = {
    'cpuShare': 0.537, 'cores': 2, 'memoryMb': 300, 'maxFds': 4100,
    'linkMbps': 1000.0,
}
HOST = 'host.example'
KEY = 'key-1'
RESTART_S = 0.5
START_LIMIT_S = 20.0


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Node:
    """One entry machine: its settings and its process."""

    def __init__(self, deployment: 'Deployment', number: int) -> None:
        self.deployment = deployment
        self.name = f'frontend-z1-{number}'
        self.ip = deployment.address(number)
        self.ports = deployment.ports
        self.settings = deployment.folder / f'{self.name}.toml'
        self.process: subprocess.Popen | None = None
        #: Returns of the process that nobody asked for.
        self.own_ends: list[int] = []
        self.keeper: asyncio.Task | None = None
        #: When the process was last started.
        self.started_at = 0.0

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for callers."""
        return self.ip, self.ports[0]

    def write_settings(self, seeds: list[str]) -> None:
        """Write the settings file, as the platform does."""
        front, ready, control, peers = self.ports
        lines = [
            f'nodeName = "{self.name}"', 'role = "scheduler"',
            'machineClass = "frontend"', 'serves = ["frontend"]',
            f'ip = "{self.ip}"', 'zone = "z1"', 'region = "r1"',
            f'portRange = [{peers}, {peers + 15}]',
            f'seeds = {json.dumps(seeds)}', 'bootstrap = true',
            'discovery = "platform"', 'heartbeatMs = 1500', 'orders = "call"',
            '[listenAddrs]', f'front = "{self.ip}:{front}"',
            f'readyAddr = "{self.ip}:{ready}"',
            f'control = "{self.ip}:{control}"',
            '[limits]', *(f'{k} = {json.dumps(v)}' for k, v in LIMITS.items()),
            '[bounds]', *(f'{k} = {json.dumps(v)}' for k, v in BOUNDS.items()),
            '[platform]', f'address = "{self.deployment.store_address}"',
            'form = "log"', 'writesPerS = 800', 'readsPerS = 2000',
        ]
        self.settings.write_text('\n'.join(lines) + '\n', encoding='utf-8')

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = shlex.split(deploy['roles']['scheduler']['run'])
        variables = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        variables['PYTHONPATH'] = str(ROOT / 'target/deps')
        variables['BERYLSPREAD_SETTINGS'] = str(self.settings)
        log = (self.deployment.folder / f'{self.name}.log').open('ab')
        self.process = subprocess.Popen(
            words, cwd=ROOT, env=variables, stdin=subprocess.DEVNULL,
            stdout=log, stderr=log,
        )
        log.close()
        self.started_at = self.deployment.now()
        self.deployment.record('process-started', node=self.name)

    async def keep(self) -> None:
        """Restart the process a little after it has ended by itself."""
        while True:
            await asyncio.sleep(0.02)
            code = self.process.poll() if self.process else None
            if code is not None:
                self.own_ends.append(code)
                self.deployment.record('process-ended', node=self.name, code=code)
                await asyncio.sleep(RESTART_S)
                self.start()

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.deployment.record('signal', node=self.name, signal=number)
        os.kill(self.process.pid, number)

    def end(self) -> None:
        """End the process."""
        if self.keeper is not None:
            self.keeper.cancel()
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Return whether the node takes new connections."""
        status, _ = await call((self.ip, self.ports[1]), 'GET', '/api/readyz',
                               timeout_s=0.5)
        return status == 200


class Deployment:
    """A store, workers and nodes on free loopback addresses."""

    def __init__(self, case: Path) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.record_file = (case / 'record.txt').open('w', encoding='utf-8')
        self.began_at = time.monotonic()
        self.events: list[dict] = []
        net, base = _free_network()
        self.net = net
        self.ports = (base, base + 1, base + 2, base + 10)
        self.store_address = f'{net}.200:{base + 3}'
        self.worker_port = base + 4
        self.store = Store(self.store_address)
        self.nodes: list[Node] = []
        self.workers: list[Worker] = []
        self.config_version = 0

    def address(self, number: int) -> str:
        """Return a loopback address of this deployment."""
        return f'{self.net}.{number}'

    def now(self) -> float:
        """Return seconds since the start."""
        return time.monotonic() - self.began_at

    def record(self, event: str, **fields: object) -> None:
        """Write an event to the record."""
        entry = {'at': round(self.now(), 3), 'event': event, **fields}
        self.events.append(entry)
        self.record_file.write(json.dumps(entry) + '\n')
        self.record_file.flush()

    def configure(self, **body: object) -> None:
        """Write a configuration as the operator does."""
        self.config_version += 1
        content = {
            'version': self.config_version,
            'tenants': [{'name': 't1', 'apiKeys': [KEY], 'weight': 10}],
            'limits': {'maxBodyBytes': 262144},
            **body,
        }
        self.store.put('keyed.op', 'config', content)
        self.record('configured', config=content)

    async def add_workers(
        self, service: str, count: int, work_s: Callable[[str], float | None]
    ) -> list[Worker]:
        """Start workers of a service."""
        added = []
        for _ in range(count):
            number = 100 + len(self.workers)
            worker = Worker(
                f'i-{random.getrandbits(40):010x}', service,
                f'{self.address(number)}:{self.worker_port}',
                self.store, self.record, work_s,
            )
            await worker.start()
            self.workers.append(worker)
            added.append(worker)
        return added

    async def start_nodes(self, count: int, *, wait: bool = True) -> None:
        """Start the nodes and wait until all are ready."""
        self.nodes = [Node(self, number + 1) for number in range(count)]
        seeds = [f'{node.ip}:{node.ports[2]}' for node in self.nodes[:3]]
        for node in self.nodes:
            node.write_settings(seeds)
            node.start()
            node.keeper = asyncio.create_task(node.keep())
        limit = time.monotonic() + START_LIMIT_S
        while wait:
            ready = [await node.is_ready() for node in self.nodes]
            if all(ready):
                self.record('all-ready')
                return
            if time.monotonic() > limit:
                raise RuntimeError('the nodes did not become ready')
            await asyncio.sleep(0.1)

    async def request(
        self, node: Node, method: str, path: str, body: object = None,
        *, timeout_s: float = 3.0, key: str = KEY,
    ) -> tuple[int, dict]:
        """Send a caller's request and record its answer."""
        headers = {
            'Host': HOST, 'X-Api-Key': key,
            'Deadline-Ms': str(int(timeout_s * 1000)),
            'Content-Type': 'application/json',
        }
        content = b'' if body is None else json.dumps(body).encode()
        self.record('sent', node=node.name, method=method, path=path,
                    bytes=len(content))
        status, reply = await call(
            node.front, method, path, headers, content, timeout_s=timeout_s
        )
        self.record('answered', node=node.name, method=method, path=path,
                    status=status, body=reply[:300].decode('latin-1'))
        try:
            return status, json.loads(reply or b'{}')
        except ValueError:
            return status, {}

    async def hand_in(self, path: str, body: object, limit_s: float = 15.0) -> bool:
        """Send a job until a node accepts it, as a client does."""
        until = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < until:
            node = self.nodes[turn % len(self.nodes)]
            status, _ = await self.request(node, 'POST', path, body)
            if 200 <= status < 300:
                return True
            turn += 1
            await asyncio.sleep(0.5)
        return False

    async def state_of(self, path: str) -> tuple[int, str]:
        """Ask for a job's state at each node until one knows it."""
        status, body = 0, {}
        for node in self.nodes:
            status, body = await self.request(node, 'GET', path)
            if status in {200, 410}:
                break
        return status, str(body.get('state', ''))

    def running(self, job: str) -> int:
        """Return how many tasks of a job are at work."""
        return sum(
            task.startswith(job) for worker in self.workers
            for task in worker.runs
        )

    def started(self, job: str) -> list[dict]:
        """Return the starts of a job's tasks."""
        return [
            each for each in self.events
            if each['event'] == 'started' and each['task'].startswith(job)
        ]

    def close(self) -> None:
        """End all processes and remove the temporary folder."""
        for node in self.nodes:
            node.end()
        if os.environ.get('KEEP_LOGS'):
            sys.stderr.write(f'logs: {self.folder}\n')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self.record_file.close()


def _free_network() -> tuple[str, int]:
    """Return a loopback network and a base port that nothing listens on."""
    while True:
        net = f'127.{random.randint(64, 250)}.{random.randint(1, 250)}'
        base = random.randint(20, 28) * 1000
        try:
            for host in (1, 100, 200):
                for port in (base, base + 1, base + 3, base + 4, base + 10, 9464):
                    with socket.socket() as probe:
                        probe.bind((f'{net}.{host}', port))
        except OSError:
            continue
        return net, base


async def call(
    address: tuple[str, int], method: str, path: str,
    headers: dict[str, str] | None = None, body: bytes = b'',
    *, timeout_s: float,
) -> tuple[int, bytes]:
    """Send one request on a new connection; 0 if there is no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            lines = [f'{method} {path} HTTP/1.1']
            fields = {'Host': 'node', **(headers or {})}
            fields |= {'Content-Length': str(len(body)), 'Connection': 'close'}
            lines += [f'{name}: {value}' for name, value in fields.items()]
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            head = await reader.readuntil(b'\r\n\r\n')
            length = 0
            for line in head.decode('latin-1').split('\r\n'):
                name, _, value = line.partition(':')
                if name.lower() == 'content-length':
                    length = int(value)
            content = await reader.readexactly(length)
            return int(head.split(b' ')[1]), content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, b''
    finally:
        if writer is not None:
            writer.transport.abort()


def route(name: str, prefix: str, service: str, **more: object) -> dict:
    """Return a route of the configuration."""
    return {
        'name': name, 'host': HOST, 'pathPrefix': prefix, 'service': service,
        'priority': 1, 'maxAttempts': 3, 'deadlineFactor': 3.0,
        'targetLatencyMs': 3000, **more,
    }


def service(name: str) -> dict:
    """Return a service of the configuration."""
    return {'name': name, 'enforcesCapacity': False}


def run_case(
    case: Path, play: Callable[[Deployment], Awaitable[str]]
) -> None:
    """Play a case; exit with 1 if ``play`` returns how the rule was broken."""
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))
    deployment = Deployment(case)
    code = NOT_RUN
    try:
        verdict = asyncio.run(_play(deployment, play))
        code = BROKEN if verdict else HELD
        deployment.record('verdict', broken=verdict, trouble=has_trouble())
        print(verdict or 'the rule held')
    except Exception as error:
        deployment.record('not-run', error=repr(error))
        print(f'the case could not run: {error!r}')
    finally:
        deployment.close()
    sys.exit(code)


async def _play(
    deployment: Deployment, play: Callable[[Deployment], Awaitable[str]]
) -> str:
    await deployment.store.server.start()
    try:
        async with asyncio.timeout(110):
            return await play(deployment)
    finally:
        for server in (deployment.store, *deployment.workers):
            await server.server.stop()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
