"""A set of task indexes, stored as one bit each."""

from collections.abc import Iterable, Iterator
from typing import final


@final
class IndexSet:
    """A set of small non-negative integers, stored as one bit each."""

    __slots__ = ('bits',)

    def __init__(self, indexes: Iterable[int] = ()) -> None:
        self.bits = 0
        self.update(indexes)

    def add(self, index: int) -> None:
        """Add one index."""
        self.bits |= 1 << index

    def update(self, indexes: Iterable[int]) -> None:
        """Add indexes."""
        for index in indexes:
            self.add(index)

    def to_bytes(self) -> bytes:
        """Return the bits as bytes in little-endian order."""
        return self.bits.to_bytes((self.bits.bit_length() + 7) // 8, 'little')

    @classmethod
    def from_bytes(cls, blob: bytes) -> 'IndexSet':
        """Restore a set from the result of ``to_bytes``."""
        index_set = cls()
        index_set.bits = int.from_bytes(blob, 'little')
        return index_set

    def __contains__(self, index: int) -> bool:
        return bool(self.bits >> index & 1)

    def __len__(self) -> int:
        return self.bits.bit_count()

    def __iter__(self) -> Iterator[int]:
        remaining = self.bits
        while remaining:
            lowest = remaining & -remaining
            yield lowest.bit_length() - 1
            remaining ^= lowest

    def __eq__(self, other: object) -> bool:
        return isinstance(other, IndexSet) and self.bits == other.bits

    def __hash__(self) -> int:
        return hash(self.bits)
