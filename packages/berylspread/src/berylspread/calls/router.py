"""Routing of interactive calls from their entry node to workers."""

import asyncio
from typing import Final, final

import msgspec

from berylspread.backend import BackendClient, CallReply, CallRequest
from berylspread.calls.allowance import SliceBorrower
from berylspread.calls.budget import RetryBudget
from berylspread.calls.messages import (
    CallDone,
    CallSlot,
    CallSlotAsk,
    RegisterAsk,
    Registered,
)
from berylspread.calls.request_id import parse_issue_time
from berylspread.jobs.shards import home_unit, region_by_weight
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import (
    DeadlineExceeded,
    Draining,
    InvalidInput,
    NotRun,
    OutcomeUnknown,
    Overloaded,
    StaleEpoch,
    WorkerUnreachable,
)
from berylspread.model import Resources
from berylspread.partition.messages import UnitEpoch
from berylspread.runtime import NodeContext
from berylspread.runtime.capacities import ReceivedReport

REPLY_MARGIN_S: Final = 0.1
REGISTER_TIMEOUT_S: Final = 2.0
MAX_ATTEMPTS: Final = 4
#: A worker that replies with one of these has certainly not run the call.
NOT_RUN_FAILURES: Final = (StaleEpoch, Overloaded, Draining)
MAX_REPORT_AGE_S: Final = 5.0
PARTITION_WAIT_S: Final = 2.0
PARTITION_POLL_S: Final = 0.1


@final
class CallInput(msgspec.Struct, frozen=True):
    """A call that an entry node has received and checked against its queue.

    ``timeout_s`` is the time from now to the caller's deadline.
    """

    request_id: str
    team: str
    queue: str
    shape: Resources
    timeout_s: float
    idempotent: bool
    body: bytes
    content_type: str = 'application/octet-stream'
    region: str = ''
    traceparent: str = ''


@final
class CallProgress:
    """A call in progress at this node; ``deadline`` is loop time.

    ``may_have_run`` is set while an attempt is in flight, and stays set if a
    worker may have run the call.
    """

    __slots__ = (
        'attempt',
        'avoided_workers',
        'call',
        'deadline',
        'may_have_run',
    )

    def __init__(self, call: CallInput) -> None:
        """Compute the deadline from the present time."""
        self.call = call
        self.deadline = now() + call.timeout_s
        self.attempt = 0
        self.avoided_workers: list[str] = []
        self.may_have_run = False

    @property
    def remaining_s(self) -> float:
        """Seconds until the deadline; negative after it."""
        return self.deadline - now()


