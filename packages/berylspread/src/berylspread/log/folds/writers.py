"""The last sequence number of each writer, which tells repeated batches."""

import collections
from typing import Final, final

import msgspec

#: Writers remembered; an older one has long stopped retrying.
MAX_WRITERS: Final = 4096


@final
class WritersWire(msgspec.Struct, frozen=True, array_like=True):
    """Writers and their last sequence numbers, least recent first."""

    sequences: tuple[tuple[str, int], ...] = ()


@final
class WriterFold:
    """Tells the first copy of a batch from a repeated one."""

    __slots__ = ('sequences',)

    def __init__(self) -> None:
        """Start without any writer."""
        self.sequences: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    def record_if_new(self, writer: str, sequence: int) -> bool:
        """Record a batch; return whether it repeats none of its writer."""
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
        """Rebuild from a snapshot."""
        fold = cls()
        fold.sequences.update(wire.sequences)
        return fold
