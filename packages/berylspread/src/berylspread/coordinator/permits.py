"""Who asks for a step's permissions, for which workers, and when.

Load pattern: batch steps whose requests take most of a second each, beside
urgent steps whose requests take a few hundredths.  The service answers each
asking node's requests in turn, so long requests are kept to a part of the nodes
and the others stay free for short ones.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, final

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.interface import Permissions, PermissionServiceBusy
from berylspread.coordinator.model import (
    MS_PER_S,
    PermissionTerms,
    Step,
    StepTickets,
)
from berylspread.coordinator.permit_choice import (
    FleetView,
    PermittedShares,
    choose_requests,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure

#: Requests that take longer count as long ones.
LONG_REQUEST_S: Final = 0.2
#: One node in this many takes no long requests.
NODES_PER_SHORT_ONLY: Final = 3
#: A request is sent to a node only if those before it are done by then.
MAX_QUEUED_S: Final = 0.1
#: A request is given up and sent through another node this long after its
#: expected end, and by a part of what the service takes for it.
TIMEOUT_MARGIN_S: Final = 0.25
TIMEOUT_MARGIN_SHARE: Final = 0.5
#: A node through which a request was given up is used no more for this long.
NODE_PENALTY_S: Final = 1.0
#: Nodes say every 0.5 s that they are there; after two misses none is asked.
MAX_SILENCE_S: Final = 1.1
#: Pause before a request that the service had no place for is sent again.
BUSY_RETRY_S: Final = 0.3
#: Weight of the newest answer in what is known of a node.
OVERHEAD_WEIGHT: Final = 0.3
#: Taken off a ticket's life for the answer's way.
REPLY_TRANSIT_S: Final = 0.05

#: Asks the service through a node: node, step, workers, time limit.
RequestPermissionsVia = Callable[
    [str, str, list[str], float], Awaitable[Permissions | Failure]
]


@final
class RequestingNodes:
    """The nodes that can ask, and until when each is expected to be busy."""

    __slots__ = ('busy_until', 'last_heard_at', 'overhead_s')

    def __init__(self) -> None:
        """Know no node yet."""
        self.busy_until: dict[str, float] = {}
        #: When each node last said that it is there, by the loop's time.
        self.last_heard_at: dict[str, float] = {}
        #: What an answer takes beyond the service's own time, by node.
        self.overhead_s: dict[str, float] = {}

    def record_presence(self, node: str, heard_at: float) -> None:
        """Take a node into use, or note that it is still there."""
        self.busy_until.setdefault(node, 0.0)
        self.last_heard_at[node] = heard_at

    def choose_node(
        self, cost_s: float, moment: float
    ) -> tuple[str, float] | None:
        """Choose the node that answers first; return when, too.

        ``None`` if every node has so much to ask that the request had better
        wait here, where a more urgent one may still go first.
        """
        names = self._available_nodes(cost_s, moment)
        if not names:
            return None

        def answers_at(name: str) -> float:
            free_at = max(self.busy_until[name], moment)
            return free_at + self.overhead_s.get(name, 0.0)

        node = min(names, key=answers_at)
        free_at = max(self.busy_until[node], moment)
        if free_at - moment > MAX_QUEUED_S:
            return None
        done_at = answers_at(node) + cost_s
        self.busy_until[node] = free_at + cost_s
        return node, done_at

    def has_free_node(self, cost_s: float, moment: float) -> bool:
        """Return whether any node could take a request now."""
        return any(
            self.busy_until[name] - moment <= MAX_QUEUED_S
            for name in self._available_nodes(cost_s, moment)
        )

    def _available_nodes(self, cost_s: float, moment: float) -> list[str]:
        """Return the nodes that take requests of a length, if they can."""
        names = sorted(
            name
            for name, heard_at in self.last_heard_at.items()
            if moment - heard_at <= MAX_SILENCE_S
        )
        if cost_s <= LONG_REQUEST_S or len(names) < NODES_PER_SHORT_ONLY:
            return names
        return [
            name
            for index, name in enumerate(names)
            if index % NODES_PER_SHORT_ONLY
        ]

    def record_delay(self, node: str, delay_s: float) -> None:
        """Note by how much an answer through a node missed its time."""
        known = self.overhead_s.get(node, 0.0)
        self.overhead_s[node] = max(known + OVERHEAD_WEIGHT * delay_s, 0.0)

    def record_timeout(self, node: str, moment: float) -> None:
        """Use a node that did not answer in time no more for a while."""
        self.record_delay(node, TIMEOUT_MARGIN_S)
        self.busy_until[node] = moment + NODE_PENALTY_S


def request_duration_s(terms: PermissionTerms, workers: int) -> float:
    """Return how long the service takes for a request."""
    return (terms.base_ms + terms.each_ms * workers) / MS_PER_S


@final
class PermissionRequester:
    """Carries out the requests and keeps the tickets with their steps."""

    __slots__ = (
        'log',
        'nodes',
        'on_reply',
        'permitted_shares',
        'request_permissions_via',
        'tasks',
    )

    def __init__(
        self,
        request_permissions_via: RequestPermissionsVia,
        on_reply: Callable[[], None],
        log: DecisionLog,
    ) -> None:
        """Take the way to the nodes and what to call after an answer."""
        self.request_permissions_via = request_permissions_via
        self.on_reply = on_reply
        self.log = log
        self.nodes = RequestingNodes()
        self.permitted_shares = PermittedShares()
        self.tasks: set[asyncio.Task[None]] = set()

    def request_if_needed(
        self,
        step: Step,
        fleet: FleetView,
        *,
        is_first: bool = False,
    ) -> None:
        """Ask for a step's permissions if it needs some.

        ``is_first`` tells that it gets the next room or quota of its kind.
        """
        terms = step.job.spec.queue.permission_terms
        if terms is None or not self.nodes.busy_until:
            return
        if step.tickets is None:
            step.tickets = StepTickets()
        share = self.permitted_shares.expected_share(step.job.spec.queue.name)
        if not self.nodes.has_free_node(
            request_duration_s(terms, 1), fleet.moment
        ):
            return
        for wanted in choose_requests(step, fleet, share, is_first=is_first):
            picked = self.nodes.choose_node(
                request_duration_s(terms, len(wanted)), fleet.moment
            )
            if picked is None:
                return
            step.tickets.begin_request(wanted)
            task = asyncio.create_task(
                self._send_request(step, step.tickets, wanted, *picked)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def close(self) -> None:
        """Give up the requests under way."""
        for task in list(self.tasks):
            task.cancel()

    async def _send_request(
        self,
        step: Step,
        tickets: StepTickets,
        wanted: list[str],
        node: str,
        done_at: float,
    ) -> None:
        asked_at = now()
        expected_s = done_at - asked_at
        limit_s = expected_s * (1 + TIMEOUT_MARGIN_SHARE) + TIMEOUT_MARGIN_S
        reply = await self.request_permissions_via(
            node, step.name, wanted, limit_s
        )
        tickets.end_request(wanted)
        if isinstance(reply, PermissionServiceBusy):
            tickets.next_check_at = now() + BUSY_RETRY_S
        elif isinstance(reply, Failure):
            self.nodes.record_timeout(node, now())
        else:
            self.nodes.record_delay(node, now() - done_at)
            self._store_tickets(step, tickets, wanted, reply)
        self.log.write(
            'advice',
            step=step.name,
            through=node,
            workers=len(wanted),
            good=-1 if isinstance(reply, Failure) else len(reply.tickets),
            took_s=round(now() - asked_at, 3),
            expected_s=round(expected_s, 3),
            reason=reply.reason if isinstance(reply, Failure) else '',
        )
        self.on_reply()

    def _store_tickets(
        self,
        step: Step,
        tickets: StepTickets,
        wanted: list[str],
        reply: Permissions,
    ) -> None:
        until = now() + reply.valid_s - REPLY_TRANSIT_S
        unknown = [
            name for name in wanted if name not in tickets.answered_workers
        ]
        tickets.answered_workers.update(wanted)
        for worker in wanted:
            tickets.by_worker.pop(worker, None)
        for worker, ticket in reply.tickets.items():
            tickets.by_worker[worker] = (ticket, until)
        if unknown:
            good = sum(name in reply.tickets for name in unknown)
            self.permitted_shares.record_reply(
                step.job.spec.queue.name, len(unknown), good
            )
