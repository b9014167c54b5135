"""Fetches the state from a neighbour if a node starts or has missed records.

This avoids the transfer of a snapshot and of the entries after it over the link
between the regions.  It also works if the log no longer retains records that no
snapshot in it covers.
"""

import asyncio
from collections.abc import Iterable
from typing import Final, final

from absl import logging

from berylspread.kernel.clock import now
from berylspread.kernel.errors import EXIT_UNAVAILABLE, Failure, failure
from berylspread.log.records import SnapshotPart
from berylspread.log.snapshot import (
    SnapshotAssembler,
    compress_state,
    split_snapshot,
)
from berylspread.log.state import ClusterState, StateWire
from berylspread.model import NodeRef
from berylspread.peers import Message, Peers, message

#: Seconds for which one snapshot is served to several neighbours.
SNAPSHOT_KEPT_S: Final = 30.0
PART_TIMEOUT_S: Final = 2.0
MAX_NEIGHBOURS_REQUESTED: Final = 3


@failure
class NoState(Failure):
    """The node has no state that is later than the requested offset."""

    name = 'no-state'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@message
class StateAsk(Message, frozen=True, tag=True):
    """Requests one part of a node's state.

    ``snapshot_id`` is empty in the first request; it then stands for any
    snapshot that covers entries after ``ahead_of``.
    """

    snapshot_id: str
    part: int
    ahead_of: int


@message
class StatePart(Message, frozen=True, tag=True):
    """One part of a node's state."""

    part: SnapshotPart


@final
class StateService:
    """Serves this node's state to its neighbours, in parts."""

    __slots__ = ('parts', 'served_bytes', 'snapshot_at', 'state')

    def __init__(self, state: ClusterState, peers: Peers) -> None:
        """Serve snapshots that are made when a neighbour requests one."""
        self.state = state
        self.parts: list[SnapshotPart] = []
        self.snapshot_at = float('-inf')
        self.served_bytes = 0
        peers.register_handler(StateAsk, self.serve)

    async def serve(
        self, sender: NodeRef, request: StateAsk
    ) -> StatePart | Failure:
        """Reply with one part; make a new snapshot first if needed."""
        if not request.snapshot_id and not self._has_snapshot(request.ahead_of):
            await self._make_snapshot(sender)
        current_id = self.parts[0].snapshot_id if self.parts else ''
        is_available = request.snapshot_id in {
            '',
            current_id,
        } and self._has_snapshot(request.ahead_of)
        if not is_available or not 0 <= request.part < len(self.parts):
            return NoState(
                'no such part of a snapshot',
                offset=self.state.offset,
            )
        part = self.parts[request.part]
        self.served_bytes += len(part.blob)
        return StatePart(part)

    def _has_snapshot(self, ahead_of: int) -> bool:
        is_recent = now() - self.snapshot_at <= SNAPSHOT_KEPT_S
        return is_recent and self.parts[0].covers > ahead_of

    async def _make_snapshot(self, sender: NodeRef) -> None:
        wire = self.state.to_wire()
        blob = await asyncio.to_thread(compress_state, wire)
        snapshot_id = f'{sender.node}:{wire.offset}:{now()}'
        self.parts = list(split_snapshot(snapshot_id, wire.offset, blob))
        self.snapshot_at = now()


@final
class NeighbourStateClient:
    """Fetches the state of a neighbour."""

    __slots__ = ('fetched_bytes', 'peers')

    def __init__(self, peers: Peers) -> None:
        self.peers = peers
        self.fetched_bytes = 0

    async def fetch(
        self, nodes: Iterable[str], ahead_of: int
    ) -> StateWire | NoState:
        """Return the first state that covers entries after ``ahead_of``.

        Tries the first ``MAX_NEIGHBOURS_REQUESTED`` nodes, one after another.
        """
        for node in list(nodes)[:MAX_NEIGHBOURS_REQUESTED]:
            wire = await self._fetch_from(node, ahead_of)
            if isinstance(wire, StateWire) and wire.offset > ahead_of:
                return wire
            logging.info('neighbour %s has no usable state: %r', node, wire)
        return NoState('no neighbour has a later state', ahead_of=ahead_of)

    async def _fetch_from(
        self, node: str, ahead_of: int
    ) -> StateWire | Failure:
        assembler = SnapshotAssembler()
        part_number, snapshot_id = 0, ''
        while True:
            reply = await self.peers.request(
                node,
                StateAsk(snapshot_id, part_number, ahead_of),
                StatePart,
                timeout_s=PART_TIMEOUT_S,
            )
            if isinstance(reply, Failure):
                return reply
            part = reply.part
            self.fetched_bytes += len(part.blob)
            wire = assembler.add(part)
            if wire is not None:
                return wire
            part_number, snapshot_id = part.part + 1, part.snapshot_id
            if part_number >= part.parts:
                return NoState(
                    'the parts of the neighbour form no valid state', node=node
                )
