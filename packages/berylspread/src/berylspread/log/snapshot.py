"""Splits a snapshot of the state into parts, and assembles the parts."""

import collections
import zlib
from collections.abc import Iterator
from typing import Final, final

import msgspec
from absl import logging

from berylspread.log.records import SnapshotPart
from berylspread.log.state import StateWire, decode_state, encode_state

#: Compressed bytes in one part; with its header, a part fits into one append.
PART_BYTES: Final = 196_608
COMPRESSION_LEVEL: Final = 1
#: Largest number of snapshots whose parts are collected at the same time.
MAX_INCOMPLETE_SNAPSHOTS: Final = 8


def compress_state(wire: StateWire) -> bytes:
    """Return the compressed bytes of a snapshot."""
    return zlib.compress(encode_state(wire), COMPRESSION_LEVEL)


def split_snapshot(
    snapshot_id: str, covers: int, blob: bytes, part_bytes: int = PART_BYTES
) -> Iterator[SnapshotPart]:
    """Yield the parts of a compressed snapshot; part numbers start at 0."""
    starts = range(0, len(blob), part_bytes)
    for part, start in enumerate(starts):
        yield SnapshotPart(
            snapshot_id,
            covers,
            part,
            len(starts),
            blob[start : start + part_bytes],
        )


@final
class SnapshotAssembler:
    """Collects the parts of snapshots; an incomplete snapshot has no effect.

    Parts may arrive in any order and more than once.
    """

    __slots__ = ('parts',)

    def __init__(self) -> None:
        self.parts: collections.OrderedDict[str, dict[int, SnapshotPart]] = (
            collections.OrderedDict()
        )

    def add(self, part: SnapshotPart) -> StateWire | None:
        """Add a part; return the snapshot if this part completes it."""
        found = self.parts.setdefault(part.snapshot_id, {})
        found[part.part] = part
        if len(found) < part.parts:
            self._drop_oldest()
            return None
        del self.parts[part.snapshot_id]
        return _join_parts([found[number] for number in sorted(found)])

    def _drop_oldest(self) -> None:
        if len(self.parts) > MAX_INCOMPLETE_SNAPSHOTS:
            self.parts.popitem(last=False)


def _join_parts(parts: list[SnapshotPart]) -> StateWire | None:
    blob = b''.join(part.blob for part in parts)
    try:
        wire = decode_state(zlib.decompress(blob))
    except (zlib.error, msgspec.DecodeError) as error:
        logging.error(
            'snapshot %s cannot be decoded: %s', parts[0].snapshot_id, error
        )
        return None
    return wire if wire.offset == parts[0].covers else None
