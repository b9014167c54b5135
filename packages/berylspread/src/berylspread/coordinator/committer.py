"""Stores changes of the job table in batches.

Load pattern: a record that the store refuses for good, such as one that is too
long, in a batch with the changes of other jobs.  The changes of a refused batch
are appended again one by one, and only those that are refused alone are given
up.
"""

import asyncio
import functools
from collections.abc import Callable, Iterable, Mapping
from typing import Final, final

from berylspread.coordinator.contacts import Contact, encode_contact
from berylspread.coordinator.fenced_log import FencedLog, StoredFuture
from berylspread.coordinator.interface import Record, RecordsRefused
from berylspread.coordinator.model import MS_PER_S, Job, Step, Task
from berylspread.coordinator.records import (
    DEFAULT_RECORD_BYTES,
    JOB_PREFIX,
    contact_key,
    drop_job_parts,
    encode_job,
    encode_step_part,
    job_key,
    step_key,
    task_part,
)
from berylspread.kernel.clock import WallClock
from berylspread.kernel.errors import Failure
from berylspread.kernel.turns import Turns

#: Payload bytes above which a batch is closed; below the store's limit for one
#: call.
MAX_BATCH_BYTES: Final = 1_000_000
#: The bytes of records whose encoding is a unit of work, see ``kernel.turns``.
BYTES_PER_UNIT: Final = 1000
#: Changes within this time share an append.  It is the interval between passes
#: of the placement, so that the end of a run and the starts for which it makes
#: room are in one append.
BATCH_DELAY_S: Final = 0.01

#: Returns the newest records of a change; they share an append.
Encode = Callable[[], list[Record]]


@final
class Change:
    """A change that is to be stored; ``stored`` is done once it is."""

    __slots__ = ('encode', 'key', 'stored')

    def __init__(self, key: str, encode: Encode) -> None:
        self.key = key
        self.encode = encode
        self.stored = _new_future()

    def finish(self, failure: Failure | None) -> None:
        """Report that the change is stored, or why it is not."""
        if not self.stored.done():
            self.stored.set_result(failure)


@final
class Batch:
    """Changes that share an append."""

    __slots__ = ('changes', 'records', 'size', 'stored')

    def __init__(self) -> None:
        self.changes: list[Change] = []
        self.records: list[Record] = []
        self.size = 0
        self.stored = _new_future()

    def add(self, change: Change) -> int:
        """Add a change with its newest records; return their bytes."""
        records = change.encode()
        self.changes.append(change)
        self.records.extend(records)
        added = sum(len(key) + len(blob) for key, blob in records)
        self.size += added
        return added


