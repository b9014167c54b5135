"""Waits until the store has confirmed a coordinator after a moment.

An answer that rests on what a coordinator does not know is only true while it
has no successor.  That is known of the moments before the begin of a request to
the store that has confirmed its authority.
"""

import asyncio
import collections
from typing import Final, final

from berylspread.coordinator.authority import EpochAuthority
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, NotOwner

#: The longest wait for a confirmation of the authority; the record is renewed
#: several times in this time.
CONFIRM_TIMEOUT_S: Final = 1.0
CONFIRM_POLL_S: Final = 0.02
#: The most requests that wait at a time.  Others of the same peer, of which
#: twice as many are handled at a time, are not kept out by them.
MAX_WAITING: Final = 512

#: Done with whether the authority was confirmed in time.
Confirmed = asyncio.Future[bool]


@final
class Confirmations:
    """The requests that wait for a confirmation, in the order of arrival.

    All of them share one task, which ends once none waits.
    """

    __slots__ = ('authority', 'task', 'waiting')

    def __init__(self, authority: EpochAuthority) -> None:
        """Set the authority of the coordinator that answers."""
        self.authority = authority
        #: Since when a request waits, in loop time, and its future.
        self.waiting: collections.deque[tuple[float, Confirmed]] = (
            collections.deque()
        )
        self.task: asyncio.Task[None] | None = None

    def is_full(self) -> bool:
        """Return whether no further request should wait."""
        return len(self.waiting) >= MAX_WAITING

    async def wait(self) -> Failure | None:
        """Wait for a confirmation that began after this call.

        Returns ``NotOwner`` if none has come after ``CONFIRM_TIMEOUT_S``.
        """
        confirmed: Confirmed = asyncio.get_running_loop().create_future()
        self.waiting.append((now(), confirmed))
        if self.task is None:
            self.task = asyncio.create_task(self._settle_all())
        if await confirmed:
            return None
        return NotOwner('the authority is not confirmed')

    async def _settle_all(self) -> None:
        try:
            while self.waiting:
                await asyncio.sleep(CONFIRM_POLL_S)
                self._settle_due()
        finally:
            self.task = None

    def _settle_due(self) -> None:
        moment = now()
        confirmed_at = moment - self.authority.age_s()
        while self.waiting:
            since, confirmed = self.waiting[0]
            is_confirmed = confirmed_at > since
            if not is_confirmed and moment - since <= CONFIRM_TIMEOUT_S:
                return
            self.waiting.popleft()
            # A caller that has left has cancelled its future.
            if not confirmed.done():
                confirmed.set_result(is_confirmed)
