"""A whole node, assembled from its external dependencies.

The same assembly runs with gRPC and HTTP in the daemon and with fakes in tests.
"""

import asyncio
import contextlib
import random
from typing import final

import msgspec
from absl import logging

from berylspread.backend import BackendClient
from berylspread.calls.router import CallRouter
from berylspread.jobs.shards import home_units
from berylspread.kernel import WallClock
from berylspread.log import (
    Appender,
    AppenderSettings,
    ClusterState,
    LogReader,
    LogStore,
    PublisherSettings,
    ReaderSettings,
    ReaderStatus,
    RelayService,
    RelaySource,
    SnapshotPublisher,
    StoreSource,
    publishing_rank,
)
from berylspread.membership import (
    HeartbeatMembership,
    MembershipSettings,
    NodeStatus,
    VmDirectory,
)
from berylspread.model import NodeRef, is_partition
from berylspread.ownership import (
    PROMISE_EXTENSION,
    LogOwnership,
    LogView,
    OwnershipSettings,
    Tenure,
)
from berylspread.peers import Peers
from berylspread.runtime.context import NodeContext
from berylspread.runtime.homes import Homes
from berylspread.runtime.partitions import Partitions


@final
class NodeSettings(msgspec.Struct, frozen=True):
    """The location of a node, and the settings of its components.

    ``store_region`` is the region of the platform's log.
    """

    address: str
    region: str
    zone: str
    store_region: str
    appender: AppenderSettings = AppenderSettings()
    reader: ReaderSettings = ReaderSettings()
    publisher: PublisherSettings = PublisherSettings()
    membership: MembershipSettings = MembershipSettings()
    ownership: OwnershipSettings = OwnershipSettings()


