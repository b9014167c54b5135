"""Bounds what all connections of callers cost a process together.

Load pattern: callers that the operators do not control open connections and
say nothing, send requests slowly or without end, or do not read the answers.

A connection that costs more than its share allows is ended.  When the process
as a whole has no room left, those that hold it longest without a complete
request are ended first: silent ones, then idle ones, then the slowest.  A
request that has reached the application is never one of them.  The places are
in the order of time, so that nothing is sought for.
"""

import asyncio
import collections
import itertools
from collections.abc import Callable, Iterator
from typing import Any, Final, Protocol, final

import msgspec

MIB: Final = 1_048_576
#: Used until the process knows the configured values.
DEFAULT_HEAD_BYTES: Final = 16_384
DEFAULT_HEAD_S: Final = 3.0
DEFAULT_STALL_S: Final = 15.0
#: A new connection that says nothing, and one that is idle between requests.
#: Longer than the interval of probes and of callers' polls.
SILENT_S: Final = 30.0
IDLE_S: Final = 30.0
#: A body that arrives this slowly belongs to a call whose caller has gone.
BODY_S: Final = 60.0
#: Between the end of the server's side and a reset.
CLOSING_S: Final = 10.0

TIMEOUT_STATUS: Final = 408
UNAVAILABLE_STATUS: Final = 503
NO_ROOM: Final = 'too many connections'
NO_MEMORY: Final = 'no memory for requests'


@final
class RequestTerms(msgspec.Struct, frozen=True):
    """What a request may take: bytes of its head, and seconds."""

    head_bytes: int = DEFAULT_HEAD_BYTES
    head_s: float = DEFAULT_HEAD_S
    #: Without progress, in a body or in the reading of an answer.
    stall_s: float = DEFAULT_STALL_S


class GuardedConnection(Protocol):
    """A connection as the guard sees it."""

    place: 'Place | None'
    held_bytes: int
    peer: str
    #: When the last answer was complete, or a body last progressed.
    active_at: float

    @property
    def is_in_head(self) -> bool:
        """Return whether a head has begun and is not complete."""

    @property
    def is_served(self) -> bool:
        """Return whether the application has a request of it."""

    def refuse(self, status: int, reason: str) -> None:
        """Answer with a status if that is possible, and close."""

    def close(self) -> None:
        """Close an idle connection."""

    def abort(self) -> None:
        """End the connection at once."""


Place = dict[GuardedConnection, float]
#: A reason, how often in the last second, and the last caller's address.
Report = Callable[[str, int, str], None]


def _ignore(reason: str, count: int, peer: str) -> None:
    """Tell nobody."""


