"""Membership by heartbeats and the platform's VM list."""

import asyncio
import random
from collections.abc import Callable
from typing import Final, final

from absl import logging

from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure
from berylspread.kernel.invariants import InvariantViolationError
from berylspread.membership.interface import Liveness, Member, VmDirectory
from berylspread.membership.messages import (
    Heartbeat,
    HeartbeatExtension,
    HeartbeatReply,
    NodeStatus,
)
from berylspread.membership.peer import Peer
from berylspread.membership.settings import MembershipSettings
from berylspread.membership.vm_list import VmList
from berylspread.model import NodeRef, Vm
from berylspread.peers import Peers

JITTER: Final = 0.1
STALL_CHECK_S: Final = 0.25
LOG_INTERVAL_S: Final = 30

StatusSource = Callable[[], NodeStatus]


@final
class HeartbeatMembership:  # noqa: WPS214
    """This node, the listed entry VMs, and nodes that sent a heartbeat.

    One task for each peer sends heartbeats.  Only replies to this node's own
    heartbeats count as signs of life, so that a link that fails in one
    direction counts as failed at both ends.
    """

    __slots__ = (
        'directory',
        'extensions',
        'heartbeat_tasks',
        'own_status',
        'peers',
        'peers_by_node',
        'ref',
        'rng',
        'settings',
        'started_at',
        'vm_list',
        'wake_events',
    )

    def __init__(
        self,
        ref: NodeRef,
        peers: Peers,
        directory: VmDirectory,
        own_status: StatusSource,
        settings: MembershipSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Serve the heartbeats of peers from now on."""
        self.ref = ref
        self.peers = peers
        self.directory = directory
        self.own_status = own_status
        self.settings = settings or MembershipSettings()
        self.rng = rng or random.Random()
        self.vm_list = VmList()
        self.peers_by_node: dict[str, Peer] = {}
        self.heartbeat_tasks: dict[str, asyncio.Task[None]] = {}
        self.extensions: dict[str, HeartbeatExtension] = {}
        self.wake_events: dict[str, asyncio.Event] = {}
        self.started_at = now()
        peers.register_handler(Heartbeat, self._serve_heartbeat)

    def add_extension(self, name: str, extension: HeartbeatExtension) -> None:
        """Add a module whose data is sent with heartbeats under ``name``."""
        self.extensions[name] = extension

    def send_heartbeat_now(self, node: str) -> None:
        """Send the next heartbeat to a peer at once."""
        event = self.wake_events.get(node)
        if event is not None:
            event.set()

    def address(self, node: str) -> str | None:
        """Return a node's ``IP:port``, or ``None`` if it is not known."""
        peer = self.peers_by_node.get(node)
        return (peer.address or None) if peer else None

    def members(self, region: str = '') -> list[Member]:
        """Return the known entry nodes, of one region or of all."""
        members = [self._own_member()]
        members += [self._member(peer) for peer in self.peers_by_node.values()]
        return [one for one in members if region in {'', one.region}]

    def member(self, node: str) -> Member | None:
        """Return one entry node, or ``None`` if it is not known."""
        if node == self.ref.node:
            return self._own_member()
        peer = self.peers_by_node.get(node)
        return self._member(peer) if peer else None

    def workers(self, unit: str = '') -> list[Vm]:
        """Return the listed worker VMs, of one partition unit or of all."""
        return self.vm_list.workers_of(unit)

    def units(self, region: str) -> list[str]:
        """Return a region's partition units, in order of their names."""
        return self.vm_list.units_of(region)

    def departed_at(self, ref: NodeRef) -> float | None:
        """Return the loop time from which on a process has certainly ended.

        Returns ``None`` as long as the process may still run.  It has ended
        once a newer incarnation of its node has sent a message, or once its VM
        was neither listed by the platform nor heard from for ``gone_after_s``.
        """
        if ref == self.ref:
            return None
        if ref.node == self.ref.node:
            return self.started_at
        peer = self.peers_by_node.get(ref.node)
        ended_at = peer.ended_at(ref) if peer else None
        return self._gone_since(ref.node) if ended_at is None else ended_at

    async def run(self) -> None:
        """Keep the membership up to date until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._poll_list())
                group.create_task(self._watch_own_stalls())
        finally:
            for task in self.heartbeat_tasks.values():
                task.cancel()

    async def refresh_list(self) -> None:
        """Fetch the VM list once; add listed peers and forget gone ones."""
        listed = await self.directory.fetch()
        if isinstance(listed, Failure):
            logging.log_every_n_seconds(
                logging.WARNING,
                'VM list not available: %r',
                LOG_INTERVAL_S,
                listed,
            )
            return
        self.vm_list.replace(listed, now())
        for vm in self.vm_list.entry_vms.values():
            if vm.vm_id != self.ref.node:
                self._get_or_add_peer(vm.vm_id, vm.region).update_from_list(vm)
        self._forget_gone_peers()

    async def _poll_list(self) -> None:
        while True:
            await self.refresh_list()
            await asyncio.sleep(self._jittered(self.settings.list_interval_s))

    async def _watch_own_stalls(self) -> None:
        """Discount the time in which this node itself was paused."""
        while True:
            slept_at = now()
            await asyncio.sleep(STALL_CHECK_S)
            stall_s = now() - slept_at - STALL_CHECK_S
            if stall_s >= self.settings.stall_s:
                self.discount_stall(stall_s)

    def discount_stall(self, stall_s: float) -> None:
        """Subtract ``stall_s`` seconds from the silence of every peer."""
        logging.warning('this node was paused for %.1f s', stall_s)
        for peer in self.peers_by_node.values():
            peer.failure_detector.discount_stall(stall_s)

    async def _run_heartbeats(self, peer: Peer) -> None:
        event = self.wake_events[peer.node]
        while True:
            interval_s = peer.failure_detector.interval_s
            started_at = now()
            await self._send_heartbeat(peer, interval_s)
            pause_s = self._jittered(interval_s)
            await self._sleep_or_wake(event, started_at + pause_s - now())

    def _jittered(self, interval_s: float) -> float:
        return interval_s * self.rng.uniform(1 - JITTER, 1 + JITTER)

    async def _sleep_or_wake(
        self, event: asyncio.Event, pause_s: float
    ) -> None:
        try:
            async with asyncio.timeout(max(pause_s, 0)):
                await event.wait()
        except TimeoutError:
            return
        finally:
            event.clear()

    async def _send_heartbeat(self, peer: Peer, interval_s: float) -> None:
        sent_at = now()
        body = Heartbeat(self.own_status(), self._extension_requests(peer.node))
        reply = await self.peers.request(
            peer.node,
            body,
            HeartbeatReply,
            timeout_s=self.settings.suspect_after * interval_s,
        )
        if isinstance(reply, Failure):
            return
        source = NodeRef(peer.node, reply.incarnation)
        peer.record_message(source, reply.status, now())
        peer.failure_detector.record_reply(now())
        for name, blob in reply.parts.items():
            self._handle_part(name, source, sent_at, blob)

    def _handle_part(
        self, name: str, source: NodeRef, sent_at: float, blob: bytes
    ) -> None:
        extension = self.extensions.get(name)
        if extension is None:
            return
        try:
            extension.handle_reply(source, sent_at, blob)
        except InvariantViolationError:
            logging.exception(
                'heartbeat extension %s failed; heartbeats continue', name
            )

    async def _serve_heartbeat(
        self, source: NodeRef, body: Heartbeat
    ) -> HeartbeatReply:
        peer = self._get_or_add_peer(source.node, body.status.region)
        peer.record_message(source, body.status, now())
        parts = {
            name: self.extensions[name].handle_request(source, blob)
            for name, blob in body.parts.items()
            if name in self.extensions
        }
        return HeartbeatReply(
            self.ref.incarnation, self.own_status(), _non_empty(parts)
        )

    def _extension_requests(self, node: str) -> dict[str, bytes]:
        return _non_empty(
            {
                name: extension.build_request(node)
                for name, extension in self.extensions.items()
            }
        )

    def _get_or_add_peer(self, node: str, region: str) -> Peer:
        """Return a peer; add it and start its heartbeats if it is new."""
        peer = self.peers_by_node.get(node)
        if peer is not None:
            return peer
        is_local = region == self.own_status().region
        interval_s = (
            self.settings.heartbeat_s
            if is_local
            else self.settings.remote_heartbeat_s
        )
        peer = Peer(node, self.settings, interval_s, now())
        self.peers_by_node[node] = peer
        self.wake_events[node] = asyncio.Event()
        self.heartbeat_tasks[node] = asyncio.create_task(
            self._run_heartbeats(peer)
        )
        return peer

    def _forget_gone_peers(self) -> None:
        deadline = now() - self.settings.forget_after_s
        for node, peer in list(self.peers_by_node.items()):
            gone_at = self._gone_since(node)
            if gone_at is None or max(gone_at, peer.last_message_at) > deadline:
                continue
            del self.peers_by_node[node]
            del self.wake_events[node]
            self.heartbeat_tasks.pop(node).cancel()

    def _gone_since(self, node: str) -> float | None:
        """Return since when a VM counts as gone, or ``None`` if it does not.

        It is gone once it was neither listed nor heard from for
        ``gone_after_s`` seconds.
        """
        self.vm_list.track_unlisted(node)
        missing_at = self.vm_list.missing_at(node)
        if missing_at is None:
            return None
        peer = self.peers_by_node.get(node)
        if peer is not None and peer.status is not None:
            missing_at = max(missing_at, peer.last_message_at)
        is_gone = now() - missing_at >= self.settings.gone_after_s
        return missing_at if is_gone else None

    def _member(self, peer: Peer) -> Member:
        return peer.as_member(
            now(),
            leaving=self.vm_list.is_leaving(peer.node),
            gone=self._gone_since(peer.node) is not None,
        )

    def _own_member(self) -> Member:
        status = self.own_status()
        leaving = status.leaving or self.vm_list.is_leaving(self.ref.node)
        return Member(
            node=self.ref.node,
            address=status.address,
            region=status.region,
            zone=status.zone,
            liveness=Liveness.leaving if leaving else Liveness.alive,
            ref=self.ref,
            log_offset=status.log_offset,
            config_version=status.config_version,
            ready=status.ready,
        )


def _non_empty(parts: dict[str, bytes]) -> dict[str, bytes]:
    return {name: blob for name, blob in parts.items() if blob}
