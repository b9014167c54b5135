"""Chooses the runs to move out of closed availability zones.

Load pattern: a zone is emptied while long-running tasks, and batch tasks with
much work left, run in it.  They would end with the zone.  Each is stopped only
if a worker in an open zone has room for it, its organisation's quota admits it
again, and no waiting step lacks that room or quota.  Of a long-running step,
only as many tasks are away at a time as it may miss.  All other runs end in the
zone.
"""

import collections
from collections.abc import Container, Iterable
from typing import Final, NamedTuple, final

from berylspread.coordinator.fleet import Run, Stage, Worker, find_run
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.model import WHOLE_PERCENT, Step
from berylspread.coordinator.planner import (
    TenantUsage,
    find_candidates,
    serves,
)
from berylspread.coordinator.worker_drain import remaining_s
from berylspread.model import Resources

#: Runs with less work left than this end where they are: a stop, another start
#: and the time to restore the progress take about as long.
MIN_REMAINING_S: Final = 2.0
#: The most runs that are being stopped at a time, so that the orders to move
#: them delay no others.
MAX_STOPPING: Final = 8
#: The most searches without a result in a review; each passes over all workers.
MAX_FRUITLESS: Final = 8

#: What decides which workers have room for a task: the service, the label, the
#: resources and, if workers are permitted or limited by step, its name.
Kind = tuple[str, str, Resources, str]


class Move(NamedTuple):
    """A run to stop, and the worker with room for its task."""

    run: Run
    target: Worker


class Contention(NamedTuple):
    """What waiting steps lack: room on services, and quota of organisations."""

    services: Container[str]
    tenants: Container[str]

    def concerns(self, step: Step) -> bool:
        """Return whether another task of a step would have to wait."""
        return bool(step.waiting_tasks) or (
            step.job.spec.queue.service in self.services
            or step.job.spec.tenant in self.tenants
        )


@final
class MovePlanner:
    """Chooses moves in the room that the workers in open zones have now."""

    __slots__ = (
        'away',
        'candidates',
        'fruitless',
        'fruitless_count',
        'holds',
        'moment',
        'targets',
        'tenant_usage',
        'workers',
    )

    def __init__(
        self,
        workers: dict[str, Worker],
        holds: Holds,
        tenant_usage: TenantUsage,
        fruitless: set[Kind],
        moment: float,
    ) -> None:
        """Set the state to choose by.

        ``fruitless`` holds the kinds for which earlier reviews found no room.
        They come last, so that each kind has its turn.
        """
        self.workers = workers
        self.holds = holds
        self.tenant_usage = tenant_usage
        self.moment = moment
        self.fruitless = fruitless
        self.fruitless_count = 0
        #: Workers that already are the target of a move.
        self.targets: set[str] = set()
        #: By step: the tasks that do not work, or will be stopped.
        self.away: collections.Counter[str] = collections.Counter()
        self.candidates: dict[tuple[str, ...], list[Worker]] = {}

    def choose(self, runs: Iterable[Run], limit: int) -> list[Move]:
        """Return moves for at most ``limit`` of the runs."""
        moves: list[Move] = []
        for run in runs:
            if len(moves) >= limit or self.fruitless_count >= MAX_FRUITLESS:
                break
            target = self._find_target(run) if self._may_stop(run) else None
            if target is not None:
                moves.append(Move(run, target))
                self.targets.add(target.name)
                self.away[run.task.step.name] += 1
        if self.fruitless_count < MAX_FRUITLESS:
            self.fruitless.clear()
        return moves

    def _may_stop(self, run: Run) -> bool:
        """Return whether the step can miss the task, and may start it again."""
        step = run.task.step
        if not self._is_within_quota(step):
            return False
        if not step.spec.long_running:
            return True
        if step.name not in self.away:
            self.away[step.name] = self._count_away(step)
        return self.away[step.name] < max(step.spec.may_miss, 1)

    def _is_within_quota(self, step: Step) -> bool:
        """Return whether the quota admits a task once one is stopped."""
        kept = self.holds.kept_quota(step, self.moment) - step.spec.demand
        return self.tenant_usage.allowed_tasks(step, kept) > 0

    def _count_away(self, step: Step) -> int:
        runs = (find_run(self.workers, task) for task in step.tasks)
        return sum(run is None or not _is_at_work(run) for run in runs)

    def _find_target(self, run: Run) -> Worker | None:
        step = run.task.step
        kind = _kind_of(step)
        if kind in self.fruitless:
            return None
        target = next(
            (
                worker
                for worker in self._candidates_for(step, kind)
                if worker.name not in self.targets
                and not self.holds.is_held(worker, self.moment)
                and self._has_room(worker, step, run.reserved)
            ),
            None,
        )
        if target is None:
            self.fruitless.add(kind)
            self.fruitless_count += 1
        return target

    def _candidates_for(self, step: Step, kind: Kind) -> list[Worker]:
        service, label, _, owner = kind
        found = self.candidates.get((service, label, owner))
        if found is None:
            found = [
                worker
                for worker, _ in find_candidates(
                    step, self.workers, self.moment
                )
            ]
            self.candidates[service, label, owner] = found
        return found

    def _has_room(
        self, worker: Worker, step: Step, reserved: Resources
    ) -> bool:
        return reserved.fits(worker.free) and worker.unused_limit(step) > 0


def find_movable(
    workers: Iterable[Worker], contention: Contention
) -> list[Run]:
    """Return the runs in closed zones that are worth moving, the best first.

    Runs whose tasks would wait behind others are left out.
    """
    movable = [
        run
        for worker in workers
        if worker.is_zone_closed
        and worker.entry.service not in contention.services
        for run in worker.runs.values()
        if _is_at_work(run)
        and _is_worth_moving(run)
        and not contention.concerns(run.task.step)
    ]
    movable.sort(key=_move_order)
    return movable


def is_confined(step: Step, workers: Iterable[Worker]) -> bool:
    """Return whether all workers that serve a step are in closed zones."""
    is_served = False
    for worker in workers:
        is_there = worker.is_present and worker.entry.is_ready
        if is_there and serves(worker.entry, step):
            if not worker.is_zone_closed:
                return False
            is_served = True
    return is_served


def _kind_of(step: Step) -> Kind:
    spec, queue = step.spec, step.job.spec.queue
    is_own = spec.max_per_worker or queue.permission_terms is not None
    return (
        queue.service,
        spec.label,
        spec.reserved_resources(),
        step.name if is_own else '',
    )


def _is_at_work(run: Run) -> bool:
    is_working = (
        run.stage is Stage.running
        and not run.stop_reason
        and run.worker.is_reachable
    )
    return is_working and (
        not run.task.step.spec.long_running
        or run.progress.percent >= WHOLE_PERCENT
    )


def _is_worth_moving(run: Run) -> bool:
    spec = run.task.step.spec
    if spec.long_running:
        return True
    if spec.gang or not spec.checkpoints:
        return False
    if spec.data_rack and spec.data_rack == run.worker.entry.rack:
        # Elsewhere it takes longer than it has left here.
        return False
    return remaining_s(run) > MIN_REMAINING_S


def _move_order(run: Run) -> tuple[bool, float]:
    return not run.task.step.spec.long_running, -remaining_s(run)
