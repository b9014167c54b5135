"""A small fleet in virtual time with its HTTP interface in one process."""

import asyncio
import hashlib
from collections.abc import Coroutine
from pathlib import Path
from typing import Any, TypeVar

import httpx

from berylspread.entry.assembly import NodeEntry
from berylspread_daemon.http import build_app
from berylspread_standins.cluster import Cluster, Place
from berylspread_standins.virtual_time import VirtualTimeLoop

ResultT = TypeVar('ResultT')

OPERATOR = 'operator-token'
DIGEST = hashlib.sha256(OPERATOR.encode()).hexdigest()
EXAMPLE = Path(__file__).resolve().parents[2] / 'examples' / 'suryadi.ini'
PLACES = (
    Place('central-java', 'pekalongan', 2, 1, 4),
    Place('east-java', 'sidoarjo', 1, 1, 4),
)
CENTRAL = 'pekalongan-1'
EAST = 'sidoarjo-1'
#: Virtual seconds that one request or wait may take.
LIMIT_S = 300.0


class EntryWorld:
    """Nodes of two regions with the entry service and app of each."""

    def __init__(self, text: str = '') -> None:
        # Closing a runner cancels what the stand-ins left behind.
        self.runner = asyncio.Runner(loop_factory=VirtualTimeLoop)
        self.text = text or EXAMPLE.read_text(encoding='utf-8')
        self.cluster: Cluster
        self.entries: dict[str, NodeEntry] = {}
        self.clients: dict[str, httpx.AsyncClient] = {}
        self.keys: dict[str, dict[str, str]] = {}
        self.run(self._start())

    def run(self, work: Coroutine[Any, Any, ResultT]) -> ResultT:
        """Run a coroutine in the world's virtual time."""
        return self.runner.run(_bounded(work))

    def sleep(self, seconds: float) -> None:
        """Let virtual time pass."""
        self.run(asyncio.sleep(seconds))

    def request(
        self,
        method: str,
        path: str,
        *,
        key: str = '',
        node: str = CENTRAL,
        **options: Any,
    ) -> httpx.Response:
        """Send a request to one node; ``key`` is the bearer token."""
        return self.run(self.send(method, path, key=key, node=node, **options))

    async def send(
        self,
        method: str,
        path: str,
        *,
        key: str = '',
        node: str = CENTRAL,
        **options: Any,
    ) -> httpx.Response:
        """Send a request from within the loop."""
        headers = dict(options.pop('headers', {}))
        if key:
            headers['Authorization'] = f'Bearer {key}'
        return await self.clients[node].request(
            method, path, headers=headers, **options
        )

    def operate(self, method: str, path: str, **options: Any) -> httpx.Response:
        """Send an operator's request."""
        return self.request(method, path, key=OPERATOR, **options)

    def key(self, team: str) -> str:
        """Return a team's key, made at first use."""
        if team not in self.keys:
            answer = self.operate('POST', '/v1/admin/keys', json={'team': team})
            self.keys[team] = answer.json()
            # The other nodes have to read it as well.
            self.sleep(2.0)
        return self.keys[team]['secret']

    def close(self) -> None:
        """End everything."""
        self.run(self._close())
        self.runner.close()

    async def _start(self) -> None:
        self.cluster = Cluster(self.text, places=PLACES)
        await self.cluster.start()
        for name, sim in self.cluster.nodes.items():
            entry = NodeEntry(sim.running, operator_digests=(DIGEST,))
            entry.start()
            self.entries[name] = entry
            transport = httpx.ASGITransport(build_app(entry.service))
            self.clients[name] = httpx.AsyncClient(
                transport=transport, base_url='http://fleet'
            )
        await self.cluster.until_ready()
        await asyncio.sleep(3.0)

    async def _close(self) -> None:
        for name, entry in self.entries.items():
            await self.clients[name].aclose()
            await entry.close()
        await self.cluster.close()


async def _bounded(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    async with asyncio.timeout(LIMIT_S):
        return await work


class SharedWorld:
    """One world for the scenarios of a folder that leave it as it was."""

    def __init__(self) -> None:
        self.world: EntryWorld | None = None

    def get(self) -> EntryWorld:
        """Return the world, built at first use."""
        if self.world is None:
            self.world = EntryWorld()
        return self.world

    def close(self) -> None:
        """End the world, if there is one."""
        if self.world is not None:
            self.world.close()
            self.world = None


SHARED = SharedWorld()
