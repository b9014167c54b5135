"""The part of the log that ownership uses."""

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
        """Append records as one batch; return their offset."""


@final
class LogView:
    """The claims and electorates in the log, and how current they are.

    ``tail_seen_at`` returns the loop time at which this node last knew that it
    had read the log to its end, or minus infinity if it never did.
    ``change_count`` grows with each record on ownership and each snapshot.
    """

    __slots__ = ('change_count', 'offset_changed', 'state', 'tail_seen_at')

    def __init__(
        self, state: ClusterState, tail_seen_at: Callable[[], float]
    ) -> None:
        self.state = state
        self.tail_seen_at = tail_seen_at
        self.change_count = 1
        self.offset_changed = asyncio.Event()
        for record_type in (Claim, Release, ElectorateChanged):
            state.subscribe(record_type, self._on_change)
        state.on_batch(self._on_batch)
        state.on_restore(self._on_restore)

    def offset(self) -> int:
        """Return the offset of the last log entry that was read."""
        return self.state.offset

    def claim(self, unit: str) -> UnitClaim | None:
        """Return the winning claim of a unit's newest epoch, if any."""
        return self.state.units.claim(unit)

    def claims(self) -> list[UnitClaim]:
        """Return the winning claim of each unit's newest epoch."""
        return list(self.state.units.claims.values())

    def electorate(self, region: str) -> Electorate | None:
        """Return a region's newest electorate, if any."""
        return self.state.units.electorate(region)

    def electorates(self) -> list[Electorate]:
        """Return every region's newest electorate."""
        return list(self.state.units.electorates.values())

    def subscribe(
        self, record_type: type[Any], listener: Callable[[int, Any], None]
    ) -> None:
        """Call a listener with offset and record after a record is applied."""
        self.state.subscribe(record_type, listener)

    def on_restore(self, listener: Callable[[], None]) -> None:
        """Call a listener after a snapshot has replaced the state."""
        self.state.on_restore(listener)

    async def wait_for_offset(self, offset: int, timeout_s: float) -> None:
        """Wait until an offset has been read, or until the timeout."""
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
