"""Work: jobs, their tasks, and interactive calls."""

import enum
from typing import Final, final

import msgspec

from berylspread.model.resources import Resources

DEFAULT_PRIORITY: Final = 0
URGENT_PRIORITY: Final = 10


@final
class JobKind(enum.Enum):
    """How a job's tasks run."""

    batch = 'batch'
    gang = 'gang'
    service = 'service'


@final
class TaskState(enum.Enum):
    """A task's state; the last five are terminal."""

    pending = 'pending'
    starting = 'starting'
    running = 'running'
    stopping = 'stopping'
    succeeded = 'succeeded'
    failed = 'failed'
    cancelled = 'cancelled'
    lost = 'lost'
    unknown = 'unknown'


TERMINAL_STATES: Final = frozenset(
    (
        TaskState.succeeded,
        TaskState.failed,
        TaskState.cancelled,
        TaskState.lost,
        TaskState.unknown,
    )
)


@final
class Constraints(msgspec.Struct, frozen=True):
    """Where a task may run; empty text means anywhere."""

    region: str = ''
    zone: str = ''
    spread: str = ''
    avoid_workers: tuple[str, ...] = ()


@final
class JobSpec(msgspec.Struct, frozen=True):
    """What a caller submitted, completed by the entry node.

    ``deadline`` and ``submitted_at`` are seconds since the epoch; ``home`` is
    the unit that hands out the job's tasks.
    """

    job_id: str
    team: str
    queue: str
    kind: JobKind
    tasks: int
    shape: Resources
    home: str
    submitted_at: float
    priority: int = DEFAULT_PRIORITY
    deadline: float | None = None
    idempotent: bool = True
    preemptible: bool = True
    expected_run_s: float = 0.0
    max_attempts: int = 3
    job_class: str = ''
    payload: str = ''
    request_id: str = ''
    constraints: Constraints = Constraints()


@final
class TaskKey(msgspec.Struct, frozen=True, array_like=True, order=True):
    """One task of a job."""

    job_id: str
    index: int

    def __str__(self) -> str:
        """Return the task's name in logs and at workers."""
        return f'{self.job_id}/{self.index}'


@final
class TaskEnd(msgspec.Struct, frozen=True, array_like=True):
    """How one task ended."""

    index: int
    state: TaskState
    exit_code: int = 0
    reason: str = ''
    output: str = ''
