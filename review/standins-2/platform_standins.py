"""Stand-ins for the platform of PROTOCOL.md: store, workers and clients.

Everything runs in one event loop on loopback addresses and the real clock.  The
programs under test are separate processes, started with the command of
deploy/system.toml.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
import time
from pathlib import Path

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parents[2]
FRONT, READY, PEER, METRICS = 8183, 8184, 7420, 9464
KEY, HOST, PREFIX = 'key-of-acme', 'desk.example', '/jobs/'
HEARTBEAT_S = 1.5
GRACE_S = 6.0
HOLD_MAX_MS = 6000
STOP_S = 0.2
START_SPAN_S = 0.25
TROUBLE = os.environ.get('TROUBLE', '1') != '0'


class Record:
    """What was sent, answered and run; written to record.txt at the end."""

    def __init__(self, folder):
        self.path = Path(folder) / 'record.txt'
        self.began = time.monotonic()
        self.lines = []

    def write(self, *words):
        at = time.monotonic() - self.began
        self.lines.append(f'{at:8.3f} ' + ' '.join(map(str, words)))

    def close(self):
        self.path.write_text('\n'.join(self.lines) + '\n')


class Topic:
    def __init__(self):
        self.records = []
        self.producers = {}
        self.grown = asyncio.Event()


class Store:
    """The log of PROTOCOL.md with keyed topics of one partition."""

    def __init__(self):
        self.topics = {}
        self.answer_s = 0.004

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, name, key, document):
        blob = b'' if document is None else json.dumps(document).encode()
        self._extend(self.topic(name), [(key, blob)])

    def newest(self, name):
        newest = {}
        for offset, (key, blob) in enumerate(self.topic(name).records):
            newest[key] = (blob, offset)
        return {key: row for key, row in newest.items() if row[0]}

    def app(self):
        app = web.Application(client_max_size=4 << 20)
        app.add_routes([
            web.post('/api/log-append', self.append),
            web.get('/api/log-read', self.read),
            web.get('/api/log-newest', self.list_newest),
        ])
        return app

    def _extend(self, topic, records):
        offset = len(topic.records)
        topic.records.extend(records)
        topic.grown.set()
        topic.grown = asyncio.Event()
        return offset

    async def append(self, request):
        query = request.query
        body = await request.read()
        await asyncio.sleep(self.answer_s)
        topic = self.topic(query['topic'])
        if query['topic'] in {'keyed.op', 'keyed.servers'}:
            return web.json_response({}, status=403)
        end = len(topic.records)
        if 'at' in query and int(query['at']) != end:
            return web.json_response({'end': end}, status=412)
        epoch = seq = producer = None
        if 'producer' in query:
            epoch, seq = int(query['epoch']), int(query['seq'])
            producer = topic.producers.setdefault(
                query['producer'], {'epoch': -1, 'seq': None, 'answers': {}}
            )
            if epoch < producer['epoch']:
                return web.json_response({'reason': 'fenced'}, status=409)
            if epoch == producer['epoch']:
                if seq in producer['answers']:
                    return web.json_response(producer['answers'][seq])
                known = producer['seq']
                if known is not None and seq != known + 1:
                    return web.json_response(
                        {'reason': 'seq', 'seq': known + 1}, status=409
                    )
        records, at = [], 0
        while at < len(body):
            size = struct.unpack_from('>I', body, at)[0]
            content = body[at + 4 : at + 4 + size]
            at += 4 + size
            split = 1 + content[0]
            records.append((content[1:split].decode(), content[split:]))
        offset = self._extend(topic, records) if records else end
        answer = {'offset': offset, 'end': len(topic.records)}
        if producer is not None:
            if epoch > producer['epoch']:
                producer.update(epoch=epoch, seq=None, answers={})
            if records:
                producer['seq'] = seq
                producer['answers'][seq] = answer
                while len(producer['answers']) > 5:
                    del producer['answers'][min(producer['answers'])]
        return web.json_response(answer)

    async def read(self, request):
        query = request.query
        topic, start = self.topic(query['topic']), int(query['from'])
        await asyncio.sleep(self.answer_s)
        if start >= len(topic.records):
            try:
                async with asyncio.timeout(int(query.get('waitMs', 0)) / 1000):
                    await topic.grown.wait()
            except TimeoutError:
                pass
        limit = int(query.get('maxFetchKb', 1024)) * 1024
        parts = [struct.pack('>QQ', len(topic.records), 0)]
        size = 0
        for key, blob in topic.records[start:]:
            name = key.encode()
            content = bytes((len(name),)) + name + blob
            size += len(content) + 4
            if size > limit and len(parts) > 1:
                break
            parts.append(struct.pack('>I', len(content)) + content)
        return web.Response(body=b''.join(parts))

    async def list_newest(self, request):
        query = request.query
        await asyncio.sleep(self.answer_s)
        rows = sorted(self.newest(query['topic']).items())
        rows = [row for row in rows if row[0] > query.get('dependsOn', '')]
        items, size = [], 0
        for key, (blob, offset) in rows:
            size += len(blob)
            if items and (len(items) >= 500 or size > 1 << 20):
                break
            items.append({
                'key': key,
                'value': base64.b64encode(blob).decode(),
                'offset': offset,
            })
        return web.json_response({
            'items': items,
            'hasMore': len(items) < len(rows),
            'end': len(self.topic(query['topic']).records),
        })


class Run:
    def __init__(self, task, run, payload):
        self.task, self.run, self.payload = task, run, payload
        self.at = time.monotonic()
        self.ended_at = None
        self.how = ''


class Worker:
    """One worker; a new life forgets all, its clock begins anew."""

    def __init__(self, fleet, name, capacity, labels=('a', 'r1-1')):
        self.fleet, self.name = fleet, name
        self.capacity, self.labels = dict(capacity), list(labels)
        self.state = 'ready'
        self.seq = 0
        self.all_runs = []
        self.is_up = False
        self.is_cut = False
        self.runner = None
        self.address = ''
        self.born = 0
        self.is_registering = True

    # One life.

    async def begin(self):
        self.born = int(time.time() * 1000)
        self.clock_from = time.monotonic()
        self.token = 0
        self.number = 0
        self.lease_ms = 0
        self.running, self.finished, self.barred = {}, [], {}
        self.changed = asyncio.Event()
        app = web.Application()
        app.add_routes([
            web.post('/api/run-start', self.start),
            web.post('/api/run-stop', self.stop),
            web.post('/api/hold', self.hold),
            web.post('/api/pace', self.pace),
        ])
        self.runner = web.AppRunner(app, shutdown_timeout=0.1)
        await self.runner.setup()
        host, _, port = self.address.rpartition(':')
        site = web.TCPSite(
            self.runner, host or '127.0.0.1', int(port or 0), reuse_address=True
        )
        await site.start()
        if not self.address:
            port = site._server.sockets[0].getsockname()[1]
            self.address = f'127.0.0.1:{port}'
        self.is_up = True
        self.seq = 0
        self.register()
        self.beating = asyncio.create_task(self._beat())

    async def crash(self):
        """End this life at once: connections are reset."""
        self.is_up = False
        self.beating.cancel()
        for run in self.running.values():
            run.ended_at, run.how = time.monotonic(), 'crashed'
        self.running = {}
        for site in list(self.runner.sites):
            await site.stop()
        for connection in list(self.runner.server.connections):
            transport = connection.transport
            if transport is not None:
                transport.abort()
        asyncio.create_task(self.runner.cleanup())

    def register(self):
        self.seq += 1
        self.fleet.store.put('keyed.servers', self.name, {
            'service': self.fleet.service,
            'address': self.address,
            'zone': 'z0',
            'version': '1',
            'slots': 8,
            'state': self.state,
            'coldLeftMs': 0,
            'seq': self.seq,
            'born': self.born,
            'capacity': self.capacity,
            'labels': self.labels,
        })

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.is_cut:
                self.register()

    def clock_ms(self):
        return int((time.monotonic() - self.clock_from) * 1000)

    def demand_in_use(self, field='cpu'):
        return sum(
            self.fleet.demand(run.task).get(field, 0)
            for run in self.running.values()
        )

    async def _read(self, request):
        """Return the body, unless the call is for another life, or is lost."""
        if self.is_cut:
            await asyncio.sleep(60)
        body = await request.json()
        if request.headers.get('Expect-Instance', self.name) != self.name:
            return None
        return body

    def _answer(self, status=200, **fields):
        return web.json_response(
            {'clockMs': self.clock_ms(), 'born': self.born, **fields},
            status=status,
        )

    def _extend_lease(self, until_ms):
        longest = self.clock_ms() + HOLD_MAX_MS
        self.lease_ms = max(self.lease_ms, min(until_ms, longest))

    async def start(self, request):
        order = await self._read(request)
        if order is None:
            return self._answer(421)
        return await self.fleet.take_start(self, order)

    def carry_out_start(self, order):
        if order['fencingToken'] < self.token:
            return self._answer(409, reason='fence')
        self.token = order['fencingToken']
        if order['untilMs'] <= self.clock_ms():
            return self._answer(409, reason='late')
        task, number = order['task'], order['runId']
        known = self.running.get(task)
        if known is not None and known.run == number:
            return self._answer()
        self._extend_lease(order['untilMs'])
        if known is not None or number <= self.barred.get(task, 0):
            return self._answer(409, reason='old')
        run = Run(task, number, order['spec'])
        self.running[task] = run
        self.all_runs.append(run)
        self.fleet.on_start(self, run, order)
        asyncio.create_task(self._work(run))
        return self._answer()

    async def stop(self, request):
        order = await self._read(request)
        if order is None:
            return self._answer(421)
        return await self.fleet.take_stop(self, order)

    def carry_out_stop(self, order):
        if order['fencingToken'] < self.token:
            return self._answer(409, reason='fence')
        self.token = order['fencingToken']
        task, number = order['task'], order['runId']
        self.barred[task] = max(self.barred.get(task, 0), number)
        run = self.running.get(task)
        if run is not None and run.run <= number:
            asyncio.get_running_loop().call_later(
                self.fleet.stop_s, self._end, run, 'stopped'
            )
        return self._answer()

    async def pace(self, request):
        return self._answer()

    async def hold(self, request):
        order = await self._read(request)
        if order is None:
            return self._answer(421)
        if order['fencingToken'] < self.token:
            return self._answer(409, reason='fence')
        self.token = order['fencingToken']
        self._extend_lease(order.get('untilMs', 0))
        acked = order.get('ackSeq', 0)
        self.finished = [row for row in self.finished if row[0] > acked]
        if not self.finished:
            try:
                async with asyncio.timeout(order.get('waitMs', 0) / 1000):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if self.is_cut:
            await asyncio.sleep(60)
        return self._answer(
            running=[
                [run.task, run.run, '', self._percent(run), 0]
                for run in self.running.values()
            ],
            finished=self.finished[:500],
        )

    def _percent(self, run):
        work_s = self.fleet.work_s(run.task)
        return min(int(100 * (time.monotonic() - run.at) / work_s), 100)

    async def _work(self, run):
        work_s = self.fleet.work_s(run.task)
        while self.running.get(run.task) is run:
            left_s = (self.lease_ms - self.clock_ms()) / 1000
            if left_s <= 0:
                self._end(run, 'lapsed')
            elif time.monotonic() - run.at >= work_s:
                self._end(run, 'done')
            else:
                rest_s = work_s - (time.monotonic() - run.at)
                await asyncio.sleep(min(max(rest_s, 0), max(left_s, 0), 0.1) + 0.001)

    def end_run(self, run, how):
        """End a run by its own fault."""
        self._end(run, how)

    def _end(self, run, how):
        if self.running.get(run.task) is not run:
            return
        del self.running[run.task]
        run.ended_at, run.how = time.monotonic(), how
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
        self.number += 1
        self.finished.append([self.number, run.task, run.run, how, ''])
        self.changed.set()
        self.changed = asyncio.Event()
        self.fleet.on_end(self, run)


class Node:
    """One process of the role in deploy/system.toml."""

    def __init__(self, fleet, index, ip):
        self.fleet, self.name, self.ip = fleet, f'frontend-z0-{index + 1}', ip
        self.process = None
        self.exits = 0

    @property
    def front(self):
        return f'{self.ip}:{FRONT}'

    async def start(self):
        path = self.fleet.folder / f'{self.name}.toml'
        path.write_text(self.fleet.settings(self))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['PYTHONDONTWRITEBYTECODE'] = '1'
        environment['BERYLSPREAD_SETTINGS'] = str(path)
        with (self.fleet.folder / f'{self.name}.log').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                'python3', '-m', 'berylspread_platform',
                cwd=ROOT, env=environment, stdout=log, stderr=log,
            )

    def send(self, number):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self, number=signal.SIGKILL):
        self.send(number)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()

    async def is_ready(self):
        try:
            async with self.fleet.session.get(
                f'http://{self.ip}:{READY}/api/readyz',
                timeout=aiohttp.ClientTimeout(total=1),
            ) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False


class Fleet:
    """A small deployment: the store, workers, nodes and a client."""

    service = 'desk'
    stop_s = STOP_S

    def __init__(self, folder, nodes=3, memory_mb=300, first_nodes=None):
        self.first_nodes = first_nodes or nodes
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory(prefix='review-')
        self.folder = Path(self.temporary.name)
        self.store = Store()
        self.workers = {}
        self.demands = {}
        self.durations = {}
        self.memory_mb = memory_mb
        block = _free_block(nodes)
        self.nodes = [
            Node(self, index, f'{block}.{index + 1}') for index in range(nodes)
        ]
        self.version = 0
        self.tenants = [{'name': 'acme', 'apiKeys': [KEY], 'weight': 20}]
        self.routes = [{
            'name': 'r-desk', 'host': HOST, 'pathPrefix': PREFIX,
            'service': self.service, 'priority': 0, 'maxAttempts': 3,
            'deadlineFactor': 2.0, 'targetLatencyMs': 500,
        }]

    # Hooks of a case.

    def demand(self, task):
        job, _, step, _ = task.split('.')
        return self.demands.get((job, int(step)), {})

    def work_s(self, task):
        job, _, step, _ = task.split('.')
        return self.durations.get((job, int(step)), 0.5)

    def on_start(self, worker, run, order):
        self.record.write(worker.name, 'starts', run.task, 'run', run.run,
                          'token', order['fencingToken'])

    def on_end(self, worker, run):
        self.record.write(worker.name, 'ends', run.task, 'run', run.run, run.how)

    async def take_start(self, worker, order):
        return worker.carry_out_start(order)

    async def take_stop(self, worker, order):
        return worker.carry_out_stop(order)

    # The deployment.

    def settings(self, node):
        seeds = ','.join(f'"{each.ip}:8180"' for each in self.nodes[:3])
        return f'''
nodeName = "{node.name}"
role = "scheduler"
machineClass = "frontend"
serves = ["frontend"]
ip = "{node.ip}"
zone = "z0"
region = "r0"
portRange = [{PEER},{PEER + 15}]
seeds = [{seeds}]
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "call"
advice = ""
[zones]
z0 = "r0"
[listenAddrs]
front = "{node.front}"
readyAddr = "{node.ip}:{READY}"
control = "{node.ip}:8180"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = {self.memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
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
address = "{self.store_address}"
form = "log"
writesPerS = 800
readsPerS = 2000
recordBytes = 262144
callBytes = 2097152
'''

    def publish(self):
        self.version += 1
        self.store.put('keyed.op', 'config', {
            'version': self.version,
            'routes': self.routes,
            'services': [{'name': self.service, 'enforcesCapacity': False}],
            'tenants': self.tenants,
            'limits': {
                'maxBodyBytes': 262144, 'maxHeaderBytes': 16384,
                'headerTimeoutMs': 3000, 'idleTimeoutMs': 15000,
            },
        })
        self.record.write('operator publishes version', self.version)

    async def add_nodes(self, pause_s):
        """Add the machines that did not start at first, one by one."""
        for node in self.nodes[self.first_nodes :]:
            await node.start()
            await asyncio.sleep(pause_s)

    async def add_worker(self, name, capacity, labels=('a', 'r1-1')):
        worker = Worker(self, name, capacity, labels)
        self.workers[name] = worker
        await worker.begin()
        return worker

    async def __aenter__(self):
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        self.store_runner = web.AppRunner(self.store.app(), shutdown_timeout=0.1)
        await self.store_runner.setup()
        site = web.TCPSite(self.store_runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.store_address = f'127.0.0.1:{port}'
        self.publish()
        for node in self.nodes[: self.first_nodes]:
            await node.start()
            # All machines start within 0.3 s of each other.
            await asyncio.sleep(START_SPAN_S / self.first_nodes)
        return self

    async def __aexit__(self, *_):
        for node in self.nodes:
            node.send(signal.SIGCONT)
            if node.process is not None and node.process.returncode is None:
                await node.end()
        for worker in self.workers.values():
            if worker.is_up:
                await worker.crash()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for path in self.folder.glob('*.log'):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        await self.session.close()
        await self.store_runner.cleanup()
        self.temporary.cleanup()
        self.record.close()

    async def wait_ready(self, limit_s=25):
        """Wait until all nodes are ready; return whether they are."""
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            if all([await node.is_ready() for node in self.nodes]):
                return True
            await asyncio.sleep(0.2)
        return False

    def leader(self):
        """Return the node that the leader's record in the store names."""
        import msgspec
        row = self.store.newest('keyed.leader').get('leader')
        if row is None:
            return None
        name = msgspec.msgpack.decode(row[0])[1]
        return next((n for n in self.nodes if n.name == name), None)

    # The client.

    def new_job(self, steps, seconds=0.5, spec='text'):
        job = random.randbytes(8).hex()
        for number, step in enumerate(steps):
            self.demands[job, number] = step
            self.durations[job, number] = (
                seconds[number] if isinstance(seconds, (list, tuple)) else seconds
            )
        return job, {'spec': spec, 'steps': steps}

    async def call(self, method, job, body=None, node=None, key=KEY,
                   deadline_ms=3000, timeout_s=None, prefix=PREFIX):
        """Return the status and document of one call; 0 for no answer."""
        node = node or random.choice(self.nodes)
        headers = {'Host': HOST, 'X-Api-Key': key,
                   'Deadline-Ms': str(deadline_ms)}
        began = time.monotonic()
        try:
            async with self.session.request(
                method, f'http://{node.front}{prefix}{job}', json=body,
                headers=headers,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s or deadline_ms / 1000
                ),
            ) as response:
                status, text = response.status, await response.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            status, text = 0, repr(error)
        took_ms = round((time.monotonic() - began) * 1000)
        self.record.write('client', method, job, 'at', node.name, '->', status,
                          text[:120], f'{took_ms} ms')
        try:
            return status, json.loads(text)
        except ValueError:
            return status, {}

    async def hand_in(self, job, body, limit_s=20, **more):
        """Submit until a 2xx, as a client that is told nothing else does."""
        ends_at = time.monotonic() + limit_s
        answers = []
        while time.monotonic() < ends_at:
            status, _ = await self.call('POST', job, body, **more)
            answers.append(status)
            if status == 200 or 400 <= status < 429:
                break
            await asyncio.sleep(0.3)
        return answers

    async def wait_state(self, job, states, limit_s):
        ends_at = time.monotonic() + limit_s
        while time.monotonic() < ends_at:
            status, body = await self.call('GET', job)
            if status == 200 and body.get('state') in states:
                return body['state']
            await asyncio.sleep(0.3)
        return ''

    def runs(self, job):
        return [
            (worker, run)
            for worker in self.workers.values()
            for run in worker.all_runs
            if run.task.startswith(job)
        ]


def _free_block(nodes):
    """Return the first three bytes of loopback addresses with free ports."""
    for _ in range(50):
        block = f'127.{random.randint(20, 250)}.{random.randint(1, 250)}'
        try:
            for index in range(nodes):
                for port in (FRONT, READY, PEER, METRICS):
                    with socket.socket() as probe:
                        probe.bind((f'{block}.{index + 1}', port))
        except OSError:
            continue
        return block
    raise SystemExit(2)


def main(case, folder):
    """Run a case; exit with 1 if it returns a broken rule, 0 if none."""
    async def limited():
        async with asyncio.timeout(115):
            return await case()
    try:
        verdict = asyncio.run(limited())
    except Exception as error:  # the case itself failed
        print('could not run:', repr(error))
        raise SystemExit(2) from error
    print(verdict or 'the rule held')
    raise SystemExit(1 if verdict else 0)
