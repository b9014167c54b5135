"""A node that follows the leader's record and coordinates when elected."""

import asyncio
import contextlib
import functools
import math
import random
from typing import Any, Final, final

from berylspread.coordinator.clients import Clients
from berylspread.coordinator.config_feed import ConfigFeed
from berylspread.coordinator.coordinator import Coordinator
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.dependencies import (
    CoordinatorDependencies,
    Topics,
)
from berylspread.coordinator.fitness import (
    DEFAULT_CAPACITY,
    LEADER_REPLY_VALID_S,
    Capacity,
)
from berylspread.coordinator.gateway import Gateway
from berylspread.coordinator.interface import (
    Permissions,
)
from berylspread.coordinator.leader_record import LeaderRecord
from berylspread.coordinator.leadership import Leadership
from berylspread.coordinator.loop_delays import watch_loop
from berylspread.coordinator.messages import (
    AskBacklog,
    AskJobStatus,
    AskPermissions,
    CancelJob,
    LeaderKnown,
    NodeUp,
    PermissionsReply,
    SubmitJob,
)
from berylspread.coordinator.service import JobService
from berylspread.coordinator.store_access import HandoverPolicy, ObservedStore
from berylspread.coordinator.succession import Succession
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, NotOwner
from berylspread.model import NodeRef
from berylspread.peers import Message, Peers

#: Interval at which a node announces itself to the coordinator.
ANNOUNCE_INTERVAL_S: Final = 0.5
#: The same interval while no coordinator is known, as in a new process.
NO_LEADER_INTERVAL_S: Final = 0.05
#: A node that has had no reply from the leader, or from the store about it, for
#: this long announces itself to random nodes instead.  The leader renews its
#: record several times in this time.
LEADER_NEWS_TIMEOUT_S: Final = 1.5
#: A node that has had no reply from the store or another node for this long
#: refuses requests at once.  Even if the leader is silent, the store replies
#: once a second, and a slow store a little later.
ISOLATION_TIMEOUT_S: Final = 1.5


