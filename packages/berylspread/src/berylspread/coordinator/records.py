"""The coordinator's records of jobs and of steps that have changed.

The records are in a topic that keeps the newest value of each key.  A key is
a kind and a name: ``j/JOB`` and ``s/JOB.OCCURRENCE.STEP``.

The store bounds the length of a record.  The tasks of a large step are divided
among records of ``TASKS_PER_RECORD`` tasks: the first has the key of the step,
the others ``s/JOB.OCCURRENCE.STEP/PART``.  A job's record that is too long is
divided among records with the keys ``p/JOB/PART``, and ``j/JOB`` holds their
number.  The records of a job share an append.

``w/WORKER`` holds the last epoch whose coordinator may have extended the
worker's leases.

Earlier versions wrote one record for all tasks of a step.
"""

from collections.abc import Mapping
from typing import Final, final

import msgspec

from berylspread.coordinator.crashes import is_on_hold
from berylspread.coordinator.interface import Record
from berylspread.coordinator.model import (
    MS_PER_S,
    TASKS_PER_RECORD,
    Job,
    JobSpec,
    JobStatus,
    Phase,
    SilentLoss,
    Step,
    Task,
)
from berylspread.kernel.clock import now

JOB_PREFIX: Final = 'j/'
JOB_PART_PREFIX: Final = 'p/'
STEP_PREFIX: Final = 's/'
CONTACT_PREFIX: Final = 'w/'
#: Separates the part of a step, or of a job's record, from the name.
PART_SEPARATOR: Final = '/'
#: The longest record that the store takes, unless the settings give another.
DEFAULT_RECORD_BYTES: Final = 262_144
#: Room in a record for its key, with the length of the key.
KEY_BYTES: Final = 256
#: First byte of a job's record that is divided; no record begins with it
#: otherwise.
DIVIDED: Final = b'\xc1'


@final
class LossRow(msgspec.Struct, frozen=True, array_like=True):
    """A silent loss in the record of a step."""

    worker: str
    address: str
    born_ms: int
    score: int
    since_ms: int


@final
class TaskRow(msgspec.Struct, frozen=True, array_like=True):
    """A task in the record of a step."""

    phase: int
    run: int
    worker: str
    failures: int
    checkpoint: str
    crash_score: int = 0
    worker_born_ms: int = 0
    silent_losses: tuple[LossRow, ...] = ()
    failed_run: int = 0


@final
class JobRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of a job; it has no specification once the job has ended."""

    status: str
    tenant: str
    queue: str
    spec: JobSpec | None
    ended_ms: int = 0
    #: The share step on acceptance; -1 in records of earlier versions.
    share_step: int = -1
    #: When an ended job was accepted, in ms since the epoch.
    accepted_ms: int = 0


@final
class StepRecord(msgspec.Struct, frozen=True, array_like=True):
    """A record of a step: tasks that follow each other, by index."""

    tasks: list[TaskRow]


_encoder: Final = msgspec.msgpack.Encoder()
_job_decoder: Final = msgspec.msgpack.Decoder(JobRecord)
_step_decoder: Final = msgspec.msgpack.Decoder(StepRecord)


def encode_job(job: Job, wall_ms: int, record_bytes: int) -> list[Record]:
    """Return the encoded records of a job, none above ``record_bytes``.

    ``wall_ms`` is the time of day.
    """
    ended = job.status.is_final
    blob = _encoder.encode(
        JobRecord(
            status=job.status.value,
            tenant=job.spec.tenant,
            queue=job.spec.queue.name,
            spec=None if ended else job.spec,
            ended_ms=wall_ms if ended else 0,
            share_step=job.share_step,
            accepted_ms=job.spec.accepted_ms if ended else 0,
        )
    )
    key = job_key(job.spec.job_id)
    limit = record_bytes - KEY_BYTES
    if len(blob) <= limit:
        return [(key, blob)]
    parts = [blob[at : at + limit] for at in range(0, len(blob), limit)]
    job.record_parts = max(job.record_parts, len(parts))
    return [
        (key, DIVIDED + str(len(parts)).encode()),
        *(
            (_job_part_key(job.spec.job_id, number), part)
            for number, part in enumerate(parts)
        ),
    ]


def drop_job_parts(job: Job) -> list[Record]:
    """Return records that remove the parts of a job's earlier record."""
    return [
        (_job_part_key(job.spec.job_id, number), b'')
        for number in range(job.record_parts)
    ]


def join_job_parts(
    job_id: str, blob: bytes, parts: Mapping[str, bytes]
) -> tuple[bytes, int]:
    """Return a job's whole record and the number of its parts.

    ``parts`` are the blobs of parts by key, without the prefix.

    Raises:
        ValueError: A part is missing, or their number is malformed.

    """
    if not blob.startswith(DIVIDED):
        return blob, 0
    count = int(blob.removeprefix(DIVIDED))
    names = [f'{job_id}{PART_SEPARATOR}{number}' for number in range(count)]
    missing = [name for name in names if name not in parts]
    if missing:
        raise ValueError(f'parts are missing: {missing}')
    return b''.join(parts[name] for name in names), count


