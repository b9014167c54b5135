"""The slots of one partition for interactive calls, and who waits for them."""

import asyncio
from typing import Final, final

from berylspread.calls.messages import CallDone, CallSlot, CallSlotAsk
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import DeadlineExceeded, NotOwner
from berylspread.limits import BookedWork, WorkerView
from berylspread.model import JobKind
from berylspread.partition.owner import PartitionOwner
from berylspread.placement.calls import CallQueue, WaitingCall

#: A slot is free again this long after the call's deadline at the latest.
BOOKING_MARGIN_S: Final = 1.0
#: What is left of the deadline for the ways to the worker and back.
NETWORK_MARGIN_S: Final = 0.05
MAX_CANDIDATES: Final = 16
CALL_CLASS: Final = 'interactive'


@final
class PendingRequest:
    """A call that waits, with the question that it came from."""

    __slots__ = ('call', 'reply', 'request')

    def __init__(self, request: CallSlotAsk, call: WaitingCall) -> None:
        """Keep the question and an open answer."""
        self.request = request
        self.call = call
        self.reply: asyncio.Future[CallSlot | Failure] = (
            asyncio.get_running_loop().create_future()
        )


@final
class CallSlots:
    """Grants slots in the order of the waiting line."""

    __slots__ = ('call_queue', 'owner', 'pending', 'unplaced')

    def __init__(self, owner: PartitionOwner) -> None:
        """Start without calls."""
        self.owner = owner
        self.call_queue = CallQueue(
            0, team_weight=owner.context.document.entitled_share
        )
        self.pending: dict[str, PendingRequest] = {}
        self.unplaced: list[PendingRequest] = []

    async def acquire(self, ask: CallSlotAsk) -> CallSlot | Failure:
        """Wait for a slot until the call's deadline."""
        key = booking_key(ask.request_id, ask.attempt)
        call = WaitingCall(
            key, ask.team, ask.queue, now() + ask.wait_s - NETWORK_MARGIN_S
        )
        self.call_queue.slots = self._total_slots()
        refusal = self.call_queue.enqueue(
            call, now(), free_slots=self._free_slots()
        )
        if refusal is not None:
            return refusal
        applicant = PendingRequest(ask, call)
        self.pending[key] = applicant
        self.grant_slots()
        try:
            async with asyncio.timeout(ask.wait_s):
                return await asyncio.shield(applicant.reply)
        except TimeoutError:
            return DeadlineExceeded('no slot became free in time')
        finally:
            self._remove(key)

    def release(self, message: CallDone) -> str:
        """Free the slot of a call that has ended; return its worker."""
        key = booking_key(message.request_id, message.attempt)
        booking = self.owner.ledger.bookings.get(key)
        self._remove(key)
        # A call that may still run keeps its slot until the booking expires.
        if not message.may_run:
            self.owner.ledger.release(key)
        if message.served_s:
            self.call_queue.service_times.observe(
                message.queue, message.served_s
            )
        self.grant_slots()
        return booking.worker if booking else ''

    def grant_slots(self) -> None:
        """Grant what is free to the calls that go first."""
        if not self.owner.tenure.is_valid(now()):
            return
        for late in self.call_queue.expire(now()):
            self._refuse(late)
        waiting, self.unplaced = self.unplaced, []
        for applicant in waiting:
            self._try_grant(applicant)
        while not self.unplaced:
            call = self.call_queue.dequeue(now())
            if call is None:
                return
            applicant = self.pending[call.request_id]
            self._try_grant(applicant)

    def close(self) -> None:
        """Refuse all who wait; none of their calls has run."""
        for applicant in list(self.pending.values()):
            if not applicant.reply.done():
                applicant.reply.set_result(
                    NotOwner('the partition has another owner')
                )

    @property
    def waiting_count(self) -> int:
        """How many calls wait."""
        return len(self.call_queue.waiting_calls) + len(self.unplaced)

    def _try_grant(self, applicant: PendingRequest) -> None:
        if applicant.reply.done():
            return
        worker = self._choose_worker(applicant.request)
        if worker is None:
            self.unplaced.append(applicant)
            return
        ask = applicant.request
        booked = self.owner.ledger.book(
            worker.worker,
            applicant.call.request_id,
            ask.shape,
            BookedWork(
                ask.team,
                CALL_CLASS,
                kind=JobKind.service,
                started_at=now(),
                expected_end=applicant.call.deadline_at,
            ),
            expires_at=applicant.call.deadline_at + BOOKING_MARGIN_S,
        )
        if isinstance(booked, Failure):
            self.unplaced.append(applicant)
            return
        applicant.reply.set_result(CallSlot(self.owner.unit, worker.vm))

    def _choose_worker(self, ask: CallSlotAsk) -> WorkerView | None:
        found = [
            worker
            for worker in self.owner.ledger.candidates(
                ask.shape, MAX_CANDIDATES
            )
            if worker.unit == self.owner.unit.unit
            and worker.worker not in ask.avoid_workers
        ]
        return max(
            found,
            key=lambda worker: (worker.free.slots, -worker.fault_probability),
            default=None,
        )

    def _refuse(self, call: WaitingCall) -> None:
        applicant = self.pending.get(call.request_id)
        if applicant is not None and not applicant.reply.done():
            applicant.reply.set_result(
                DeadlineExceeded('the deadline can no longer be met')
            )

    def _remove(self, key: str) -> None:
        applicant = self.pending.pop(key, None)
        if applicant is None:
            return
        self.call_queue.cancel(key)
        if applicant in self.unplaced:
            self.unplaced.remove(applicant)
        if not applicant.reply.done():
            applicant.reply.cancel()

    def _free_slots(self) -> int:
        return sum(
            max(view.free.slots, 0)
            for view in self.owner.ledger.workers.values()
            if not view.barriers
        )

    def _total_slots(self) -> int:
        return sum(
            view.capacity.slots for view in self.owner.ledger.workers.values()
        )


def booking_key(request_id: str, attempt: int) -> str:
    """Return the name of a call's booking."""
    return f'call:{request_id}.{attempt}'
