"""Relays the log inside a region that does not have the store.

One node, the relay, reads from the store and buffers the newest entries; the
other nodes of the region read them from it, byte for byte and with their
offsets.  The relay is the first node in the rendezvous order of the region's
live nodes, so no election is needed.
"""

import asyncio
import collections
from collections.abc import Callable
from typing import Final, final

import msgspec

from berylspread.kernel.clock import CLOCK_DRIFT, now
from berylspread.kernel.errors import (
    EXIT_UNAVAILABLE,
    Failure,
    LogGap,
    failure,
)
from berylspread.log.fetched import FetchedPage, page_bytes
from berylspread.log.interface import Entry, Page
from berylspread.log.neighbours import NeighbourStateClient, StateService
from berylspread.log.reader import LogReader
from berylspread.log.rendezvous import rendezvous
from berylspread.log.source import StoreSource
from berylspread.log.state import StateWire
from berylspread.membership import Liveness, Membership
from berylspread.model import NodeRef
from berylspread.peers import Message, Peers, message

RELAY_KEY: Final = 'log-relay'
#: Longest time in seconds for which a relay waits for a new entry.
MAX_REQUEST_WAIT_S: Final = 5.0
MAX_REPLY_ENTRIES: Final = 512
NEIGHBOURS_CHECK_INTERVAL_S: Final = 0.1


@failure
class NotRelayed(Failure):
    """The node does not read from the store, or no longer buffers the entries.

    The field ``expired`` is true in the second case.
    """

    name = 'not-relayed'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@message
class RelayAsk(Message, frozen=True, tag=True):
    """Requests entries from an offset on."""

    offset: int
    limit: int
    wait_s: float


@message
class RelayPage(Message, frozen=True, tag=True):
    """Entries as the relay read them.

    ``age_s`` is the time in seconds from the moment at which the relay's state
    was last certainly complete to the arrival of the request; it is negative
    if that moment came after the arrival.
    """

    first: int
    end: int
    entries: list[Entry]
    age_s: float


@final
class RelaySettings(msgspec.Struct, frozen=True):
    """Limits of relaying: seconds and bytes.

    A node reads from the store itself after ``fallback_s`` without a relayed
    page that is younger than ``max_age_s``.  After a failure it avoids the
    relay for ``avoid_s``.  A starting node waits up to ``neighbours_s`` for
    neighbours.
    """

    buffer_bytes: int = 1024 * 1024
    fallback_s: float = 2.0
    max_age_s: float = 3.0
    avoid_s: float = 5.0
    answer_s: float = 1.0
    neighbours_s: float = 2.0


@final
class RelayService:
    """Serves the newest entries to the region's other nodes."""

    __slots__ = (
        'buffer',
        'buffered_bytes',
        'reader',
        'reads_from_store',
        'served_bytes',
        'settings',
        'state_service',
    )

    def __init__(
        self,
        reader: LogReader,
        peers: Peers,
        reads_from_store: Callable[[], bool],
        settings: RelaySettings | None = None,
    ) -> None:
        """Serve the reader's entries while ``reads_from_store()`` is true."""
        self.reader = reader
        self.reads_from_store = reads_from_store
        self.settings = settings or RelaySettings()
        self.buffer: collections.deque[Entry] = collections.deque()
        self.buffered_bytes = 0
        self.served_bytes = 0
        reader.on_entry(self._buffer_entry)
        reader.state.on_restore(self._clear_buffer)
        self.state_service = StateService(reader.state, peers)
        peers.register_handler(RelayAsk, self.serve)

    async def serve(
        self, sender: NodeRef, request: RelayAsk
    ) -> RelayPage | Failure:
        """Reply with entries; if there are none, wait for the next page."""
        if not self.reads_from_store():
            return NotRelayed(
                'this node does not read from the store', expired=False
            )
        arrived_at = now()
        state = self.reader.state
        if request.offset > state.offset:
            await self.reader.wait_for_page(
                min(request.wait_s, MAX_REQUEST_WAIT_S)
            )
        end = state.offset + 1
        first_buffered = self.buffer[0].offset if self.buffer else end
        if request.offset < first_buffered:
            return NotRelayed(
                'the requested entries are no longer buffered', expired=True
            )
        start = request.offset - first_buffered
        stop = min(
            start + min(request.limit, MAX_REPLY_ENTRIES), len(self.buffer)
        )
        entries = [self.buffer[index] for index in range(start, stop)]
        self.served_bytes += sum(len(entry.blob) for entry in entries)
        return RelayPage(
            self.reader.first_retained,
            end,
            entries,
            arrived_at - self.reader.fresh_at,
        )

    def _buffer_entry(self, entry: Entry) -> None:
        self.buffer.append(entry)
        self.buffered_bytes += len(entry.blob)
        while self.buffered_bytes > self.settings.buffer_bytes:
            self.buffered_bytes -= len(self.buffer.popleft().blob)

    def _clear_buffer(self) -> None:
        self.buffer.clear()
        self.buffered_bytes = 0


