"""Fills the job table of a new coordinator from the records in the store."""

from collections.abc import Iterable, Mapping
from typing import Final, NamedTuple, final

import msgspec

from berylspread.coordinator.contacts import decode_contact
from berylspread.coordinator.interface import Snapshot
from berylspread.coordinator.model import (
    MS_PER_S,
    TASKS_PER_UNIT,
    Job,
    JobStatus,
    Phase,
    Step,
)
from berylspread.coordinator.records import (
    CONTACT_PREFIX,
    JOB_PART_PREFIX,
    JOB_PREFIX,
    STEP_PREFIX,
    JobRecord,
    decode_job,
    join_job_parts,
    restore_step,
    restored_status,
)
from berylspread.coordinator.table import EndedJob, JobTable
from berylspread.kernel.turns import Work

#: What the decoders of records raise: other types, lengths or values.
UNREADABLE: Final = (msgspec.DecodeError, ValueError)
#: The kinds of records that are restored.
RECORD_PREFIXES: Final = (
    JOB_PREFIX,
    JOB_PART_PREFIX,
    STEP_PREFIX,
    CONTACT_PREFIX,
)
PREFIX_LENGTH: Final = 2
#: The bytes of a job's record whose decoding is a unit of work, see
#: ``kernel.turns``.
BYTES_PER_UNIT: Final = 1000

#: The records by prefix, and by key without it.
Blobs = Mapping[str, Mapping[str, bytes]]


@final
class Debt(NamedTuple):
    """What a job took of its organisation's share."""

    job_id: str
    tenant: str
    accepted_ms: int
    #: -1 if an earlier version did not record it.
    share_step: int


def restore_table(
    table: JobTable, snapshot: Snapshot, wall_ms: float
) -> Work[list[str]]:
    """Fill an empty table with the jobs and steps in the store.

    Returns the keys of the records of steps that the end of their job has left.
    """
    blobs = yield from _sort_blobs(snapshot)
    for worker, blob in blobs[CONTACT_PREFIX].items():
        _restore_contact(table, worker, blob)
    debts: list[Debt] = []
    for job_id, blob in blobs[JOB_PREFIX].items():
        _restore_job(table, job_id, blobs, debts)
        yield 1 + len(blob) // BYTES_PER_UNIT
    _restore_debts(table, debts)
    for job in sorted(table.jobs.values(), key=_accepted_ms):
        if (yield from _restore_steps(table, job, blobs, wall_ms)):
            table.begin_job(job)
    return (yield from _find_orphans(table, blobs[STEP_PREFIX]))


def _sort_blobs(snapshot: Snapshot) -> Work[Blobs]:
    blobs: dict[str, dict[str, bytes]] = {
        prefix: {} for prefix in RECORD_PREFIXES
    }
    for item in snapshot.items:
        prefix = item.key[:PREFIX_LENGTH]
        known = blobs.get(prefix)
        if known is not None:
            known[item.key[PREFIX_LENGTH:]] = item.blob
        yield 1
    return blobs


def _restore_job(
    table: JobTable, job_id: str, blobs: Blobs, debts: list[Debt]
) -> None:
    blob, parts = blobs[JOB_PREFIX][job_id], blobs[JOB_PART_PREFIX]
    try:
        whole, part_count = join_job_parts(job_id, blob, parts)
        record = decode_job(whole)
        if record.spec is None:
            _restore_ended(table, job_id, record)
        else:
            job = Job(record.spec, is_complete=False)
            job.record_parts = part_count
            job.share_step = max(record.share_step, 0)
            table.jobs[job_id] = job
        debts.append(_debt_of(job_id, record))
    except UNREADABLE as error:
        _record_unreadable(table, job_id, error)


def _restore_ended(table: JobTable, job_id: str, record: JobRecord) -> None:
    table.ended_jobs[job_id] = EndedJob(
        restored_status(record),
        record.tenant,
        record.queue,
        record.ended_ms,
    )


def _restore_debts(table: JobTable, debts: list[Debt]) -> None:
    """Charge the shares as earlier coordinators did."""
    for debt in sorted(debts, key=_debt_order):
        if not debt.tenant:
            continue
        weight = table.policies.weight(debt.tenant)
        at_s = debt.accepted_ms / MS_PER_S
        job = table.jobs.get(debt.job_id)
        if debt.share_step >= 0:
            table.share_meter.charge(debt.tenant, weight, at_s, debt.share_step)
        elif job is not None:
            job.share_step = table.share_meter.take(debt.tenant, weight, at_s)


def _restore_contact(table: JobTable, worker: str, blob: bytes) -> None:
    try:
        table.contacts[worker] = decode_contact(blob)
    except ValueError as error:
        # Without it, leases count from this coordinator's claim.
        table.log.write('contact-unreadable', worker=worker, reason=str(error))


def _restore_steps(
    table: JobTable, job: Job, blobs: Blobs, wall_ms: float
) -> Work[bool]:
    """Restore the steps of a job; return whether all could be read."""
    yield from job.create_steps()
    try:
        for step in job.steps.values():
            restore_step(step, blobs[STEP_PREFIX], wall_ms)
            if _has_begun(step):
                job.status = JobStatus.running
            yield 1 + step.spec.count // TASKS_PER_UNIT
    except UNREADABLE as error:
        del table.jobs[job.spec.job_id]
        _record_unreadable(table, job.spec.job_id, error)
        return False
    return True


def _find_orphans(table: JobTable, names: Iterable[str]) -> Work[list[str]]:
    """Return the keys of the records of steps that belong to no job."""
    orphans: list[str] = []
    for name in names:
        job_id = name.rsplit('.', maxsplit=2)[0]
        if job_id not in table.jobs and job_id not in table.unreadable_jobs:
            orphans.append(STEP_PREFIX + name)
        yield 1
    return orphans


def _record_unreadable(table: JobTable, job_id: str, error: Exception) -> None:
    table.unreadable_jobs.add(job_id)
    table.log.write('job-unreadable', job=job_id, reason=str(error))


def _has_begun(step: Step) -> bool:
    # A run that is only placed may never have started; the worker's report
    # decides.
    return any(task.phase is Phase.done or task.failures for task in step.tasks)


def _accepted_ms(job: Job) -> int:
    return job.spec.accepted_ms


def _debt_of(job_id: str, record: JobRecord) -> Debt:
    accepted_ms = (
        record.accepted_ms if record.spec is None else record.spec.accepted_ms
    )
    return Debt(job_id, record.tenant, accepted_ms, record.share_step)


def _debt_order(debt: Debt) -> tuple[int, str]:
    return debt.accepted_ms, debt.job_id
