"""The waiting line for interactive calls at a partition owner.

Calls wait here and nowhere else, in order of their deadlines.  A call that will
not be answered in time is refused as it comes, not after its deadline.
"""

import heapq
import math
from collections.abc import Callable
from typing import Final, final

from sortedcontainers import SortedList

from berylspread.kernel.errors import DeadlineExceeded, Overloaded

MAX_WAITING: Final = 4096
#: Weight of the newest service time in its moving average.
NEWEST_WEIGHT: Final = 0.1
INITIAL_SERVICE_S: Final = 0.05
#: Use one half-life ago counts half against a team.
SERVED_HALF_LIFE_S: Final = 10.0
#: A team ahead of the others by this factor waits for its deadline.
MAX_TEAM_LEAD: Final = 1.5
NEGLIGIBLE_SERVED_S: Final = 0.001
MIN_WEIGHT: Final = 1e-9
#: A call is not overtaken when fewer service times are left to its deadline.
RESERVED_SERVICE_TIMES: Final = 3


@final
class WaitingCall:
    """One call; ``deadline_at`` is loop time."""

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
        """Describe a call that has not been sent to any worker."""
        self.request_id = request_id
        self.team = team
        self.queue = queue
        self.deadline_at = deadline_at
        self.cancelled = False
        self.order = 0


@final
class ServiceTimes:
    """Moving averages of service time per queue, with the deviation."""

    __slots__ = ('deviations', 'means', 'overall_mean_s')

    def __init__(self) -> None:
        """Start without queues."""
        self.means: dict[str, float] = {}
        self.deviations: dict[str, float] = {}
        self.overall_mean_s = INITIAL_SERVICE_S

    def observe(self, queue: str, served_s: float) -> None:
        """Take in how long a worker took for a call."""
        mean = self.means.get(queue, served_s)
        self.overall_mean_s += NEWEST_WEIGHT * (served_s - self.overall_mean_s)
        gap = abs(served_s - mean)
        deviation = self.deviations.get(queue, 0)
        self.means[queue] = mean + NEWEST_WEIGHT * (served_s - mean)
        self.deviations[queue] = deviation + NEWEST_WEIGHT * (gap - deviation)

    def mean_s(self, queue: str) -> float:
        """Return the expected service time of a queue."""
        return self.means.get(queue, INITIAL_SERVICE_S)

    def upper_estimate_s(self, queue: str) -> float:
        """Return a service time that most calls stay below."""
        return self.mean_s(queue) + self.deviations.get(queue, 0)


@final
class TeamCallQueue:
    """One team's waiting calls by deadline, and its decayed served time."""

    __slots__ = ('heap', 'served_s', 'updated_at')

    def __init__(self) -> None:
        """Start empty."""
        self.heap: list[tuple[float, int, WaitingCall]] = []
        self.served_s: float = 0
        self.updated_at: float = 0

    def first(self) -> WaitingCall | None:
        """Return the call with the earliest deadline, dropping cancelled."""
        while self.heap and self.heap[0][2].cancelled:
            heapq.heappop(self.heap)
        return self.heap[0][2] if self.heap else None

    def add_served(self, seconds: float, now: float) -> None:
        """Count served time against the team."""
        self.served_s = self.decayed_served_s(now) + seconds
        self.updated_at = now

    def decayed_served_s(self, now: float) -> float:
        """Return the decayed served time."""
        elapsed_s = now - self.updated_at
        return self.served_s * math.exp2(-elapsed_s / SERVED_HALF_LIFE_S)


def equal_weight(team: str) -> float:
    """Return the same share for every team."""
    return 1


@final
class CallQueue:
    """Calls that wait for one of ``slots`` slots of a partition."""

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
        """Start empty; ``weight_of`` returns a team's share."""
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
        """Let a call wait, or refuse it now; ``None`` means that it waits.

        Refused calls have certainly not run.
        """
        if call.deadline_at <= now:
            return DeadlineExceeded('the deadline has passed')
        if len(self.waiting_calls) >= self.max_waiting:
            return Overloaded('the waiting line is full', retry_after_s=1)
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
        """Return how long a call would wait behind earlier deadlines."""
        if len(self.waiting_calls) < free_slots:
            return 0
        if not self.slots:
            return math.inf
        ahead: int = self.deadlines.bisect_right(
            (call.deadline_at, math.inf, '')
        )
        return (ahead + 1) * self.service_times.overall_mean_s / self.slots

    def dequeue(self, now: float) -> WaitingCall | None:
        """Take the call for a slot that is free.

        The earliest deadline goes first, unless its team is far ahead of the
        team that was served least and that call can still wait.
        """
        heads = self._first_calls(now)
        if not heads:
            return None
        chosen, line = min(heads, key=lambda pair: pair[0].deadline_at)
        least, least_line = min(
            heads,
            key=lambda pair: self._weighted_served_s(pair[0], pair[1], now),
        )
        ahead = self._weighted_served_s(
            chosen, line, now
        ) > MAX_TEAM_LEAD * self._weighted_served_s(least, least_line, now)
        if ahead and self._can_wait(chosen, now):
            chosen, line = least, least_line
        heapq.heappop(line.heap)
        self._remove(chosen)
        line.add_served(self.service_times.mean_s(chosen.queue), now)
        return chosen

    def cancel(self, request_id: str) -> bool:
        """Drop a waiting call; it leaves the line when it is met."""
        call = self.waiting_calls.get(request_id)
        if call is None:
            return False
        call.cancelled = True
        self._remove(call)
        return True

    def expire(self, now: float) -> list[WaitingCall]:
        """Take out the calls that can't be answered in time any more."""
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
        heads: list[tuple[WaitingCall, TeamCallQueue]] = []
        for team, line in list(self.team_queues.items()):
            head = line.first()
            if head is not None:
                heads.append((head, line))
            elif line.decayed_served_s(now) < NEGLIGIBLE_SERVED_S:
                self.team_queues.pop(team)
        return heads

    def _insert(self, call: WaitingCall) -> None:
        line = self.team_queues.setdefault(call.team, TeamCallQueue())
        self.offered_count += 1
        call.order = self.offered_count
        heapq.heappush(line.heap, (call.deadline_at, call.order, call))
        self.waiting_calls[call.request_id] = call
        self.deadlines.add((call.deadline_at, call.order, call.request_id))

    def _remove(self, call: WaitingCall) -> None:
        self.waiting_calls.pop(call.request_id)
        self.deadlines.remove((call.deadline_at, call.order, call.request_id))

    def _weighted_served_s(
        self, call: WaitingCall, line: TeamCallQueue, now: float
    ) -> float:
        return line.decayed_served_s(now) / max(
            self.team_weight(call.team), MIN_WEIGHT
        )

    def _can_wait(self, call: WaitingCall, now: float) -> bool:
        mean_s = self.service_times.mean_s(call.queue)
        return call.deadline_at - now > RESERVED_SERVICE_TIMES * mean_s
