"""Stand-ins for the store, the workers and the clients, and the real nodes.

One process holds the stand-ins.  The nodes are processes of their own, started
with the command of the deploy file.  Everything listens on loopback addresses.
Only the standard library is used.
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = '127.0.0.1'
STORE_LATENCY_S = 0.004
BEAT_S = 1.5
HOLD_MAX_MS = 6000
STOP_S = 0.2
KEYED_PAGE, KEYED_PAGE_BYTES = 500, 1_000_000
#: The nodes listen on ports of this range.
PORTS = (20_000, 32_000)
#: A trial ends by then.
LIMIT_S = 110


class Record:
    """What was sent, answered and run, as lines in ``record.txt``."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.file = (folder / 'record.txt').open('w', encoding='utf-8')

    def write(self, kind, **fields):
        """Write one line."""
        at = time.monotonic() - self.began
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self.file.write(f'{at:8.3f} {kind} {text}\n')
        self.file.flush()

    def say(self, text):
        """Write a line, also to standard output."""
        self.write('note', text=text)
        print(text, flush=True)


async def read_request(reader):
    """Return method, target, headers and body, ``None`` at the end."""
    try:
        head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode('latin-1').split('\r\n')
    method, target, _ = lines[0].split(' ', 2)
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    size = int(headers.get('content-length', '0'))
    body = await reader.readexactly(size) if size else b''
    return method, target, headers, body


async def serve(handler, port=0):
    """Serve HTTP/1.1 with keep-alive; the handler returns status and body."""

    async def connected(reader, writer):
        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, ValueError
        ):
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                answer = await handler(*request)
                if answer is None:
                    break
                status, body = answer
                if not isinstance(body, bytes):
                    body = json.dumps(body).encode()
                writer.write(
                    f'HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n'
                    'Content-Type: application/json\r\n\r\n'.encode() + body
                )
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(connected, HOST, port)
    return server, server.sockets[0].getsockname()[1]


class Topic:
    """A keyed topic with one partition."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.changed = asyncio.Event()

    def add(self, key, value):
        """Append a record; an empty value drops its key."""
        raw = bytes([len(key.encode())]) + key.encode() + value
        self.records.append(raw)
        if value:
            self.newest[key] = (value, len(self.records) - 1)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's store; each node reaches it at a port of its own."""

    def __init__(self):
        self.topics = collections.defaultdict(Topic)
        self.producers = {}
        #: By node: ``ok`` or ``busy`` (503, nothing was done).
        self.modes = {}
        self.servers = []

    async def open(self, node):
        """Return the address at which one node reaches the store."""
        self.modes[node] = 'ok'

        async def handler(method, target, headers, body):
            if self.modes[node] == 'busy':
                return 503, {}
            return await self.handle(method, target, body)

        server, port = await serve(handler)
        self.servers.append(server)
        return f'{HOST}:{port}'

    async def handle(self, method, target, body):
        """Answer one call."""
        await asyncio.sleep(STORE_LATENCY_S)
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        topic = self.topics[query.get('topic', '')]
        if parts.path == '/api/log-append':
            return self.append(topic, query, body)
        if parts.path == '/api/log-read':
            return await self.read(topic, query)
        if parts.path == '/api/log-newest':
            return self.read_newest(topic, query)
        return 404, {}

    def append(self, topic, query, body):
        """Append all records or none."""
        name = (query['topic'], query.get('producer'))
        epoch, seq = int(query.get('epoch', 0)), int(query.get('seq', 0))
        known = self.producers.get(name)
        if query.get('producer') and known:
            if epoch < known['epoch']:
                return 409, {'reason': 'fenced'}
            if epoch == known['epoch']:
                if seq in known['recent']:
                    return 200, known['recent'][seq]
                if seq != known['seq'] + 1:
                    return 409, {'reason': 'seq', 'seq': known['seq'] + 1}
        if 'at' in query and int(query['at']) != len(topic.records):
            return 412, {'end': len(topic.records)}
        offset, at = len(topic.records), 0
        while at < len(body):
            size = struct.unpack_from('>I', body, at)[0]
            content = body[at + 4 : at + 4 + size]
            at += 4 + size
            length = content[0]
            topic.add(content[1 : 1 + length].decode(), content[1 + length :])
        answer = {'offset': offset, 'end': len(topic.records)}
        if query.get('producer'):
            if not known or known['epoch'] != epoch:
                known = {'epoch': epoch, 'recent': collections.OrderedDict()}
                self.producers[name] = known
            known['seq'] = seq
            known['recent'][seq] = answer
            while len(known['recent']) > 5:
                known['recent'].popitem(last=False)
        return 200, answer

    async def read(self, topic, query):
        """Answer with the records from an offset on, or wait for them."""
        start = int(query['from'])
        ends_at = time.monotonic() + int(query.get('waitMs', 0)) / 1000
        while start >= len(topic.records):
            left = ends_at - time.monotonic()
            if left <= 0:
                break
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.changed.wait(), left)
        body = struct.pack('>QQ', len(topic.records), 0)
        for raw in topic.records[start:]:
            body += struct.pack('>I', len(raw)) + raw
            if len(body) > 1_048_576:
                break
        return 200, body

    def read_newest(self, topic, query):
        """Answer with a page of the newest records."""
        after = query.get('dependsOn', '')
        keys = sorted(key for key in topic.newest if key > after)
        items, size = [], 0
        for key in keys[:KEYED_PAGE]:
            value, offset = topic.newest[key]
            text = base64.b64encode(value).decode()
            size += len(text)
            if items and size > KEYED_PAGE_BYTES:
                break
            items.append({'key': key, 'value': text, 'offset': offset})
        return 200, {
            'items': items,
            'hasMore': len(keys) > len(items),
            'end': len(topic.records),
        }


