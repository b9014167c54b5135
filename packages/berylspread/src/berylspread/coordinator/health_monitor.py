"""Marks workers as unhealthy and moves their slow runs."""

from typing import TYPE_CHECKING, final

from berylspread.coordinator.fleet import Run, Worker
from berylspread.coordinator.moves import (
    FASTER_ELSEWHERE,
    MoveFinder,
    fastest_with_room,
)
from berylspread.coordinator.slow_runs import (
    find_slow_or_stalled,
    is_stalled,
    is_worth_moving,
    may_mark_unhealthy,
)
from berylspread.kernel.clock import now

if TYPE_CHECKING:
    from berylspread.coordinator.coordinator import Coordinator


@final
class WorkerHealthMonitor:
    """Rates workers by progress and failures, and moves slow runs away."""

    __slots__ = ('coordinator',)

    def __init__(self, coordinator: 'Coordinator') -> None:
        self.coordinator = coordinator

    def review_worker(self, worker: Worker) -> None:
        """Check the progress in the newest report of a worker."""
        moment = now()
        if worker.slowness > 1:
            self._move_late_runs(worker, moment)
        slow = find_slow_or_stalled(worker, self.mean_duration_s, moment)
        if not slow:
            return
        if not self._mark_unhealthy(
            worker, moment, f'slow: {slow[0].task.name}'
        ):
            return
        for run in slow:
            other = fastest_with_room(
                run.task.step,
                self.coordinator.workers.values(),
                self.coordinator.dispatcher.holds,
                moment,
            )
            if other is not None and is_worth_moving(
                run, self.mean_duration_s(run, other), moment
            ):
                run.task.avoided_workers.add(worker.name)
                mean_s = self.mean_duration_s(run)
                if not is_stalled(run, mean_s, moment):
                    run.task.has_crawled = True
                self._stop_run(run, 'crawling')

    def _move_late_runs(self, worker: Worker, moment: float) -> None:
        """Move runs to faster workers if their jobs are on time only there."""
        coordinator = self.coordinator
        holds = coordinator.dispatcher.holds
        finder = MoveFinder(
            coordinator.table.durations,
            coordinator.workers,
            holds,
            moment,
            coordinator.wall_ms(),
        )
        for run, target in finder.find(worker):
            coordinator.log.write(
                'run-moved',
                task=run.task.name,
                run=run.number,
                worker=worker.name,
                to=target.name,
            )
            step = run.task.step
            # A worker has one hold; that of a more urgent step stays.
            if holds.free_room(target, step, moment) == target.free:
                holds.hold_room(step, (target.name,), moment)
            run.task.has_moved = True
            self._stop_run(run, FASTER_ELSEWHERE)

    def update_speeds(self) -> None:
        """Rate the speeds of all workers, and log those of the kinds."""
        coordinator = self.coordinator
        speeds = coordinator.table.durations.speeds
        has_changed = speeds.update(coordinator.workers.values(), now())
        factors = {
            ' '.join(kind): round(factor, 2)
            for kind, factor in speeds.factors.items()
        }
        coordinator.log.metrics.slowness = factors
        if has_changed:
            coordinator.log.write('worker-speeds', slowness=factors)

    def record_failure(self, run: Run) -> None:
        """Count a failed task, or a gang once, against its worker."""
        step, health = run.task.step, run.worker.health
        if step.spec.gang and not health.record_gang_failure(
            step.name, run.number
        ):
            return
        moment = now()
        failing_workers = {
            name for task in step.tasks for name in task.avoided_workers
        }
        if health.record_failure(len(failing_workers), moment):
            self._mark_unhealthy(run.worker, moment, f'failed: {run.task.name}')

    def mean_duration_s(
        self, run: Run, worker: Worker | None = None
    ) -> float | None:
        """Return the mean duration of the tasks like a run's, if it is known.

        It is that on a worker, or on the run's own.
        """
        durations = self.coordinator.table.durations
        mean_s = durations.find_step_mean_s(run.task.step)
        if mean_s is None:
            return None
        return mean_s * (worker or run.worker).slowness

    def _mark_unhealthy(
        self, worker: Worker, moment: float, reason: str
    ) -> bool:
        """Stop using a worker for a while.

        Returns whether the worker is unhealthy.  It is not marked if too many
        workers are unhealthy already.
        """
        workers = self.coordinator.workers.values()
        health = worker.health
        if health.is_unhealthy(moment):
            return True
        if not may_mark_unhealthy(workers, moment):
            return False
        health.mark_unhealthy(moment)
        worker.avoid_until = max(worker.avoid_until, health.unhealthy_until)
        self.coordinator.log.write(
            'worker-sick',
            worker=worker.name,
            reason=reason,
            blame=round(health.current_blame(moment), 2),
            for_s=health.unhealthy_s,
        )
        return True

    def _stop_run(self, run: Run, reason: str) -> None:
        session = self.coordinator.sessions.get(run.worker.name)
        if session is not None:
            session.orders.stop(run, reason)
