"""Starts gangs: reserves room on the partitions, then starts all tasks.

A gang reserves room on one partition after the other, in the order of unit
names.  If the room does not suffice for all tasks, it releases all of it before
it waits, so two gangs cannot deadlock.
"""

import asyncio
from typing import TYPE_CHECKING, Final, final

from absl import logging

from berylspread.jobs.progress import JobProgress
from berylspread.kernel import Failure, now
from berylspread.model import PARTITION_PREFIX, TaskState, unit_region
from berylspread.partition.messages import (
    CommitAsk,
    CommitReply,
    ReleaseHold,
    ReserveAsk,
    ReserveReply,
    TaskEvent,
    TaskGrant,
)

if TYPE_CHECKING:
    from berylspread.jobs.home import JobHome

HOLD_S: Final = 5.0
#: Why the other members of a gang are cancelled.
MEMBER_FAILED: Final = 'a member of the gang has failed'
REQUEST_TIMEOUT_S: Final = 2.0
MIN_RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 2.0


@final
class PartitionHold:
    """Room that one partition holds for tasks of a gang."""

    __slots__ = ('gang', 'node', 'partition', 'reserved')

    def __init__(self, node: str, reply: ReserveReply) -> None:
        self.node = node
        self.gang = reply.gang
        self.partition = reply.partition
        self.reserved = reply.reserved


