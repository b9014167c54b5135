"""Appends the outcomes of a home's tasks to the log, in batches."""

import asyncio
from typing import Final, final

from berylspread.jobs.job_table import JobTable
from berylspread.kernel import Failure
from berylspread.log import JobEnded, Record, TasksEnded
from berylspread.model import TaskEnd
from berylspread.runtime import NodeContext

FLUSH_INTERVAL_S: Final = 0.1
APPEND_TIMEOUT_S: Final = 5.0


@final
class OutcomeWriter:
    """Collects outcomes and keeps them until they are in the log."""

    __slots__ = (
        'batch_written',
        'context',
        'job_table',
        'unwritten',
        'written_batches',
    )

    def __init__(self, context: NodeContext, job_table: JobTable) -> None:
        self.context = context
        self.job_table = job_table
        self.unwritten: dict[str, list[TaskEnd]] = {}
        self.written_batches = 0
        self.batch_written = asyncio.Condition()

    async def flush(self) -> None:
        """Append the new outcomes; keep them for the next call on failure."""
        self._collect_outcomes()
        if not self.unwritten:
            return
        batch = self.unwritten
        records, ended_jobs = self._build_records(batch)
        offset = await self.context.appender.append(*records)
        if isinstance(offset, Failure):
            return
        self.unwritten = {}
        for job_id in ended_jobs:
            self.job_table.forget_job(job_id)
        async with self.batch_written:
            self.written_batches += 1
            self.batch_written.notify_all()

    async def wait_until_durable(self) -> bool:
        """Wait until all present outcomes are in the log.

        Return false after ``APPEND_TIMEOUT_S`` seconds.
        """
        if not self.unwritten and not self.job_table.unlogged_outcomes:
            return True
        needed_batches = self.written_batches + 2
        try:
            async with asyncio.timeout(APPEND_TIMEOUT_S), self.batch_written:
                await self.batch_written.wait_for(
                    lambda: (
                        self.written_batches >= needed_batches
                        or not (
                            self.unwritten or self.job_table.unlogged_outcomes
                        )
                    )
                )
        except TimeoutError:
            return False
        return True

    def _collect_outcomes(self) -> None:
        for job_id, ends in self.job_table.take_outcomes().items():
            self.unwritten.setdefault(job_id, []).extend(ends)

    def _build_records(
        self, batch: dict[str, list[TaskEnd]]
    ) -> tuple[list[Record], list[str]]:
        records: list[Record] = [
            TasksEnded(job_id, tuple(ends)) for job_id, ends in batch.items()
        ]
        ended_jobs = [
            job_id
            for job_id in batch
            if (job := self.job_table.jobs.get(job_id)) is not None
            and job.is_ended
        ]
        records.extend(
            JobEnded(
                job_id,
                self.job_table.jobs[job_id].summary_state(),
                ended_at=self.context.wall.time(),
            )
            for job_id in ended_jobs
        )
        return records, ended_jobs