@final
class RelaySource:
    """Reads through the region's relay, or from the store if that fails.

    ``node`` is this node; ``region`` is empty in the store's own region, where
    every node reads from the store.
    """

    __slots__ = (
        'avoided_until',
        'last_relayed_at',
        'membership',
        'neighbour_states',
        'node',
        'peers',
        'region',
        'relayed_bytes',
        'settings',
        'store',
    )

    def __init__(
        self,
        store: StoreSource,
        peers: Peers,
        membership: Membership,
        node: str,
        region: str,
        settings: RelaySettings | None = None,
    ) -> None:
        """Read through ``peers`` or ``store``, as ``membership`` determines."""
        self.store = store
        self.peers = peers
        self.membership = membership
        self.node = node
        self.region = region
        self.settings = settings or RelaySettings()
        self.neighbour_states = NeighbourStateClient(peers)
        self.avoided_until: dict[str, float] = {}
        self.last_relayed_at = float('-inf')
        self.relayed_bytes = 0

    def current_relay(self) -> str:
        """Return the node to read from; this node if it reads the store."""
        if not self.region:
            return self.node
        alive = {
            member.node
            for member in self.membership.members(self.region)
            if member.liveness is Liveness.alive
            and self.avoided_until.get(member.node, 0.0) <= now()
        }
        return rendezvous(RELAY_KEY, alive | {self.node})[0]

    def reads_from_store(self) -> bool:
        """Return whether this node currently reads from the store."""
        return self.current_relay() == self.node or self._should_fall_back()

    async def fetch(
        self, offset: int, *, limit: int, wait_s: float
    ) -> FetchedPage | Failure:
        """Return a page from the relay, or from the store."""
        relay = self.current_relay()
        if relay == self.node:
            return await self.store.fetch(offset, limit=limit, wait_s=wait_s)
        page = await self.peers.request(
            relay,
            RelayAsk(offset, limit, wait_s),
            RelayPage,
            timeout_s=wait_s + self.settings.answer_s,
        )
        if (
            isinstance(page, RelayPage)
            and page.age_s <= self.settings.max_age_s
        ):
            return self._accept_page(page)
        expired = isinstance(page, NotRelayed) and page.fields['expired']
        if not expired:
            self.avoided_until[relay] = now() + self.settings.avoid_s
        if expired or self._should_fall_back():
            return await self.store.fetch(offset, limit=limit, wait_s=wait_s)
        if isinstance(page, Failure):
            return page
        return NotRelayed('the relay is not current', expired=False)

    async def snapshot(self, ahead_of: int) -> StateWire | Failure:
        """Return a neighbour's state, or the newest snapshot in the log.

        In the store's own region the log is searched first.
        """
        if not self.region:
            stored = await self.store.snapshot(ahead_of)
            if not isinstance(stored, LogGap) and _is_sufficient(
                stored, ahead_of
            ):
                return stored
            neighbour_state = await self.neighbour_states.fetch(
                self._live_neighbours(), ahead_of
            )
            return (
                neighbour_state
                if isinstance(neighbour_state, StateWire)
                else stored
            )
        await self._wait_for_neighbours()
        neighbour_state = await self.neighbour_states.fetch(
            self._live_neighbours(), ahead_of
        )
        if isinstance(neighbour_state, StateWire):
            return neighbour_state
        return await self.store.snapshot(ahead_of)

    async def _wait_for_neighbours(self) -> None:
        """Wait up to ``neighbours_s`` until the membership lists live nodes."""
        checks = int(self.settings.neighbours_s / NEIGHBOURS_CHECK_INTERVAL_S)
        for _ in range(checks):
            if self._live_neighbours():
                return
            await asyncio.sleep(NEIGHBOURS_CHECK_INTERVAL_S)

    def _live_neighbours(self) -> list[str]:
        """Return the live nodes, those of this region first."""
        alive = [
            member
            for member in self.membership.members()
            if member.liveness is Liveness.alive and member.node != self.node
        ]
        near = [m.node for m in alive if m.region == self.region]
        far = [m.node for m in alive if m.region != self.region]
        return [*rendezvous(self.node, near), *rendezvous(self.node, far)]

    def _accept_page(self, page: RelayPage) -> FetchedPage:
        self.last_relayed_at = now()
        found = Page(page.first, page.end, page.entries)
        self.relayed_bytes += page_bytes(found)
        return FetchedPage(found, page.age_s + abs(page.age_s) * CLOCK_DRIFT)

    def _should_fall_back(self) -> bool:
        return now() - self.last_relayed_at > self.settings.fallback_s


def _is_sufficient(found: StateWire | Failure, ahead_of: int) -> bool:
    """Return whether a result from the store needs no neighbour's state.

    This is so for a snapshot that covers entries after ``ahead_of``, for any
    result of a node without entries, and for a failure.
    """
    if isinstance(found, Failure):
        return True
    return found.offset > ahead_of or ahead_of == 0
