"""A stand-in for a worker: leases, fencing tokens, runs and their ends."""

import asyncio
import json
import time
from collections.abc import Callable

from http_server import HttpServer, Reply, json_reply

HEARTBEAT_S = 1.5
STOP_S = 0.1
TICK_S = 0.02
HOLD_MAX_MS = 6000
MAX_WAIT_MS = 2000


class Run:
    """A run of a task; ``work_s`` is ``None`` for a task that lasts."""

    def __init__(self, task: str, number: int, work_s: float | None) -> None:
        self.task = task
        self.number = number
        self.work_s = work_s
        self.began_at = time.monotonic()
        self.stop_at: float | None = None

    def percent(self) -> int:
        """Return the progress; a task that lasts is at work at once."""
        if self.work_s is None:
            return 100
        done_s = time.monotonic() - self.began_at
        return min(int(100 * done_s / max(self.work_s, 0.001)), 99)


class Worker:
    """One worker; it announces itself in the store and serves orders."""

    def __init__(
        self,
        worker_id: str,
        service: str,
        address: str,
        store: object,
        record: Callable[..., None],
        work_s: Callable[[str], float | None],
        cpu: int = 4000,
    ) -> None:
        self.worker_id = worker_id
        self.service = service
        self.address = address
        self.store = store
        self.record = record
        self.work_s = work_s
        self.capacity = {'cpu': cpu, 'memMb': 16384}
        self.state = 'ready'
        self.seq = 0
        self.is_cut = False
        self.born = int(time.time() * 1000)
        self.clock_from = time.monotonic()
        self.token = 0
        self.lease_until_ms = 0
        self.runs: dict[str, Run] = {}
        self.highest_ended: dict[str, int] = {}
        self.finished: list[list] = []
        self.number = 0
        self.server = HttpServer(address, self._handle)
        self.tasks: list[asyncio.Task] = []

    async def start(self) -> None:
        """Serve and announce."""
        await self.server.start()
        self.tasks = [
            asyncio.create_task(self._announce_regularly()),
            asyncio.create_task(self._tick()),
        ]

    def announce(self) -> None:
        """Write the worker's entry."""
        self.seq += 1
        entry = {
            'service': self.service,
            'address': self.address,
            'zone': 'z1',
            'version': 'v1',
            'slots': 8,
            'state': self.state,
            'coldLeftMs': 0,
            'seq': self.seq,
            'capacity': self.capacity,
            'labels': ['a', 'r1-1'],
            'born': self.born,
        }
        if self.state == 'draining':
            entry['remainingMs'] = 10_000
        self.store.put('keyed.servers', self.worker_id, entry)

    def clock_ms(self) -> int:
        """Return the steady clock."""
        return 1000 + int((time.monotonic() - self.clock_from) * 1000)

    async def _announce_regularly(self) -> None:
        while True:
            self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def _tick(self) -> None:
        while True:
            now = time.monotonic()
            for run in list(self.runs.values()):
                if run.stop_at is not None and now >= run.stop_at:
                    self._end(run, 'stopped')
                elif run.work_s is not None and now >= run.began_at + run.work_s:
                    self._end(run, 'done')
                elif self.clock_ms() > self.lease_until_ms:
                    self._end(run, 'lapsed')
            await asyncio.sleep(TICK_S)

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self.number += 1
        self.finished.append([self.number, run.task, run.number, how, ''])
        known = self.highest_ended.get(run.task, 0)
        self.highest_ended[run.task] = max(known, run.number)
        self.record('ended', worker=self.worker_id, task=run.task,
                    run=run.number, how=how)

    async def _handle(
        self, method: str, path: str, query: dict, headers: dict, body: bytes
    ) -> Reply:
        if self.is_cut:
            await asyncio.sleep(3600)
        if headers.get('expect-instance') not in {None, self.worker_id}:
            return json_reply(421, clockMs=self.clock_ms())
        fields = json.loads(body)
        token = fields.get('fencingToken', 0)
        if token < self.token:
            return self._reply(409, reason='fence')
        self.token = token
        if path == '/api/run-start':
            return self._start(fields)
        if path == '/api/run-stop':
            return self._stop(fields)
        if path == '/api/hold':
            return await self._hold(fields)
        if path == '/api/pace':
            return self._reply(200)
        return self._reply(404)

    def _reply(self, status: int, **fields: object) -> Reply:
        return json_reply(
            status, clockMs=self.clock_ms(), born=self.born, **fields
        )

    def _extend(self, until_ms: int) -> None:
        longest = self.clock_ms() + HOLD_MAX_MS
        self.lease_until_ms = max(self.lease_until_ms, min(until_ms, longest))

    def _start(self, fields: dict) -> Reply:
        task, number = fields['task'], fields['runId']
        if fields['untilMs'] < self.clock_ms():
            return self._reply(409, reason='late')
        self._extend(fields['untilMs'])
        known = self.runs.get(task)
        if known is not None and known.number == number:
            return self._reply(200)
        if number <= self.highest_ended.get(task, 0) or known is not None:
            return self._reply(409, reason='old')
        self.runs[task] = Run(task, number, self.work_s(task))
        self.record('started', worker=self.worker_id, service=self.service,
                    state=self.state, task=task, run=number)
        return self._reply(200)

    def _stop(self, fields: dict) -> Reply:
        task, number = fields['task'], fields['runId']
        known = self.highest_ended.get(task, 0)
        self.highest_ended[task] = max(known, number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and run.stop_at is None:
            run.stop_at = time.monotonic() + STOP_S
        return self._reply(200)

    async def _hold(self, fields: dict) -> Reply:
        self._extend(fields.get('untilMs', 0))
        acked = fields.get('ackSeq', 0)
        self.finished = [row for row in self.finished if row[0] > acked]
        wait_ms = min(fields.get('waitMs', 0), MAX_WAIT_MS)
        until = time.monotonic() + wait_ms / 1000
        while not self.finished and time.monotonic() < until:
            await asyncio.sleep(TICK_S / 2)
            if self.is_cut:
                await asyncio.sleep(3600)
        running = [
            [run.task, run.number, '', run.percent(), 0]
            for run in self.runs.values()
        ]
        return self._reply(
            200, running=running, finished=self.finished[:500]
        )
