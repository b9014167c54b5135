"""Chooses the workers that a step's permission requests name.

Load pattern: wide batch steps on a fleet of a few hundred workers, of which the
policy permits a third.  A request takes longer with every worker that it names,
so a step names the workers with the most room first, and only as many as its
tasks are likely to need.  Requests for different workers go through different
nodes at the same time.  The workers that are permitted for a step do not
change, so a step whose tickets have expired names these workers first.
"""

import collections
from collections.abc import Iterable, Iterator, Mapping
from typing import Final, final

from berylspread.coordinator.fleet import Worker
from berylspread.coordinator.model import (
    MS_PER_S,
    PermissionTerms,
    Step,
    StepTickets,
)
from berylspread.coordinator.planner import (
    TICKET_MARGIN_S,
    placement_penalty,
    serves,
)
from berylspread.coordinator.speed_choice import speed_penalty

#: The service accepts at most this many workers in a request.
MAX_WORKERS_PER_REQUEST: Final = 100
#: A request names at least this many workers, if there are as many: other steps
#: will have taken the room of some of them by the time of the reply.
MIN_WORKERS_PER_REQUEST: Final = 10
#: The time for the workers in a request, as a share of its base time: fewer
#: workers would need more requests, more workers would delay the reply.
WORKERS_TIME_SHARE: Final = 0.5
#: Places to request for each task: other steps take some of them meanwhile.
SPARE_FACTOR: Final = 1.5
#: The expected share of permitted workers before any reply for a queue.
DEFAULT_PERMITTED_SHARE: Final = 0.5
#: Weight of the newest reply in a queue's share.
SHARE_WEIGHT: Final = 0.2
#: A step examines the workers again only after this time, or after a reply:
#: with a hundred waiting steps, the examination takes most of a pass.
CHECK_INTERVAL_S: Final = 0.03
#: A request takes longer than the service needs for it, by this share: it goes
#: through a node that may be in another region.
TRANSIT_SHARE: Final = 0.8
#: The most of a ticket's validity for which its successor is requested early.
MAX_MARGIN_SHARE: Final = 0.6
#: The most pending requests of one step.
MAX_PENDING_REQUESTS: Final = 3
#: The same for workers without room, which may be usable only seconds later.
MAX_PENDING_WITHOUT_ROOM: Final = 1


@final
class PermittedShares:
    """The share of workers that each queue permits, from the replies."""

    __slots__ = ('by_queue',)

    def __init__(self) -> None:
        self.by_queue: dict[str, float] = {}

    def record_reply(
        self, queue: str, worker_count: int, permitted_count: int
    ) -> None:
        """Record a reply that permits some of ``worker_count`` workers."""
        share = self.expected_share(queue)
        self.by_queue[queue] = share + SHARE_WEIGHT * (
            permitted_count / worker_count - share
        )

    def expected_share(self, queue: str) -> float:
        """Return the expected share of workers that a queue permits."""
        return self.by_queue.get(queue, DEFAULT_PERMITTED_SHARE)


def workers_per_request(terms: PermissionTerms) -> int:
    """Return how many workers a request of a queue should name."""
    if not terms.each_ms:
        return MAX_WORKERS_PER_REQUEST
    names = int(WORKERS_TIME_SHARE * terms.base_ms / terms.each_ms)
    return min(max(names, MIN_WORKERS_PER_REQUEST), MAX_WORKERS_PER_REQUEST)


@final
class RoomPromises:
    """The cpu that steps with pending requests are likely to use, by worker.

    Another step prefers workers without promises, as it would find the room of
    the others taken by the time of the reply.
    """

    __slots__ = ('milli_by_worker',)

    def __init__(self) -> None:
        self.milli_by_worker: collections.Counter[str] = collections.Counter()

    def add(self, names: Iterable[str], cpu_milli: int) -> None:
        """Add the promise of a request that names some workers."""
        for name in names:
            self.milli_by_worker[name] += cpu_milli

    def remove(self, names: Iterable[str], cpu_milli: int) -> None:
        """Remove the promise of a request that has a reply."""
        for name in names:
            self.milli_by_worker[name] -= cpu_milli
            if not self.milli_by_worker[name]:
                del self.milli_by_worker[name]


@final
class FleetView:
    """The workers at one moment, by name and ranked by free cpu."""

    __slots__ = ('by_name', 'moment', 'promises', 'ranked')

    def __init__(
        self,
        by_name: Mapping[str, Worker],
        moment: float,
        promises: 'RoomPromises | None' = None,
    ) -> None:
        self.by_name = by_name
        self.moment = moment
        self.promises = promises or RoomPromises()
        self.ranked: list[Worker] | None = None

    def by_room(self) -> list[Worker]:
        """Return the workers, the one with the most free cpu first."""
        if self.ranked is None:
            self.ranked = sorted(
                self.by_name.values(),
                key=lambda worker: (
                    worker.free.cpu_milli
                    - self.promises.milli_by_worker[worker.name]
                ),
                reverse=True,
            )
        return self.ranked


