"""Daemons and stand-ins of one process over real loopback sockets."""

import asyncio
import hashlib
import secrets
import socket
import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, Final, final

import httpx
import msgspec

from berylspread.kernel import Failure
from berylspread.model import Vm, VmRole, is_partition
from berylspread_daemon.daemon import Daemon
from berylspread_daemon.settings import parse_settings
from berylspread_standins.servers import ServerOptions, StandinServers
from berylspread_standins.serving import LOOPBACK

STORE_REGION: Final = 'central-java'
#: Region and availability zone of each entry VM in turn.
ENTRY_PLACES: Final = (
    ('central-java', 'pekalongan'),
    ('central-java', 'batang'),
    ('east-java', 'sidoarjo'),
)
CLIENT_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.1
SETTINGS: Final = """
[node]
name = {name}
region = {region}
zone = {zone}
http = {host}:0
peer = {peer}

[log]
address = http://{log}
region = {store_region}

[vms]
address = http://{vms}

[service]
balancer_s = 0.1

[telemetry]
traces = off

[operators]
tokens = {digest}
"""
READY_LIMIT_S: Final = 30.0
MS_PER_S: Final = 1000

Condition = Callable[[int], Awaitable[bool]]


@final
class LocalFleet:
    """Entry daemons, log, VM list and workers on 127.0.0.1."""

    __slots__ = ('client', 'daemons', 'keys', 'places', 'servers', 'token')

    def __init__(
        self,
        *,
        workers: int,
        places: Sequence[tuple[str, str]] = ENTRY_PLACES,
    ) -> None:
        """Bind the stand-ins' ports; ``start`` starts everything."""
        self.servers = StandinServers(ServerOptions(workers=workers))
        self.places = places
        self.token = secrets.token_urlsafe()
        self.daemons: list[Daemon] = []
        self.keys: dict[str, str] = {}
        self.client = httpx.AsyncClient(timeout=CLIENT_TIMEOUT_S)

    async def start(self, text: str) -> None:
        """Start everything and put a document in force."""
        await self.servers.start()
        for index, (region, zone) in enumerate(self.places):
            self._add_daemon(f'entry-{index}', region, zone)
        for daemon in self.daemons:
            await daemon.start()
        await self._until(self._answers)
        await self._apply(text)
        await self._until(self._serves)

    async def stop(self) -> None:
        """Stop every daemon gracefully, then the stand-ins."""
        await asyncio.gather(*(daemon.stop() for daemon in self.daemons))
        await self.client.aclose()
        await self.servers.stop()

    async def make_keys(self, teams: Sequence[str]) -> None:
        """Create a key for each team."""
        for team in teams:
            reply = await self.admin('POST', '/keys', {'team': team})
            self.keys[team] = reply['secret']

    def url(self, index: int) -> str:
        """Return the base URL of one entry node."""
        return f'http://{self.daemons[index].server.address}'

    async def admin(
        self, method: str, path: str, body: object = None
    ) -> dict[str, Any]:
        """Send one operator's request; raise on a refusal."""
        reply = await self.client.request(
            method,
            f'{self.url(0)}/v1/admin{path}',
            json=body,
            headers={'Authorization': f'Bearer {self.token}'},
        )
        reply.raise_for_status()
        return msgspec.json.decode(reply.content, type=dict[str, Any])

    def _add_daemon(self, name: str, region: str, zone: str) -> None:
        peer = f'{LOOPBACK}:{_free_port()}'
        settings = parse_settings(
            name, self._settings(name, region, zone, peer)
        )
        if isinstance(settings, Failure):
            raise TypeError(settings.reason)
        incarnation = int(time.time() * MS_PER_S)
        self.daemons.append(Daemon(settings, incarnation))
        self.servers.entries.append(Vm(name, VmRole.entry, peer, region, zone))

    def _settings(self, name: str, region: str, zone: str, peer: str) -> str:
        addresses = self.servers.addresses
        digest = hashlib.sha256(self.token.encode()).hexdigest()
        return SETTINGS.format(
            name=name,
            region=region,
            zone=zone,
            host=LOOPBACK,
            peer=peer,
            log=addresses.log,
            store_region=STORE_REGION,
            vms=addresses.vms,
            digest=digest,
        )

    async def _apply(self, text: str) -> None:
        await self.admin(
            'POST',
            '/config/production/apply',
            {'text': text, 'base': 0, 'author': 'demo', 'note': 'first'},
        )

    async def _answers(self, index: int) -> bool:
        reply = await self.client.get(f'{self.url(index)}/healthz')
        return reply.is_success

    async def _serves(self, index: int) -> bool:
        node = self.daemons[index].node
        capacities = node.context.capacities
        units = node.all_units()
        owned = sum(len(one.node.ownership.owned()) for one in self.daemons)
        partitions = [unit for unit in units if is_partition(unit)]
        return (
            node.is_ready
            and owned == len(units)
            and len(capacities.reports) == len(partitions)
            and all(
                known.report.total.slots
                for known in capacities.reports.values()
            )
        )

    async def _until(self, condition: Condition) -> None:
        async with asyncio.timeout(READY_LIMIT_S):
            for index, _daemon in enumerate(self.daemons):
                while not await condition(index):
                    await asyncio.sleep(POLL_S)


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((LOOPBACK, 0))
        port: int = probe.getsockname()[1]
        return port