class Run:
    """A run on a worker."""

    def __init__(self, task, number, spec):
        self.task, self.number, self.spec = task, number, spec
        self.began = time.monotonic()
        self.timer = None


class Worker:
    """One worker; ``start`` begins a life, ``crash`` ends it."""

    def __init__(self, world, name, cpu, labels=('a', 'r1-1'), service='svc'):
        self.world, self.name, self.cpu = world, name, cpu
        self.labels, self.service = list(labels), service
        self.server, self.port = None, 0
        self.is_up = False

    async def start(self):
        """Begin a life, at the same address if there was one before."""
        self.born = int(time.time() * 1000)
        self.clock_at = time.monotonic()
        self.fence, self.lease_ms = 0, 0
        self.runs, self.ended, self.highest = {}, [], {}
        self.count, self.sequence = 0, 0
        self.event = asyncio.Event()
        self.is_up = True
        if self.server is None:
            self.server, self.port = await serve(self.handle, self.port)
        self.tasks = [
            asyncio.create_task(self.beat()),
            asyncio.create_task(self.watch()),
        ]
        self.world.record.write(
            'worker-up', worker=self.name, labels=self.labels
        )

    def crash(self):
        """End this life; everything that runs ends with it."""
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for run in list(self.runs.values()):
            self.end(run, 'lost')
        self.world.record.write('worker-down', worker=self.name)

    def clock_ms(self):
        """Return the steady clock of this life."""
        return int((time.monotonic() - self.clock_at) * 1000) + 1000

    async def beat(self):
        """Write the entry into the store, every ``BEAT_S``."""
        while True:
            self.sequence += 1
            entry = {
                'service': self.service,
                'address': f'{HOST}:{self.port}',
                'zone': 'z1',
                'version': 'v1',
                'slots': 8,
                'state': 'ready',
                'coldLeftMs': 0,
                'capacity': {'cpu': self.cpu, 'memMb': 131072, 'gpu': 0},
                'labels': self.labels,
                'clockMs': self.clock_ms(),
                'seq': self.sequence,
                'born': self.born,
            }
            self.world.store.topics['keyed.servers'].add(
                self.name, json.dumps(entry).encode()
            )
            await asyncio.sleep(BEAT_S)

    async def watch(self):
        """End everything when the lease is over."""
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() > self.lease_ms:
                for run in list(self.runs.values()):
                    self.end(run, 'lapsed')

    def end(self, run, how):
        """End a run and list it."""
        if self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer:
            run.timer.cancel()
        self.highest[run.task] = max(
            self.highest.get(run.task, 0), run.number
        )
        if how != 'lost':
            self.count += 1
            self.ended.append([self.count, run.task, run.number, how, ''])
        self.world.on_end(self, run, how)
        self.event.set()
        self.event = asyncio.Event()

    async def handle(self, method, target, headers, body):
        """Answer one call."""
        if not self.is_up:
            return None
        if headers.get('expect-instance', self.name) != self.name:
            return 421, self.reply()
        data = json.loads(body)
        token = data.get('fencingToken', 0)
        if token < self.fence:
            return 409, self.reply(reason='fence')
        self.fence = token
        if target == '/api/run-start':
            return self.run_start(data)
        if target == '/api/run-stop':
            return self.run_stop(data)
        if target == '/api/hold':
            return await self.hold(data)
        return 200, self.reply()

    def reply(self, **fields):
        """Return what every answer holds."""
        return {'clockMs': self.clock_ms(), 'born': self.born, **fields}

    def extend(self, until_ms):
        """Extend the lease; it never shortens."""
        limit = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(until_ms, limit))

    def run_start(self, data):
        """Start a run."""
        task, number = data['task'], data['runId']
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return 200, self.reply()
        if data['untilMs'] < self.clock_ms():
            return 409, self.reply(reason='late')
        self.extend(data['untilMs'])
        if number <= self.highest.get(task, 0) or known is not None:
            return 409, self.reply(reason='old')
        run = Run(task, number, data['spec'])
        self.runs[task] = run
        seconds = self.world.duration_s(run)
        if seconds is not None:
            run.timer = asyncio.get_running_loop().call_later(
                seconds, self.end, run, 'done'
            )
        self.world.on_start(self, run)
        return 200, self.reply()

    def run_stop(self, data):
        """Stop a run; it takes a while."""
        task, number = data['task'], data['runId']
        self.highest[task] = max(self.highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number <= number:
            asyncio.get_running_loop().call_later(
                STOP_S, self.end, run, 'stopped'
            )
        return 200, self.reply()

    async def hold(self, data):
        """Extend the lease and list the runs."""
        if data.get('untilMs'):
            self.extend(data['untilMs'])
        acked = data.get('ackSeq', 0)
        self.ended = [row for row in self.ended if row[0] > acked]
        if not self.ended and data.get('waitMs'):
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self.event.wait(), data['waitMs'] / 1000
                )
        if not self.is_up:
            return None
        running = [
            [run.task, run.number, '', self.world.percent(run), 0]
            for run in self.runs.values()
        ]
        return 200, self.reply(running=running, finished=self.ended[:500])


