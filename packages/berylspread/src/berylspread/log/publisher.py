"""Publishes a snapshot before the log drops the records that it covers."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import msgspec
from absl import logging

from berylspread.kernel.clock import WallClock, now
from berylspread.kernel.errors import Failure
from berylspread.log.appender import Appender
from berylspread.log.interface import Entry
from berylspread.log.reader import LogReader, ReaderStatus
from berylspread.log.records import SnapshotPart
from berylspread.log.rendezvous import rendezvous
from berylspread.log.snapshot import compress_state, split_snapshot
from berylspread.membership import Liveness, Membership

#: Share of the retention after which a new snapshot is due.
RETENTION_SHARE: Final = 0.3
CHECK_INTERVAL_S: Final = 1.0
#: Seconds that each further candidate waits longer, in case the candidates
#: before it have failed.
RANK_DELAY_S: Final = 30.0
PART_APPEND_TIMEOUT_S: Final = 60.0
#: Seconds before another attempt if a part could not be appended.
RETRY_DELAY_S: Final = 5.0
PERCENT: Final = 100.0
RANK_KEY: Final = 'snapshot'

#: Returns this node's rank among those that may publish, or ``None`` if it may
#: not; rank 0 publishes first.
RankFunction = Callable[[], int | None]


@final
class PublisherSettings(msgspec.Struct, frozen=True):
    """When a snapshot is due, and its share of the appends.

    ``retention_s`` and ``retention_entries`` state the retention of the store;
    0 entries means unknown.  ``max_tail_entries`` limits the entries that a
    starting node reads after the snapshot.
    """

    retention_s: float = 86_400.0
    retention_entries: int = 0
    max_tail_entries: int = 20_000
    appends_per_s: float = 100.0
    share_percent: float = 20.0

    def part_interval_s(self) -> float:
        """Return the seconds from one part to the next."""
        return PERCENT / (self.appends_per_s * self.share_percent)

    def due_entries(self) -> int:
        """Return the number of entries after which a snapshot is due."""
        if not self.retention_entries:
            return self.max_tail_entries
        kept = int(self.retention_entries * RETENTION_SHARE)
        return max(1, min(kept, self.max_tail_entries))


@final
class NewestSnapshot:
    """The newest complete snapshot in the log: its age and its end.

    The age counts from the first part; without a snapshot, from the oldest
    entry that was read.  ``end_offset`` is the offset of the last part.
    """

    __slots__ = ('age_starts_at', 'end_offset', 'incomplete', 'reader', 'wall')

    def __init__(self, reader: LogReader, wall: WallClock) -> None:
        """Follow the snapshot parts that the reader applies."""
        self.reader = reader
        self.wall = wall
        self.end_offset = 0
        self.age_starts_at: float | None = None
        self.incomplete: dict[str, _PartialSnapshot] = {}
        reader.on_entry(self._on_entry)
        reader.state.subscribe(SnapshotPart, self._on_part)
        reader.state.on_restore(self._on_restore)

    def age_s(self) -> float:
        """Return the age in seconds; 0 before the first entry."""
        return 0.0 if self.age_starts_at is None else now() - self.age_starts_at

    def _on_entry(self, entry: Entry) -> None:
        if self.age_starts_at is None:
            self.age_starts_at = self._appended_at()

    def _on_restore(self) -> None:
        self.end_offset = self.reader.state.offset
        self.age_starts_at = self._appended_at()

    def _on_part(self, offset: int, part: SnapshotPart) -> None:
        partial = self.incomplete.get(part.snapshot_id)
        if partial is None:
            partial = _PartialSnapshot(self._appended_at())
            self.incomplete[part.snapshot_id] = partial
        partial.part_numbers.add(part.part)
        if len(partial.part_numbers) == part.parts:
            self.incomplete.clear()
            self.end_offset = offset
            self.age_starts_at = partial.first_part_at

    def _appended_at(self) -> float:
        """Return the loop time at which the newest entry was appended."""
        log_time = self.reader.state.log_time
        age_s = self.wall.time() - log_time if log_time else 0.0
        return now() - max(age_s, 0.0)


@final
class _PartialSnapshot:
    """A snapshot of which some parts were read; times are loop times."""

    __slots__ = ('first_part_at', 'part_numbers')

    def __init__(self, began_at: float) -> None:
        self.first_part_at = began_at
        self.part_numbers: set[int] = set()


@final
class SnapshotPublisher:
    """Publishes this node's state when a snapshot is due.

    Several nodes may publish; the one of the lowest rank does so first.
    """

    __slots__ = (
        'appender',
        'due_since',
        'newest_snapshot',
        'published_count',
        'rank',
        'reader',
        'settings',
    )

    def __init__(
        self,
        reader: LogReader,
        appender: Appender,
        rank: RankFunction,
        wall: WallClock,
        settings: PublisherSettings | None = None,
    ) -> None:
        """Publish the state of the reader through the appender."""
        self.reader = reader
        self.appender = appender
        self.rank = rank
        self.settings = settings or PublisherSettings()
        self.newest_snapshot = NewestSnapshot(reader, wall)
        self.due_since: float | None = None
        self.published_count = 0

    def is_due(self) -> bool:
        """Return whether the newest snapshot is too old or too far behind."""
        tail = self.reader.state.offset - self.newest_snapshot.end_offset
        if tail >= self.settings.due_entries():
            return True
        bound_s = self.settings.retention_s * RETENTION_SHARE
        return self.newest_snapshot.age_s() >= bound_s

    async def run(self) -> None:
        """Check once a second and publish when due, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._is_turn() and not await self.publish():
                await asyncio.sleep(RETRY_DELAY_S)

    async def publish(self) -> bool:
        """Publish the current state; return whether all parts were appended."""
        wire = self.reader.state.to_wire()
        blob = await asyncio.to_thread(compress_state, wire)
        snapshot_id = f'{self.appender.writer}:{wire.offset}'
        for part in split_snapshot(snapshot_id, wire.offset, blob):
            sent_at = now()
            offset = await self.appender.append(
                part, timeout_s=PART_APPEND_TIMEOUT_S
            )
            if isinstance(offset, Failure):
                logging.warning(
                    'snapshot abandoned because a part was not appended: %r',
                    offset,
                )
                return False
            pause_s = self.settings.part_interval_s() - (now() - sent_at)
            await asyncio.sleep(max(pause_s, 0.0))
        self.published_count += 1
        self.due_since = None
        return True

    def _is_turn(self) -> bool:
        rank = self.rank()
        is_current = self.reader.status is ReaderStatus.current
        if rank is None or not is_current or not self.is_due():
            self.due_since = None
            return False
        if self.due_since is None:
            self.due_since = now()
        return now() - self.due_since >= rank * RANK_DELAY_S


def publishing_rank(
    membership: Membership, node: str, region: str
) -> int | None:
    """Return a node's rank among a region's live nodes, or ``None``."""
    alive = {
        member.node
        for member in membership.members(region)
        if member.liveness is Liveness.alive
    }
    order = rendezvous(RANK_KEY, alive)
    return order.index(node) if node in alive else None
