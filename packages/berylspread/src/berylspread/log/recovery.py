"""Finds the newest complete snapshot among the retained entries."""

from typing import Final, final

import msgspec
from absl import logging

from berylspread.kernel.errors import Failure, LogGap
from berylspread.log.fetched import FetchedPage, PageSource
from berylspread.log.interface import Entry
from berylspread.log.records import SnapshotPart, decode_batch
from berylspread.log.snapshot import SnapshotAssembler
from berylspread.log.state import StateWire

#: Entries that one step of the backward search reads.
SEARCH_STEP_ENTRIES: Final = 256
_SNAPSHOT_PART_TAG: Final = SnapshotPart.__name__.encode()


@final
class SnapshotSearch:
    """Searches backwards from the end of the log to its first retained offset.

    The search keeps only parts of snapshots in memory, so its memory use does
    not grow with the log.
    """

    __slots__ = ('assembler', 'source')

    def __init__(self, source: PageSource) -> None:
        self.source = source
        self.assembler = SnapshotAssembler()

    async def find_newest(self) -> StateWire | Failure:
        """Return the newest complete snapshot.

        If there is none, returns the empty state if the log is retained from
        its beginning, else ``LogGap``.
        """
        probe = await self.source.fetch(1, limit=1, wait_s=0)
        if isinstance(probe, Failure):
            return probe
        first, stop = probe.page.first, probe.page.end
        while stop > first:
            start = max(first, stop - SEARCH_STEP_ENTRIES)
            found = await self._search_range(start, stop)
            if isinstance(found, Failure | StateWire):
                return found
            first = max(first, found)
            stop = start
        if first == 1:
            return StateWire()
        return LogGap(
            'the log retains no complete snapshot', expected=1, first=first
        )

    async def _search_range(
        self, start: int, stop: int
    ) -> StateWire | Failure | int:
        """Read one range; return a snapshot, or the first retained offset."""
        offset, first = start, start
        newest: StateWire | None = None
        while offset < stop:
            fetched = await self.source.fetch(
                offset, limit=stop - offset, wait_s=0
            )
            if isinstance(fetched, Failure):
                return fetched
            first = fetched.page.first
            newest = self._add_parts(fetched, stop) or newest
            offset = max(first, offset + max(len(fetched.page.entries), 1))
        return newest or first

    def _add_parts(self, fetched: FetchedPage, stop: int) -> StateWire | None:
        newest = None
        for entry in fetched.page.entries:
            if entry.offset >= stop:
                break
            for part in snapshot_parts(entry):
                newest = self.assembler.add(part) or newest
        return newest


def snapshot_parts(entry: Entry) -> list[SnapshotPart]:
    """Return the snapshot parts that an entry carries."""
    if _SNAPSHOT_PART_TAG not in entry.blob:
        return []
    try:
        batch = decode_batch(entry.blob)
    except msgspec.DecodeError:
        logging.error('entry %d cannot be decoded as a batch', entry.offset)
        return []
    return [
        record for record in batch.records if isinstance(record, SnapshotPart)
    ]
