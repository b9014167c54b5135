"""The whole assembly in virtual time, with everything that travels counted.

Run as ``python -m bench.capacity.assembly JSON`` it prints one JSON line.
"""

import asyncio
import collections
import json
import logging as std_logging
import resource
import sys
import time
from typing import Any

import msgspec
from absl import logging

from bench.capacity import samples
from berylspread.backend import SyncReply, SyncRequest
from berylspread.kernel import Failure
from berylspread.model import Resources
from berylspread_standins.cluster import Cluster, Place
from berylspread_standins.network import Endpoint, Network
from berylspread_standins.virtual_time import run_virtual
from berylspread_standins.worker import Worker

CAPACITY = Resources(32_000, 131_072, 0, 64)
#: Past it no lease of an earlier owner is left, so inventories have ended.
WARM_UP_S = 25.0
LIMIT_S = 600.0
KIB = 1024


class CountingNetwork:
    """Counts messages and bytes by purpose on their way to the network."""

    def __init__(self, inner: Network) -> None:
        self.inner = inner
        self.messages: collections.Counter[str] = collections.Counter()
        self.sent: collections.Counter[str] = collections.Counter()

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    def arrivals(
        self, source: Endpoint, target: Endpoint, size: int, purpose: str
    ) -> list[float]:
        self.messages[purpose] += 1
        self.sent[purpose] += size
        return self.inner.arrivals(source, target, size, purpose)

    async def carry(
        self, source: Endpoint, target: Endpoint, size: int, purpose: str
    ) -> bool:
        self.messages[purpose] += 1
        self.sent[purpose] += size
        return await self.inner.carry(source, target, size, purpose)


class CountingWorker:
    """Counts a worker's exchanges and their bytes as JSON."""

    counts: collections.Counter[str] = collections.Counter()

    def __init__(self, inner: Worker) -> None:
        self.inner = inner

    def __getattr__(self, name: str) -> Any:
        return getattr(self.inner, name)

    async def sync(self, request: SyncRequest) -> SyncReply | Failure:
        answer = await self.inner.sync(request)
        self.counts['exchanges'] += 1
        self.counts['starts'] += len(request.starts)
        self.counts['renewed'] += len(request.renew)
        self.counts['bytes'] += len(msgspec.json.encode(request))
        if isinstance(answer, SyncReply):
            self.counts['bytes'] += len(msgspec.json.encode(answer))
        return answer


class Assembly:
    """One cluster with its counters."""

    def __init__(
        self, *, nodes: int, racks: int, workers: int, teams: int
    ) -> None:
        zones = ('pekalongan', 'batang', 'sidoarjo')
        places = tuple(
            Place(
                'east-java' if zone == 'sidoarjo' else 'central-java',
                zone,
                nodes // 3,
                racks,
                workers // racks // 3,
            )
            for zone in zones
        )
        self.teams = teams
        self.calls = 0
        self.detached: set[asyncio.Task[Any]] = set()
        self.cluster = Cluster(
            samples.document(teams), places=places, capacity=CAPACITY
        )
        self.network = CountingNetwork(self.cluster.network)
        self.cluster.network = self.network  # type: ignore[assignment]
        self.cluster.peers.network = self.network  # type: ignore[assignment]
        for address, worker in list(self.cluster.workers.items()):
            counting: Any = CountingWorker(worker)
            self.cluster.workers[address] = counting

    async def measure(
        self,
        *,
        services: int,
        starts_per_s: int,
        jobs_per_s: int,
        calls_per_s: int,
        run_s: float,
        span_s: float,
    ) -> dict[str, Any]:
        await self.cluster.start()
        await self.cluster.until_ready()
        if services:
            await self._submit('serve', services, None)
            await self._until_running(services)
        loads = [
            asyncio.create_task(self._tasks(starts_per_s, run_s)),
            asyncio.create_task(self._jobs(jobs_per_s, run_s)),
            asyncio.create_task(self._calls(calls_per_s)),
        ]
        await asyncio.sleep(WARM_UP_S)
        before = self._totals()
        cpu = time.process_time()
        await asyncio.sleep(span_s)
        cpu = time.process_time() - cpu
        after = self._totals()
        for load in loads:
            load.cancel()
        await self.cluster.close()
        return {
            'cpu_per_s': cpu / span_s,
            **{
                name: (after[name] - before.get(name, 0)) / span_s
                for name in after
            },
        }

    def _totals(self) -> dict[str, float]:
        found: dict[str, float] = {
            f'msg:{name}': count
            for name, count in self.network.messages.items()
        }
        found |= {
            f'bytes:{name}': count for name, count in self.network.sent.items()
        }
        found |= {
            f'sync:{name}': count
            for name, count in CountingWorker.counts.items()
        }
        log = self.cluster.log
        found['log:appends'] = log.end
        found['log:bytes'] = log.retained_bytes
        nodes = [sim.running for sim in self.cluster.nodes.values()]
        found['calls'] = self.calls
        found['place:examined'] = sum(
            node.partitions.placer.index.examined for node in nodes
        )
        return found

    async def _submit(self, kind: str, tasks: int, run_s: float | None) -> None:
        queues = min(self.teams, 4)
        for number in range(queues):
            share = tasks // queues + (number < tasks % queues)
            if share:
                await self.cluster.submit(
                    f'{kind}-{number}', tasks=share, run_s=run_s
                )

    async def _until_running(self, tasks: int) -> None:
        async with asyncio.timeout(LIMIT_S):
            while self._running() < tasks:
                await asyncio.sleep(0.5)

    def _running(self) -> int:
        return sum(len(worker.runs) for worker in self.cluster.workers.values())

    async def _tasks(self, per_s: int, run_s: float) -> None:
        """Submit four jobs a second with many tasks each."""
        while per_s:
            self._detach(self._submit('batch', per_s, run_s))
            await asyncio.sleep(1)

    async def _jobs(self, per_s: int, run_s: float) -> None:
        """Submit jobs of one task each, evenly spaced."""
        number = 0
        while per_s:
            number += 1
            queue = f'batch-{number % self.teams}'
            self._detach(self.cluster.submit(queue, tasks=1, run_s=run_s))
            await asyncio.sleep(1 / per_s)

    async def _calls(self, per_s: int) -> None:
        number = 0
        while per_s:
            number += 1
            queue = f'call-{number % self.teams}'
            self._detach(self._call(queue))
            await asyncio.sleep(1 / per_s)

    async def _call(self, queue: str) -> None:
        answer = await self.cluster.call(queue)
        self.calls += not isinstance(answer, Failure)

    def _detach(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.detached.add(task)
        task.add_done_callback(self.detached.discard)


def main() -> None:
    """Run one point; keyword arguments come as JSON."""
    given = json.loads(sys.argv[1])
    logging.set_verbosity(logging.FATAL)
    std_logging.disable(std_logging.CRITICAL)
    layout = {
        name: given.get(name, default)
        for name, default in (
            ('nodes', 9),
            ('racks', 1),
            ('workers', 24),
            ('teams', 8),
        )
    }
    load = {
        name: given.get(name, default)
        for name, default in (
            ('services', 0),
            ('starts_per_s', 0),
            ('jobs_per_s', 0),
            ('calls_per_s', 0),
            ('run_s', 2.0),
            ('span_s', 20.0),
        )
    }

    async def run() -> dict[str, Any]:
        return await Assembly(**layout).measure(**load)

    found = run_virtual(run())
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
    print(json.dumps(found | {'rss': peak}))


if __name__ == '__main__':
    main()
