"""Chooses the workers for waiting tasks.

Load pattern: a burst of wide urgent steps while batch work fills the fleet.
Steps are placed in order of urgency, then of the time that their job has left,
so that an urgent job that arrives late gets the room before a batch step.
"""

import collections
import itertools
from collections.abc import Iterator, Mapping
from typing import Any, Final, final

from berylspread.coordinator.fleet import MAX_RUNS, Worker
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.interface import Policies, WorkerEntry
from berylspread.coordinator.model import Phase, Step, StepSpec, Task
from berylspread.coordinator.speed_choice import speed_penalty
from berylspread.coordinator.worker_queue import Choice, WorkerQueue
from berylspread.kernel.turns import Work, complete
from berylspread.model import ZERO, Resources

#: A ticket is used only if it is valid for this much longer, which covers the
#: time to store and send an order.
TICKET_MARGIN_S: Final = 0.15
#: What changes with each placement.
ROOM_FIELDS: Final = ('free', 'places', 'suspects_by_worker', 'tasks_by_worker')
#: Of one step at a time; tasks that demand nothing have room everywhere.
MAX_PLACED_TASKS: Final = 1000


@final
class TenantUsage:
    """The resources that each tenant uses, and its cap."""

    __slots__ = ('by_tenant', 'policies')

    def __init__(self, policies: Policies) -> None:
        self.policies = policies
        self.by_tenant: dict[str, Resources] = {}

    def add_task(self, task: Task) -> None:
        """Add the demand of a task to the usage of its tenant."""
        tenant = task.step.job.spec.tenant
        amount = self.by_tenant.get(tenant, ZERO)
        self.by_tenant[tenant] = amount + task.step.spec.demand

    def remove_task(self, task: Task) -> None:
        """Subtract the demand of a task from the usage of its tenant."""
        tenant = task.step.job.spec.tenant
        self.by_tenant[tenant] = self.by_tenant[tenant] - task.step.spec.demand

    def allowed_tasks(self, step: Step, kept: Resources = ZERO) -> int:
        """Return how many more tasks of a step the tenant may run.

        ``kept`` is quota that the step may not use.
        """
        tenant = step.job.spec.tenant
        cap = self.policies.cap(tenant)
        if cap is None or not tenant:
            return step.spec.count
        used = self.by_tenant.get(tenant, ZERO) + kept
        demand = step.spec.demand
        counts = [
            (limit - taken) // wanted
            for limit, taken, wanted in (
                (cap.cpu_milli, used.cpu_milli, demand.cpu_milli),
                (cap.memory_mib, used.memory_mib, demand.memory_mib),
                (cap.accelerators, used.accelerators, demand.accelerators),
            )
            if limit and wanted
        ]
        return max(min(counts, default=step.spec.count), 0)


@final
class Placement:
    """A task, the worker that was chosen, and the ticket if one is needed."""

    __slots__ = ('task', 'ticket', 'worker')

    def __init__(self, task: Task, worker: Worker, ticket: str) -> None:
        self.task = task
        self.worker = worker
        self.ticket = ticket


def find_candidates(
    step: Step, workers: Mapping[str, Worker], moment: float
) -> list[Choice]:
    """Return the workers that may run a step, each with its ticket, if any."""
    if step.job.spec.queue.permission_terms is None:
        return [
            (worker, '')
            for worker in workers.values()
            if may_run(step, worker, moment)
        ]
    if step.tickets is None:
        return []
    limit = moment + TICKET_MARGIN_S
    return [
        (workers[name], ticket)
        for name, (ticket, until) in step.tickets.by_worker.items()
        if until > limit
        and name in workers
        and may_run(step, workers[name], moment)
    ]


def may_run(step: Step, worker: Worker, moment: float) -> bool:
    """Return whether a worker may run a step now; ignores tickets."""
    return serves(worker.entry, step) and worker.accepts_runs(moment)


def serves(entry: WorkerEntry, step: Step) -> bool:
    """Return whether a worker has the service and the label of a step."""
    label = step.spec.label
    return entry.service == step.job.spec.queue.service and (
        not label or label in entry.labels
    )


