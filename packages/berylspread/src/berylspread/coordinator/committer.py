"""Stores changes of the job table in batches."""

import asyncio
from typing import Final, final

from berylspread.coordinator.fenced_log import FencedLog, StoredFuture
from berylspread.coordinator.interface import Record
from berylspread.coordinator.model import MS_PER_S, Job, Step
from berylspread.coordinator.records import (
    encode_job,
    encode_step,
    job_key,
    step_key,
)
from berylspread.kernel.clock import WallClock
from berylspread.kernel.errors import Failure

#: Payload bytes above which a batch is closed; below the store's limit for one
#: call.
MAX_BATCH_BYTES: Final = 1_000_000
#: Changes within this time share an append.  It is the interval between passes
#: of the placement, so that the end of a run and the starts for which it makes
#: room are in one append.
BATCH_DELAY_S: Final = 0.01


@final
class Committer:
    """Collects changed jobs and steps and appends their newest state.

    ``store_job`` and ``store_step`` mark a change.  Each returns a future that
    gets ``None`` once the change is stored, or the failure that has ended the
    coordinator's epoch.
    """

    __slots__ = (
        'changed_jobs',
        'changed_steps',
        'dropped_keys',
        'fenced_log',
        'next_stored',
        'wake',
        'wall_clock',
    )

    def __init__(self, fenced_log: FencedLog, wall_clock: WallClock) -> None:
        self.fenced_log = fenced_log
        self.wall_clock = wall_clock
        self.changed_jobs: dict[str, Job] = {}
        self.changed_steps: dict[str, Step] = {}
        self.dropped_keys: set[str] = set()
        self.wake = asyncio.Event()
        self.next_stored = _new_future()

    def store_job(self, job: Job) -> StoredFuture:
        """Store a job's record with the next append."""
        self.changed_jobs[job.spec.job_id] = job
        job.stored_queue = job.spec.queue
        return self._schedule_append()

    def store_step(self, step: Step) -> StoredFuture:
        """Store a step's record with the next append."""
        self.changed_steps[step.name] = step
        return self._schedule_append()

    def drop_key(self, key: str) -> None:
        """Drop the record of a key with the next append."""
        self.dropped_keys.add(key)

    def has_pending_changes(self) -> bool:
        """Return whether a change is not stored yet."""
        return bool(
            self.changed_jobs
            or self.changed_steps
            or self.dropped_keys
            or self.fenced_log.pending
        )

    async def run(self) -> Failure:
        """Append changes until the epoch is over; return why it is."""
        while True:
            await self.wake.wait()
            await self.fenced_log.wait_for_slot()
            if self.fenced_log.end_failure is not None:
                return self.fenced_log.end_failure
            await asyncio.sleep(BATCH_DELAY_S)
            self.wake.clear()
            if self.changed_jobs or self.changed_steps or self.dropped_keys:
                self._append_changes()

    def end_epoch(self, failure: Failure) -> None:
        """End the epoch; all pending futures get ``failure``."""
        self.fenced_log.end_epoch(failure)
        self.wake.set()
        if not self.next_stored.done():
            self.next_stored.set_result(failure)

    def _schedule_append(self) -> StoredFuture:
        self.wake.set()
        return self.next_stored

    def _append_changes(self) -> None:
        done, self.next_stored = self.next_stored, _new_future()
        batches = _split_into_batches(self._collect_records())
        for batch in batches[:-1]:
            self.fenced_log.start_append(batch, _new_future())
        self.fenced_log.start_append(batches[-1], done)

    def _collect_records(self) -> list[Record]:
        wall_ms = int(self.wall_clock.time() * MS_PER_S)
        records: list[Record] = [
            (job_key(name), encode_job(job, wall_ms))
            for name, job in self.changed_jobs.items()
        ]
        # The steps of a job that has ended are dropped in the same append.
        records.extend(
            (
                step_key(step),
                b'' if step.job.status.is_final else encode_step(step),
            )
            for step in self.changed_steps.values()
        )
        records.extend((key, b'') for key in self.dropped_keys)
        self.changed_jobs, self.changed_steps, self.dropped_keys = {}, {}, set()
        return records


async def wait_stored(stored: StoredFuture) -> Failure | None:
    """Wait for a change to be stored; return why it was not, or ``None``.

    Several callers wait for one future, so it is shielded from the cancellation
    of one of them.
    """
    return await asyncio.shield(stored)


def _split_into_batches(records: list[Record]) -> list[list[Record]]:
    batches: list[list[Record]] = [[]]
    size = 0
    for record in records:
        if size > MAX_BATCH_BYTES:
            batches.append([])
            size = 0
        batches[-1].append(record)
        size += len(record[1])
    return batches


def _new_future() -> StoredFuture:
    return asyncio.get_running_loop().create_future()
