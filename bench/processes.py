"""Nine separate processes under load on loopback, with kills and outages.

Each entry VM is a ``berylspreadd`` process of its own; the log, the VM list and
the workers are stand-ins of this process.  Callers choose an entry node at
random, as behind a balancer, and go to another if one refuses truthfully.
"""

import asyncio
import hashlib
import json
import logging as std_logging
import os
import pathlib
import random
import secrets
import signal
import socket
import sys
import tempfile
import time
from typing import Any, Final

import httpx
import uvloop
from absl import logging

from bench.registry import benchmark
from berylspread.calls.request_id import new_request_id
from berylspread.config import parse_document
from berylspread.kernel import Failure
from berylspread.model import Vm, VmRole
from berylspread_standins.local_fleet import (
    ENTRY_PLACES,
    SETTINGS,
    STORE_REGION,
)
from berylspread_standins.servers import ServerOptions, StandinServers
from berylspread_standins.serving import LOOPBACK
from berylspread_standins.workload import Workload, dump_workload

DOCUMENT: Final = 'examples/suryadi.ini'
NODES: Final = 9
WORKERS: Final = 24
SEED: Final = 7
READY_LIMIT_S: Final = 60.0
CALLS_PER_S: Final = 20.0
CALL_RUN_S: Final = 0.05
JOB_EVERY_S: Final = 3.0
JOB_TASKS: Final = 8
WATCHERS: Final = 12
CALM_S: Final = 10.0
PAUSE_S: Final = 8.0
OUTAGE_S: Final = 60.0
RECOVERY_LIMIT_S: Final = 60.0
FINISH_LIMIT_S: Final = 90.0
TRIES: Final = 4
DEADLINE_S: Final = 8.0
TAIL: Final = 0.99


class Daemons:
    """The processes of nine entry VMs."""

    def __init__(self, servers: StandinServers, folder: pathlib.Path) -> None:
        """Write the settings files; nothing runs yet."""
        self.servers = servers
        self.folder = folder
        self.token = secrets.token_urlsafe()
        self.http: list[str] = []
        self.processes: list[asyncio.subprocess.Process | None] = []
        for index in range(NODES):
            self._configure(index)

    def _configure(self, index: int) -> None:
        region, zone = ENTRY_PLACES[index % len(ENTRY_PLACES)]
        name = f'entry-{index}'
        http = f'{LOOPBACK}:{_free_port()}'
        peer = f'{LOOPBACK}:{_free_port()}'
        addresses = self.servers.addresses
        text = SETTINGS.format(
            name=name,
            region=region,
            zone=zone,
            host=LOOPBACK,
            peer=peer,
            log=addresses.log,
            store_region=STORE_REGION,
            vms=addresses.vms,
            digest=hashlib.sha256(self.token.encode()).hexdigest(),
        ).replace(f'{LOOPBACK}:0', http)
        (self.folder / f'{name}.ini').write_text(text, encoding='utf-8')
        self.http.append(http)
        self.processes.append(None)
        self.servers.entries.append(Vm(name, VmRole.entry, peer, region, zone))

    async def start(self, index: int) -> None:
        """Start one process."""
        log = (self.folder / f'entry-{index}.log').open('ab')
        self.processes[index] = await asyncio.create_subprocess_exec(
            sys.executable,
            '-m',
            'berylspread_daemon.main',
            '--settings',
            str(self.folder / f'entry-{index}.ini'),
            stdout=log,
            stderr=log,
        )

    def send(self, index: int, number: signal.Signals) -> None:
        """Send a signal to one process."""
        process = self.processes[index]
        if process is not None and process.returncode is None:
            process.send_signal(number)

    async def kill(self, index: int) -> None:
        """Kill one process and wait for its end."""
        self.send(index, signal.SIGKILL)
        process = self.processes[index]
        if process is not None:
            await process.wait()

    async def stop_all(self) -> None:
        """End every process."""
        for index in range(NODES):
            self.send(index, signal.SIGCONT)
            await self.kill(index)

    def resident_mib(self, index: int) -> float:
        """Return the resident memory of a process."""
        process = self.processes[index]
        if process is None:
            return 0.0
        status = pathlib.Path(f'/proc/{process.pid}/status').read_text('utf-8')
        line = next(row for row in status.splitlines() if 'VmRSS' in row)
        return int(line.split()[1]) / 1024

    def processor_s(self, index: int) -> float:
        """Return the processor seconds that a process has used."""
        process = self.processes[index]
        if process is None:
            return 0.0
        fields = pathlib.Path(f'/proc/{process.pid}/stat').read_text('utf-8')
        ticks = fields.rsplit(')', 1)[1].split()
        return (int(ticks[11]) + int(ticks[12])) / os.sysconf('SC_CLK_TCK')