@final
class StepPlacer:
    """Places the waiting tasks of one step, in the room that it may use."""

    __slots__ = (
        'candidates',
        'free',
        'holds',
        'places',
        'step',
        'suspects_by_worker',
        'tasks_by_worker',
    )

    def __init__(
        self,
        step: Step,
        candidates: list[Choice],
        holds: Holds,
        moment: float,
    ) -> None:
        self.step = step
        self.candidates = candidates
        self.holds = holds
        self.free = {
            worker.name: holds.free_room(worker, step, moment)
            for worker, _ in candidates
        }
        self.suspects_by_worker = collections.Counter(
            {
                worker.name: worker.suspect_count
                for worker, _ in candidates
                if worker.suspect_count
            }
        )
        #: Only counted if the step has a limit.
        tasks = step.tasks if step.spec.max_per_worker else []
        self.tasks_by_worker = collections.Counter(
            task.worker for task in tasks if task.phase is Phase.placed
        )
        #: How many more runs each worker takes, whatever they demand.
        self.places = {
            worker.name: MAX_RUNS - len(worker.runs) for worker, _ in candidates
        }

    def place_tasks(self, limit: int) -> list[Placement]:
        """Return what ``find_placements`` finds, in one turn."""
        return complete(self.find_placements(limit))

    def find_placements(self, limit: int) -> Work[list[Placement]]:
        """Find placements for at most ``limit`` tasks.

        All tasks of a gang are placed, or none.
        """
        spec = self.step.spec
        if not spec.gang:
            limit = min(limit, MAX_PLACED_TASKS)
        free = self.holds.without_strays(self.step.waiting_tasks)
        waiting = list(itertools.islice(free, limit))
        if spec.gang:
            return (yield from self._place_gang(waiting))
        return (yield from self._place_in_order(waiting, self.candidates))

    def _place_in_order(
        self, tasks: list[Task], choices: list[Choice]
    ) -> Work[list[Placement]]:
        """Find placements until a task finds no room."""
        queue = WorkerQueue(choices, self._find_cost)
        placed = []
        for task in tasks:
            choice = (
                self._choose_for_suspect(task, choices)
                if task.is_suspect
                else queue.take(task.avoided_workers)
            )
            if choice is None:
                break
            placed.append(self._reserve_room(task, choice))
            queue.update(choice[0].name)
            yield 1
        return placed

    def _place_gang(self, waiting: list[Task]) -> Work[list[Placement]]:
        if len(waiting) < self.step.spec.count:
            return []
        for group in self._gang_groups():
            if sum(self._count_places(group)) < len(waiting):
                continue
            kept = self._copy_room()
            placed = yield from self._place_in_order(waiting, group)
            if len(placed) == len(waiting):
                return placed
            self._restore_room(kept)
        return []

    def _count_places(self, group: list[Choice]) -> Iterator[int]:
        """Yield how many tasks each worker takes at most."""
        reserved = self.step.spec.reserved_resources()
        limit = self.step.spec.max_per_worker or MAX_RUNS
        for worker, _ in group:
            places = min(self.places[worker.name], limit)
            if reserved != ZERO:
                places = min(places, reserved.fit_count(self.free[worker.name]))
            yield places

    def _gang_groups(self) -> list[list[Choice]]:
        """Return groups of workers to try for a gang, the best first.

        The members wait for the slowest, so workers of one speed come before
        all workers.
        """
        if not self.step.spec.same_rack:
            return self._split_by_speed(self.candidates)
        racks: dict[str, list[Choice]] = {}
        for choice in self.candidates:
            racks.setdefault(choice[0].entry.rack, []).append(choice)
        groups = [
            group
            for rack in racks.values()
            for group in self._split_by_speed(rack)
        ]
        return [*groups, self.candidates]

    def _split_by_speed(self, choices: list[Choice]) -> list[list[Choice]]:
        """Return the workers of each speed, the preferred first, then all."""
        by_speed: dict[tuple[int, int], list[Choice]] = {}
        for choice in choices:
            penalty = speed_penalty(self.step, choice[0])
            by_speed.setdefault(penalty, []).append(choice)
        if len(by_speed) == 1:
            return [choices]
        return [*(by_speed[each] for each in sorted(by_speed)), choices]

    def _has_room(self, worker: Worker) -> bool:
        name, spec = worker.name, self.step.spec
        limit = spec.max_per_worker
        return (
            spec.reserved_resources().fits(self.free[name])
            and self.places[name] > 0
            and (not limit or self.tasks_by_worker[name] < limit)
        )

    def _choose_for_suspect(
        self, task: Task, choices: list[Choice]
    ) -> Choice | None:
        """Return the worker for a task that may crash it."""
        return min(
            (choice for choice in choices if self._has_room(choice[0])),
            key=lambda choice: (
                *self._failure_cost(task, choice[0]),
                *self._placement_cost(choice[0]),
            ),
            default=None,
        )

    def _reserve_room(self, task: Task, choice: Choice) -> Placement:
        worker, ticket = choice
        self.free[worker.name] -= self.step.spec.reserved_resources()
        self.places[worker.name] -= 1
        self.tasks_by_worker[worker.name] += 1
        self.suspects_by_worker[worker.name] += task.is_suspect
        return Placement(task, worker, ticket)

    def _copy_room(self) -> tuple[dict[str, Any], ...]:
        return tuple(dict(getattr(self, name)) for name in ROOM_FIELDS)

    def _restore_room(self, kept: tuple[dict[str, Any], ...]) -> None:
        for name, amounts in zip(ROOM_FIELDS, kept, strict=True):
            getattr(self, name).clear()
            getattr(self, name).update(amounts)

    def _find_cost(self, worker: Worker) -> tuple[float, ...] | None:
        """Return the cost of a worker for a task that crashes no worker."""
        if not self._has_room(worker):
            return None
        return (
            self.suspects_by_worker[worker.name],
            *self._placement_cost(worker),
        )

    def _placement_cost(self, worker: Worker) -> tuple[float, ...]:
        """Return what speaks against a worker, the heaviest first.

        Accelerators are filled worker by worker, so that steps that need all
        of a worker's find one; processor and memory are spread.
        """
        free = self.free[worker.name]
        used = worker.entry.capacity - free
        return (
            *placement_penalty(self.step.spec, worker),
            *speed_penalty(self.step, worker),
            free.accelerators,
            used.dominant_share(worker.entry.capacity),
        )

    def _failure_cost(self, task: Task, worker: Worker) -> tuple[int, ...]:
        """Return what failures on the worker, and its crash, would cost.

        Tasks under which workers may have crashed are kept apart, so that the
        next crash shows which of them has caused it, and away from other runs.
        """
        return (
            worker.name in task.avoided_workers,
            self.suspects_by_worker[worker.name],
            len(worker.runs),
        )


def placement_penalty(spec: StepSpec, worker: Worker) -> tuple[float, ...]:
    """Return the penalties of a worker for a step, the heaviest first."""
    conflict = 0
    if spec.is_filler:
        conflict = worker.serving_count
    elif spec.latency_target_ms:
        conflict = sum(
            run.task.step.spec.is_filler for run in worker.runs.values()
        )
    return (
        bool(spec.data_rack) and spec.data_rack != worker.entry.rack,
        conflict,
    )
