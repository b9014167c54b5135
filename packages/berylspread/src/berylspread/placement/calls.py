"""The queue of interactive calls at a partition owner.

Calls are queued here only, in order of their deadlines.  A call that cannot be
answered by its deadline is refused on arrival instead of timing out.
"""

import heapq
import math
from collections.abc import Callable
from typing import Final, final

from sortedcontainers import SortedList

from berylspread.kernel.errors import DeadlineExceeded, Overloaded

MAX_WAITING: Final = 4096
#: Weight of the newest service time in the moving averages.
NEWEST_WEIGHT: Final = 0.1
INITIAL_SERVICE_S: Final = 0.05
#: Service time that a team used one half-life ago counts half.
SERVED_HALF_LIFE_S: Final = 10.0
#: A call may be overtaken if its team, relative to its weight, was served more
#: than this many times as much as the team that was served least.
MAX_TEAM_LEAD: Final = 1.5
NEGLIGIBLE_SERVED_S: Final = 0.001
MIN_WEIGHT: Final = 1e-9
#: A call is not overtaken if its deadline is at most this many mean service
#: times away.
RESERVED_SERVICE_TIMES: Final = 3


@final
class WaitingCall:
    """A call that waits for a slot; ``deadline_at`` is loop time."""

    __slots__ = (
        'cancelled',
        'deadline_at',
        'order',
        'queue',
        'request_id',
        'team',
    )

    def __init__(
        self, request_id: str, team: str, queue: str, deadline_at: float
    ) -> None:
        self.request_id = request_id
        self.team = team
        self.queue = queue
        self.deadline_at = deadline_at
        self.cancelled = False
        self.order = 0


@final
class ServiceTimes:
    """Moving averages of the service time and its deviation for each queue."""

    __slots__ = ('deviations', 'means', 'overall_mean_s')

    def __init__(self) -> None:
        self.means: dict[str, float] = {}
        self.deviations: dict[str, float] = {}
        self.overall_mean_s = INITIAL_SERVICE_S

    def observe(self, queue: str, served_s: float) -> None:
        """Add the time in seconds that a worker took for a call."""
        mean = self.means.get(queue, served_s)
        self.overall_mean_s += NEWEST_WEIGHT * (served_s - self.overall_mean_s)
        gap = abs(served_s - mean)
        deviation = self.deviations.get(queue, 0)
        self.means[queue] = mean + NEWEST_WEIGHT * (served_s - mean)
        self.deviations[queue] = deviation + NEWEST_WEIGHT * (gap - deviation)

    def mean_s(self, queue: str) -> float:
        """Return the mean service time of a queue in seconds."""
        return self.means.get(queue, INITIAL_SERVICE_S)

    def upper_estimate_s(self, queue: str) -> float:
        """Return the mean service time plus the mean deviation, in seconds.

        Most calls take less.
        """
        return self.mean_s(queue) + self.deviations.get(queue, 0)


@final
class TeamCallQueue:
    """The waiting calls of one team by deadline and its service time."""

    __slots__ = ('heap', 'served_s', 'updated_at')

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, WaitingCall]] = []
        self.served_s: float = 0
        self.updated_at: float = 0

    def first(self) -> WaitingCall | None:
        """Return the call with the earliest deadline; drop cancelled ones."""
        while self.heap and self.heap[0][2].cancelled:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def add_served(self, seconds: float, now: float) -> None:
        """Add the service time of a call to that of the team."""
        self.served_s = self.decayed_served_s(now) + seconds
        self.updated_at = now

    def decayed_served_s(self, now: float) -> float:
        """Return the decayed service time in seconds."""
        elapsed_s = now - self.updated_at
        return self.served_s * math.exp2(-elapsed_s / SERVED_HALF_LIFE_S)


def equal_weight(team: str) -> float:
    """Return the same weight for every team."""
    return 1