@final
class ConnectionGuard:
    """The connections of one listener, by what they wait for."""

    __slots__ = (
        'blocked',
        'budget_bytes',
        'closing',
        'find_terms',
        'fresh',
        'idle',
        'max_connections',
        'open_connections',
        'receiving',
        'report',
        'terms',
        'turned_away',
        'turned_away_peers',
        'used_bytes',
    )

    def __init__(
        self,
        max_connections: int,
        budget_bytes: int,
        find_terms: Callable[[], RequestTerms] = RequestTerms,
        report: Report = _ignore,
    ) -> None:
        """Bound the connections, and the bytes that they hold.

        ``report`` is called at most once a second for each reason.
        """
        self.max_connections = max_connections
        self.budget_bytes = budget_bytes
        self.find_terms = find_terms
        self.terms = find_terms()
        self.report = report
        self.open_connections = 0
        self.used_bytes = 0
        #: Connections that have sent no request yet; each place is in order of
        #: the time since when a connection is there.
        self.fresh: Place = {}
        #: Connections between two requests.
        self.idle: Place = {}
        #: Connections with an incomplete request.
        self.receiving: Place = {}
        #: Connections whose caller does not read its answers.
        self.blocked: Place = {}
        #: Connections that this side has ended.
        self.closing: Place = {}
        self.turned_away: collections.Counter[str] = collections.Counter()
        self.turned_away_peers: dict[str, str] = {}

    @property
    def is_full(self) -> bool:
        """Return whether the requests in flight take all the memory."""
        return self.used_bytes > self.budget_bytes

    def admit(self, connection: GuardedConnection) -> bool:
        """Count a new connection; return false if there is no room for it."""
        self.open_connections += 1
        self.move(connection, self.fresh)
        if self.open_connections <= self.max_connections:
            return True
        victim = self._find_unused(connection)
        if victim is None:
            return False
        self._end(victim, NO_ROOM)
        return True

    def forget(self, connection: GuardedConnection) -> None:
        """Release what a connection holds; it is over."""
        self.open_connections -= 1
        self.move(connection, None)
        self.release(connection)

    def release(self, connection: GuardedConnection) -> None:
        """Forget what a connection holds, as it is being ended."""
        self.blocked.pop(connection, None)
        self.hold(connection, -connection.held_bytes)

    def move(self, connection: GuardedConnection, place: Place | None) -> None:
        """Note what a connection waits for, from now on."""
        former = connection.place
        if former is not None:
            del former[connection]
        if place is not None:
            place[connection] = asyncio.get_running_loop().time()
        connection.place = place

    def hold(self, connection: GuardedConnection, size: int) -> None:
        """Add to the bytes that a connection holds."""
        connection.held_bytes += size
        self.used_bytes += size

    def make_room(self, connection: GuardedConnection) -> bool:
        """End others while there is too little memory.

        Returns false if that is not enough.
        """
        while self.is_full:
            victim = self._find_holder(connection)
            if victim is None:
                return False
            self._end(victim, NO_MEMORY)
        return True

    def count(self, reason: str, peer: str) -> None:
        """Count a connection that is turned away."""
        self.turned_away[reason] += 1
        self.turned_away_peers[reason] = peer

    def sweep(self) -> None:
        """End what has taken too long, and report; called once a second."""
        self.terms = self.find_terms()
        moment = asyncio.get_running_loop().time()
        for connection in _older(self.closing, moment - CLOSING_S):
            self._end(connection, '')
        for connection in _older(self.blocked, moment - self.terms.stall_s):
            self._end(connection, 'answer not read')
        for connection in _older(self.fresh, moment - SILENT_S):
            if not connection.is_served:
                self._end(connection, 'silent')
        for connection in _older(self.idle, moment - IDLE_S):
            if not self._renew(connection):
                connection.close()
        self._end_slow(moment)
        for reason, count in self.turned_away.items():
            self.report(reason, count, self.turned_away_peers[reason])
        self.turned_away.clear()

    def _end_slow(self, moment: float) -> None:
        terms = self.terms
        # An answer would be lost; the time of what follows begins after it.
        unserved = [
            entry for entry in self.receiving.items() if not entry[0].is_served
        ]
        for connection, began_at in unserved:
            if connection.is_in_head:
                if moment - began_at > terms.head_s:
                    connection.refuse(TIMEOUT_STATUS, 'slow head')
            elif (
                moment - connection.active_at > terms.stall_s
                or moment - began_at > BODY_S
            ):
                connection.refuse(TIMEOUT_STATUS, 'slow body')

    def _find_unused(
        self, connection: GuardedConnection
    ) -> GuardedConnection | None:
        """Return the connection that can be ended with the least loss."""
        for place in (self.closing, self.fresh, self.idle, self.receiving):
            for each in tuple(place):
                if each is not connection and not self._renew(each):
                    return each
        return None

    def _renew(self, connection: GuardedConnection) -> bool:
        """Return whether an idle connection is not, or not as long.

        Its place then begins anew.  Requests do not change their connection's
        place, as most are complete at once.
        """
        place = connection.place
        if place is not self.idle:
            return connection.is_served
        is_active = (
            connection.is_served or connection.active_at > place[connection]
        )
        if is_active:
            self.move(connection, place)
        return is_active

    def _find_holder(
        self, connection: GuardedConnection
    ) -> GuardedConnection | None:
        candidates = itertools.chain(self.closing, self.blocked, self.receiving)
        return next(
            (
                each
                for each in candidates
                if each is not connection
                and each.held_bytes
                and (each in self.blocked or not each.is_served)
            ),
            None,
        )

    def _end(self, connection: GuardedConnection, reason: str) -> None:
        if reason:
            self.count(reason, connection.peer)
        self.move(connection, None)
        self.release(connection)
        connection.abort()


def _older(place: Place, moment: float) -> Iterator[Any]:
    """Return the connections that are there since before a time."""
    found = itertools.takewhile(
        lambda entry: entry[1] < moment, tuple(place.items())
    )
    return (connection for connection, _ in found)
