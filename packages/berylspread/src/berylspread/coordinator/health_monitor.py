"""Keeps work away from workers that are found to be sick."""

from typing import TYPE_CHECKING, final

from berylspread.coordinator.fleet import Run, Worker
from berylspread.coordinator.model import MS_PER_S, Step
from berylspread.coordinator.permit_choice import room_for
from berylspread.coordinator.planner import may_run
from berylspread.coordinator.slow_runs import (
    find_slow_or_stalled,
    is_worth_moving,
    may_mark_unhealthy,
)
from berylspread.kernel.clock import now

if TYPE_CHECKING:
    from berylspread.coordinator.coordinator import Coordinator


@final
class WorkerHealthMonitor:
    """Judges workers by their reports, and moves what they hold up."""

    __slots__ = ('coordinator',)

    def __init__(self, coordinator: 'Coordinator') -> None:
        """Take the coordinator whose workers are judged."""
        self.coordinator = coordinator

    def review_worker(self, worker: Worker) -> None:
        """Judge a worker by the progress in its newest report."""
        moment = now()
        slow = find_slow_or_stalled(worker, self.mean_duration_s, moment)
        if not slow:
            return
        if not self._mark_unhealthy(
            worker, moment, f'slow: {slow[0].task.name}'
        ):
            return
        for run in slow:
            takes_s = self.mean_duration_s(run)
            if is_worth_moving(
                run, takes_s, moment
            ) and self._has_room_elsewhere(run.task.step, moment):
                run.task.avoided_workers.add(worker.name)
                self._stop_run(run)

    def record_failure(self, run: Run) -> None:
        """Judge a worker by a task that has failed there."""
        step = run.task.step
        moment = now()
        places = {name for task in step.tasks for name in task.avoided_workers}
        if run.worker.health.record_failure(len(places), moment):
            self._mark_unhealthy(run.worker, moment, f'failed: {run.task.name}')

    def mean_duration_s(self, run: Run) -> float | None:
        """Return what tasks of a run's image have taken, if any has ended."""
        durations = self.coordinator.table.durations
        learned_ms = durations.find_mean_ms(run.task.step.spec)
        return None if learned_ms is None else learned_ms / MS_PER_S

    def _mark_unhealthy(self, worker: Worker, moment: float, why: str) -> bool:
        """Use a worker no more for a while; return whether it is sick."""
        workers = self.coordinator.workers.values()
        soundness = worker.health
        if soundness.is_unhealthy(moment):
            return True
        if not may_mark_unhealthy(workers, moment):
            return False
        soundness.mark_unhealthy(moment)
        worker.avoid_until = max(worker.avoid_until, soundness.unhealthy_until)
        self.coordinator.log.write(
            'worker-sick',
            worker=worker.name,
            reason=why,
            blame=round(soundness.current_blame(moment), 2),
            for_s=soundness.unhealthy_s,
        )
        return True

    def _has_room_elsewhere(self, step: Step, moment: float) -> bool:
        """Return whether another worker that is good for a step has room."""
        tickets = step.tickets
        return any(
            may_run(step, worker, moment)
            and (tickets is None or worker.name in tickets.by_worker)
            and room_for(step, worker)
            for worker in self.coordinator.workers.values()
        )

    def _stop_run(self, run: Run) -> None:
        session = self.coordinator.sessions.get(run.worker.name)
        if session is not None:
            session.orders.stop(run, 'crawling')
