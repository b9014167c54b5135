"""How a node learns of configurations: from another node, else from the store.

Load pattern: a configuration of hundreds of kilobytes changes several times a
second in a cell of forty nodes.  If each node read every version from the
store, the link between the regions would carry nothing else.  So the
coordinator reads them, and the others get the newest one, compressed, with the
news that they exchange anyway.
"""

import zlib
from collections.abc import Callable
from typing import Final, final

import msgspec

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.directory import TopicFollower
from berylspread.coordinator.interface import KeyedItem, KeyedStore
from berylspread.coordinator.policy import Configuration, PolicyCache

#: A node that was told of the state this lately does not ask the store.  Longer
#: than a change of the coordinator takes; a read still fits into the time for
#: which keys are trusted.
PEER_NEWS_VALID_S: Final = 1.5
#: A long read of the store; its answer confirms what is known.
LONG_POLL_S: Final = 1.0
#: Level 1 packs a list of routes to a tenth in a few milliseconds.
COMPRESSION_LEVEL: Final = 1

#: Reads a record of the topic; ``None`` if it is no configuration.
DecodeConfig = Callable[[KeyedItem], Configuration | None]


@final
class ConfigNews(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows of the configuration, for a node that asks.

    ``age_s`` is the time since the store has confirmed it.  ``offset`` is where
    to read on in the topic, -1 if that is unknown.  ``key`` and ``packed`` are
    empty if the asking node has this version.
    """

    version: int
    age_s: float
    offset: int
    key: str = ''
    packed: bytes = b''


@final
class ConfigFeed:
    """Keeps a node's policies up to date and tells other nodes of them."""

    __slots__ = (
        'clock',
        'decode',
        'follower',
        'is_leading',
        'log',
        'newest_record',
        'peer_confirmed_at',
        'policies',
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
        """Take the topic; ``leads`` tells whether this node coordinates."""
        self.policies = policies
        self.clock = policies.clock
        self.decode = decode
        self.log = log
        self.is_leading = is_leading
        #: The key and packed record of the version in force.
        self.newest_record = ('', b'')
        #: As of when another node's word holds.  A new process waits for one
        #: before it reads on its own.
        self.peer_confirmed_at = self.clock()
        self.follower = TopicFollower(
            store,
            topic,
            self._apply_item,
            log,
            on_confirmed=policies.confirm,
            clock=self.clock,
            wait_s=LONG_POLL_S,
            is_paused=self.has_fresh_news,
        )

    async def run(self) -> None:
        """Follow the topic, whenever no other node tells, until cancelled."""
        await self.follower.run()

    def has_fresh_news(self) -> bool:
        """Return whether another node has told lately what is in force."""
        return (
            not self.is_leading()
            and self.clock() - self.peer_confirmed_at < PEER_NEWS_VALID_S
        )

    def news_for(self, known_version: int) -> ConfigNews:
        """Return what is known here for a node that knows a version."""
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

    def apply_news(self, news: ConfigNews, asked_at: float) -> None:
        """Take another node's news; it was asked at a time of the clock."""
        if news.packed:
            self._unpack(news)
        if not news.version or news.version > self.policies.version:
            return
        as_of = asked_at - news.age_s
        self.policies.confirm(as_of)
        self.peer_confirmed_at = max(self.peer_confirmed_at, as_of)
        if news.offset >= 0 and as_of >= self.peer_confirmed_at:
            self.follower.offset = news.offset

    def _unpack(self, news: ConfigNews) -> None:
        try:
            blob = zlib.decompress(news.packed)
        except zlib.error as error:
            self.log.write('config-unreadable', reason=str(error))
            return
        self._apply_item(KeyedItem(news.key, blob, news.offset))

    def _apply_item(self, item: KeyedItem) -> None:
        """Put a newer configuration in force."""
        configuration = self.decode(item) if item.blob else None
        if configuration is None or not self.policies.apply(configuration):
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
        )
