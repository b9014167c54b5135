"""Granting of a partition's slots to interactive calls."""

import asyncio
from typing import Final, final

from berylspread.calls.messages import CallDone, CallSlot, CallSlotAsk
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import DeadlineExceeded, NotOwner
from berylspread.limits import BookedWork, WorkerView
from berylspread.model import JobKind
from berylspread.partition.owner import PartitionOwner
from berylspread.placement.calls import CallQueue, WaitingCall

#: The booking of a slot expires this long after the call's deadline.
BOOKING_MARGIN_S: Final = 1.0
#: Part of the time to the deadline that is kept for network delays.
NETWORK_MARGIN_S: Final = 0.05
MAX_CANDIDATES: Final = 16
CALL_CLASS: Final = 'interactive'


@final
class PendingRequest:
    """A request for a slot that has no reply yet."""

    __slots__ = ('call', 'reply', 'request')

    def __init__(self, request: CallSlotAsk, call: WaitingCall) -> None:
        self.request = request
        self.call = call
        self.reply: asyncio.Future[CallSlot | Failure] = (
            asyncio.get_running_loop().create_future()
        )


@final
class CallSlots:
    """Grants slots in the order of the call queue.

    ``unplaced`` are requests that were dequeued when no worker had room.
    """

    __slots__ = ('call_queue', 'owner', 'pending', 'unplaced')

    def __init__(self, owner: PartitionOwner) -> None:
        self.owner = owner
        self.call_queue = CallQueue(
            0, team_weight=owner.context.document.entitled_share
        )
        self.pending: dict[str, PendingRequest] = {}
        self.unplaced: list[PendingRequest] = []

    async def acquire(self, request: CallSlotAsk) -> CallSlot | Failure:
        """Wait for a slot until the call's deadline; return it or a refusal."""
        key = booking_key(request.request_id, request.attempt)
        call = WaitingCall(
            key,
            request.team,
            request.queue,
            now() + request.wait_s - NETWORK_MARGIN_S,
        )
        self.call_queue.slots = self._total_slots()
        refusal = self.call_queue.enqueue(
            call, now(), free_slots=self._free_slots()
        )
        if refusal is not None:
            return refusal
        pending = PendingRequest(request, call)
        self.pending[key] = pending
        self.grant_slots()
        try:
            async with asyncio.timeout(request.wait_s):
                return await asyncio.shield(pending.reply)
        except TimeoutError:
            return DeadlineExceeded('no slot became free in time')
        finally:
            self._remove(key)

    def release(self, message: CallDone) -> str:
        """Free the slot of a call that has ended; return its worker or ''."""
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
        """Grant the free slots to the first calls of the queue."""
        if not self.owner.tenure.is_valid(now()):
            return
        for late_call in self.call_queue.expire(now()):
            self._refuse(late_call)
        unplaced, self.unplaced = self.unplaced, []
        for pending in unplaced:
            self._try_grant(pending)
        while not self.unplaced:
            call = self.call_queue.dequeue(now())
            if call is None:
                return
            pending = self.pending[call.request_id]
            self._try_grant(pending)

    def close(self) -> None:
        """Refuse all pending requests; none of their calls has run."""
        for pending in list(self.pending.values()):
            if not pending.reply.done():
                pending.reply.set_result(
                    NotOwner('the partition has another owner')
                )

    @property
    def waiting_count(self) -> int:
        """Number of calls that wait for a slot."""
        return len(self.call_queue.waiting_calls) + len(self.unplaced)

    def _try_grant(self, pending: PendingRequest) -> None:
        if pending.reply.done():
            return
        worker = self._choose_worker(pending.request)
        if worker is None:
            self.unplaced.append(pending)
            return
        request = pending.request
        booked = self.owner.ledger.book(
            worker.worker,
            pending.call.request_id,
            request.shape,
            BookedWork(
                request.team,
                CALL_CLASS,
                kind=JobKind.service,
                started_at=now(),
                expected_end=pending.call.deadline_at,
            ),
            expires_at=pending.call.deadline_at + BOOKING_MARGIN_S,
        )
        if isinstance(booked, Failure):
            self.unplaced.append(pending)
            return
        pending.reply.set_result(CallSlot(self.owner.unit, worker.vm))

    def _choose_worker(self, request: CallSlotAsk) -> WorkerView | None:
        found = [
            worker
            for worker in self.owner.ledger.candidates(
                request.shape, MAX_CANDIDATES
            )
            if worker.unit == self.owner.unit.unit
            and worker.worker not in request.avoid_workers
        ]
        return max(
            found,
            key=lambda worker: (worker.free.slots, -worker.fault_probability),
            default=None,
        )

    def _refuse(self, call: WaitingCall) -> None:
        pending = self.pending.get(call.request_id)
        if pending is not None and not pending.reply.done():
            pending.reply.set_result(
                DeadlineExceeded('the deadline can no longer be met')
            )

    def _remove(self, key: str) -> None:
        pending = self.pending.pop(key, None)
        if pending is None:
            return
        self.call_queue.cancel(key)
        if pending in self.unplaced:
            self.unplaced.remove(pending)
        if not pending.reply.done():
            pending.reply.cancel()

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
    """Return the key of the booking for an attempt of a call."""
    return f'call:{request_id}.{attempt}'