class Node:
    """A process of the system."""

    def __init__(self, world, number):
        self.world, self.number = world, number
        self.name = f'frontend-{number}'
        self.process = None
        self.peak_mb = 0

    async def prepare(self, store_address):
        """Choose the ports and write the settings file."""
        self.front, self.ready, self.metrics, self.peer = free_ports(4)
        settings = f"""
nodeName = "{self.name}"
role = "scheduler"
machineClass = "frontend"
serves = ["frontend"]
ip = "{HOST}"
zone = "z1"
region = "r1"
portRange = [{self.peer}, {self.peer}]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "call"
advice = ""
[listenAddrs]
front = "{HOST}:{self.front}"
readyAddr = "{HOST}:{self.ready}"
metrics = "{HOST}:{self.metrics}"
[limits]
cpuShare = 1.0
cores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 4000
ackMs = 5000
drainMs = 2500
graceS = 6
configApplyMs = 2500
strictRevocation = true
revokeMs = 5000
holdMaxMs = {HOLD_MAX_MS}
stopMs = 400
gangMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
[platform]
address = "{store_address}"
form = "log"
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partMb = 200
"""
        self.settings = self.world.folder / f'{self.name}.toml'
        self.settings.write_text(settings, encoding='utf-8')

    async def start(self):
        """Start the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        words = deploy['roles']['scheduler']['run'].split()
        self.log = (self.world.folder / f'{self.name}.log').open('ab')
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BERYLSPREAD_SETTINGS'] = str(self.settings)
        self.process = await asyncio.create_subprocess_exec(
            *words,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
        )

    def send_signal(self, number):
        """Send a signal to this process only."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    def lines(self):
        """Return the decisions that the process has logged."""
        path = self.world.folder / f'{self.name}.log'
        found = []
        for line in path.read_text(errors='replace').splitlines():
            with contextlib.suppress(ValueError):
                found.append(json.loads(line))
        return found

    def memory_mb(self):
        """Return the resident memory of the process."""
        with contextlib.suppress(OSError):
            status = pathlib.Path(f'/proc/{self.process.pid}/status')
            for line in status.read_text().splitlines():
                if line.startswith('VmRSS:'):
                    size = int(line.split()[1]) / 1024
                    self.peak_mb = max(self.peak_mb, size)
                    return size
        return 0