@final
class Committer:
    """Collects changed jobs and steps and appends their newest state.

    ``store_job``, ``store_step`` and ``store_tasks`` mark a change.  Each
    returns a future that gets ``None`` once this change and all before it are
    stored, or the failure that has ended the coordinator's epoch.  It gets
    ``RecordsRefused`` if the store refuses the change for good.
    """

    __slots__ = (
        'changes',
        'ended_jobs',
        'fenced_log',
        'open_changes',
        'record_bytes',
        'refused_changes',
        'wake',
        'wall_clock',
    )

    def __init__(
        self,
        fenced_log: FencedLog,
        wall_clock: WallClock,
        record_bytes: int = DEFAULT_RECORD_BYTES,
    ) -> None:
        """Set the log and the clock.

        ``record_bytes`` is the longest record that the store takes.
        """
        self.fenced_log = fenced_log
        self.wall_clock = wall_clock
        self.record_bytes = record_bytes
        #: The changes of the next append, by key.
        self.changes: dict[str, Change] = {}
        #: The jobs whose end has been encoded, so that what is encoded later
        #: cannot be stored before it.
        self.ended_jobs: set[str] = set()
        #: Changes that are being encoded, and are in no append yet.
        self.open_changes: list[Change] = []
        #: Changes of refused batches, to be appended one by one.
        self.refused_changes: list[Change] = []
        self.wake = asyncio.Event()

    def store_job(self, job: Job) -> StoredFuture:
        """Store a job's record with the next append."""
        job.stored_queue = job.spec.queue
        key = job_key(job.spec.job_id)
        return self._add_change(key, functools.partial(self._encode_job, job))

    def store_step(self, step: Step) -> StoredFuture:
        """Store all tasks of a step with the next append."""
        return self._store_parts(step, range(step.part_count))

    def store_tasks(self, step: Step, tasks: Iterable[Task]) -> StoredFuture:
        """Store at least one task of a step with the next append."""
        if step.has_long_record:
            return self.store_step(step)
        return self._store_parts(step, {task_part(task) for task in tasks})

    def store_contact(self, worker: str, contact: Contact) -> StoredFuture:
        """Store that leases of a worker are extended from an epoch on."""
        key = contact_key(worker)
        return self._add_change(key, lambda: [(key, encode_contact(contact))])

    def drop_contact(self, worker: str) -> None:
        """Drop the record of a worker's contact with the next append."""
        self.drop_key(contact_key(worker))

    def drop_step(self, step: Step) -> None:
        """Drop the records of a step with the next append."""
        for part in range(step.part_count):
            self.drop_key(step_key(step, part))

    def drop_job(self, job_id: str) -> None:
        """Drop the record of a job that has ended with the next append."""
        self.drop_key(job_key(job_id))
        self.ended_jobs.discard(job_id)

    def drop_key(self, key: str) -> None:
        """Drop a record with the next append."""
        self._add_change(key, lambda: [(key, b'')])

    def has_pending_changes(self) -> bool:
        """Return whether a change is not stored yet."""
        return bool(
            self.changes
            or self.refused_changes
            or self.open_changes
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
            await self._append_changes()

    def end_epoch(self, failure: Failure) -> None:
        """End the epoch; all pending futures get ``failure``."""
        self.fenced_log.end_epoch(failure)
        self.wake.set()
        for change in (
            *self.refused_changes,
            *self.open_changes,
            *self.changes.values(),
        ):
            change.finish(failure)

    def _add_change(self, key: str, encode: Encode) -> StoredFuture:
        self.wake.set()
        change = self.changes.get(key)
        if change is None:
            change = Change(key, encode)
            self.changes[key] = change
        change.encode = encode
        return change.stored

    def _store_parts(self, step: Step, parts: Iterable[int]) -> StoredFuture:
        # All changes of an append are stored at the same time, so the future
        # of any part will do.
        return [
            self._add_change(
                step_key(step, part),
                functools.partial(self._encode_step_part, step, part),
            )
            for part in parts
        ][-1]

    def _encode_job(self, job: Job) -> list[Record]:
        wall_ms = int(self.wall_clock.time() * MS_PER_S)
        records = encode_job(job, wall_ms, self.record_bytes)
        if job.status.is_final:
            records.extend(drop_job_parts(job))
            self.ended_jobs.add(job.spec.job_id)
        return records

    def _encode_step_part(self, step: Step, part: int) -> list[Record]:
        step.has_long_record = False
        key, job = step_key(step, part), step.job
        if not job.status.is_final:
            return [(key, encode_step_part(step, part, self.record_bytes))]
        # Without its record the step would be placed anew, so the end of the
        # job must not come after; the job may have ended since the last turn.
        is_known = job.spec.job_id in self.ended_jobs
        return [*([] if is_known else self._encode_job(job)), (key, b'')]

    async def _append_changes(self) -> None:
        """Append the changes, in as many batches and turns as they need."""
        refused, self.refused_changes = self.refused_changes, []
        changes, self.changes = self.changes, {}
        self.open_changes = [*refused, *_in_order(changes)]
        batches: list[Batch] = []
        turns = Turns()
        batch = Batch()
        for index, change in enumerate(self.open_changes):
            is_alone = index < len(refused)
            await turns.spend(1 + batch.add(change) // BYTES_PER_UNIT)
            is_last = index == len(self.open_changes) - 1
            if is_alone or is_last or batch.size > MAX_BATCH_BYTES:
                if self.fenced_log.end_failure is not None:
                    # ``end_epoch`` has finished the open changes.
                    return
                self.fenced_log.start_append(batch.records, batch.stored)
                batches.append(batch)
                batch = Batch()
        self.open_changes = []
        if batches:
            # The batches are stored in order.
            batches[-1].stored.add_done_callback(
                functools.partial(self._finish_batches, batches)
            )

    def _finish_batches(
        self, batches: list[Batch], stored: StoredFuture
    ) -> None:
        for batch in batches:
            if not batch.stored.cancelled():
                self._finish_batch(batch, batch.stored.result())

    def _finish_batch(self, batch: Batch, failure: Failure | None) -> None:
        if isinstance(failure, RecordsRefused):
            if len(batch.changes) > 1:
                self.refused_changes.extend(batch.changes)
                self.wake.set()
                return
            self.fenced_log.log.write(
                'record-refused',
                key=batch.changes[0].key,
                bytes=batch.size,
                reason=failure.reason,
            )
        for change in batch.changes:
            change.finish(failure)


async def wait_stored(stored: StoredFuture) -> Failure | None:
    """Wait for a change to be stored; return why it was not, or ``None``.

    Several callers wait for one future, so it is shielded from the cancellation
    of one of them.
    """
    return await asyncio.shield(stored)


def _in_order(changes: Mapping[str, Change]) -> list[Change]:
    """Return the changes in the order in which they must be stored.

    The record of a job that has ended comes before the removal of its steps,
    and the first part of a step, which replaces the long record of an earlier
    version, after the others.
    """
    jobs = [key for key in changes if key.startswith(JOB_PREFIX)]
    steps = [key for key in changes if not key.startswith(JOB_PREFIX)]
    return [changes[key] for key in (*jobs, *sorted(steps, reverse=True))]


def _new_future() -> StoredFuture:
    return asyncio.get_running_loop().create_future()
