"""Follows the newest values of a topic in the platform's store."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.interface import (
    Batch,
    KeyedItem,
    KeyedStore,
    Snapshot,
)
from berylspread.kernel.clock import now

#: A long poll without new items ends after this time.
LONG_POLL_S: Final = 5.0
CALL_TIMEOUT_S: Final = 1.5
RETRY_S: Final = 0.2

#: Handles the newest value of a key; an empty value means that the key is gone.
ItemHandler = Callable[[KeyedItem], None]


def _never() -> bool:
    return False


def handle_item(
    on_item: ItemHandler, item: KeyedItem, topic: str, log: DecisionLog
) -> None:
    """Pass an item to its handler; log a failure of the handler."""
    try:
        on_item(item)
    except Exception as error:  # noqa: BLE001
        # One bad item must not keep the others from being followed.
        log.write('item-failed', topic=topic, key=item.key, error=repr(error))


@final
class TopicFollower:
    """Passes the newest value of each key of a topic to a handler."""

    __slots__ = (
        'clock',
        'has_skipped',
        'is_confirmation_due',
        'is_paused',
        'known_keys',
        'log',
        'offset',
        'on_confirmed',
        'on_item',
        'pause_after_items_s',
        'store',
        'topic',
        'wait_s',
    )

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        on_item: ItemHandler,
        log: DecisionLog,
        *,
        on_confirmed: Callable[[float], None] | None = None,
        clock: Callable[[], float] = now,
        wait_s: float = LONG_POLL_S,
        is_paused: Callable[[], bool] = _never,
        pause_after_items_s: float = 0.0,
    ) -> None:
        """Set the topic and the callbacks.

        ``on_confirmed`` is called after each read with the time of ``clock`` as
        of which the values are current.  The store is not read while
        ``is_paused()``, nor for ``pause_after_items_s`` after new items.  The
        first read after a pause or a failure does not wait for new items, so
        that the values are confirmed at once.
        """
        self.pause_after_items_s = pause_after_items_s
        self.is_paused = is_paused
        self.clock = clock
        self.store = store
        self.topic = topic
        self.on_item = on_item
        self.log = log
        self.on_confirmed = on_confirmed
        self.wait_s = wait_s
        self.offset: int | None = None
        #: Whether records were skipped since the newest values were loaded.
        self.has_skipped = False
        self.known_keys: set[str] = set()
        self.is_confirmation_due = False

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        is_up = True
        while True:
            if self.is_paused():
                self.is_confirmation_due = True
                await asyncio.sleep(RETRY_S)
                continue
            reached = await self._read_once()
            if reached != is_up:
                event = 'topic-regained' if reached else 'topic-lost'
                self.log.write(event, topic=self.topic)
            is_up = reached
            self.is_confirmation_due = not reached
            if not reached:
                await asyncio.sleep(RETRY_S)

    async def _read_once(self) -> bool:
        if self.offset is None:
            return await self._load_snapshot()
        requested_at, offset = self.clock(), self.offset
        wait_s = 0.0 if self.is_confirmation_due else self.wait_s
        batch = await self.store.read_from(
            self.topic,
            offset,
            wait_s=wait_s,
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )
        if self.offset != offset:
            # Newer values have been applied meanwhile.
            return True
        if not isinstance(batch, Batch):
            # Also after a gap in the log: the newest values are loaded again.
            self.offset = None
            return False
        for item in batch.items:
            self._deliver(item)
            self.offset = item.offset + 1
        # The store sends a reply without items at the end of the wait, however
        # late it is read here.
        waited_s = 0.0 if batch.items else wait_s
        if not batch.items or self.offset >= batch.end:
            self._confirm(min(requested_at + waited_s, self.clock()))
        if batch.items:
            await asyncio.sleep(self.pause_after_items_s)
        return True

    def skip_to(self, offset: int) -> None:
        """Read on from an offset up to which another node has read."""
        self.has_skipped = self.has_skipped or offset != self.offset
        self.offset = offset

    async def reload(self) -> None:
        """Read the newest values at once, beside what ``run`` waits for.

        If that fails, ``run`` reads them.
        """
        self.offset = None
        await self._load_snapshot()

    async def _load_snapshot(self) -> bool:
        requested_at = self.clock()
        snapshot = await self.store.read_newest(
            self.topic, timeout_s=CALL_TIMEOUT_S
        )
        if not isinstance(snapshot, Snapshot):
            return False
        if self.offset is not None:
            # Another read, begun meanwhile, has applied values as new.
            return True
        gone = self.known_keys - {item.key for item in snapshot.items}
        for item in snapshot.items:
            self._deliver(item)
        for key in gone:
            self._deliver(KeyedItem(key, b'', snapshot.end))
        self.offset = snapshot.end
        self.has_skipped = False
        self._confirm(requested_at)
        return True

    def _deliver(self, item: KeyedItem) -> None:
        if item.blob:
            self.known_keys.add(item.key)
        else:
            self.known_keys.discard(item.key)
        handle_item(self.on_item, item, self.topic, self.log)

    def _confirm(self, as_of: float) -> None:
        if self.on_confirmed is not None:
            self.on_confirmed(as_of)
