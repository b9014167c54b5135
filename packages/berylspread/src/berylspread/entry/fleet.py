"""Views of the fleet for operators: nodes, workers, teams, queues, tickets."""

import asyncio
import collections
from collections.abc import Callable
from typing import Final, TypeVar, final

from msgspec import structs

from berylspread.entry.messages import (
    StatusAsk,
    StatusReply,
    TicketsAsk,
    TicketsReply,
)
from berylspread.entry.views import (
    NodeView,
    QueueView,
    StatusView,
    TeamView,
    TicketView,
    WorkerView,
)
from berylspread.kernel.errors import Failure
from berylspread.kernel.invariants import violations
from berylspread.log.folds.jobs import JobFold
from berylspread.membership import Liveness, Member
from berylspread.model import ZERO, NodeRef, Resources, Vm, partition_unit
from berylspread.peers import Message
from berylspread.runtime import NodeContext

REQUEST_TIMEOUT_S: Final = 1.0
PRODUCTION: Final = 'production'

ReplyT = TypeVar('ReplyT', bound=Message)


@final
class StatusServer:
    """Handles status requests of other nodes."""

    __slots__ = ('context', 'is_ready', 'used_by_team')

    def __init__(
        self,
        context: NodeContext,
        is_ready: Callable[[], bool],
        used_by_team: Callable[[], dict[str, Resources]],
    ) -> None:
        """Register the handler.

        ``used_by_team`` returns the resources that each team uses, as counted
        by the homes on this node.
        """
        self.context = context
        self.is_ready = is_ready
        self.used_by_team = used_by_team
        context.peers.register_handler(StatusAsk, self.handle_request)

    async def handle_request(
        self, source: NodeRef, request: StatusAsk
    ) -> StatusReply:
        """Return this node's status."""
        configs = self.context.state.configs
        return StatusReply(
            ready=self.is_ready(),
            log_offset=self.context.state.offset,
            versions={
                name: versions[-1].version
                for name, versions in configs.versions.items()
                if versions
            },
            units=sorted(
                tenure.unit for tenure in self.context.ownership.owned()
            ),
            violations=dict(violations),
            used=self.used_by_team(),
        )


@final
class FleetViews:
    """Builds the views from the log and from the replies of the nodes.

    A node that does not reply contributes nothing.
    """

    __slots__ = ('context',)

    def __init__(self, context: NodeContext) -> None:
        self.context = context

    @property
    def job_fold(self) -> JobFold:
        """The jobs in the state of the log."""
        return self.context.state.jobs

    async def system_status(self) -> StatusView:
        """Return a summary of the whole system."""
        nodes = await self.nodes()
        tickets = await self.tickets()
        violation_counts: collections.Counter[str] = collections.Counter()
        for node_view in nodes:
            violation_counts.update(node_view.violations)
        claims = self.context.state.units.claims
        version = self.context.state.configs.version_in_force(PRODUCTION)
        return StatusView(
            environment=PRODUCTION,
            version=version.version if version else 0,
            nodes=len(nodes),
            nodes_ready=sum(node.ready for node in nodes),
            workers=len(self.context.membership.workers()),
            jobs=self._job_counts(),
            units=len(claims),
            units_unowned=sum(
                claim.release_offset > 0 for claim in claims.values()
            ),
            tickets=len(tickets),
            violations=dict(violation_counts),
        )

    async def nodes(self) -> list[NodeView]:
        """Return every known entry node, with its own status if it replied."""
        members = sorted(
            self.context.membership.members(), key=lambda member: member.node
        )
        replies = await self._request_from_all(
            members, StatusAsk(), StatusReply
        )
        return [
            _node_view(member, reply)
            for member, reply in zip(members, replies, strict=True)
        ]

    async def tickets(self) -> list[TicketView]:
        """Return the tickets of every node without duplicates, newest first."""
        replies = await self._request_from_all(
            self.context.membership.members(), TicketsAsk(), TicketsReply
        )
        by_id: dict[str, TicketView] = {}
        for reply in replies:
            if isinstance(reply, TicketsReply):
                for ticket in reply.tickets:
                    by_id.setdefault(ticket.ticket, ticket)
        return sorted(
            by_id.values(), key=lambda ticket: ticket.opened_at, reverse=True
        )

    async def used_by_team(self) -> dict[str, Resources]:
        """Return the resources that each team uses, without silent nodes."""
        replies = await self._request_from_all(
            self.context.membership.members(), StatusAsk(), StatusReply
        )
        total: dict[str, Resources] = {}
        for reply in replies:
            if isinstance(reply, StatusReply):
                for team, amount in reply.used.items():
                    total[team] = total.get(team, ZERO) + amount
        return total

    def workers(self) -> list[WorkerView]:
        """Return every listed worker and the node that owns its rack."""
        listed = sorted(
            self.context.membership.workers(), key=lambda vm: vm.vm_id
        )
        return [self._worker_view(vm) for vm in listed]

    def teams(self) -> list[TeamView]:
        """Return the teams of the document in force."""
        document = self.context.document
        jobs = self._count_active_by('team')
        keys = self.context.state.keys
        return [
            TeamView(
                team=name,
                organisation=team.organisation,
                share=document.entitled_share(name),
                limit=team.limit(),
                jobs=jobs[name],
                keys=len(keys.active_keys_of(name)),
            )
            for name, team in sorted(document.teams.items())
        ]

    def queues(self) -> list[QueueView]:
        """Return the queues of the document in force."""
        jobs = self._count_active_by('queue')
        return [
            QueueView(
                queue=name,
                team=queue.team,
                open=queue.open,
                kind=queue.work,
                region=queue.region,
                shape=queue.shape(),
                jobs=jobs[name],
            )
            for name, queue in sorted(self.context.document.queues.items())
        ]

    async def _request_from_all(
        self, members: list[Member], body: Message, reply_type: type[ReplyT]
    ) -> list[ReplyT | Failure]:
        return await asyncio.gather(
            *(
                self.context.peers.request(
                    member.node, body, reply_type, timeout_s=REQUEST_TIMEOUT_S
                )
                for member in members
            )
        )

    def _worker_view(self, vm: Vm) -> WorkerView:
        owner = self.context.owner(partition_unit(vm.region, vm.rack))
        return WorkerView(
            worker=vm.vm_id,
            region=vm.region,
            zone=vm.zone,
            rack=vm.rack,
            state=vm.state.value,
            address=vm.address,
            owner=owner[0].node if owner else '',
            epoch=owner[1] if owner else 0,
        )

    def _job_counts(self) -> dict[str, int]:
        counts = collections.Counter(
            job.state.value for job in self.job_fold.ended.values()
        )
        counts['active'] = len(self.job_fold.active)
        return dict(counts)

    def _count_active_by(self, field: str) -> collections.Counter[str]:
        return collections.Counter(
            getattr(job.spec, field) for job in self.job_fold.active.values()
        )


def _node_view(member: Member, reply: StatusReply | Failure) -> NodeView:
    view = NodeView(
        node=member.node,
        region=member.region,
        zone=member.zone,
        address=member.address,
        liveness=member.liveness.value,
        incarnation=member.ref.incarnation if member.ref else 0,
        ready=member.ready and member.liveness is Liveness.alive,
        log_offset=member.log_offset,
        versions={PRODUCTION: member.config_version},
    )
    if isinstance(reply, Failure):
        return view
    return structs.replace(
        view,
        answered=True,
        ready=reply.ready,
        log_offset=reply.log_offset,
        versions=reply.versions,
        units=reply.units,
        violations=reply.violations,
    )