def free_ports(count):
    """Return free ports that no outgoing connection is given meanwhile."""
    ports = []
    while len(ports) < count:
        port = random.randrange(*PORTS)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            if port not in ports:
                ports.append(port)
    return ports


async def call(port, method, path, *, host, key='', body=None, limit_s=3.0):
    """Send a client's request; return status and body, 0 without an answer."""
    data = b'' if body is None else json.dumps(body).encode()
    head = (
        f'{method} {path} HTTP/1.1\r\nHost: {host}\r\n'
        f'Content-Length: {len(data)}\r\nConnection: close\r\n'
        f'Deadline-Ms: {int(limit_s * 1000)}\r\n'
    )
    if body is not None:
        head += 'Content-Type: application/json\r\n'
    if key:
        head += f'X-Api-Key: {key}\r\n'
    writer = None
    try:
        async with asyncio.timeout(limit_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(head.encode() + b'\r\n' + data)
            answer = await reader.read()
        first, _, rest = answer.partition(b'\r\n\r\n')
        return int(first.split()[1]), rest.decode(errors='replace')
    except (OSError, TimeoutError, IndexError, ValueError):
        return 0, ''
    finally:
        if writer is not None:
            writer.close()


class World:
    """All parts of one trial."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        self.store = Store()
        self.workers, self.nodes = [], []
        #: By task: the runs that are up, and all starts and ends.
        self.running = collections.defaultdict(list)
        self.starts, self.ends = [], []
        self.version = 0

    def duration_s(self, run):
        """Return how long a run takes; the spec holds milliseconds."""
        word = run.spec.split()[0] if run.spec else ''
        if word == 'lasts':
            return None
        return int(word) / 1000 if word.isdigit() else 0.3

    def percent(self, run):
        """Return the progress of a run."""
        seconds = self.duration_s(run)
        if seconds is None:
            return 100
        return min(int((time.monotonic() - run.began) / seconds * 100), 99)

    def on_start(self, worker, run):
        """Note a start."""
        at = time.monotonic()
        self.starts.append((at, run.task, run.number, worker))
        self.running[run.task].append(run)
        self.record.write(
            'run', task=run.task, run=run.number, worker=worker.name
        )

    def on_end(self, worker, run, how):
        """Note an end."""
        self.running[run.task].remove(run)
        self.ends.append((time.monotonic(), run.task, run.number, how))
        self.record.write(
            'end', task=run.task, run=run.number, worker=worker.name, how=how
        )

    def configure(self, routes, tenants):
        """Write a configuration, whose answer acknowledges it."""
        self.version += 3
        document = {
            'version': self.version,
            'routes': routes,
            'services': [{'name': 'svc', 'enforcesCapacity': False}],
            'tenants': tenants,
            'limits': {'maxBodyBytes': 262144},
        }
        self.store.topics['keyed.op'].add(
            'config', json.dumps(document).encode()
        )
        self.record.write('config', version=self.version)

    async def start(self, nodes, workers):
        """Start workers, then nodes, and wait until all are ready."""
        self.workers = workers
        for worker in workers:
            await worker.start()
        for number in range(1, nodes + 1):
            node = Node(self, number)
            await node.prepare(await self.store.open(node.name))
            await node.start()
            self.nodes.append(node)
        for node in self.nodes:
            await self.wait_ready(node)

    async def wait_ready(self, node, limit_s=25.0):
        """Wait until a node is ready."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            status, _ = await call(
                node.ready, 'GET', '/api/readyz', host='probe', limit_s=1.0
            )
            if status == 200:
                return
            await asyncio.sleep(0.1)
        raise RuntimeError(f'{node.name} is not ready')

    async def send(self, node, method, path, **named):
        """Send a client's request to a node and record it."""
        began = time.monotonic()
        status, body = await call(node.front, method, path, **named)
        self.record.write(
            'client',
            node=node.name,
            method=method,
            path=path,
            status=status,
            took_s=round(time.monotonic() - began, 3),
            body=body[:80].replace('\n', ' '),
        )
        return status, body

    def leader(self):
        """Return the node that has logged last that it coordinates."""
        found = []
        for node in self.nodes:
            for line in node.lines():
                if line.get('event') == 'coordinating':
                    found.append((line['epoch'], node))
        return max(found, key=lambda pair: pair[0])[1]

    def terms(self):
        """Return how many terms of coordinators have begun."""
        return sum(
            line.get('event') == 'coordinating'
            for node in self.nodes
            for line in node.lines()
        )

    async def close(self):
        """End all processes that this trial started."""
        for node in self.nodes:
            with contextlib.suppress(ProcessLookupError):
                node.send_signal(signal.SIGCONT)
                node.send_signal(signal.SIGKILL)
        for node in self.nodes:
            if node.process is not None:
                await node.process.wait()
        for worker in self.workers:
            for task in getattr(worker, 'tasks', ()):
                task.cancel()
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, *, public=False, priority=1, **more):
    """Return a route of the configuration."""
    return {
        'name': name,
        'host': 'jobs.example',
        'pathPrefix': prefix,
        'kind': 'non_idempotent',
        'timeoutMs': 3000,
        'targetLatencyMs': 500,
        'priority': priority,
        'service': 'svc',
        'maxAttempts': 3,
        'deadlineFactor': 2.0,
        'public': public,
        **more,
    }


def tenant(name, *keys, cpu=0):
    """Return a tenant of the configuration."""
    return {
        'name': name,
        'apiKeys': list(keys),
        'weight': 10.0,
        'cap': {'cpu': cpu, 'memMb': 0, 'gpu': 0},
    }


def main(folder, trial):
    """Run a trial; exit with 1 if it finds a broken rule, 2 if it can't run."""

    async def run():
        world = World(folder)
        code = 2
        try:
            async with asyncio.timeout(LIMIT_S):
                has_trouble = os.environ.get('TROUBLE', '1') != '0'
                code = 1 if await trial(world, has_trouble) else 0
        except Exception as error:  # noqa: BLE001
            world.record.say(f'could not run: {error!r}')
        finally:
            keep = os.environ.get('KEEP_LOGS')
            if keep:
                shutil.copytree(world.folder, keep, dirs_exist_ok=True)
            await world.close()
        sys.stdout.flush()
        # The connections that are still open need no farewell.
        os._exit(code)

    asyncio.run(run())
