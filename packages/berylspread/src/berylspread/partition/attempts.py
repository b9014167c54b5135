"""The attempts that a partition owner tracks on its workers."""

from typing import final

from berylspread.model import (
    TERMINAL_STATES,
    TaskKey,
    TaskState,
)
from berylspread.partition.messages import HeldTask, TaskEvent, TaskGrant


@final
class Attempt:
    """One attempt on one worker, from its booking to its acknowledged outcome.

    ``home`` is the unit to report to.  ``lease_lapses_at`` is the loop time by
    which the lease has certainly lapsed, counted from the last request that
    may have renewed it.  ``start_may_arrive_until`` is the loop time until
    which a start that was sent may still reach the worker, or ``None`` if no
    start is on its way.  ``confirmed`` is set once the worker has listed the
    attempt, ``reported`` once the home has recorded the newest ``event``.
    """

    __slots__ = (
        'confirmed',
        'event',
        'grant',
        'home',
        'lease_lapses_at',
        'reported',
        'start_may_arrive_until',
        'started_at',
        'state',
        'stopping',
        'worker',
    )

    def __init__(self, grant: TaskGrant, home: str, worker: str) -> None:
        self.grant = grant
        self.home = home
        self.worker = worker
        self.state = TaskState.starting
        self.started_at = 0.0
        self.confirmed = False
        self.lease_lapses_at = float('-inf')
        self.start_may_arrive_until: float | None = None
        self.event: TaskEvent | None = None
        self.reported = False
        self.stopping = ''

    @property
    def name(self) -> str:
        """The name under which the worker runs the task."""
        return str(self.grant.task)

    @property
    def is_ended(self) -> bool:
        """Whether the attempt certainly does not run any longer."""
        return self.state in TERMINAL_STATES or self.state is TaskState.pending

    def is_held_for(self, home: str) -> bool:
        """Return whether the inventory for a home lists the attempt."""
        return self.home == home and self.state is not TaskState.pending

    def to_held_task(self) -> HeldTask:
        """Return the entry for the attempt in an inventory."""
        return HeldTask(
            task=self.grant.task,
            attempt=self.grant.attempt,
            failures=self.grant.failures,
            team=self.grant.team,
            shape=self.grant.shape,
            state=self.state,
            worker=self.worker,
        )

    def change_state(self, state: TaskState, **details: object) -> None:
        """Change the state and set the event that reports the change.

        ``details`` are further fields of the ``TaskEvent``.
        """
        self.state = state
        self.reported = False
        self.event = TaskEvent(
            task=self.grant.task,
            attempt=self.grant.attempt,
            state=state,
            worker=self.worker,
            **details,  # type: ignore[arg-type]
        )


def parse_task_key(name: str) -> TaskKey | None:
    """Return the key in a task name, or ``None`` if the name is not ours."""
    job_id, separator, index = name.rpartition('/')
    if not separator or not index.isdecimal():
        return None
    return TaskKey(job_id, int(index))


def home_unit_of_job(job_id: str) -> str:
    """Return the home unit that is encoded in a job id."""
    region, shard, _unique = job_id.split('.', 2)
    return f'teams/{region}/{shard}'
