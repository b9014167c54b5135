"""Finds runs that make their job late where they are, but not elsewhere.

Load pattern: batch tasks that save their progress were placed on slow workers
while they had time, or while the fast ones were full.  The job has since lost
time, by a preemption or a lost worker, and fast workers are free again.

A move costs the stop, a new permission, the start and the restore; a run moves
only if its job is then on time and would not be otherwise.  One run of a step
moves at a time, since many runs may see the same room, and a task only once.
"""

from collections.abc import Iterable, Mapping
from typing import Final, final

from berylspread.coordinator.durations import DurationEstimator, permission_ms
from berylspread.coordinator.fleet import Run, Stage, Worker
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.model import (
    MS_PER_S,
    WHOLE_PERCENT,
    Phase,
    Step,
)
from berylspread.coordinator.planner import may_run
from berylspread.coordinator.preemption import MIN_RUN_S
from berylspread.coordinator.slow_runs import MOVE_S

#: Why a run is stopped that moves.
FASTER_ELSEWHERE: Final = 'faster-elsewhere'
#: The time to resume from a checkpoint.
RESTORE_S: Final = 0.25
#: Expectations are off by this share of the remaining time.
ERROR_SHARE: Final = 0.2
#: Workers whose factors differ by less than this share count as equally fast.
MIN_GAIN_SHARE: Final = 0.15


@final
class MoveFinder:
    """Compares the ends of a run here and on the workers with room."""

    __slots__ = ('durations', 'holds', 'moment', 'wall_ms', 'workers')

    def __init__(
        self,
        durations: DurationEstimator,
        workers: Mapping[str, Worker],
        holds: Holds,
        moment: float,
        wall_ms: float,
    ) -> None:
        """Use workers by name at a moment, and the same as time of day."""
        self.durations = durations
        self.workers = workers
        self.holds = holds
        self.moment = moment
        self.wall_ms = wall_ms

    def find(self, worker: Worker) -> list[tuple[Run, Worker]]:
        """Return the runs to move from a worker, at most one for each step."""
        chosen: dict[str, tuple[Run, Worker]] = {}
        for run in worker.runs.values():
            step = run.task.step
            if step.name not in chosen and self._may_move(run):
                target = self._find_target(run)
                if target is not None:
                    chosen[step.name] = (run, target)
        return list(chosen.values())

    def _may_move(self, run: Run) -> bool:
        spec = run.task.step.spec
        is_movable = spec.checkpoints and not (
            spec.gang
            or spec.long_running
            or spec.is_filler
            # The rack of the data counts more than the speed.
            or spec.data_rack
        )
        is_running = run.stage is Stage.running and not run.stop_reason
        is_last = not run.task.step.waiting_tasks
        if not (is_movable and is_running and is_last) or run.task.has_moved:
            return False
        has_run_s = self.moment - run.since
        late_by_ms = self._late_by_ms(run, self._remaining_s(run))
        return (
            has_run_s >= MIN_RUN_S
            and late_by_ms > 0
            and not self._is_moving(run.task.step)
        )

    def _is_moving(self, step: Step) -> bool:
        """Return whether a run of a step is being stopped to move."""
        workers = self.workers
        return any(
            run.stop_reason == FASTER_ELSEWHERE
            for task in step.tasks
            if task.has_moved
            and task.phase is Phase.placed
            and task.worker in workers
            for run in workers[task.worker].runs.values()
            if run.task is task
        )

    def _remaining_s(self, run: Run) -> float:
        """Return the expected rest of a run on its worker."""
        whole_s = run.progress.projected_duration_s(self.moment)
        if whole_s is None:
            spec = run.task.step.spec
            whole_s = self.durations.expected_on(spec, run.worker) / MS_PER_S
        return whole_s * (WHOLE_PERCENT - run.progress.percent) / WHOLE_PERCENT

    def _late_by_ms(self, run: Run, remaining_s: float) -> float:
        """Return how late the job ends, if the run ends in that time."""
        job, number = run.task.step.job, run.task.step.number
        after_ms = job.critical_paths_ms[number] - job.task_durations_ms[number]
        return (
            self.wall_ms + remaining_s * MS_PER_S + after_ms - job.deadline_ms
        )

    def _find_target(self, run: Run) -> Worker | None:
        """Return the fastest worker with room if the job is on time there."""
        step = run.task.step
        target = fastest_with_room(
            step, self.workers.values(), self.holds, self.moment
        )
        if target is None:
            return None
        gain = target.slowness / run.worker.slowness
        cost_s = (
            MOVE_S + RESTORE_S + permission_ms(step.job.spec.queue) / MS_PER_S
        )
        there_s = cost_s + self._remaining_s(run) * gain * (1 + ERROR_SHARE)
        is_faster = gain < 1 - MIN_GAIN_SHARE
        return (
            target
            if is_faster and self._late_by_ms(run, there_s) <= 0
            else None
        )


def fastest_with_room(
    step: Step, workers: Iterable[Worker], holds: Holds, moment: float
) -> Worker | None:
    """Return the fastest permitted worker with room for a task of a step.

    Room that is kept for another step doesn't count.
    """
    tickets, needed = step.tickets, step.spec.reserved_resources()
    return min(
        (
            worker
            for worker in workers
            if may_run(step, worker, moment)
            and (tickets is None or worker.name in tickets.by_worker)
            and needed.fit_count(holds.free_room(worker, step, moment))
            and worker.unused_limit(step)
        ),
        key=lambda worker: worker.slowness,
        default=None,
    )