@final
class CallQueue:
    """The calls that wait for one of the ``slots`` slots of a partition.

    ``team_weight`` returns the share to which a team is entitled.
    """

    __slots__ = (
        'deadlines',
        'max_waiting',
        'offered_count',
        'service_times',
        'slots',
        'team_queues',
        'team_weight',
        'waiting_calls',
    )

    def __init__(
        self,
        slots: int,
        *,
        max_waiting: int = MAX_WAITING,
        team_weight: Callable[[str], float] = equal_weight,
    ) -> None:
        self.slots = slots
        self.max_waiting = max_waiting
        self.team_weight = team_weight
        self.team_queues: dict[str, TeamCallQueue] = {}
        self.service_times = ServiceTimes()
        self.waiting_calls: dict[str, WaitingCall] = {}
        self.deadlines: SortedList[tuple[float, float, str]] = SortedList()
        self.offered_count = 0

    def enqueue(
        self, call: WaitingCall, now: float, *, free_slots: int
    ) -> Overloaded | DeadlineExceeded | None:
        """Queue a call and return ``None``, or return why it is refused.

        A refused call has certainly not run.
        """
        if call.deadline_at <= now:
            return DeadlineExceeded('the deadline has passed')
        if len(self.waiting_calls) >= self.max_waiting:
            return Overloaded('the call queue is full', retry_after_s=1)
        expected_s = self.expected_wait_s(call, free_slots)
        answered_at = (
            now + expected_s + self.service_times.upper_estimate_s(call.queue)
        )
        if answered_at > call.deadline_at:
            return Overloaded(
                'the deadline cannot be met',
                expected_wait_s=round(expected_s, 3),
            )
        self._insert(call)
        return None

    def expected_wait_s(self, call: WaitingCall, free_slots: int) -> float:
        """Return the expected wait in seconds behind earlier deadlines."""
        if len(self.waiting_calls) < free_slots:
            return 0
        if not self.slots:
            return math.inf
        ahead: int = self.deadlines.bisect_right(
            (call.deadline_at, math.inf, '')
        )
        return (ahead + 1) * self.service_times.overall_mean_s / self.slots

    def dequeue(self, now: float) -> WaitingCall | None:
        """Remove and return the next call, or ``None`` if no call waits.

        This is the call with the earliest deadline.  If its team was served
        much more than the team that was served least and its deadline leaves
        time, the first call of the latter team is next instead.
        """
        firsts = self._first_calls(now)
        if not firsts:
            return None
        chosen, team_queue = min(firsts, key=lambda pair: pair[0].deadline_at)
        least, least_queue = min(
            firsts,
            key=lambda pair: self._weighted_served_s(pair[0], pair[1], now),
        )
        ahead = self._weighted_served_s(
            chosen, team_queue, now
        ) > MAX_TEAM_LEAD * self._weighted_served_s(least, least_queue, now)
        if ahead and self._can_wait(chosen, now):
            chosen, team_queue = least, least_queue
        heapq.heappop(team_queue.heap)
        self._remove(chosen)
        team_queue.add_served(self.service_times.mean_s(chosen.queue), now)
        return chosen

    def cancel(self, request_id: str) -> bool:
        """Cancel a waiting call; return whether it was waiting.

        Its entry leaves the heap of the team when it comes first.
        """
        call = self.waiting_calls.get(request_id)
        if call is None:
            return False
        call.cancelled = True
        self._remove(call)
        return True

    def expire(self, now: float) -> list[WaitingCall]:
        """Remove and return the calls that can't meet their deadlines."""
        late: list[WaitingCall] = []
        while self.deadlines:
            call = self.waiting_calls[self.deadlines[0][2]]
            if now + self.service_times.mean_s(call.queue) <= call.deadline_at:
                break
            self.cancel(call.request_id)
            late.append(call)
        return late

    def _first_calls(
        self, now: float
    ) -> list[tuple[WaitingCall, TeamCallQueue]]:
        firsts: list[tuple[WaitingCall, TeamCallQueue]] = []
        for team, team_queue in list(self.team_queues.items()):
            first = team_queue.first()
            if first is not None:
                firsts.append((first, team_queue))
            elif team_queue.decayed_served_s(now) < NEGLIGIBLE_SERVED_S:
                self.team_queues.pop(team)
        return firsts

    def _insert(self, call: WaitingCall) -> None:
        team_queue = self.team_queues.setdefault(call.team, TeamCallQueue())
        self.offered_count += 1
        call.order = self.offered_count
        heapq.heappush(team_queue.heap, (call.deadline_at, call.order, call))
        self.waiting_calls[call.request_id] = call
        self.deadlines.add((call.deadline_at, call.order, call.request_id))

    def _remove(self, call: WaitingCall) -> None:
        self.waiting_calls.pop(call.request_id)
        self.deadlines.remove((call.deadline_at, call.order, call.request_id))

    def _weighted_served_s(
        self, call: WaitingCall, team_queue: TeamCallQueue, now: float
    ) -> float:
        return team_queue.decayed_served_s(now) / max(
            self.team_weight(call.team), MIN_WEIGHT
        )

    def _can_wait(self, call: WaitingCall, now: float) -> bool:
        mean_s = self.service_times.mean_s(call.queue)
        return call.deadline_at - now > RESERVED_SERVICE_TIMES * mean_s
