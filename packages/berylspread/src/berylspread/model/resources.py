"""Amounts of resources that workers have and tasks need."""

from typing import Final, final

import msgspec

DIMENSIONS: Final = ('cpu_milli', 'memory_mib', 'accelerators', 'slots')


@final
class Resources(msgspec.Struct, frozen=True, array_like=True):
    """A resource vector: millicores, MiB of memory, accelerators and slots."""

    cpu_milli: int = 0
    memory_mib: int = 0
    accelerators: int = 0
    slots: int = 0

    def __add__(self, other: 'Resources') -> 'Resources':
        """Add each dimension."""
        return Resources(
            self.cpu_milli + other.cpu_milli,
            self.memory_mib + other.memory_mib,
            self.accelerators + other.accelerators,
            self.slots + other.slots,
        )

    def __sub__(self, other: 'Resources') -> 'Resources':
        """Subtract each dimension; the difference may be negative."""
        return Resources(
            self.cpu_milli - other.cpu_milli,
            self.memory_mib - other.memory_mib,
            self.accelerators - other.accelerators,
            self.slots - other.slots,
        )

    def __mul__(self, count: int) -> 'Resources':
        """Multiply each dimension by a count of tasks."""
        return Resources(
            self.cpu_milli * count,
            self.memory_mib * count,
            self.accelerators * count,
            self.slots * count,
        )

    def fits(self, free: 'Resources') -> bool:
        """Return whether this amount fits into ``free`` in every dimension."""
        return (
            self.cpu_milli <= free.cpu_milli
            and self.memory_mib <= free.memory_mib
            and self.accelerators <= free.accelerators
            and self.slots <= free.slots
        )

    def fit_count(self, free: 'Resources') -> int:
        """Return how many times this amount fits into ``free``."""
        # Unrolled for speed: a placement calls this for hundreds of workers.
        counts = []
        if self.cpu_milli > 0:
            counts.append(free.cpu_milli // self.cpu_milli)
        if self.memory_mib > 0:
            counts.append(free.memory_mib // self.memory_mib)
        if self.accelerators > 0:
            counts.append(free.accelerators // self.accelerators)
        if self.slots > 0:
            counts.append(free.slots // self.slots)
        return max(min(counts, default=0), 0)

    def dominant_share(self, total: 'Resources') -> float:
        """Return this amount's largest share of ``total`` in any dimension."""
        return max(
            (
                getattr(self, name) / getattr(total, name)
                for name in DIMENSIONS
                if getattr(total, name) > 0
            ),
            default=0.0,
        )

    def is_non_negative(self) -> bool:
        """Return whether no dimension is negative."""
        return all(getattr(self, name) >= 0 for name in DIMENSIONS)

    def misfit_dimension(self, free: 'Resources') -> str | None:
        """Return the first dimension that does not fit, or ``None``."""
        return next(
            (
                name
                for name in DIMENSIONS
                if getattr(self, name) > getattr(free, name)
            ),
            None,
        )


ZERO: Final = Resources()