@final
class CallRouter:
    """Sends each call to a worker with a free slot and returns its reply."""

    __slots__ = (
        'context',
        'mismatched_replies',
        'retry_budget',
        'slice_borrower',
        'workers',
    )

    def __init__(self, context: NodeContext, workers: BackendClient) -> None:
        self.context = context
        self.workers = workers
        self.slice_borrower = SliceBorrower(context)
        self.retry_budget = RetryBudget()
        self.mismatched_replies = 0

    async def call(self, call: CallInput) -> CallReply | Failure:
        """Run a call; the failure's run state says whether it may have run."""
        progress = CallProgress(call)
        self.retry_budget.earn()
        refusal = await self.slice_borrower.acquire(
            call.team, progress.deadline
        )
        if refusal is not None:
            return refusal
        try:
            return await self._run_with_retries(progress)
        finally:
            await self.slice_borrower.release(call.team)

    async def _run_with_retries(
        self, progress: CallProgress
    ) -> CallReply | Failure:
        if not progress.call.idempotent:
            refusal = await self._register(progress)
            if refusal is not None:
                return refusal
        outcome: CallReply | Failure = NotRun('no attempt was made')
        for _ in range(MAX_ATTEMPTS):
            outcome = await self._attempt(progress)
            if not self._should_retry(progress, outcome):
                break
        return self._to_final_outcome(progress, outcome)

    async def _register(self, progress: CallProgress) -> Failure | None:
        call = progress.call
        issued = parse_issue_time(call.request_id)
        if issued is None:
            return InvalidInput(
                'the id of a non-idempotent request is a UUID of version 7',
                field='X-Request-Id',
            )
        # A copy sent to an entry node in another region has the same home.
        region = call.region or region_by_weight(
            self.context, f'{call.team}\0{call.request_id}'
        )
        unit = home_unit(self.context, call.team, region)
        owner = self.context.owner(unit)
        node, epoch = ('', 0) if owner is None else (owner[0].node, owner[1])
        reply = await self.context.peers.request(
            node,
            RegisterAsk(
                UnitEpoch(unit, epoch),
                call.request_id,
                self.context.ref.node,
                issued,
                self.context.wall.time() + progress.remaining_s,
            ),
            Registered,
            timeout_s=min(REGISTER_TIMEOUT_S, max(progress.remaining_s, 0)),
        )
        if isinstance(reply, Failure):
            return NotRun('the request could not be registered')
        if reply.is_first:
            return None
        return OutcomeUnknown(
            'a copy of the request was or may have been sent before',
            request_id=call.request_id,
            is_certain=reply.is_certain,
        )

    async def _attempt(self, progress: CallProgress) -> CallReply | Failure:
        progress.attempt += 1
        chosen = await self._find_partition(progress)
        if chosen is None:
            return Overloaded('no partition has capacity for the call')
        slot = await self._request_slot(progress, chosen)
        if isinstance(slot, Failure):
            return slot
        started = now()
        reply = await self._send(progress, slot)
        failed = isinstance(reply, Failure)
        self.context.peers.send(
            chosen.node,
            CallDone(
                unit=slot.partition.unit,
                request_id=progress.call.request_id,
                attempt=progress.attempt,
                queue=progress.call.queue,
                served_s=0.0 if failed else now() - started,
                failed=failed,
                may_run=_may_have_run(reply),
            ),
        )
        if failed:
            progress.avoided_workers.append(slot.worker.vm_id)
        return reply

    async def _request_slot(
        self, progress: CallProgress, chosen: ReceivedReport
    ) -> CallSlot | Failure:
        call = progress.call
        if progress.remaining_s <= 0:
            return DeadlineExceeded('the deadline has passed')
        unit = chosen.report.partition.unit
        reply = await self.context.peers.request(
            chosen.node,
            CallSlotAsk(
                unit=unit,
                request_id=call.request_id,
                attempt=progress.attempt,
                team=call.team,
                queue=call.queue,
                shape=call.shape,
                wait_s=progress.remaining_s,
                avoid_workers=progress.avoided_workers,
            ),
            CallSlot,
            timeout_s=progress.remaining_s + REPLY_MARGIN_S,
        )
        if isinstance(reply, Failure):
            # The owner may have granted the slot; this frees it.
            self.context.peers.send(
                chosen.node,
                CallDone(unit, call.request_id, progress.attempt),
            )
        return reply

    async def _send(
        self, progress: CallProgress, slot: CallSlot
    ) -> CallReply | Failure:
        call = progress.call
        if progress.remaining_s <= 0:
            return DeadlineExceeded(
                'the deadline passed before the call was sent'
            )
        may_have_run_before = progress.may_have_run
        progress.may_have_run = True
        reply = await self.workers.call(
            slot.worker,
            CallRequest(
                request_id=call.request_id,
                attempt=progress.attempt,
                team=call.team,
                queue=call.queue,
                unit=slot.partition.unit,
                epoch=slot.partition.epoch,
                timeout_s=progress.remaining_s,
                body=call.body,
                shape=call.shape,
                content_type=call.content_type,
                traceparent=call.traceparent,
            ),
        )
        if isinstance(reply, Failure):
            progress.may_have_run = may_have_run_before or _may_have_run(reply)
            return reply
        if (reply.request_id, reply.attempt) != (
            call.request_id,
            progress.attempt,
        ):
            self.mismatched_replies += 1
            return WorkerUnreachable(
                'the reply belongs to another call', sent=True
            )
        return reply

    def _should_retry(
        self, progress: CallProgress, outcome: CallReply | Failure
    ) -> bool:
        if not isinstance(outcome, Failure) or progress.remaining_s <= 0:
            return False
        if isinstance(outcome, DeadlineExceeded | Overloaded):
            return False
        if progress.may_have_run and not progress.call.idempotent:
            return False
        return self.retry_budget.spend()

    def _to_final_outcome(
        self, progress: CallProgress, outcome: CallReply | Failure
    ) -> CallReply | Failure:
        if not isinstance(outcome, Failure):
            return outcome
        if progress.may_have_run:
            return OutcomeUnknown(outcome.reason, **outcome.fields)
        if isinstance(outcome, DeadlineExceeded | Overloaded):
            return outcome
        return NotRun(outcome.reason, **outcome.fields)

    async def _find_partition(
        self, progress: CallProgress
    ) -> ReceivedReport | None:
        # After a handover a rack has no capacity until its workers report.
        ends_at = now() + min(PARTITION_WAIT_S, progress.remaining_s / 2)
        chosen = self._choose_partition(progress)
        while chosen is None and now() < ends_at:
            await asyncio.sleep(PARTITION_POLL_S)
            chosen = self._choose_partition(progress)
        return chosen

    def _choose_partition(
        self, progress: CallProgress
    ) -> ReceivedReport | None:
        region = progress.call.region or self.context.region
        near = self._usable_partitions(progress, region)
        usable = near or self._usable_partitions(progress, '')
        if not usable:
            return None
        # The better of two random choices spreads the calls.  If each node
        # chose the best partition, all would send their calls to the same one.
        picked = [self.context.rng.choice(usable) for _ in range(2)]
        return max(picked, key=_room_rank)

    def _usable_partitions(
        self, progress: CallProgress, region: str
    ) -> list[ReceivedReport]:
        oldest = now() - MAX_REPORT_AGE_S
        return [
            known
            for known in self.context.capacities.reports_of(region)
            if known.received_at > oldest
            and self._is_current_owner(known)
            and progress.call.shape.fits(known.report.largest)
        ]

    def _is_current_owner(self, known: ReceivedReport) -> bool:
        # The report of a superseded owner stays until its successor reports.
        partition = known.report.partition
        owner = self.context.owner(partition.unit)
        return owner is None or owner[1] <= partition.epoch


def _may_have_run(reply: CallReply | Failure) -> bool:
    """Return whether a worker may run a call that it has not replied to."""
    if not isinstance(reply, Failure) or isinstance(reply, NOT_RUN_FAILURES):
        return False
    return bool(reply.fields.get('sent', True))


def _room_rank(known: ReceivedReport) -> tuple[int, int]:
    return known.report.free.slots - known.report.waiting, -known.report.waiting
