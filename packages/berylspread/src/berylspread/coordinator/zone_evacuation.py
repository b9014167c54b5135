"""Empties the closed availability zones and tells how far that has come."""

import collections
from collections.abc import Mapping
from typing import TYPE_CHECKING, Final, final

from berylspread.coordinator.model import Step
from berylspread.coordinator.zone_moves import (
    MAX_STOPPING,
    Contention,
    Kind,
    MovePlanner,
    find_movable,
    is_confined,
)
from berylspread.kernel.clock import now

if TYPE_CHECKING:
    from berylspread.coordinator.coordinator import Coordinator

#: Why runs are stopped, and why orders to start are not sent.
ZONE_CLOSED: Final = 'zone-closed'
#: Why orders are not sent while it is not known which zones are closed.
ZONES_UNCONFIRMED: Final = 'zones-unconfirmed'
#: What a step waits for if all of its workers are in closed zones.
BLOCKED_BY_ZONES: Final = 'closed zones'
#: What a step waits for if its organisation uses all of its quota.
BLOCKED_BY_QUOTA: Final = 'quota'
#: What a step waits for if workers may run it.
BLOCKED_BY_ROOM: Final = 'room'


@final
class ZoneEvacuation:
    """Moves runs out of closed zones and counts those that are left."""

    __slots__ = ('coordinator', 'empty_zones', 'fruitless', 'runs_left')

    def __init__(self, coordinator: 'Coordinator') -> None:
        self.coordinator = coordinator
        #: By closed zone: its runs at the last review, orders on their way
        #: included.
        self.runs_left: dict[str, int] = {}
        #: Closed zones in which certainly nothing runs.
        self.empty_zones: set[str] = set()
        #: The kinds of runs for which there was no room of late.
        self.fruitless: set[Kind] = set()

    def review(self) -> None:
        """Count the runs in the closed zones, and move some if possible."""
        coordinator = self.coordinator
        if not coordinator.is_loaded:
            return
        self._count_runs()
        if any(self.runs_left.values()):
            self._move_runs()

    def record_obstacle(self, step: Step, obstacle: str) -> None:
        """Set what a step waits for; log if that is the closed zones."""
        is_new = obstacle != step.blocked_by
        if is_new and obstacle == BLOCKED_BY_ZONES:
            self.coordinator.log.write(
                'step-zones-closed',
                step=step.name,
                tenant=step.job.spec.tenant,
                tasks=len(step.waiting_tasks),
                zones=sorted(self._closed_names()),
            )
        step.blocked_by = obstacle

    def is_confined(self, step: Step) -> bool:
        """Return whether a step could run in closed zones only."""
        coordinator = self.coordinator
        return bool(self._closed_names()) and is_confined(
            step, coordinator.workers.values()
        )

    def close(self) -> None:
        """Withdraw the counts: another node coordinates now."""
        self.runs_left = {}
        self.coordinator.log.metrics.zone_runs = {}

    def _closed_names(self) -> set[str]:
        return self.coordinator.dependencies.policies.closed_zones.names

    def _count_runs(self) -> None:
        if not self._closed_names():
            self.runs_left = {}
            self.coordinator.log.metrics.zone_runs = self.runs_left
            self.empty_zones = set()
            return
        counts = collections.Counter(dict.fromkeys(self._closed_names(), 0))
        for worker in self.coordinator.workers.values():
            if worker.is_zone_closed:
                counts[worker.entry.zone] += len(worker.runs)
        self.runs_left = dict(counts)
        self.coordinator.log.metrics.zone_runs = self.runs_left
        empty_zones = set() if self._has_hidden_runs() else _zeros(counts)
        for zone in sorted(empty_zones - self.empty_zones):
            self.coordinator.log.write('zone-empty', zone=zone)
        self.empty_zones = empty_zones

    def _has_hidden_runs(self) -> bool:
        """Return whether runs are on workers whose zone is unknown."""
        return any(
            worker.runs and not worker.entry.zone
            for worker in self.coordinator.workers.values()
        )

    def _move_runs(self) -> None:
        coordinator, moment = self.coordinator, now()
        dispatcher = coordinator.dispatcher
        limit = MAX_STOPPING - self._count_stopping()
        if limit <= 0 or not dispatcher.may_place():
            return
        movable = find_movable(
            coordinator.workers.values(), self._find_contention()
        )
        planner = MovePlanner(
            coordinator.workers,
            dispatcher.holds,
            coordinator.tenant_usage,
            self.fruitless,
            moment,
        )
        moves = planner.choose(movable, limit)
        for run, target in moves:
            dispatcher.holds.hold_room(run.task.step, (target.name,), moment)
            coordinator.sessions[run.worker.name].orders.stop(run, ZONE_CLOSED)
        if moves:
            coordinator.log.write(
                'zone-moves',
                runs=[move.run.task.name for move in moves],
                left=self.runs_left,
            )

    def _count_stopping(self) -> int:
        return sum(
            run.stop_reason == ZONE_CLOSED
            for worker in self.coordinator.workers.values()
            if worker.is_zone_closed
            for run in worker.runs.values()
        )

    def _find_contention(self) -> Contention:
        """Return the services and organisations for which steps wait."""
        waiting = [
            step
            for step in self.coordinator.table.ready_steps
            if step.waiting_tasks
        ]
        services = {
            step.job.spec.queue.service
            for step in waiting
            if step.blocked_by == BLOCKED_BY_ROOM
        }
        tenants = {
            step.job.spec.tenant
            for step in waiting
            if step.blocked_by == BLOCKED_BY_QUOTA
        }
        return Contention(services, tenants)


def _zeros(counts: Mapping[str, int]) -> set[str]:
    return {zone for zone, count in counts.items() if not count}
