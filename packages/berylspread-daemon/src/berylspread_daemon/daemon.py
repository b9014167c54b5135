"""One daemon: the node with its clients and servers, from start to stop."""

import asyncio
import signal
from typing import Final, final

from absl import logging

from berylspread.backend.http_client import HttpBackendClient
from berylspread.backend.traced import TracedBackendClient
from berylspread.entry.assembly import NodeEntry
from berylspread.log import AppenderSettings, PublisherSettings
from berylspread.log.http_client import HttpLog
from berylspread.membership.http_directory import HttpDirectory
from berylspread.model import NodeRef
from berylspread.peers import GrpcPeers
from berylspread.runtime.node import Node, NodeDependencies, NodeSettings
from berylspread_daemon.http import build_app
from berylspread_daemon.metrics import register_metrics
from berylspread_daemon.server import EntryServer
from berylspread_daemon.settings import Settings

STOP_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT)
PEER_GRACE_S: Final = 1.0


@final
class Daemon:
    """Runs one node until ``stopping`` is set or a signal comes."""

    __slots__ = (
        'directory',
        'entry',
        'log',
        'node',
        'peers',
        'server',
        'settings',
        'stop_requested',
        'worker_client',
    )

    def __init__(self, settings: Settings, incarnation: int) -> None:
        """Assemble everything and bind the HTTP address."""
        self.settings = settings
        self.stop_requested = asyncio.Event()
        section = settings.node
        ref = NodeRef(section.name, incarnation)
        self.peers = GrpcPeers(ref, self._peer_address)
        self.log = HttpLog(
            settings.log.address, timeout_s=settings.log.timeout_s
        )
        self.directory = HttpDirectory(
            settings.vms.address, timeout_s=settings.vms.timeout_s
        )
        self.worker_client = HttpBackendClient()
        parts = NodeDependencies(
            ref=ref,
            peers=self.peers,
            log=self.log,
            directory=self.directory,
            workers=TracedBackendClient(self.worker_client),
        )
        self.node = Node(parts, node_settings(settings))
        self.entry = NodeEntry(
            self.node, operator_digests=settings.operators.tokens
        )
        register_metrics(self.node, self.peers, self.entry.service)
        app = build_app(
            self.entry.service,
            body_timeout_s=settings.service.body_timeout_s,
            max_in_flight=settings.service.max_in_flight,
            is_leaving=lambda: self.node.is_leaving,
        )
        self.server = EntryServer(
            app, section.http, finish_s=settings.service.finish_s
        )

    async def run(self) -> None:
        """Serve until stopped, then leave gracefully."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.stop_requested.set)
        await self.start()
        try:
            await self._wait_for_stop()
        finally:
            await self.stop()
            for number in STOP_SIGNALS:
                loop.remove_signal_handler(number)

    async def start(self) -> None:
        """Open the peer service, the node and the HTTP service."""
        await self.peers.start(self.settings.node.peer)
        self.node.start()
        self.entry.start()
        await self.server.start()
        logging.info(
            'node %s serves callers at %s',
            self.settings.node.name,
            self.server.address,
        )

    async def stop(self) -> None:
        """Not ready, requests finished, units handed over, closed."""
        self.node.is_leaving = True
        logging.info('not ready; waiting for the balancer')
        await asyncio.sleep(self.settings.service.balancer_s)
        await self.server.stop()
        logging.info('requests are finished; handing over the units')
        await self.node.leave()
        await self.entry.close()
        await self.node.close()
        await self.peers.stop(PEER_GRACE_S)
        for client in (self.log, self.directory, self.worker_client):
            await client.close()
        logging.info('stopped')

    async def _wait_for_stop(self) -> None:
        """Return at a signal, or once the node or the server has ended."""
        tasks = [
            task
            for task in (self.node.task, self.server.task)
            if task is not None
        ]
        stopping = asyncio.create_task(self.stop_requested.wait())
        await asyncio.wait(
            (stopping, *tasks), return_when=asyncio.FIRST_COMPLETED
        )
        stopping.cancel()

    def _peer_address(self, node: str) -> str | None:
        member = self.node.membership.member(node)
        return member.address if member else None


def node_settings(settings: Settings) -> NodeSettings:
    """Return what the node needs of the settings."""
    return NodeSettings(
        address=settings.node.peer,
        region=settings.node.region,
        zone=settings.node.zone,
        store_region=settings.log.region,
        appender=AppenderSettings(
            min_interval_s=settings.log.append_interval_s
        ),
        publisher=PublisherSettings(retention_s=settings.log.retention_s),
    )
