"""Opens tickets for faults of running tasks that a home detects."""

from collections.abc import Callable, Iterable, Iterator
from typing import Final, final

from berylspread.entry.tickets import TicketCategory, TicketDesk
from berylspread.jobs.home import JobHome
from berylspread.jobs.progress import JobProgress
from berylspread.kernel import now
from berylspread.model import JobKind, TaskKey, TaskState

#: The longest time that a task of a service may not run before a ticket opens.
MAX_UNSTAFFED_S: Final = 30.0


@final
class HomeMonitor:
    """Checks the homes of this node for faults of their jobs.

    These are missed deadlines, tasks that run twice and service tasks that do
    not run.  ``unstaffed_since`` holds the loop time at which a service task
    was first found not running.
    """

    __slots__ = ('desk', 'homes', 'unstaffed_since')

    def __init__(
        self, desk: TicketDesk, homes: Callable[[], Iterable[JobHome]]
    ) -> None:
        """``homes`` returns the homes that the node owns at the time."""
        self.desk = desk
        self.homes = homes
        self.unstaffed_since: dict[TaskKey, float] = {}

    async def run_round(self) -> None:
        """Open tickets for the faults found."""
        unstaffed: dict[TaskKey, str] = {}
        for home in self.homes():
            self._report_duplicates(home)
            if home.tenure.is_valid(now()):
                self._report_missed_deadlines(home)
                unstaffed.update(_unstaffed_tasks(home))
        self.unstaffed_since = {
            key: self.unstaffed_since.get(key, now()) for key in unstaffed
        }
        for key, state in unstaffed.items():
            unstaffed_s = now() - self.unstaffed_since[key]
            if unstaffed_s >= MAX_UNSTAFFED_S:
                self._report_unstaffed(key, state)

    def _report_unstaffed(self, key: TaskKey, state: str) -> None:
        # The time in the key makes one ticket for each period without a worker.
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
    """Yield the service tasks that do not run, with their states."""
    for progress in home.job_table.jobs.values():
        if progress.spec.kind is JobKind.service and not progress.cancelled:
            yield from _unstaffed_tasks_of_job(progress)


def _unstaffed_tasks_of_job(
    progress: JobProgress,
) -> Iterator[tuple[TaskKey, str]]:
    for index in range(progress.spec.tasks):
        attempt = progress.handed_out.get(index)
        state = attempt.state if attempt else TaskState.pending
        if state is not TaskState.running and index not in progress.ended:
            yield progress.task_key(index), state.value