class Callers:
    """Offers calls and jobs, and keeps what came of each."""

    def __init__(self, daemons: Daemons, document: Any) -> None:
        """Start without work."""
        self.daemons = daemons
        self.document = document
        self.client = httpx.AsyncClient(timeout=DEADLINE_S + 5)
        self.rng = random.Random(SEED)
        self.keys: dict[str, str] = {}
        self.waits: list[tuple[float, float]] = []
        self.outcomes: dict[str, int] = {}
        self.jobs: list[str] = []
        self.watchers: list[str] = []
        self.stopping = asyncio.Event()

    async def admin(self, method: str, path: str, body: Any = None) -> Any:
        """Send an operator's request to the first node."""
        reply = await self.client.request(
            method,
            f'http://{self.daemons.http[0]}/v1/admin{path}',
            json=body,
            headers={'Authorization': f'Bearer {self.daemons.token}'},
        )
        reply.raise_for_status()
        return reply.json()

    async def run(self) -> None:
        """Offer work until ``stopping`` is set."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._offer_jobs())
            while not self.stopping.is_set():
                await asyncio.sleep(self.rng.expovariate(CALLS_PER_S))
                group.create_task(self._call())

    async def submit(
        self, queue: str, tasks: int, run_s: float | None
    ) -> str | None:
        """Submit a job; return its id if it was accepted."""
        section = self.document.queues[queue]
        body = {
            'queue': queue,
            'tasks': tasks,
            'payload': dump_workload(Workload(run_s=run_s)),
            'request_id': new_request_id(time.time()),
        }
        reply = await self._post('/v1/jobs', section.team, json=body)
        if reply is None or not reply.is_success:
            self._count('jobs refused')
            return None
        return str(reply.json()['job_id'])

    async def _offer_jobs(self) -> None:
        while not self.stopping.is_set():
            job = await self.submit('inspect', JOB_TASKS, 1.0)
            if job is not None:
                self.jobs.append(job)
            await asyncio.sleep(JOB_EVERY_S)

    async def _call(self) -> None:
        queue = self.rng.choice(('proof', 'proof', 'quote'))
        section = self.document.queues[queue]
        body = dump_workload(
            Workload(run_s=CALL_RUN_S, idempotent=section.idempotent)
        )
        started = time.monotonic()
        reply = await self._post(
            f'/v1/queues/{queue}/call',
            section.team,
            content=body,
            request_id=new_request_id(time.time()),
        )
        waited_s = time.monotonic() - started - CALL_RUN_S
        if reply is not None and reply.is_success:
            self.waits.append((started, waited_s))
            self._count('answered')
        elif reply is None:
            self._count('no answer')
        else:
            problem = reply.json()
            self._count(f'{problem.get("run_state")}: {problem.get("title")}')

    async def _post(
        self, path: str, team: str, request_id: str = '', **request: Any
    ) -> httpx.Response | None:
        """Post to a random node; go to another after a true refusal."""
        headers = {
            'Authorization': f'Bearer {self.keys[team]}',
            'X-Deadline-S': str(DEADLINE_S),
        }
        if request_id:
            headers['X-Request-Id'] = request_id
        reply = None
        for _ in range(TRIES):
            address = self.rng.choice(self.daemons.http)
            try:
                reply = await self.client.post(
                    f'http://{address}{path}', headers=headers, **request
                )
            except httpx.ConnectError:
                continue
            except httpx.HTTPError:
                return None
            if reply.status_code != httpx.codes.SERVICE_UNAVAILABLE:
                return reply
        return reply

    def _count(self, outcome: str) -> None:
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        return int(probe.getsockname()[1])


async def _until(holds: Any, limit_s: float) -> float:
    """Return the seconds until a condition holds, or the limit."""
    began = time.monotonic()
    while time.monotonic() - began < limit_s:
        if await holds():
            break
        await asyncio.sleep(0.2)
    return time.monotonic() - began


async def _ready(callers: Callers, nodes: int) -> bool:
    try:
        status = await callers.admin('GET', '/status')
    except httpx.HTTPError:
        return False
    listed = await callers.admin('GET', '/nodes')
    held = sum(len(node['units']) for node in listed if node['answered'])
    is_held = bool(status['units']) and held >= status['units']
    return is_held and status['nodes_ready'] >= nodes


async def _set_up(callers: Callers, text: str) -> float:
    """Start the nodes, the document and the keys; return start-up seconds."""
    daemons = callers.daemons
    began = time.monotonic()
    for index in range(NODES):
        await daemons.start(index)

    async def answers() -> bool:
        try:
            return (
                await callers.client.get(f'http://{daemons.http[0]}/healthz')
            ).is_success
        except httpx.HTTPError:
            return False

    await _until(answers, READY_LIMIT_S)
    await callers.admin(
        'POST',
        '/config/production/apply',
        {'text': text, 'base': 0, 'author': 'bench'},
    )
    await _until(lambda: _ready(callers, NODES), READY_LIMIT_S)
    took_s = time.monotonic() - began
    for team in callers.document.teams:
        made = await callers.admin('POST', '/keys', {'team': team})
        callers.keys[team] = made['secret']
    return took_s


async def _faults(
    callers: Callers, servers: StandinServers
) -> dict[str, float]:
    """Bring the faults about, one after the other; return recoveries."""
    daemons = callers.daemons
    found: dict[str, float] = {}
    await asyncio.sleep(CALM_S)
    await daemons.kill(4)
    found['kill -9: all units owned'] = await _until(
        lambda: _ready(callers, NODES - 1), RECOVERY_LIMIT_S
    )
    await daemons.start(4)
    found['restart: all nodes ready'] = await _until(
        lambda: _ready(callers, NODES), RECOVERY_LIMIT_S
    )
    daemons.send(5, signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    daemons.send(5, signal.SIGCONT)
    found['pause of 8 s: all nodes ready'] = await _until(
        lambda: _ready(callers, NODES), RECOVERY_LIMIT_S
    )
    servers.service.is_down = True
    before = callers.outcomes.get('answered', 0)
    await asyncio.sleep(OUTAGE_S)
    answered = callers.outcomes.get('answered', 0) - before
    found['store down 60 s: calls answered per s'] = answered / OUTAGE_S
    servers.service.is_down = False
    job_count = len(callers.jobs)

    async def accepts() -> bool:
        return len(callers.jobs) > job_count

    found['store back: next job accepted'] = await _until(
        accepts, RECOVERY_LIMIT_S
    )
    await asyncio.sleep(CALM_S)
    return found


async def _lost(callers: Callers) -> list[str]:
    """Return the accepted jobs that have not succeeded in time."""
    open_jobs = set(callers.jobs)

    async def ended() -> bool:
        for job in sorted(open_jobs):
            reply = await callers.client.get(
                f'http://{callers.daemons.http[0]}/v1/jobs/{job}',
                headers={'Authorization': f'Bearer {callers.daemons.token}'},
            )
            if reply.is_success and reply.json()['state'] == 'succeeded':
                open_jobs.discard(job)
        return not open_jobs

    await _until(ended, FINISH_LIMIT_S)
    return sorted(open_jobs)


async def measure(text: str) -> dict[str, Any]:
    """Run the processes under load and faults; return the figures."""
    document = parse_document(DOCUMENT, text)
    if isinstance(document, Failure):
        sys.exit(document.reason)
    servers = StandinServers(ServerOptions(workers=WORKERS))
    with tempfile.TemporaryDirectory() as folder:
        daemons = Daemons(servers, pathlib.Path(folder))
        callers = Callers(daemons, document)
        await servers.start()
        try:
            return await _measure(callers, servers, text)
        finally:
            await daemons.stop_all()
            await callers.client.aclose()
            await servers.stop()


async def _measure(
    callers: Callers, servers: StandinServers, text: str
) -> dict[str, Any]:
    daemons = callers.daemons
    found: dict[str, Any] = {'start-up s': await _set_up(callers, text)}
    idle = [daemons.processor_s(index) for index in range(NODES)]
    await asyncio.sleep(CALM_S)
    used = [
        (daemons.processor_s(index) - idle[index]) / CALM_S
        for index in range(NODES)
    ]
    found['idle processor share of a core, worst node'] = max(used)
    found['resident MiB, worst node'] = max(
        daemons.resident_mib(index) for index in range(NODES)
    )
    for _ in range(WATCHERS):
        watcher = await callers.submit('loom-watcher', 1, None)
        if watcher is not None:
            callers.watchers.append(watcher)
    load = asyncio.create_task(callers.run())
    found.update(await _faults(callers, servers))
    callers.stopping.set()
    await load
    found['lost jobs'] = len(await _lost(callers))
    running = servers.observer.running
    found['unstaffed watchers'] = sum(
        len(running.get(f'{job}/0', [])) != 1 for job in callers.watchers
    )
    found['doubled'] = len(servers.observer.violations)
    found['calls'] = callers.outcomes
    waits = sorted(waited for _started, waited in callers.waits)
    found['waiting p50 s'] = waits[len(waits) // 2]
    found['waiting p99 s'] = waits[int(TAIL * len(waits))]
    return found


@benchmark('processes')
def run() -> bool:
    """Print the figures; true if nothing was lost, doubled or unstaffed."""
    std_logging.getLogger('httpx').setLevel(std_logging.WARNING)
    logging.set_verbosity(logging.ERROR)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        found = runner.run(
            measure(pathlib.Path(DOCUMENT).read_text(encoding='utf-8'))
        )
    for name, value in found.items():
        shown = (
            f'{value:.3f}' if isinstance(value, float) else json.dumps(value)
        )
        print(f'   {name:<44}{shown}')
    return not (
        found['lost jobs'] or found['doubled'] or found['unstaffed watchers']
    )
