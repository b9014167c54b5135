"""One task at a worker stand-in: its lease, its progress and its end."""

import asyncio
from collections.abc import Callable
from typing import Final, final

import msgspec

from berylspread.backend.interface import TaskReport, TaskStart
from berylspread.kernel.clock import now
from berylspread.model import TERMINAL_STATES, ZERO, Resources, TaskState
from berylspread_standins.observer import Execution
from berylspread_standins.workload import Workload

#: A throttled task runs at this share of its speed.
THROTTLED_RATE: Final = 0.5


@final
class Ending(msgspec.Struct, frozen=True):
    """How a run ends."""

    state: TaskState
    exit_code: int = 0
    reason: str = ''
    checkpoint: str = ''


@final
class Run:
    """One attempt of a task; it calls ``on_end`` once when it has ended.

    Progress is counted in seconds of work; ``rate`` is the speed of work.
    """

    __slots__ = (
        'ending',
        'execution',
        'finish_timer',
        'lease_timer',
        'lease_until',
        'on_end',
        'progress_s',
        'progressed_at',
        'rate',
        'start',
        'started_at',
        'state',
        'stop_mode',
        'workload',
    )

    def __init__(
        self,
        start: TaskStart,
        workload: Workload,
        execution: Execution,
        on_end: Callable[['Run'], None],
    ) -> None:
        """Start to work; a checkpoint to resume from counts as progress."""
        self.start = start
        self.workload = workload
        self.execution = execution
        self.on_end = on_end
        self.state = TaskState.running
        self.ending: Ending | None = None
        self.rate = 1.0
        self.stop_mode = ''
        self.progress_s = _checkpointed_s(start.resume_from)
        self.progressed_at = now()
        self.started_at = now()
        self.lease_until = now()
        self.finish_timer: asyncio.TimerHandle | None = None
        self.lease_timer: asyncio.TimerHandle | None = None
        self.schedule()

    def renew(self, lease_s: float) -> None:
        """Run on until ``lease_s`` from now on the loop's clock, at least."""
        if self.is_over:
            return
        self.lease_until = max(self.lease_until, now() + lease_s)
        if self.lease_timer is None:
            self.lease_timer = asyncio.get_running_loop().call_at(
                self.lease_until, self._check_lease
            )

    @property
    def is_over(self) -> bool:
        """Return whether the run has ended."""
        return self.state in TERMINAL_STATES

    def set_rate(self, rate: float) -> None:
        """Change the speed of work; 0 stands still."""
        self._count_progress()
        self.rate = rate
        self.schedule()

    def schedule(self) -> None:
        """Set the timer for the natural end."""
        if self.finish_timer is not None:
            self.finish_timer.cancel()
            self.finish_timer = None
        if self.workload.run_s is None or self.rate <= 0 or self.is_over:
            return
        rest_s = max(self.workload.run_s - self.progress_s, 0) / self.rate
        self.finish_timer = asyncio.get_running_loop().call_later(
            rest_s, self._finish
        )

    def checkpoint(self) -> str:
        """Return the progress as a checkpoint, empty if there is none."""
        if not self.workload.checkpointable:
            return ''
        self._count_progress()
        return f'{self.progress_s:.3f}'

    def end(self, ending: Ending) -> None:
        """End the run; later endings have no effect."""
        if self.is_over:
            return
        self._count_progress()
        self.ending = ending
        self.state = ending.state
        for timer in (self.finish_timer, self.lease_timer):
            if timer is not None:
                timer.cancel()
        self.on_end(self)

    def used(self, lag_s: float) -> Resources:
        """Return the real use as it was ``lag_s`` seconds ago."""
        if self.is_over or now() - self.started_at < lag_s:
            return ZERO
        return self.workload.used or self.start.shape

    def report(self, wall_offset_s: float, lag_s: float) -> TaskReport:
        """Return what the worker says of the run."""
        ending = self.ending or Ending(self.state)
        return TaskReport(
            task=self.start.task,
            attempt=self.start.attempt,
            team=self.start.team,
            job_class=self.start.job_class,
            shape=self.start.shape,
            state=self.state,
            started_at=self.started_at + wall_offset_s,
            exit_code=ending.exit_code,
            reason=ending.reason,
            output=self.workload.output if self.is_over else '',
            checkpoint=ending.checkpoint,
            used=self.used(lag_s),
        )

    def _count_progress(self) -> None:
        self.progress_s += (now() - self.progressed_at) * self.rate
        self.progressed_at = now()

    def _finish(self) -> None:
        exit_code = self.workload.exit_code
        state = TaskState.failed if exit_code else TaskState.succeeded
        self.end(Ending(state, exit_code))

    def _check_lease(self) -> None:
        self.lease_timer = None
        if now() >= self.lease_until:
            self.end(Ending(TaskState.lost, reason='lease-lapsed'))
        else:
            self.renew(0)


def _checkpointed_s(checkpoint: str) -> float:
    try:
        return float(checkpoint or 0)
    except ValueError:
        return 0
