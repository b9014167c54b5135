"""Interactive calls: input checks, routing, and tickets for late replies."""

import math
from typing import Final, Protocol, final

import msgspec

from berylspread.backend import CallReply
from berylspread.calls.request_id import new_request_id, parse_issue_time
from berylspread.calls.router import CallInput
from berylspread.config import QueueSection
from berylspread.entry.access import Caller
from berylspread.entry.tickets import TicketCategory, TicketDesk
from berylspread.kernel import now
from berylspread.kernel.errors import DeadlineExceeded, Failure, InvalidInput
from berylspread.runtime import NodeContext

INTERACTIVE: Final = 'interactive'
MAX_REQUEST_ID_LENGTH: Final = 200


class CallRouting(Protocol):
    """The interface of ``berylspread.calls.router.CallRouter``."""

    async def call(self, call: CallInput) -> CallReply | Failure:
        """Return the complete reply, or a failure with the call's run state."""


@final
class CallOptions(msgspec.Struct, frozen=True):
    """The options of a call, without its body.

    ``deadline`` is in seconds since the epoch, ``deadline_s`` in seconds from
    the arrival of the request.  Without either, the queue's default applies.
    """

    request_id: str = ''
    deadline: float | None = None
    deadline_s: float | None = None
    idempotent: bool | None = None
    content_type: str = 'application/octet-stream'
    traceparent: str = ''


@final
class CallHandler:
    """Handles calls to queues of kind ``interactive``."""

    __slots__ = ('context', 'router', 'tickets')

    def __init__(
        self, context: NodeContext, router: CallRouting, tickets: TicketDesk
    ) -> None:
        self.context = context
        self.router = router
        self.tickets = tickets

    def prepare_call(
        self, caller: Caller, queue: QueueSection, options: CallOptions
    ) -> CallInput | Failure:
        """Check the options and return the call without its body."""
        if queue.work != INTERACTIVE:
            return InvalidInput(
                f'queue {queue.label!r} takes jobs, not calls', field='queue'
            )
        if len(options.request_id) > MAX_REQUEST_ID_LENGTH:
            return InvalidInput(
                f'the id is longer than {MAX_REQUEST_ID_LENGTH} characters',
                field='X-Request-Id',
            )
        timeout_s = self._timeout_s(queue, options)
        if isinstance(timeout_s, Failure):
            return timeout_s
        idempotent = options.idempotent
        call = CallInput(
            request_id=options.request_id or self._new_request_id(),
            team=caller.team,
            queue=queue.label,
            shape=queue.shape(),
            timeout_s=timeout_s,
            idempotent=queue.idempotent if idempotent is None else idempotent,
            body=b'',
            content_type=options.content_type,
            region=queue.region,
            traceparent=options.traceparent,
        )
        problem = _request_id_problem(call)
        return call if problem is None else problem

    async def run_call(
        self, call: CallInput, body: bytes
    ) -> CallReply | Failure:
        """Run a prepared call; open a ticket if it misses its deadline."""
        started_at = now()
        reply = await self.router.call(msgspec.structs.replace(call, body=body))
        is_late = now() - started_at >= call.timeout_s
        if is_late or isinstance(reply, DeadlineExceeded):
            self.tickets.open_ticket(
                TicketCategory.deadline_missed,
                call.request_id,
                queue=call.queue,
                team=call.team,
                timeout_s=call.timeout_s,
            )
        return reply

    def _new_request_id(self) -> str:
        return new_request_id(self.context.wall.time())

    def _timeout_s(
        self, queue: QueueSection, options: CallOptions
    ) -> float | Failure:
        if options.deadline is not None and options.deadline_s is not None:
            return InvalidInput(
                'X-Deadline and X-Deadline-S exclude each other',
                field='X-Deadline-S',
            )
        timeout_s = queue.default_deadline_s
        if options.deadline_s is not None:
            timeout_s = options.deadline_s
        if options.deadline is not None:
            timeout_s = options.deadline - self.context.wall.time()
        if math.isnan(timeout_s):
            return InvalidInput(
                'the value is not a number', field='X-Deadline-S'
            )
        if timeout_s <= 0:
            return DeadlineExceeded('the deadline is in the past')
        if timeout_s > queue.max_deadline_s:
            return InvalidInput(
                f'the queue allows at most {queue.max_deadline_s:g} s',
                field='X-Deadline-S',
            )
        return float(timeout_s)


def _request_id_problem(call: CallInput) -> InvalidInput | None:
    if call.idempotent or parse_issue_time(call.request_id) is not None:
        return None
    return InvalidInput(
        'the id of a non-idempotent request must be a UUID of version 7',
        field='X-Request-Id',
    )
