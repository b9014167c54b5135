"""The help desk: a ticket for each problem that a user would report.

Every node opens the same tickets for problems that the log shows.  A ticket
for any other problem exists only on the node that detected it.
"""

import collections
import enum
from typing import Any, Final, final

from opentelemetry import trace

from berylspread.entry.messages import TicketsAsk, TicketsReply
from berylspread.entry.views import TicketView
from berylspread.log import JobEnded, TasksEnded
from berylspread.log.folds.jobs import EndedJob
from berylspread.model import JobSpec, NodeRef, TaskState
from berylspread.runtime import NodeContext

MAX_TICKETS: Final = 500


@final
class TicketCategory(enum.Enum):
    """The kind of problem that a ticket reports."""

    deadline_missed = 'deadline-missed'
    lost_task = 'lost-task'
    duplicate_execution = 'duplicate-execution'
    unstaffed_singleton = 'unstaffed-singleton'


LOST_STATES: Final = frozenset((TaskState.lost, TaskState.unknown))


@final
class TicketDesk:
    """This node's newest tickets, at most one per category and subject."""

    __slots__ = ('context', 'opened_by_category', 'tickets')

    def __init__(self, context: NodeContext) -> None:
        """Subscribe to the log's records and register the peer handler."""
        self.context = context
        self.tickets: collections.OrderedDict[str, TicketView] = (
            collections.OrderedDict()
        )
        self.opened_by_category: collections.Counter[str] = (
            collections.Counter()
        )
        context.state.subscribe(TasksEnded, self._on_tasks_ended)
        context.state.subscribe(JobEnded, self._on_job_ended)
        context.peers.register_handler(TicketsAsk, self._handle_request)

    def open_ticket(
        self, category: TicketCategory, subject: str, **detail: Any
    ) -> None:
        """Open a ticket with the current trace id.

        If a ticket of this category and subject is kept, nothing changes.
        """
        ticket = f'{category.value}/{subject}'
        if ticket in self.tickets:
            return
        self.tickets[ticket] = TicketView(
            ticket=ticket,
            category=category.value,
            subject=subject,
            detail=detail,
            opened_at=self.context.wall.time(),
            node=self.context.ref.node,
            trace_id=_trace_id(),
        )
        if len(self.tickets) > MAX_TICKETS:
            self.tickets.popitem(last=False)
        self.opened_by_category[category.value] += 1

    def newest_first(self) -> list[TicketView]:
        """Return this node's tickets, the newest first."""
        return list(reversed(self.tickets.values()))

    async def _handle_request(
        self, source: NodeRef, request: TicketsAsk
    ) -> TicketsReply:
        return TicketsReply(self.newest_first(), dict(self.opened_by_category))

    def _on_tasks_ended(self, offset: int, record: TasksEnded) -> None:
        for end in record.ends:
            if end.state in LOST_STATES:
                self.open_ticket(
                    TicketCategory.lost_task,
                    f'{record.job_id}/{end.index}',
                    state=end.state.value,
                    reason=end.reason,
                    offset=offset,
                )

    def _on_job_ended(self, offset: int, record: JobEnded) -> None:
        jobs = self.context.state.jobs
        ended = jobs.ended.get(record.job_id)
        if ended is None or not _is_late(ended, ended.spec):
            return
        self.open_ticket(
            TicketCategory.deadline_missed,
            record.job_id,
            deadline=ended.spec.deadline,
            ended_at=ended.ended_at,
            offset=offset,
        )


def _is_late(ended: EndedJob, spec: JobSpec) -> bool:
    if spec.deadline is None or ended.state is TaskState.cancelled:
        return False
    return ended.ended_at > spec.deadline


def _trace_id() -> str:
    span = trace.get_current_span().get_span_context()
    return trace.format_trace_id(span.trace_id) if span.is_valid else ''
