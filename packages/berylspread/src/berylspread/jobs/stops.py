"""Stops cancelled tasks, stray tasks and tasks above a lowered limit."""

from collections.abc import Iterable
from typing import Final, final

from berylspread.jobs.job_table import JobTable
from berylspread.limits import QuotaLedger
from berylspread.model import PARTITION_PREFIX, ZERO, JobKind, TaskKey
from berylspread.partition.messages import StopTasks, UnitEpoch
from berylspread.runtime import NodeContext

STOP_MODE: Final = 'stop'
CHECKPOINT_MODE: Final = 'checkpoint'


@final
class TaskStopper:
    """Sends stop messages for a task until its attempt has ended."""

    __slots__ = ('context', 'home', 'job_table', 'stop_modes', 'stray_tasks')

    def __init__(
        self, context: NodeContext, job_table: JobTable, home: UnitEpoch
    ) -> None:
        self.context = context
        self.job_table = job_table
        self.home = home
        self.stop_modes: dict[TaskKey, str] = {}
        self.stray_tasks: set[TaskKey] = set()

    def stop_tasks(
        self, tasks: Iterable[TaskKey], mode: str = STOP_MODE
    ) -> None:
        """Stop these tasks; a plain stop replaces a checkpoint."""
        for task in tasks:
            if self.stop_modes.get(task) != STOP_MODE:
                self.stop_modes[task] = mode

    def stop_strays(self, strays: set[TaskKey]) -> None:
        """Stop tasks that run after their outcome was recorded.

        The set ``strays`` is cleared.
        """
        self.stray_tasks.update(strays)
        strays.clear()

    def preempt_excess(self, quota: QuotaLedger) -> None:
        """Preempt tasks of the teams that exceed a lowered limit."""
        for team in quota.teams:
            excess = quota.excess(team)
            for task in self._preemption_candidates(team):
                if excess.fits(ZERO):
                    break
                excess -= self.job_table.jobs[task.job_id].spec.shape
                self.stop_tasks([task], CHECKPOINT_MODE)

    def on_attempt_ended(self, task: TaskKey) -> None:
        """Send no more stop messages for a task whose attempt has ended."""
        self.stop_modes.pop(task, None)

    async def run_round(self) -> None:
        """Send the stop messages to the owners of the tasks' partitions."""
        by_mode: dict[tuple[str, str], list[TaskKey]] = {}
        for task, mode in list(self.stop_modes.items()):
            node = self._owner_node(task)
            if node:
                by_mode.setdefault((node, mode), []).append(task)
        if self.stray_tasks:
            for node in self._all_owner_nodes():
                by_mode.setdefault((node, STOP_MODE), []).extend(
                    self.stray_tasks
                )
            self.stray_tasks.clear()
        for (node, mode), tasks in by_mode.items():
            self.context.peers.send(node, StopTasks(self.home, tasks, mode))

    def _owner_node(self, task: TaskKey) -> str:
        progress = self.job_table.jobs.get(task.job_id)
        attempt = progress.handed_out.get(task.index) if progress else None
        if attempt is None:
            self.stop_modes.pop(task, None)
            return ''
        owner = self.context.owner(attempt.unit)
        return owner[0].node if owner else ''

    def _all_owner_nodes(self) -> set[str]:
        owners = self.context.owners(PARTITION_PREFIX)
        return {owner.node for owner, _epoch in owners.values()}

    def _preemption_candidates(self, team: str) -> list[TaskKey]:
        jobs = [
            job
            for job in self.job_table.jobs.values()
            if job.spec.team == team and job.handed_out
        ]
        jobs.sort(
            key=lambda job: (
                job.spec.kind is JobKind.service,
                job.spec.priority,
                -job.accepted_at,
            )
        )
        return [job.task_key(index) for job in jobs for index in job.handed_out]
