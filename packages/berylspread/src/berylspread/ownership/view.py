"""What ownership sees of the log."""

import asyncio
from collections.abc import Callable
from typing import Any, Protocol, final

from berylspread.kernel.errors import Failure
from berylspread.log.folds import Electorate, UnitClaim
from berylspread.log.records import (
    Claim,
    ElectorateChanged,
    Record,
    Release,
)
from berylspread.log.state import ClusterState


class LogAppender(Protocol):
    """Appends records for this node."""

    async def append(
        self, *records: Record, timeout_s: float | None = None
    ) -> int | Failure:
        """Append records that take effect together; return their offset."""


@final
class LogView:
    """The folded claims and electorates, and how current they are.

    ``tail_seen_at`` returns the loop time at which this node last knew that it
    had read the log to its end, minus infinity if it never did; ``changes``
    counts the records on ownership.
    """

    __slots__ = ('change_count', 'offset_changed', 'state', 'tail_seen_at')

    def __init__(
        self, state: ClusterState, tail_seen_at: Callable[[], float]
    ) -> None:
        """Follow a folded state."""
        self.state = state
        self.tail_seen_at = tail_seen_at
        self.change_count = 1
        self.offset_changed = asyncio.Event()
        for record_type in (Claim, Release, ElectorateChanged):
            state.subscribe(record_type, self._on_change)
        state.on_batch(self._on_batch)
        state.on_restore(self._on_restore)

    def offset(self) -> int:
        """Return the offset of the last entry that was read."""
        return self.state.offset

    def claim(self, unit: str) -> UnitClaim | None:
        """Return the winning claim of a unit's newest epoch."""
        return self.state.units.claim(unit)

    def claims(self) -> list[UnitClaim]:
        """Return the winning claims of every unit."""
        return list(self.state.units.claims.values())

    def electorate(self, region: str) -> Electorate | None:
        """Return a region's newest electorate."""
        return self.state.units.electorate(region)

    def electorates(self) -> list[Electorate]:
        """Return every region's newest electorate."""
        return list(self.state.units.electorates.values())

    def subscribe(
        self, record_type: type[Any], listener: Callable[[int, Any], None]
    ) -> None:
        """Call back with offset and record once a record was applied."""
        self.state.subscribe(record_type, listener)

    def on_restore(self, listener: Callable[[], None]) -> None:
        """Call back after the state was replaced by a snapshot."""
        self.state.on_restore(listener)

    async def wait_for_offset(self, offset: int, timeout_s: float) -> None:
        """Return once an offset has been read, or after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                while self.offset() < offset:
                    self.offset_changed.clear()
                    await self.offset_changed.wait()
        except TimeoutError:
            return

    def _on_change(self, _offset: int, _record: Any) -> None:
        self.change_count += 1

    def _on_restore(self) -> None:
        self.change_count += 1
        self._wake()

    def _on_batch(self, _writer: str, _sequence: int, _offset: int) -> None:
        self._wake()

    def _wake(self) -> None:
        self.offset_changed.set()