@final
class GangStarter:
    """Starts the home's waiting gangs.

    Gangs of higher priority come first, then those that wait longer.
    """

    __slots__ = ('commit_tasks', 'home', 'reservations', 'retry_at')

    def __init__(self, home: 'JobHome') -> None:
        self.home = home
        self.retry_at: dict[str, float] = {}
        self.commit_tasks: set[asyncio.Task[None]] = set()
        self.reservations = 0

    async def run_round(self) -> None:
        """Try to start every due gang of which no task is handed out."""
        if not self.home.tenure.is_valid(now()):
            return
        self._end_failed_gangs()
        self._stop_broken_gangs()
        for progress in self._due_gangs():
            await self._start_gang(progress)

    def on_attempt_ended(self, event: TaskEvent) -> None:
        """Stop the other members of a gang if a member did not succeed."""
        progress = self.home.job_table.jobs.get(event.task.job_id)
        if progress is None or not progress.is_gang:
            return
        if event.state is not TaskState.succeeded:
            self.home.stopper.stop_tasks(
                progress.task_key(index) for index in progress.handed_out
            )

    def _end_failed_gangs(self) -> None:
        """Cancel the other members of gangs that cannot be whole any more.

        It is decided from the outcomes in the log, as the home may have changed
        since a member failed.
        """
        for progress in list(self.home.job_table.jobs.values()):
            if progress.is_gang and progress.has_failed_for_good:
                self.home.stopper.stop_tasks(
                    self.home.job_table.cancel_job(
                        progress.spec.job_id, MEMBER_FAILED
                    )
                )

    def _stop_broken_gangs(self) -> None:
        """Stop the members of gangs of which others wait to be started.

        Those may have been found to be lost in an inventory, without an event.
        """
        for progress in self.home.job_table.jobs.values():
            if progress.is_gang and progress.pending:
                self.home.stopper.stop_tasks(
                    progress.task_key(index) for index in progress.handed_out
                )

    def _due_gangs(self) -> list[JobProgress]:
        self.home.job_table.requeue_due_retries()
        gangs = [
            job
            for job in self.home.job_table.jobs.values()
            if job.is_gang
            and len(job.pending) + len(job.ended) == job.spec.tasks
            and job.pending
            and self.retry_at.get(job.spec.job_id, 0) <= now()
        ]
        gangs.sort(key=lambda job: (-job.spec.priority, job.accepted_at))
        return gangs

    async def _start_gang(self, progress: JobProgress) -> None:
        wanted = len(progress.pending)
        spec = progress.spec
        quota = self.home.quota.teams.get(spec.team)
        room = quota.room(spec.shape) if quota else 0
        if room is not None and room < wanted:
            self._back_off(progress)
            return
        holds = await self._reserve_room(progress, wanted)
        if sum(hold.reserved for hold in holds) < wanted:
            self._release_holds(progress, holds)
            return
        await self._commit_gang(progress, holds, wanted)

    async def _reserve_room(
        self, progress: JobProgress, wanted: int
    ) -> list[PartitionHold]:
        holds: list[PartitionHold] = []
        missing = wanted
        self.reservations += 1
        for unit, node in self._partitions(progress):
            if not missing:
                break
            reply = await self.home.context.peers.request(
                node,
                self._reserve_request(progress, unit, missing),
                ReserveReply,
                timeout_s=REQUEST_TIMEOUT_S,
            )
            if isinstance(reply, Failure) or not reply.reserved:
                continue
            holds.append(PartitionHold(node, reply))
            missing -= reply.reserved
        return holds

    def _reserve_request(
        self, progress: JobProgress, unit: str, missing: int
    ) -> ReserveAsk:
        spec = progress.spec
        return ReserveAsk(
            home=self.home.unit,
            partition=unit,
            gang=f'{spec.job_id}@{self.home.unit.epoch}.{self.reservations}',
            shape=spec.shape,
            wanted=missing,
            hold_s=HOLD_S,
            constraints=spec.constraints,
            waited_s=now() - progress.accepted_at,
        )

    def _partitions(self, progress: JobProgress) -> list[tuple[str, str]]:
        region = progress.spec.constraints.region or self.home.region
        owners = self.home.context.owners(PARTITION_PREFIX)
        return sorted(
            (unit, owner.node)
            for unit, (owner, _epoch) in owners.items()
            if unit_region(unit) == region
        )

    async def _commit_gang(
        self, progress: JobProgress, holds: list[PartitionHold], wanted: int
    ) -> None:
        spec = progress.spec
        acquired = self.home.quota.acquire(spec.team, spec.shape, wanted)
        if acquired < wanted or len(progress.pending) != wanted:
            self.home.quota.release(spec.team, spec.shape, acquired)
            self._release_holds(progress, holds)
            return
        logging.info(
            'starting gang %s on %d partitions', spec.job_id, len(holds)
        )
        shares = [
            (hold, self._hand_out_tasks(progress, hold)) for hold in holds
        ]
        failure = await self.home.log_starts(
            [grant for _hold, grants in shares for grant in grants]
        )
        if failure is not None:
            self._release_holds(progress, holds)
            return
        for hold, grants in shares:
            task = asyncio.create_task(
                self._commit_on_partition(progress, hold, grants)
            )
            self.commit_tasks.add(task)
            task.add_done_callback(self.commit_tasks.discard)

    def _hand_out_tasks(
        self, progress: JobProgress, hold: PartitionHold
    ) -> list[TaskGrant]:
        return [
            self.home.job_table.hand_out_next(
                progress, hold.partition.unit, hold.partition.epoch
            )
            for _ in range(hold.reserved)
        ]

    async def _commit_on_partition(
        self,
        progress: JobProgress,
        hold: PartitionHold,
        grants: list[TaskGrant],
    ) -> None:
        # Repeats the request until a reply arrives: without the reply, the home
        # does not know whether the tasks have started.
        request = CommitAsk(self.home.unit, hold.partition, hold.gang, grants)
        while self._is_epoch_unchanged(hold):
            reply = await self.home.context.peers.request(
                hold.node, request, CommitReply, timeout_s=REQUEST_TIMEOUT_S
            )
            if not isinstance(reply, Failure):
                self._on_commit_reply(progress, reply, grants)
                return
            await asyncio.sleep(MIN_RETRY_S)

    def _on_commit_reply(
        self, progress: JobProgress, reply: CommitReply, grants: list[TaskGrant]
    ) -> None:
        if reply.taken:
            return
        for grant in grants:
            self.home.job_table.return_unstarted(grant.task, grant.attempt)
        self.home.stopper.stop_tasks(
            progress.task_key(index) for index in progress.handed_out
        )
        self._back_off(progress)

    def _is_epoch_unchanged(self, hold: PartitionHold) -> bool:
        owner = self.home.context.owner(hold.partition.unit)
        return owner is not None and owner[1] == hold.partition.epoch

    def _release_holds(
        self, progress: JobProgress, holds: list[PartitionHold]
    ) -> None:
        for hold in holds:
            self.home.context.peers.send(
                hold.node,
                ReleaseHold(hold.partition.unit, hold.gang),
            )
        self._back_off(progress)

    def _back_off(self, progress: JobProgress) -> None:
        delay_s = self.home.context.rng.uniform(MIN_RETRY_S, MAX_RETRY_S)
        self.retry_at[progress.spec.job_id] = now() + delay_s
