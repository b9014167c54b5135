"""Opens tickets for what a home sees go wrong with running tasks."""

from collections.abc import Callable, Iterable, Iterator
from typing import Final, final

from berylspread.entry.tickets import TicketCategory, TicketDesk
from berylspread.jobs.home import JobHome
from berylspread.jobs.progress import JobProgress
from berylspread.kernel import now
from berylspread.model import JobKind, TaskKey, TaskState

#: A task of a service may be without a worker for so long.
MAX_UNSTAFFED_S: Final = 30.0


@final
class HomeMonitor:
    """Looks at the homes of this node: singletons and second runs.

    ``since`` is the loop time at which a task of a service was first seen not
    to run.
    """

    __slots__ = ('desk', 'homes', 'unstaffed_since')

    def __init__(
        self, desk: TicketDesk, homes: Callable[[], Iterable[JobHome]]
    ) -> None:
        """Take the help desk and the homes as they are at each round."""
        self.desk = desk
        self.homes = homes
        self.unstaffed_since: dict[TaskKey, float] = {}

    async def run_round(self) -> None:
        """Open the tickets that are due."""
        absent: dict[TaskKey, str] = {}
        for home in self.homes():
            self._report_duplicates(home)
            if home.tenure.is_valid(now()):
                self._report_missed_deadlines(home)
                absent.update(_unstaffed_tasks(home))
        self.unstaffed_since = {
            key: self.unstaffed_since.get(key, now()) for key in absent
        }
        for key, state in absent.items():
            unstaffed_s = now() - self.unstaffed_since[key]
            if unstaffed_s >= MAX_UNSTAFFED_S:
                self._report_unstaffed(key, state)

    def _report_unstaffed(self, key: TaskKey, state: str) -> None:
        # One ticket for each time that the task is without a worker.
        self.desk.open_ticket(
            TicketCategory.unstaffed_singleton,
            f'{key}@{self.unstaffed_since[key]:.0f}',
            state=state,
            bound_s=MAX_UNSTAFFED_S,
        )

    def _report_missed_deadlines(self, home: JobHome) -> None:
        wall_time = home.context.wall.time()
        for job_id, progress in home.job_table.jobs.items():
            deadline = progress.spec.deadline
            if deadline is not None and deadline < wall_time:
                self.desk.open_ticket(
                    TicketCategory.deadline_missed,
                    job_id,
                    deadline=deadline,
                    tasks=progress.count_by_state(),
                )

    def _report_duplicates(self, home: JobHome) -> None:
        while home.job_table.duplicate_events:
            event = home.job_table.duplicate_events.popleft()
            self.desk.open_ticket(
                TicketCategory.duplicate_execution,
                str(event.task),
                attempt=event.attempt,
                worker=event.worker,
                home=home.unit.unit,
            )


def _unstaffed_tasks(home: JobHome) -> Iterator[tuple[TaskKey, str]]:
    """Yield the tasks of services that do not run, and their states."""
    for progress in home.job_table.jobs.values():
        if progress.spec.kind is JobKind.service and not progress.cancelled:
            yield from _unstaffed_tasks_of_job(progress)


def _unstaffed_tasks_of_job(
    progress: JobProgress,
) -> Iterator[tuple[TaskKey, str]]:
    for index in range(progress.spec.tasks):
        handed = progress.handed_out.get(index)
        state = handed.state if handed else TaskState.pending
        if state is not TaskState.running and index not in progress.ended:
            yield progress.task_key(index), state.value
