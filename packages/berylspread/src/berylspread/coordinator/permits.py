"""Sends permission requests for steps, each through one of the nodes.

Load pattern: batch steps whose requests take most of a second each, beside
urgent steps whose requests take a few hundredths.  The service processes the
requests of each node one after another, so long requests are sent through some
of the nodes only and the others stay free for short requests.  While nearly all
nodes that take long requests are busy, batch work waits for the service; fewer
and larger requests then get more workers named in the same time.
"""

import asyncio
import functools
import math
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
    RoomPromises,
    choose_requests,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure

#: Requests that take longer than this are long requests.
LONG_REQUEST_S: Final = 0.2
#: One node of this many gets no long requests.
NODES_PER_SHORT_ONLY: Final = 3
#: The service is scarce once this share of the nodes that take long requests is
#: busy.
SCARCE_SHARE: Final = 0.75
#: A node gets another request only if its pending ones are expected to be done
#: within this time.
MAX_QUEUED_S: Final = 0.1
#: A request times out, and is sent through another node, this long after its
#: expected end plus the following share of its expected duration.
TIMEOUT_MARGIN_S: Final = 0.25
TIMEOUT_MARGIN_SHARE: Final = 0.5
#: A node is not used for this long after a request through it timed out.
NODE_PENALTY_S: Final = 1.0
#: Nodes announce themselves every 0.5 s; a node that misses two announcements
#: gets no requests.
MAX_SILENCE_S: Final = 1.1
#: Delay before a request is sent again after the service was busy.
BUSY_RETRY_S: Final = 0.3
#: Weight of the newest reply in the overhead of a node.
OVERHEAD_WEIGHT: Final = 0.3
#: Subtracted from the validity of a ticket for the transit of the reply.
REPLY_TRANSIT_S: Final = 0.05

#: Sends a permission request through a node.  The arguments are the node, the
#: step, the workers and the time limit in seconds.
RequestPermissionsVia = Callable[
    [str, str, list[str], float], Awaitable[Permissions | Failure]
]


@final
class RequestingNodes:
    """The nodes that can send requests, and until when each is busy."""

    __slots__ = ('busy_until', 'last_heard_at', 'overhead_s')

    def __init__(self) -> None:
        #: The expected end of the pending requests, by node.
        self.busy_until: dict[str, float] = {}
        #: The time of the loop of the last announcement, by node.
        self.last_heard_at: dict[str, float] = {}
        #: How much longer a reply takes than the service alone, by node.
        self.overhead_s: dict[str, float] = {}

    def record_presence(self, node: str, heard_at: float) -> None:
        """Record that a node has announced itself."""
        self.busy_until.setdefault(node, 0.0)
        self.last_heard_at[node] = heard_at

    def choose_node(
        self, duration_s: float, moment: float
    ) -> tuple[str, float] | None:
        """Return the node that replies first, and when it is expected to.

        ``None`` if every node has too many pending requests.  The request then
        waits here, so that a more urgent one may still be sent first.
        """
        names = self._available_nodes(duration_s, moment)
        if not names:
            return None

        def replies_at(name: str) -> float:
            free_at = max(self.busy_until[name], moment)
            return free_at + self.overhead_s.get(name, 0.0)

        node = min(names, key=replies_at)
        free_at = max(self.busy_until[node], moment)
        if free_at - moment > MAX_QUEUED_S:
            return None
        done_at = replies_at(node) + duration_s
        self.busy_until[node] = free_at + duration_s
        return node, done_at

    def has_free_node(self, duration_s: float, moment: float) -> bool:
        """Return whether any node can take a request now."""
        return any(
            self.busy_until[name] - moment <= MAX_QUEUED_S
            for name in self._available_nodes(duration_s, moment)
        )

    def is_scarce(self, moment: float) -> bool:
        """Return whether long requests wait for nodes."""
        names = self._available_nodes(math.inf, moment)
        busy = sum(self.busy_until[name] > moment for name in names)
        return bool(names) and busy >= SCARCE_SHARE * len(names)

    def _available_nodes(self, duration_s: float, moment: float) -> list[str]:
        """Return the nodes in use that take requests of this duration."""
        names = sorted(
            name
            for name, heard_at in self.last_heard_at.items()
            if moment - heard_at <= MAX_SILENCE_S
        )
        if duration_s <= LONG_REQUEST_S or len(names) < NODES_PER_SHORT_ONLY:
            return names
        return [
            name
            for index, name in enumerate(names)
            if index % NODES_PER_SHORT_ONLY
        ]

    def record_delay(self, node: str, delay_s: float) -> None:
        """Record how much later than expected a reply came through a node."""
        known = self.overhead_s.get(node, 0.0)
        self.overhead_s[node] = max(known + OVERHEAD_WEIGHT * delay_s, 0.0)

    def record_timeout(self, node: str, moment: float) -> None:
        """Stop using a node for a while after a request timed out."""
        self.record_delay(node, TIMEOUT_MARGIN_S)
        self.busy_until[node] = moment + NODE_PENALTY_S


def request_duration_s(terms: PermissionTerms, workers: int) -> float:
    """Return how long the service takes for a request with so many workers."""
    return (terms.base_ms + terms.each_ms * workers) / MS_PER_S


@final
class PermissionRequester:
    """Sends the permission requests and stores the tickets in the steps."""

    __slots__ = (
        'log',
        'nodes',
        'on_reply',
        'permitted_shares',
        'promises',
        'request_permissions_via',
        'tasks',
    )

    def __init__(
        self,
        request_permissions_via: RequestPermissionsVia,
        on_reply: Callable[[], None],
        log: DecisionLog,
    ) -> None:
        self.request_permissions_via = request_permissions_via
        self.on_reply = on_reply
        self.log = log
        self.nodes = RequestingNodes()
        self.permitted_shares = PermittedShares()
        self.promises = RoomPromises()
        self.tasks: set[asyncio.Task[None]] = set()

    def request_if_needed(
        self,
        step: Step,
        fleet: FleetView,
        *,
        is_first: bool = False,
    ) -> None:
        """Send permission requests for a step if it needs tickets.

        ``is_first`` says that the step gets the next room or quota of its queue
        and organisation.
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
        for wanted in choose_requests(
            step,
            fleet,
            share,
            is_first=is_first,
            is_scarce=self.nodes.is_scarce(fleet.moment),
        ):
            chosen = self.nodes.choose_node(
                request_duration_s(terms, len(wanted)), fleet.moment
            )
            if chosen is None:
                return
            step.tickets.begin_request(wanted)
            promised_milli = int(share * step.spec.demand.cpu_milli)
            self.promises.add(wanted, promised_milli)
            # The next step of this pass sees other workers first.
            fleet.ranked = None
            task = asyncio.create_task(
                self._send_request(step, step.tickets, wanted, *chosen)
            )
            self.tasks.add(task)
            task.add_done_callback(
                functools.partial(self._end_request, wanted, promised_milli)
            )

    def _end_request(
        self, wanted: list[str], promised_milli: int, task: asyncio.Task[None]
    ) -> None:
        self.tasks.discard(task)
        self.promises.remove(wanted, promised_milli)

    def close(self) -> None:
        """Cancel the pending requests."""
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
        sent_at = now()
        expected_s = done_at - sent_at
        timeout_s = expected_s * (1 + TIMEOUT_MARGIN_SHARE) + TIMEOUT_MARGIN_S
        reply = await self.request_permissions_via(
            node, step.name, wanted, timeout_s
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
            took_s=round(now() - sent_at, 3),
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
