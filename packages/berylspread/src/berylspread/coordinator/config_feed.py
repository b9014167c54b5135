"""Keeps a node's configuration current, from other nodes or the store.

Load pattern: a configuration of hundreds of kilobytes changes several times a
second in a cell of forty nodes.  If each node read every version from the
store, that would saturate the link between the regions.  So only the
coordinator reads the store.  The other nodes get the newest version,
compressed, in the reply to the announcements that they send anyway.  A node
that gets no such reply reads the store itself.
"""

import zlib
from collections.abc import Callable
from typing import Final, final

import msgspec

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.directory import TopicFollower
from berylspread.coordinator.interface import KeyedItem, KeyedStore
from berylspread.coordinator.policy import (
    Configuration,
    PolicyCache,
    ZoneChange,
)

#: How long news from another node makes reading the store unnecessary.  It is
#: longer than a change of the coordinator takes, and short enough that a read
#: of the store can complete before the node stops accepting keys.
PEER_NEWS_VALID_S: Final = 1.5
#: Wait of a long poll of the store; its reply confirms the configuration.
LONG_POLL_S: Final = 1.0
#: Where a version came from, in the log, if not from another node.
STORE_SOURCE: Final = 'store'
#: zlib level; 1 compresses a list of routes to a tenth in a few milliseconds.
COMPRESSION_LEVEL: Final = 1

#: Decodes a record of the topic, also one without a value; returns ``None`` if
#: it is of another kind.
DecodeConfig = Callable[[KeyedItem], Configuration | ZoneChange | None]


@final
class ConfigNews(msgspec.Struct, frozen=True, array_like=True):
    """The configuration that a node knows, as it reports it to another node.

    ``age_s`` is the time since the store last confirmed it.  ``offset`` is the
    offset in the topic to read on from, -1 if unknown.  ``key`` and ``packed``,
    the compressed record, are empty if the requesting node has this version.
    """

    version: int
    age_s: float
    offset: int
    key: str = ''
    packed: bytes = b''


@final
class ConfigFeed:
    """Keeps a node's policies up to date and reports them to other nodes."""

    __slots__ = (
        'clock',
        'decode',
        'follower',
        'is_leading',
        'log',
        'newest_record',
        'peer_confirmed_at',
        'policies',
        'was_outdated',
    )

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        policies: PolicyCache,
        decode: DecodeConfig,
        log: DecisionLog,
        *,
        is_leading: Callable[[], bool],
    ) -> None:
        """Set up the follower of ``topic``.

        ``is_leading`` returns whether this node coordinates.  Only then all
        records are read, so that the closed zones are known.
        """
        self.policies = policies
        self.clock = policies.clock
        self.decode = decode
        self.log = log
        self.is_leading = is_leading
        #: The key and the compressed record of the version in force.
        self.newest_record = ('', b'')
        #: The time as of which another node has confirmed the configuration.
        #: Starts at the current time, so that a new process first waits for
        #: news from another node.
        self.peer_confirmed_at = self.clock()
        #: Whether the configuration was out of date when last reviewed.
        self.was_outdated = False
        self.follower = TopicFollower(
            store,
            topic,
            self._apply_stored,
            log,
            on_confirmed=self._confirm,
            clock=self.clock,
            wait_s=LONG_POLL_S,
            is_paused=self.has_fresh_news,
        )

    async def run(self) -> None:
        """Follow the topic while other nodes send no news, until cancelled."""
        await self.follower.run()

    async def load_zones(self) -> None:
        """Read the newest records, as this node coordinates from now on.

        Until that is done, it is not confirmed which zones are closed if this
        node has skipped records that another node had read.
        """
        await self.follower.reload()

    def has_fresh_news(self) -> bool:
        """Return whether news from another node makes a read unnecessary."""
        return (
            not self.is_leading()
            and self.clock() - self.peer_confirmed_at < PEER_NEWS_VALID_S
        )

    def news_for(self, known_version: int) -> ConfigNews:
        """Return the news for a node that has version ``known_version``."""
        offset = self.follower.offset
        news = ConfigNews(
            self.policies.version,
            self.policies.age_s(),
            -1 if offset is None else offset,
        )
        if known_version >= self.policies.version:
            return news
        key, packed = self.newest_record
        return msgspec.structs.replace(news, key=key, packed=packed)

    def apply_news(
        self, news: ConfigNews, requested_at: float, source: str
    ) -> None:
        """Apply the news of node ``source``, requested at a clock time."""
        if news.packed:
            self._unpack(news, source)
        if not news.version or news.version > self.policies.version:
            return
        as_of = requested_at - news.age_s
        self.policies.confirm(as_of)
        self.peer_confirmed_at = max(self.peer_confirmed_at, as_of)
        is_newest = news.offset >= 0 and as_of >= self.peer_confirmed_at
        if is_newest and not self.is_leading():
            self.follower.skip_to(news.offset)
            if self.follower.has_skipped:
                self.policies.closed_zones.doubt()

    def review_age(self) -> None:
        """Log when the configuration goes out of date or is confirmed again."""
        is_outdated = self.policies.is_outdated()
        if self.policies.version and is_outdated != self.was_outdated:
            self.was_outdated = is_outdated
            self.log.write(
                'config-outdated' if is_outdated else 'config-confirmed',
                version=self.policies.version,
                config_age_s=round(self.policies.age_s(), 3),
                news_age_s=round(self.clock() - self.peer_confirmed_at, 3),
                reads_store=not self.has_fresh_news(),
            )

    def _unpack(self, news: ConfigNews, source: str) -> None:
        try:
            blob = zlib.decompress(news.packed)
        except zlib.error as error:
            self.log.write('config-unreadable', reason=str(error))
            return
        self._apply_item(KeyedItem(news.key, blob, news.offset), source)

    def _confirm(self, as_of: float) -> None:
        self.policies.confirm(as_of)
        if not self.follower.has_skipped:
            self.policies.closed_zones.confirm(as_of)

    def _apply_stored(self, item: KeyedItem) -> None:
        self._apply_item(item, STORE_SOURCE)

    def _apply_item(self, item: KeyedItem, source: str) -> None:
        """Put what a record holds in force if it is newer."""
        change = self.decode(item)
        if isinstance(change, ZoneChange):
            self._apply_zone(change, item.offset)
        elif change is not None:
            self._apply_configuration(change, item, source)

    def _apply_zone(self, change: ZoneChange, offset: int) -> None:
        closed_zones = self.policies.closed_zones
        if closed_zones.update(change.zone, is_closed=change.is_closed):
            self.log.write(
                'zone-closed' if change.is_closed else 'zone-opened',
                zone=change.zone,
                offset=offset,
                leading=self.is_leading(),
            )

    def _apply_configuration(
        self, configuration: Configuration, item: KeyedItem, source: str
    ) -> None:
        if not self.policies.apply(configuration):
            return
        self.newest_record = (
            item.key,
            zlib.compress(item.blob, COMPRESSION_LEVEL),
        )
        self.log.write(
            'config',
            version=configuration.version,
            routes=len(configuration.routes),
            shares={
                tenant.name: tenant.weight for tenant in configuration.tenants
            },
            offset=item.offset,
            source=source,
        )