def encode_step_part(step: Step, part: int, record_bytes: int) -> bytes:
    """Return the encoded record of a part of a step.

    If it would be longer than ``record_bytes``, it holds no checkpoints, and
    the tasks begin anew under a later coordinator.
    """
    tasks = step.tasks[part * TASKS_PER_RECORD : (part + 1) * TASKS_PER_RECORD]
    blob = _encoder.encode(StepRecord([_task_row(task) for task in tasks]))
    if len(blob) <= record_bytes - KEY_BYTES:
        return blob
    rows = [
        msgspec.structs.replace(_task_row(task), checkpoint='')
        for task in tasks
    ]
    return _encoder.encode(StepRecord(rows))


def _task_row(task: Task) -> TaskRow:
    return TaskRow(
        int(task.phase),
        task.run_number,
        task.worker,
        task.failures,
        task.checkpoint,
        task.crash_score,
        task.worker_born_ms,
        tuple(map(_loss_row, task.silent_losses)),
        task.failed_run,
    )


def decode_job(blob: bytes) -> JobRecord:
    """Return a job's record.

    Raises:
        msgspec.DecodeError: The record is malformed.

    """
    return _job_decoder.decode(blob)


def restore_step(
    step: Step, blobs: Mapping[str, bytes], wall_ms: float
) -> None:
    """Set the tasks of a new step to the state in its records.

    ``blobs`` are the records of steps by key, without the prefix.  Tasks
    without a record are left as they are.  ``wall_ms`` is the time of day.

    Raises:
        msgspec.DecodeError: A record is malformed.
        ValueError: A record has another number of tasks than its part.

    """
    for part in range(step.part_count):
        blob = blobs.get(step_key(step, part).removeprefix(STEP_PREFIX))
        if blob is not None:
            _restore_part(step, part, _step_decoder.decode(blob).tasks, wall_ms)
    step.waiting_tasks.clear()
    step.unfinished_tasks = step.spec.count
    for task in step.tasks:
        if task.phase is Phase.done:
            step.unfinished_tasks -= 1
        elif task.phase is Phase.waiting:
            step.add_waiting(task, is_held=is_on_hold(task))


def _restore_part(
    step: Step, part: int, rows: list[TaskRow], wall_ms: float
) -> None:
    is_whole_step = part == 0 and len(rows) == len(step.tasks)
    step.has_long_record = is_whole_step and step.part_count > 1
    tasks = (
        step.tasks
        if is_whole_step
        else step.tasks[part * TASKS_PER_RECORD : (part + 1) * TASKS_PER_RECORD]
    )
    for task, row in zip(tasks, rows, strict=True):
        task.phase = Phase(row.phase)
        task.run_number = row.run
        task.worker = row.worker
        task.failures = row.failures
        task.failed_run = row.failed_run
        task.checkpoint = row.checkpoint
        task.crash_score = row.crash_score
        task.worker_born_ms = row.worker_born_ms
        task.silent_losses = [
            _restore_loss(loss, wall_ms) for loss in row.silent_losses
        ]
        task.was_placed = task.run_number > 0


def _loss_row(loss: SilentLoss) -> LossRow:
    return LossRow(
        loss.worker, loss.address, loss.born_ms, loss.score, loss.since_ms
    )


def _restore_loss(row: LossRow, wall_ms: float) -> SilentLoss:
    # The clock of this VM may be behind that of the VM that wrote the record.
    age_s = max(wall_ms - row.since_ms, 0) / MS_PER_S
    return SilentLoss(
        row.worker,
        row.address,
        row.born_ms,
        row.score,
        row.since_ms,
        now() - age_s,
    )


def job_key(job_id: str) -> str:
    """Return the key of a job's record."""
    return JOB_PREFIX + job_id


def _job_part_key(job_id: str, number: int) -> str:
    return f'{JOB_PART_PREFIX}{job_id}{PART_SEPARATOR}{number}'


def step_key(step: Step, part: int) -> str:
    """Return the key of the record of a part of a step."""
    suffix = f'{PART_SEPARATOR}{part}' if part else ''
    return STEP_PREFIX + step.name + suffix


def contact_key(worker: str) -> str:
    """Return the key of the record of a worker's last contact."""
    return CONTACT_PREFIX + worker


def task_part(task: Task) -> int:
    """Return the part of its step that a task is stored in."""
    return task.index // TASKS_PER_RECORD


def restored_status(record: JobRecord) -> JobStatus:
    """Return the job status that a record holds."""
    return JobStatus(record.status)
