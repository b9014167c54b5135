"""The daemon: one node with its clients and servers."""

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
    """Runs one node until ``stop_requested`` is set.

    SIGTERM and SIGINT set it.
    """

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
        """Build the node with its clients and bind the HTTP address."""
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
        dependencies = NodeDependencies(
            ref=ref,
            peers=self.peers,
            log=self.log,
            directory=self.directory,
            workers=TracedBackendClient(self.worker_client),
        )
        self.node = Node(dependencies, node_settings(settings))
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
        """Serve until a stop is requested, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in STOP_SIGNALS:
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        await self.start()
        try:
            await self._wait_for_stop()
        finally:
            await self.stop()
            for signal_number in STOP_SIGNALS:
                loop.remove_signal_handler(signal_number)

    async def start(self) -> None:
        """Start the peer service, the node and the HTTP server."""
        await self.peers.start(self.settings.node.peer)
        self.node.start()
        self.entry.start()
        await self.server.start()
        logging.info(
            'node %s is listening for HTTP requests at %s',
            self.settings.node.name,
            self.server.address,
        )

    async def stop(self) -> None:
        """Shut down gracefully.

        The node reports that it is not ready and waits until the load balancer
        sends no more requests. It then finishes the requests in flight, hands
        over its units and closes its connections.
        """
        self.node.is_leaving = True
        logging.info('node is not ready; waiting for the load balancer')
        await asyncio.sleep(self.settings.service.balancer_s)
        await self.server.stop()
        logging.info('requests in flight are finished; handing over the units')
        await self.node.leave()
        await self.entry.close()
        await self.node.close()
        await self.peers.stop(PEER_GRACE_S)
        for client in (self.log, self.directory, self.worker_client):
            await client.close()
        logging.info('node stopped')

    async def _wait_for_stop(self) -> None:
        """Wait for a stop request, or until the node or the server ends."""
        tasks = [
            task
            for task in (self.node.task, self.server.task)
            if task is not None
        ]
        stop_waiter = asyncio.create_task(self.stop_requested.wait())
        await asyncio.wait(
            (stop_waiter, *tasks), return_when=asyncio.FIRST_COMPLETED
        )
        stop_waiter.cancel()

    def _peer_address(self, node: str) -> str | None:
        member = self.node.membership.member(node)
        return member.address if member else None


def node_settings(settings: Settings) -> NodeSettings:
    """Return the settings of the node from those of the daemon."""
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
