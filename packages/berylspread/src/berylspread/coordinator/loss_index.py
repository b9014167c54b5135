"""Finds the tasks that were lost on a silent worker.

Load pattern: hundreds of workers write an entry every 1.5 s each while tasks of
many silent workers wait to be settled.  An entry concerns only the tasks that
were lost on its worker, or on an earlier one at its address.
"""

from collections.abc import Iterator
from typing import final

from berylspread.coordinator.interface import WorkerEntry
from berylspread.coordinator.model import Phase, SilentLoss, Task


@final
class LossIndex:
    """The tasks with silent losses, by worker and by its address."""

    __slots__ = ('tasks_by_worker', 'workers_by_address')

    def __init__(self) -> None:
        self.tasks_by_worker: dict[str, list[Task]] = {}
        self.workers_by_address: dict[str, set[str]] = {}

    def add(self, loss: SilentLoss, task: Task) -> None:
        """Add a loss of a task."""
        tasks = self.tasks_by_worker.setdefault(loss.worker, [])
        if task not in tasks:
            tasks.append(task)
        if loss.address:
            workers = self.workers_by_address.setdefault(loss.address, set())
            workers.add(loss.worker)

    def remove_worker(self, worker: str) -> list[Task]:
        """Remove a worker; return the tasks that were lost on it."""
        return self.tasks_by_worker.pop(worker, [])

    def tasks(self) -> Iterator[Task]:
        """Return all tasks; one that was lost twice comes twice."""
        for tasks in list(self.tasks_by_worker.values()):
            yield from tasks

    def tasks_of_entry(self, entry: WorkerEntry) -> list[Task]:
        """Return the tasks whose losses a worker's entry may settle."""
        former = self.workers_by_address.get(entry.address, set())
        return [
            task
            for worker in sorted(former | {entry.worker})
            for task in self.tasks_by_worker.get(worker, ())
        ]

    def forget_settled(self) -> None:
        """Remove the tasks whose losses are settled or whose job has ended."""
        self.tasks_by_worker = {
            worker: left
            for worker, tasks in self.tasks_by_worker.items()
            if (left := [task for task in tasks if _is_open(task, worker)])
        }
        known = self.tasks_by_worker.keys()
        self.workers_by_address = {
            address: silent
            for address, workers in self.workers_by_address.items()
            if (silent := workers & known)
        }


def _is_open(task: Task, worker: str) -> bool:
    is_over = task.phase is Phase.done or task.step.job.status.is_final
    return not is_over and any(
        loss.worker == worker for loss in task.silent_losses
    )
