"""The last sequence number of each writer, used to detect repeated batches."""

import collections
from typing import Final, final

import msgspec

#: Writers that are remembered; a writer that is older than these no longer
#: retries.
MAX_WRITERS: Final = 4096


@final
class WritersWire(msgspec.Struct, frozen=True, array_like=True):
    """Writers and their last sequence numbers, least recent first."""

    sequences: tuple[tuple[str, int], ...] = ()


@final
class WriterFold:
    """Distinguishes the first copy of a batch from repeated ones."""

    __slots__ = ('sequences',)

    def __init__(self) -> None:
        self.sequences: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def record_if_new(self, writer: str, sequence: int) -> bool:
        """Record a batch unless it is a repeat; return whether it is new."""
        if sequence <= self.last_sequence(writer):
            return False
        self.sequences[writer] = sequence
        self.sequences.move_to_end(writer)
        if len(self.sequences) > MAX_WRITERS:
            self.sequences.popitem(last=False)
        return True

    def last_sequence(self, writer: str) -> int:
        """Return the last sequence number of a writer; 0 if unknown."""
        return self.sequences.get(writer, 0)

    def to_wire(self) -> WritersWire:
        """Return the contents for a snapshot."""
        return WritersWire(tuple(self.sequences.items()))

    @classmethod
    def from_wire(cls, wire: WritersWire) -> 'WriterFold':
        """Restore the contents from a snapshot."""
        fold = cls()
        fold.sequences.update(wire.sequences)
        return fold
