"""The entry service: all operations of a node, independent of protocol."""

from collections.abc import Callable
from typing import final

from berylspread.config.operations import Operations
from berylspread.config.vouching import KeyGuard
from berylspread.entry.access import AccessControl, OperatorAccess
from berylspread.entry.administration import (
    ConfigAdministration,
    KeyAdministration,
)
from berylspread.entry.calls import CallHandler, CallRouting
from berylspread.entry.drains import DrainAdministration
from berylspread.entry.fleet import FleetViews, StatusServer
from berylspread.entry.jobs import Describer, JobQueries, JobServer
from berylspread.entry.submission import JobSubmission
from berylspread.entry.tickets import TicketDesk
from berylspread.model import Resources
from berylspread.runtime import NodeContext


@final
class EntryService:
    """The operations that one node offers to callers and operators."""

    __slots__ = (
        'access',
        'calls',
        'config',
        'context',
        'drains',
        'fleet',
        'job_server',
        'jobs',
        'keys',
        'operators',
        'status_server',
        'submission',
        'tickets',
    )

    def __init__(
        self,
        context: NodeContext,
        *,
        router: CallRouting,
        guard: KeyGuard,
        operations: Operations,
        describer: Describer,
        used_by_team: Callable[[], dict[str, Resources]],
        is_ready: Callable[[], bool],
        operator_digests: tuple[str, ...] = (),
    ) -> None:
        """Build the operations and register the handlers of peer requests.

        ``used_by_team`` returns the resources that each team uses, as counted
        by the homes on this node.
        """
        self.context = context
        self.access = AccessControl(context, guard)
        self.operators = OperatorAccess(operator_digests)
        self.tickets = TicketDesk(context)
        self.calls = CallHandler(context, router, self.tickets)
        self.submission = JobSubmission(context)
        self.jobs = JobQueries(context)
        self.fleet = FleetViews(context)
        self.config = ConfigAdministration(context, operations, self.fleet)
        self.drains = DrainAdministration(context)
        self.keys = KeyAdministration(context, operations)
        self.job_server = JobServer(context, describer)
        self.status_server = StatusServer(context, is_ready, used_by_team)

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send callers to this node."""
        return self.status_server.is_ready()
