"""About which workers a step asks for permission.

Load pattern: wide batch steps on a fleet of a few hundred workers, of which the
policy permits a third.  A request takes longer with every worker that it names,
so a step asks about those with the most room first, and only about so many as
its tasks are likely to need; requests about different workers go through
different nodes at a time.  Which workers are good for a step does not change: a
step whose tickets have expired asks about the good ones first.
"""

from collections.abc import Iterable, Iterator, Mapping
from typing import Final, final

from berylspread.coordinator.fleet import Worker
from berylspread.coordinator.model import PermissionTerms, Step, StepTickets
from berylspread.coordinator.planner import TICKET_MARGIN_S, placement_penalty

#: The service names at most this many workers in a request.
MAX_WORKERS_PER_REQUEST: Final = 100
#: A request names at least this many workers, if there are: some of them will
#: have lost their room to other steps by the time of the answer.
MIN_WORKERS_PER_REQUEST: Final = 10
#: A request names so many workers that they take half as long as the request
#: itself: fewer would cost more requests, more would delay the answer.
WORKERS_TIME_SHARE: Final = 0.5
#: Places to ask for, for each task: other steps take some meanwhile.
SPARE_FACTOR: Final = 1.5
#: Share of permitted workers that is expected of a queue not asked for yet.
DEFAULT_PERMITTED_SHARE: Final = 0.5
#: Weight of the newest answer in a queue's share.
SHARE_WEIGHT: Final = 0.2
#: After a look at all workers a step looks again only after this time, or after
#: an answer: with a hundred steps that wait for room, looks are most of a pass.
CHECK_INTERVAL_S: Final = 0.03
#: Requests of one step under way at a time.
MAX_PENDING_REQUESTS: Final = 3
#: The same for workers without room, which may be of use only seconds later.
MAX_PENDING_WITHOUT_ROOM: Final = 1


@final
class PermittedShares:
    """Which share of the workers queues have been found to permit."""

    __slots__ = ('by_queue',)

    def __init__(self) -> None:
        """Know no queue yet."""
        self.by_queue: dict[str, float] = {}

    def record_reply(
        self, queue: str, worker_count: int, permitted_count: int
    ) -> None:
        """Take in an answer about ``asked`` workers."""
        share = self.expected_share(queue)
        self.by_queue[queue] = share + SHARE_WEIGHT * (
            permitted_count / worker_count - share
        )

    def expected_share(self, queue: str) -> float:
        """Return the share of workers that a queue's steps may use."""
        return self.by_queue.get(queue, DEFAULT_PERMITTED_SHARE)


def workers_per_request(terms: PermissionTerms) -> int:
    """Return about how many workers a request of a queue had better ask."""
    if not terms.each_ms:
        return MAX_WORKERS_PER_REQUEST
    names = int(WORKERS_TIME_SHARE * terms.base_ms / terms.each_ms)
    return min(max(names, MIN_WORKERS_PER_REQUEST), MAX_WORKERS_PER_REQUEST)


@final
class FleetView:
    """The workers at one moment, by name and by the room that they have."""

    __slots__ = ('by_name', 'moment', 'ranked')

    def __init__(self, by_name: Mapping[str, Worker], moment: float) -> None:
        """Take the workers; they are ranked when that is first needed."""
        self.by_name = by_name
        self.moment = moment
        self.ranked: list[Worker] | None = None

    def by_room(self) -> list[Worker]:
        """Return the workers, the one with the most free cpu first."""
        if self.ranked is None:
            self.ranked = sorted(
                self.by_name.values(),
                key=lambda worker: worker.free.cpu_milli,
                reverse=True,
            )
        return self.ranked


