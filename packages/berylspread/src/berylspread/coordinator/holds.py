"""Keeps room and quota that is being freed for a step from other steps.

Load pattern: a step that needs most of a worker, beside many small steps.  The
runs that are stopped for it end one after another.  If the room of the first
went to a small step, the wide one would never find enough, and stop further
runs again and again.
"""

from collections.abc import Iterable
from typing import Final, final

from berylspread.coordinator.fleet import Worker
from berylspread.coordinator.model import Phase, Step, Task
from berylspread.model import ZERO, Resources

#: How long room is kept; a stop takes up to 0.4 s to free it.
HOLD_S: Final = 0.6


@final
class Hold:
    """An amount that is kept for a step until a moment."""

    __slots__ = ('amount', 'step', 'until')

    def __init__(self, step: Step, amount: Resources, until: float) -> None:
        self.step = step
        self.amount = amount
        self.until = until

    def concerns(self, step: Step, moment: float) -> bool:
        """Return whether the amount is kept from a step."""
        holder = self.step
        is_needed = holder.waiting_tasks and not holder.job.status.is_final
        return (
            moment < self.until
            and bool(is_needed)
            and step is not holder
            and step.priority >= holder.priority
        )


@final
class Holds:
    """The holds on room, by worker, on quota, by tenant, and on tasks.

    A task is on hold while a worker lists a run of it that is not booked there.
    """

    __slots__ = ('quota', 'room', 'stray_workers')

    def __init__(self) -> None:
        #: The workers whose last report listed stray runs, by name.
        self.stray_workers: dict[str, Worker] = {}
        self.room: dict[str, Hold] = {}
        self.quota: dict[str, Hold] = {}

    def hold_room(
        self, step: Step, workers: Iterable[str], moment: float
    ) -> None:
        """Keep room for one task on each of the workers."""
        for worker in workers:
            self.room[worker] = Hold(
                step, step.spec.reserved_resources(), moment + HOLD_S
            )

    def hold_quota(self, step: Step, tasks: int, moment: float) -> None:
        """Keep quota of the step's tenant for some tasks."""
        self.quota[step.job.spec.tenant] = Hold(
            step, step.spec.demand * tasks, moment + HOLD_S
        )

    def note_strays(self, worker: Worker) -> None:
        """Apply which stray runs the newest report of a worker lists."""
        if worker.stray_tasks:
            self.stray_workers[worker.name] = worker
        else:
            self.stray_workers.pop(worker.name, None)

    def may_place(self, task: Task) -> bool:
        """Return whether a task waits and no worker lists a run of it."""
        return task.phase is Phase.waiting and not self.has_stray(task)

    def has_stray(self, task: Task) -> bool:
        """Return whether a worker may still run a stray run of a task."""
        name = task.name
        return any(
            name in worker.stray_tasks for worker in self.stray_workers.values()
        )

    def without_strays(self, tasks: Iterable[Task]) -> Iterable[Task]:
        """Return the tasks of which no worker may run a stray run."""
        listed = [worker.stray_tasks for worker in self.stray_workers.values()]
        strays = frozenset().union(*listed)
        if not strays:
            return tasks
        return (task for task in tasks if task.name not in strays)

    def is_held(self, worker: Worker, moment: float) -> bool:
        """Return whether room on a worker is kept for some step."""
        hold = self.room.get(worker.name)
        return hold is not None and moment < hold.until

    def free_room(self, worker: Worker, step: Step, moment: float) -> Resources:
        """Return the room on a worker that a step may use."""
        hold = self.room.get(worker.name)
        if hold is None or not hold.concerns(step, moment):
            return worker.free
        return worker.free - hold.amount

    def kept_quota(self, step: Step, moment: float) -> Resources:
        """Return the quota that a step may not use."""
        hold = self.quota.get(step.job.spec.tenant)
        if hold is None or not hold.concerns(step, moment):
            return ZERO
        return hold.amount

    def release(self, step: Step, worker: str) -> None:
        """Give up what is kept for a step once a task of it is placed."""
        for holds, key in (
            (self.room, worker),
            (self.quota, step.job.spec.tenant),
        ):
            hold = holds.get(key)
            if hold is not None and hold.step is step:
                del holds[key]