@final
class NodeDependencies:
    """The external dependencies of a node, which the caller creates."""

    __slots__ = ('directory', 'log', 'peers', 'ref', 'rng', 'wall', 'workers')

    def __init__(
        self,
        *,
        ref: NodeRef,
        peers: Peers,
        log: LogStore,
        directory: VmDirectory,
        workers: BackendClient,
        wall: WallClock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.ref = ref
        self.peers = peers
        self.log = log
        self.directory = directory
        self.workers = workers
        self.wall = wall or WallClock()
        self.rng = rng or random.Random()


@final
class Node:
    """The node of one entry VM, from the log reader to the call router."""

    __slots__ = (
        'appender',
        'call_router',
        'context',
        'dependencies',
        'homes',
        'is_leaving',
        'membership',
        'ownership',
        'partitions',
        'publisher',
        'reader',
        'relay',
        'settings',
        'source',
        'state',
        'task',
    )

    def __init__(
        self, dependencies: NodeDependencies, settings: NodeSettings
    ) -> None:
        """Assemble the node without starting it."""
        self.dependencies = dependencies
        self.settings = settings
        self.is_leaving = False
        self.task: asyncio.Task[None] | None = None
        self.state = ClusterState()
        self.membership = HeartbeatMembership(
            dependencies.ref,
            dependencies.peers,
            dependencies.directory,
            self.status,
            settings.membership,
            dependencies.rng,
        )
        self._assemble_log()
        self._assemble_ownership()
        self.context = NodeContext(
            ref=dependencies.ref,
            region=settings.region,
            zone=settings.zone,
            state=self.state,
            appender=self.appender,
            peers=dependencies.peers,
            membership=self.membership,
            ownership=self.ownership,
            wall=dependencies.wall,
            rng=dependencies.rng,
        )
        self.homes = Homes(self.context)
        self.partitions = Partitions(self.context, dependencies.workers)
        self.call_router = CallRouter(self.context, dependencies.workers)

    def start(self) -> None:
        """Start the node's tasks, which run until ``close``."""
        self.task = asyncio.create_task(
            self._run(), name=f'node {self.dependencies.ref.node}'
        )

    async def leave(self, drain_s: float = 0.0) -> None:
        """Stop gracefully: report not ready, then release every unit.

        The units are released after ``drain_s`` seconds.
        """
        self.is_leaving = True
        await asyncio.sleep(drain_s)
        await self.ownership.release_all()

    async def close(self) -> None:
        """Stop at once, without notice to other nodes."""
        self.homes.close()
        self.partitions.close()
        if self.task is not None:
            self.task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self.task

    @property
    def is_ready(self) -> bool:
        """Whether the node accepts new work from callers.

        A call needs a partition that has reported its capacity.
        """
        return self.may_own_units and bool(self.context.capacities.reports)

    @property
    def may_own_units(self) -> bool:
        """Whether the node has the state of the log and may own units."""
        if self.is_leaving or self.task is None or self.task.done():
            return False
        has_state = self.reader.started.is_set()
        has_no_gap = self.reader.status is not ReaderStatus.gap
        return (
            has_state
            and has_no_gap
            and self.context.document_follower.version > 0
        )

    def status(self) -> NodeStatus:
        """Return the status that heartbeats carry to other nodes."""
        return NodeStatus(
            address=self.settings.address,
            region=self.settings.region,
            zone=self.settings.zone,
            log_offset=self.state.offset,
            config_version=self.context.document_follower.version,
            ready=self.may_own_units,
            leaving=self.is_leaving,
        )

    def units(self, region: str) -> list[str]:
        """Return every unit of a region that needs an owner."""
        return [
            *self.membership.units(region),
            *home_units(self.context, region),
        ]

    def all_units(self) -> list[str]:
        """Return every unit of every region."""
        return [
            unit for region in self.regions() for unit in self.units(region)
        ]

    def regions(self) -> list[str]:
        """Return the document's regions, else those of the nodes."""
        listed = self.context.document.regions
        if listed:
            return sorted(listed)
        return sorted({member.region for member in self.membership.members()})

    async def _run(self) -> None:
        self.partitions.start()
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.reader.run())
                group.create_task(self.appender.run())
                group.create_task(self.membership.run())
                await self.reader.started.wait()
                group.create_task(self.ownership.run())
                group.create_task(self.publisher.run())
        except Exception:  # logged here, since no caller awaits the task
            logging.exception('node %s has failed', self.dependencies.ref.node)
            self.homes.close()
            self.partitions.close()
            raise

    def _assemble_log(self) -> None:
        dependencies = self.dependencies
        settings = self.settings
        store = StoreSource(dependencies.log)
        is_remote = settings.region != settings.store_region
        self.source = RelaySource(
            store,
            dependencies.peers,
            self.membership,
            dependencies.ref.node,
            settings.region if is_remote else '',
        )
        self.reader = LogReader(
            self.source, self.state, settings.reader, dependencies.rng
        )
        self.relay = RelayService(
            self.reader, dependencies.peers, self.source.reads_from_store
        )
        self.appender = Appender(
            dependencies.log,
            f'{dependencies.ref.node}.{dependencies.ref.incarnation}',
            settings.appender,
            dependencies.rng,
        )
        self.appender.subscribe_to(self.state)
        self.publisher = SnapshotPublisher(
            self.reader,
            self.appender,
            lambda: publishing_rank(
                self.membership, dependencies.ref.node, settings.store_region
            ),
            dependencies.wall,
            settings.publisher,
        )

    def _assemble_ownership(self) -> None:
        dependencies = self.dependencies
        self.ownership = LogOwnership(
            dependencies.ref,
            self.settings.region,
            dependencies.peers,
            self.membership,
            LogView(self.state, lambda: self.reader.fresh_at),
            self.appender,
            self.units,
            self.regions,
            self.settings.ownership,
            dependencies.rng,
        )
        self.membership.add_extension(
            PROMISE_EXTENSION, self.ownership.promise_exchange
        )
        self.ownership.on_acquire(self._acquire)
        self.ownership.on_lose(self._lose)

    def _acquire(self, tenure: Tenure) -> None:
        if is_partition(tenure.unit):
            self.partitions.acquire(tenure)
        else:
            self.homes.acquire(tenure)

    def _lose(self, tenure: Tenure) -> None:
        if is_partition(tenure.unit):
            self.partitions.lose(tenure)
        else:
            self.homes.lose(tenure)