def choose_requests(
    step: Step, fleet: FleetView, share: float, *, is_first: bool = False
) -> Iterator[list[str]]:
    """Yield the requests that a step should send now: names of workers.

    ``share`` is the part of unknown workers that is expected to be permitted.
    A step that ``is_first`` to get room or quota renews its tickets before
    there is any, so that it starts as soon as there is.  A request is expected
    to be sent, and its workers noted in ``step.tickets.asking``, before the
    next is drawn.
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
        step, _requestable_workers(step, tickets, fleet, is_first=is_first)
    )
    size = workers_per_request(terms)
    while wanted and _expected_places(step, tickets, fleet, share) < needed:
        names, wanted = wanted[:size], wanted[size:]
        has_room = any(
            _usable_room(step, fleet.by_name[name], fleet.moment)
            for name in names
        )
        most = MAX_PENDING_REQUESTS if has_room else MAX_PENDING_WITHOUT_ROOM
        if tickets.pending_requests >= most:
            return
        yield names


def _requestable_workers(
    step: Step, tickets: StepTickets, fleet: FleetView, *, is_first: bool
) -> list[Worker]:
    """Return the workers whose tickets a step lacks and could use.

    Those that are known to be good come first, then those with the most room.
    """
    workers = fleet.by_name
    good = [
        workers[name]
        for name, (_, until) in tickets.by_worker.items()
        if until <= fleet.moment + TICKET_MARGIN_S
        and name in workers
        and name not in tickets.pending_workers
        and (is_first or room_for(step, workers[name]))
    ]
    unknown = []
    if len(tickets.answered_workers) + len(tickets.pending_workers) < len(
        workers
    ):
        unknown = [
            worker
            for worker in fleet.by_room()
            if worker.name not in tickets.answered_workers
            and worker.name not in tickets.pending_workers
        ]
    eligible = [
        worker for worker in (*good, *unknown) if _is_eligible(step, worker)
    ]
    # Workers that cannot be used at present are the last to be asked about.
    eligible.sort(key=lambda worker: not worker.accepts_runs(fleet.moment))
    return eligible


def _is_eligible(step: Step, worker: Worker) -> bool:
    entry = worker.entry
    return (
        worker.is_present
        and entry.is_ready
        and entry.service == step.job.spec.queue.service
        and (not step.spec.label or step.spec.label in entry.labels)
    )


def _sort_by_preference(step: Step, workers: list[Worker]) -> list[str]:
    """Return who is asked about first, of workers in the order of room."""
    spec = step.spec
    if spec.gang and spec.same_rack:
        # The members need one rack, so racks are asked about as a whole.
        racks: dict[str, int] = {}
        for worker in workers:
            rack = worker.entry.rack
            racks[rack] = racks.get(rack, 0) + room_for(step, worker)
        workers.sort(
            key=lambda worker: (
                -racks[worker.entry.rack],
                worker.entry.rack,
            )
        )
    elif spec.data_rack or spec.is_filler or spec.latency_target_ms:
        workers.sort(key=lambda worker: placement_penalty(spec, worker))
    return [worker.name for worker in workers]


def _expected_places(
    step: Step, tickets: StepTickets, fleet: FleetView, share: float
) -> float:
    """Return how many tasks find a place by what is held and asked for."""
    good = tickets.by_worker
    limit = fleet.moment + TICKET_MARGIN_S
    held = {name for name, (_, until) in good.items() if until > limit}
    sure = held | (tickets.pending_workers & good.keys())
    unsure = tickets.pending_workers - good.keys()
    return _total_room(step, fleet, sure) + share * _total_room(
        step, fleet, unsure
    )


def _total_room(step: Step, fleet: FleetView, names: Iterable[str]) -> int:
    workers = fleet.by_name
    return sum(
        _usable_room(step, workers[name], fleet.moment)
        for name in names
        if name in workers and _is_eligible(step, workers[name])
    )


def _usable_room(step: Step, worker: Worker, moment: float) -> int:
    # What cannot be used at present does not count: others are asked about.
    return room_for(step, worker) if worker.accepts_runs(moment) else 0


def room_for(step: Step, worker: Worker) -> int:
    """Return how many tasks of a step a worker has room for now."""
    spec = step.spec
    fitting = spec.reserved_resources().times_in(worker.free)
    return min(fitting, spec.max_per_worker or fitting)
