"""Jobs and their tasks."""

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
    """The state of a task; the last five states are terminal."""

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
    """Where a task may run; an empty value sets no constraint."""

    region: str = ''
    zone: str = ''
    spread: str = ''
    avoid_workers: tuple[str, ...] = ()


@final
class JobSpec(msgspec.Struct, frozen=True):
    """A submitted job; the entry node has filled in the defaults.

    ``deadline`` and ``submitted_at`` are in seconds since the epoch.  ``home``
    is the unit that hands out the job's tasks.
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
    """Identifies a task by its job and its index."""

    job_id: str
    index: int

    def __str__(self) -> str:
        """Return the name of the task in logs and at workers."""
        return f'{self.job_id}/{self.index}'


@final
class TaskEnd(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a task."""

    index: int
    state: TaskState
    exit_code: int = 0
    reason: str = ''
    output: str = ''