@final
class CoordinatingNode:
    """Takes part in electing the coordinator and coordinates if elected."""

    __slots__ = (
        'address',
        'addresses',
        'addresses_version',
        'clients',
        'config_feed',
        'gateway',
        'known_versions',
        'last_peer_reply_at',
        'leadership',
        'log',
        'peers',
        'ref',
        'request_failed',
        'service',
        'succession',
        'topics',
    )

    def __init__(
        self,
        ref: NodeRef,
        address: str,
        clients: Clients,
        topics: Topics,
        log: DecisionLog,
        *,
        capacity: Capacity = DEFAULT_CAPACITY,
    ) -> None:
        """Set the identity; ``attach_peers`` sets the connections."""
        self.ref = ref
        self.address = address
        self.clients = clients
        self.topics = topics
        self.log = log
        #: Known addresses, by node.
        self.addresses: dict[str, str] = {ref.node: address}
        #: The version of ``addresses``: the number of changes.
        self.addresses_version = 0
        #: The version of each other node's addresses that this one has applied.
        self.known_versions: dict[str, int] = {}
        self.service: JobService | None = None
        #: When another node last replied, in loop time.
        self.last_peer_reply_at = 0.0
        handover_policy = HandoverPolicy()
        #: Set when a request to the leader has failed.
        self.request_failed = asyncio.Event()
        self.leadership = Leadership(
            ObservedStore(clients.store, handover_policy),
            topics.leader,
            LeaderRecord(0, ref.node, ref.incarnation, address),
            self.serve,
            log,
            clients.authority_clock,
            capacity,
        )
        self.succession = Succession(self.leadership, handover_policy, log)
        self.config_feed = ConfigFeed(
            clients.store,
            topics.config,
            clients.policies,
            clients.decode_config,
            log,
            is_leading=self.is_leading,
        )
        self.peers: Peers | None = None
        self.gateway: Gateway | None = None

    def is_leading(self) -> bool:
        """Return whether this node is the leader as far as it knows."""
        return self.leadership.is_leader

    def attach_peers(self, peers: Peers) -> None:
        """Set the connections to the other nodes and register the handlers."""
        self.peers = peers
        self.gateway = Gateway(
            peers,
            self.find_leader,
            self.is_isolated,
            self._on_failed_request,
            self.log,
        )
        peers.register_handler(SubmitJob, self._service_handler('submit'))
        peers.register_handler(AskJobStatus, self._service_handler('status'))
        peers.register_handler(CancelJob, self._service_handler('cancel'))
        peers.register_handler(AskBacklog, self._service_handler('backlog'))
        peers.register_handler(NodeUp, self._handle_node_up)
        self.succession.attach_peers(peers)
        peers.register_handler(AskPermissions, self._handle_permission_request)

    def address_of(self, node: str) -> str | None:
        """Return a node's address, ``None`` if unknown."""
        return self.addresses.get(node)

    def find_leader(self) -> str | None:
        """Return the leader as far as this node knows, ``None`` if none.

        Its address is recorded, too.
        """
        record = self.leadership.current
        if record is None or record.released:
            return None
        self._record_addresses({record.node: record.address})
        return record.node

    async def run(self) -> None:
        """Follow the leader, or lead, until cancelled."""
        tasks = [
            asyncio.create_task(self._announce_regularly()),
            asyncio.create_task(self.config_feed.run()),
            asyncio.create_task(watch_loop(self.log)),
        ]
        try:
            await self.leadership.run()
        finally:
            for task in tasks:
                task.cancel()

    async def leave(self) -> None:
        """Hand over the leadership before the process ends."""
        self.leadership.leaving.set()
        await self.succession.hand_over(self.service)

    async def serve(self, epoch: int) -> Failure:
        """Coordinate for one epoch; return why it has ended."""
        assert self.peers is not None
        coordinator = Coordinator(self._coordinator_dependencies(epoch), epoch)
        for name in self.addresses:
            coordinator.dispatcher.permission_requester.nodes.record_presence(
                name, now()
            )
        # This node can send permission requests as long as it coordinates.
        coordinator.dispatcher.permission_requester.nodes.record_presence(
            self.ref.node, math.inf
        )
        self.service = JobService(coordinator, self.clients.job_bytes)
        handing_over = asyncio.create_task(
            self.succession.hand_over_when_due(epoch)
        )
        try:
            return await coordinator.run()
        finally:
            handing_over.cancel()
            self.service = None

    def _coordinator_dependencies(self, epoch: int) -> CoordinatorDependencies:
        clients = self.clients
        return CoordinatorDependencies(
            store=self.leadership.store,
            topics=self.topics,
            workers=clients.worker_api,
            policies=clients.policies,
            ask_through=self._request_permissions_via,
            decode_entry=clients.decode_entry,
            wall=clients.wall_clock,
            log=self.log,
            authority_age=functools.partial(
                self.leadership.epoch_authority_age, epoch
            ),
            claims=self.leadership.writer.claims,
            load_zones=self.config_feed.load_zones,
            worker_bounds=clients.worker_bounds,
            record_bytes=clients.record_bytes,
            contention=clients.contention,
        )

    async def _announce_regularly(self) -> None:
        while True:
            self.config_feed.review_age()
            target = self._choose_peer()
            if target is not None:
                await self._announce_to(target)
            elif self.service is not None:
                await self.succession.step_down_if_unfit(self.service)
            has_leader = self.find_leader() is not None
            await asyncio.sleep(NO_LEADER_INTERVAL_S)
            if has_leader:
                await self._wait_to_announce()

    async def _wait_to_announce(self) -> None:
        """Wait for the next announcement, or until a request has failed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(
                ANNOUNCE_INTERVAL_S - NO_LEADER_INTERVAL_S
            ):
                await self.request_failed.wait()
        self.request_failed.clear()

    def _on_failed_request(self) -> None:
        """Look for a successor: the former leader knows it first."""
        self.leadership.require_leader_read()
        self.request_failed.set()

    def _choose_peer(self) -> str | None:
        """Choose the node to announce to, ``None`` if there is none.

        It is the leader, or a random node if neither the leader nor the store
        has recently replied.
        """
        leader = self.find_leader()
        if (
            leader not in {None, self.ref.node}
            and not self._is_leader_news_stale()
        ):
            return leader
        others = [name for name in self.addresses if name != self.ref.node]
        if self._is_leader_news_stale() and others:
            return random.choice(others)
        return None

    def is_isolated(self) -> bool:
        """Return whether neither the store nor a node has recently replied."""
        heard_at = max(self.leadership.last_heard_at, self.last_peer_reply_at)
        if self.gateway is not None:
            heard_at = max(heard_at, self.gateway.last_reply_at)
        return now() - heard_at > ISOLATION_TIMEOUT_S

    def _is_leader_news_stale(self) -> bool:
        return now() - self.leadership.last_heard_at > LEADER_NEWS_TIMEOUT_S

    async def _announce_to(self, node: str) -> None:
        assert self.peers is not None
        requested_at = self.config_feed.clock()
        reply = await self.peers.request(
            node,
            NodeUp(
                self.ref.node,
                self.address,
                self.leadership.candidacy.fitness(),
                self.clients.policies.version,
                self.known_versions.get(node, -1),
            ),
            LeaderKnown,
            timeout_s=ANNOUNCE_INTERVAL_S,
        )
        if isinstance(reply, LeaderKnown):
            self.last_peer_reply_at = now()
            self._record_addresses(reply.addresses)
            self.known_versions[node] = reply.roster
            self.leadership.update_from_peer(reply.record)
            if node == self.find_leader() and reply.is_leading:
                self.leadership.record_leader_reply(reply.fittest)
            self.config_feed.apply_news(reply.config, requested_at, node)

    def _record_addresses(self, addresses: dict[str, str]) -> None:
        """Record the addresses of nodes."""
        for node, address in addresses.items():
            if self.addresses.get(node) != address:
                self.addresses[node] = address
                self.addresses_version += 1

    async def _handle_node_up(
        self, source: NodeRef, body: NodeUp
    ) -> LeaderKnown:
        self._record_addresses({body.node: body.address})
        self.succession.record_fitness(body.node, body.fitness)
        if self.service is not None:
            self.service.register_node(body)
        has_same_addresses = body.roster == self.addresses_version
        return LeaderKnown(
            self.leadership.current,
            {} if has_same_addresses else self.addresses,
            self.addresses_version,
            self.config_feed.news_for(body.config),
            self.succession.best_other_fitness(),
            self._has_authority(),
        )

    def _has_authority(self) -> bool:
        age_s = self.leadership.authority_age()
        return self.leadership.is_leader and age_s < LEADER_REPLY_VALID_S

    def _service_handler(self, method: str) -> Any:
        async def handler(
            source: NodeRef, body: Message
        ) -> Message | Failure | None:
            service = self.service
            if service is None:
                return NotOwner('this node does not coordinate')
            reply: Message | Failure | None = await getattr(service, method)(
                body
            )
            return reply

        return handler

    async def _handle_permission_request(
        self, source: NodeRef, body: AskPermissions
    ) -> PermissionsReply | Failure:
        reply = await self.clients.permission_service.request_permissions(
            body.step, body.workers, body.timeout_s
        )
        if isinstance(reply, Failure):
            return reply
        return PermissionsReply(reply.tickets, reply.valid_s)

    async def _request_permissions_via(
        self, node: str, step: str, workers: list[str], timeout_s: float
    ) -> Permissions | Failure:
        assert self.peers is not None
        reply = await self.peers.request(
            node,
            AskPermissions(step, workers, timeout_s),
            PermissionsReply,
            timeout_s=timeout_s,
        )
        if isinstance(reply, Failure):
            return reply
        return Permissions(reply.tickets, reply.valid_s)
