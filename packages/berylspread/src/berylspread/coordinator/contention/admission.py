"""Decides whether a job that is handed in can still be of use.

Load pattern: during a burst more jobs arrive than can ever be of use to their
callers.  A caller who is told at once can return when there is room or go
elsewhere; one whose job is accepted waits for nothing.  A job is refused only
if it finds no room now and would be useless by the forecast with a margin,
since a job that is refused too early costs its caller more than a wait.

Callers who are refused return one after another, at the rate at which their
jobs find room.
"""

import enum
import math
import random
from typing import Final, NamedTuple, final

from berylspread.coordinator.contention.forecast import Forecast, Wait
from berylspread.coordinator.contention.ordering import Ordering
from berylspread.coordinator.contention.registry import ContentionPolicy
from berylspread.coordinator.fleet import Worker
from berylspread.coordinator.interface import Policies
from berylspread.coordinator.model import MS_PER_S, Job
from berylspread.coordinator.table import JobTable
from berylspread.coordinator.urgency import USELESS_FACTOR

#: A job is refused only if it is useless even if the wait is this many times
#: shorter than forecast: estimates of work that has not run yet are that wrong.
WAIT_MARGIN: Final = 2.0
#: How long a forecast is used, with the jobs accepted meanwhile added.
FORECAST_VALID_S: Final = 0.1
#: Bounds of the time after which a refused caller is asked to return.
MIN_RETURN_S: Final = 1.0
MAX_RETURN_S: Final = 60.0


@final
class Action(enum.Enum):
    """What is done with a job that is handed in."""

    place = 'place'
    put_off = 'put-off'
    refuse = 'refuse'


class Verdict(NamedTuple):
    """The decision about a job, with its reason."""

    action: Action
    #: ``room`` or ``quota``, empty if nothing is in the way.
    reason: str
    #: The wait that is forecast; for a refusal, when to return.
    after_s: float


@final
class Admission:
    """Judges new jobs by one policy and keeps the times of return."""

    __slots__ = ('forecast', 'made_at', 'policy', 'returns_at', 'turns')

    def __init__(self, policy: ContentionPolicy) -> None:
        self.policy = policy
        self.forecast: Forecast | None = None
        self.made_at = -math.inf
        #: When the next refused caller of an organisation and queue returns.
        self.returns_at: dict[tuple[str, str], float] = {}
        #: When the caller of each refused job returns, by job id.
        self.turns: dict[str, float] = {}

    def update(
        self,
        table: JobTable,
        workers: dict[str, Worker],
        policies: Policies,
        *,
        moment: float,
        wall_ms: float,
    ) -> None:
        """Make a new forecast unless the last one is still valid."""
        if (
            self.forecast is not None
            and moment - self.made_at < FORECAST_VALID_S
        ):
            return
        self.made_at = moment
        self.turns = {
            job_id: turn for job_id, turn in self.turns.items() if turn > moment
        }
        self.forecast = Forecast(
            (job for job in table.jobs.values() if not job.status.is_final),
            workers.values(),
            policies,
            Ordering(self.policy, wall_ms),
        )

    def judge(self, job: Job, moment: float, wall_ms: float) -> Verdict:
        """Return what to do with a new job; ``update`` must precede it."""
        assert self.forecast is not None
        if _has_no_objective(job):
            return Verdict(Action.place, '', 0.0)
        wait = self.forecast.find_wait(job)
        if self.policy.refuses and _is_certainly_useless(job, wait, wall_ms):
            return Verdict(
                Action.refuse,
                wait.reason,
                self._return_after_s(job, wait, moment, wall_ms),
            )
        action = Action.put_off if wait.seconds else Action.place
        return Verdict(action, wait.reason, wait.seconds)

    def record_accepted(self, job: Job) -> None:
        """Add an accepted job to the forecast."""
        if self.forecast is not None:
            self.forecast.add_job(job)

    def _return_after_s(
        self, job: Job, wait: Wait, moment: float, wall_ms: float
    ) -> float:
        """Return when the job would be on time, after those refused before.

        A caller who returns too early keeps its turn.
        """
        turn = self.turns.get(job.spec.job_id, 0.0)
        if turn > moment:
            return max(turn - moment, MIN_RETURN_S)
        spare_s = (
            job.deadline_ms - wall_ms - max(job.critical_paths_ms)
        ) / MS_PER_S
        room_at = moment + max(wait.seconds - max(spare_s, 0.0), MIN_RETURN_S)
        key = (job.spec.tenant, job.spec.queue.name)
        turn = max(room_at, self.returns_at.get(key, 0.0))
        turn = min(turn, moment + MAX_RETURN_S)
        self.turns[job.spec.job_id] = turn
        self.returns_at[key] = turn + job.size_core_s / wait.cores
        return turn - moment


def retry_after_s(after_s: float) -> int:
    """Return whole seconds for a time of return, rounded at random.

    Rounding them all up would let callers return in step.
    """
    whole = math.floor(after_s)
    return max(whole + (random.random() < after_s - whole), 1)


def _has_no_objective(job: Job) -> bool:
    """Return whether a job is timed or lasts."""
    spec = job.spec
    return bool(spec.repeat) or any(step.long_running for step in spec.steps)


def _is_certainly_useless(job: Job, wait: Wait, wall_ms: float) -> bool:
    accepted_ms = job.spec.accepted_ms
    objective_ms = job.deadline_ms - accepted_ms
    ends_ms = (
        wall_ms
        + wait.seconds * MS_PER_S / WAIT_MARGIN
        + max(job.critical_paths_ms)
    )
    return ends_ms > accepted_ms + USELESS_FACTOR * objective_ms
