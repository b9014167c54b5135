"""The coordinator's records: one for each job and each step that has changed.

The records are in a topic that keeps the newest value of each key.  A key is
a kind and a name: ``j/JOB`` and ``s/JOB.OCCURRENCE.STEP``.
"""

from typing import Final, final

import msgspec

from berylspread.coordinator.crashes import is_on_hold
from berylspread.coordinator.model import (
    MS_PER_S,
    Job,
    JobSpec,
    JobStatus,
    Phase,
    SilentLoss,
    Step,
)
from berylspread.kernel.clock import now

JOB_PREFIX: Final = 'j/'
STEP_PREFIX: Final = 's/'


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


@final
class JobRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of a job; it has no specification once the job has ended."""

    status: str
    tenant: str
    queue: str
    spec: JobSpec | None
    ended_ms: int = 0


@final
class StepRecord(msgspec.Struct, frozen=True, array_like=True):
    """The record of a step: its tasks, by index."""

    tasks: list[TaskRow]


_encoder: Final = msgspec.msgpack.Encoder()
_job_decoder: Final = msgspec.msgpack.Decoder(JobRecord)
_step_decoder: Final = msgspec.msgpack.Decoder(StepRecord)


def encode_job(job: Job, wall_ms: int) -> bytes:
    """Return the encoded record of a job; ``wall_ms`` is the time of day."""
    ended = job.status.is_final
    return _encoder.encode(
        JobRecord(
            status=job.status.value,
            tenant=job.spec.tenant,
            queue=job.spec.queue.name,
            spec=None if ended else job.spec,
            ended_ms=wall_ms if ended else 0,
        )
    )


def encode_step(step: Step) -> bytes:
    """Return the encoded record of a step."""
    return _encoder.encode(
        StepRecord(
            [
                TaskRow(
                    int(task.phase),
                    task.run_number,
                    task.worker,
                    task.failures,
                    task.checkpoint,
                    task.crash_score,
                    task.worker_born_ms,
                    tuple(map(_loss_row, task.silent_losses)),
                )
                for task in step.tasks
            ]
        )
    )


def decode_job(blob: bytes) -> JobRecord:
    """Return a job's record.

    Raises:
        msgspec.DecodeError: The record is malformed.

    """
    return _job_decoder.decode(blob)


def restore_step(step: Step, blob: bytes, wall_ms: float) -> None:
    """Set the tasks of a new step to the state in a record.

    ``wall_ms`` is the time of day.

    Raises:
        msgspec.DecodeError: The record is malformed.

    """
    record = _step_decoder.decode(blob)
    step.waiting_tasks.clear()
    step.unfinished_tasks = step.spec.count
    for task, row in zip(step.tasks, record.tasks, strict=True):
        task.phase = Phase(row.phase)
        task.run_number = row.run
        task.worker = row.worker
        task.failures = row.failures
        task.checkpoint = row.checkpoint
        task.crash_score = row.crash_score
        task.worker_born_ms = row.worker_born_ms
        task.silent_losses = [
            _restore_loss(loss, wall_ms) for loss in row.silent_losses
        ]
        task.was_placed = task.run_number > 0
        if task.phase is Phase.done:
            step.unfinished_tasks -= 1
        elif task.phase is Phase.waiting:
            step.add_waiting(task, is_held=is_on_hold(task))


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


def step_key(step: Step) -> str:
    """Return the key of a step's record."""
    return STEP_PREFIX + step.name


def restored_status(record: JobRecord) -> JobStatus:
    """Return the job status that a record holds."""
    return JobStatus(record.status)