def choose_requests(
    step: Step,
    fleet: FleetView,
    share: float,
    *,
    is_first: bool = False,
    is_scarce: bool = False,
) -> Iterator[list[str]]:
    """Yield the names of the workers for each request to send now.

    ``share`` is the share of unknown workers that is expected to be permitted.
    A step that ``is_first`` to get room or quota renews its tickets before
    any is free, so that it starts as soon as some is.  The caller must send a
    request, and add its workers to ``step.tickets.pending_workers``, before it
    takes the next one.
    """
    tickets, terms = step.tickets, step.job.spec.queue.permission_terms
    if tickets is None or terms is None or fleet.moment < tickets.next_check_at:
        return
    tickets.next_check_at = fleet.moment + CHECK_INTERVAL_S
    needed = SPARE_FACTOR * len(step.waiting_tasks)
    if (
        tickets.pending_requests >= MAX_PENDING_REQUESTS
        or _expected_places(step, tickets, fleet, share) >= needed
    ):
        return
    wanted = _sort_by_preference(
        step,
        _requestable_workers(step, tickets, fleet, is_first=is_first),
        fleet.moment,
    )
    size = MAX_WORKERS_PER_REQUEST if is_scarce else workers_per_request(terms)
    while wanted and _expected_places(step, tickets, fleet, share) < needed:
        names, wanted = wanted[:size], wanted[size:]
        has_room = any(
            _usable_room(step, fleet.by_name[name], fleet.moment)
            for name in names
        )
        max_pending = (
            MAX_PENDING_REQUESTS if has_room else MAX_PENDING_WITHOUT_ROOM
        )
        if tickets.pending_requests >= max_pending:
            return
        yield names


def _requestable_workers(
    step: Step, tickets: StepTickets, fleet: FleetView, *, is_first: bool
) -> list[Worker]:
    """Return the workers for which a step lacks a ticket and could use one.

    Workers that are known to be permitted come first, then those with the most
    room.
    """
    workers = fleet.by_name
    margin_s = _renewal_margin_s(step) if is_first else TICKET_MARGIN_S
    permitted = [
        workers[name]
        for name, (_, until) in tickets.by_worker.items()
        if until <= fleet.moment + margin_s
        and name in workers
        and name not in tickets.pending_workers
        and (is_first or room_for(step, workers[name]))
    ]
    unnamed = (
        workers.keys() - tickets.answered_workers - tickets.pending_workers
    )
    unknown = (
        [worker for worker in fleet.by_room() if worker.name in unnamed]
        if unnamed
        else []
    )
    eligible = [
        worker
        for worker in (*permitted, *unknown)
        if _is_eligible(step, worker)
    ]
    # Workers that accept no runs at present come last.
    eligible.sort(key=lambda worker: not worker.accepts_runs(fleet.moment))
    return eligible


def _renewal_margin_s(step: Step) -> float:
    """Return how long before the end of a ticket to request the next one.

    A step that is next then has a ticket whenever room becomes free.
    """
    terms = step.job.spec.queue.permission_terms
    assert terms is not None
    service_s = (terms.base_ms + terms.each_ms) / MS_PER_S
    margin_s = TICKET_MARGIN_S + service_s * (1 + TRANSIT_SHARE)
    return min(margin_s, MAX_MARGIN_SHARE * terms.valid_ms / MS_PER_S)


def _is_eligible(step: Step, worker: Worker) -> bool:
    return (
        worker.is_present
        and worker.entry.is_ready
        and not worker.is_zone_closed
        and serves(worker.entry, step)
    )


def _sort_by_preference(
    step: Step, workers: list[Worker], moment: float
) -> list[str]:
    """Return the names of workers, in the order in which to request them.

    ``workers`` is in the order of room.
    """
    spec = step.spec
    if len({speed_penalty(step, worker) for worker in workers}) > 1:
        # A fast worker is of no use before it has room.
        workers.sort(
            key=lambda worker: (
                not _usable_room(step, worker, moment),
                speed_penalty(step, worker),
            )
        )
    if spec.gang and spec.same_rack:
        # The members need one rack, so the workers of a rack stay together.
        room_by_rack: dict[str, int] = {}
        for worker in workers:
            rack = worker.entry.rack
            room_by_rack[rack] = room_by_rack.get(rack, 0) + room_for(
                step, worker
            )
        workers.sort(
            key=lambda worker: (
                -room_by_rack[worker.entry.rack],
                worker.entry.rack,
            )
        )
    elif spec.data_rack or spec.is_filler or spec.latency_target_ms:
        workers.sort(key=lambda worker: placement_penalty(spec, worker))
    return [worker.name for worker in workers]


def _expected_places(
    step: Step, tickets: StepTickets, fleet: FleetView, share: float
) -> float:
    """Return how many tasks find a place by valid and pending tickets."""
    permitted = tickets.by_worker
    limit = fleet.moment + TICKET_MARGIN_S
    valid = {name for name, (_, until) in permitted.items() if until > limit}
    certain = valid | (tickets.pending_workers & permitted.keys())
    uncertain = tickets.pending_workers - permitted.keys()
    return _total_room(step, fleet, certain) + share * _total_room(
        step, fleet, uncertain
    )


def _total_room(step: Step, fleet: FleetView, names: Iterable[str]) -> int:
    workers = fleet.by_name
    return sum(
        _usable_room(step, workers[name], fleet.moment)
        for name in names
        if name in workers and _is_eligible(step, workers[name])
    )


def _usable_room(step: Step, worker: Worker, moment: float) -> int:
    # Workers that accept no runs at present don't count, so that others are
    # requested.
    return room_for(step, worker) if worker.accepts_runs(moment) else 0


def room_for(step: Step, worker: Worker) -> int:
    """Return how many more tasks of a step a worker has room for now."""
    fitting = step.spec.reserved_resources().fit_count(worker.free)
    return min(fitting, worker.unused_limit(step)) if fitting else 0
