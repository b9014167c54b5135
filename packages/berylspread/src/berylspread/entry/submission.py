"""Accepts jobs: checks the input, derives an idempotent id, appends a record.

The id of a job is derived from its team and request id, so a repeated request
refers to the same job at every entry node.
"""

import uuid
from typing import Final, TypeVar, final

import msgspec
import xxhash

from berylspread.config import QueueSection
from berylspread.config.sections import (
    MAX_CORES,
    MAX_DEVICES,
    MAX_GIB,
    MIB_PER_GIB,
    MILLI_PER_CORE,
)
from berylspread.entry.access import Caller
from berylspread.entry.failures import RequestReused
from berylspread.entry.feasibility import check_feasibility
from berylspread.entry.views import JobAcceptedView, JobInput
from berylspread.jobs.shards import region_by_weight, team_shard
from berylspread.kernel.errors import (
    DeadlineExceeded,
    Failure,
    InvalidInput,
    LogUnavailable,
    NotRun,
)
from berylspread.log import JobAccepted
from berylspread.model import JobKind, JobSpec, Resources, shard_unit
from berylspread.runtime import NodeContext

ValueT = TypeVar('ValueT')

MAX_PRIORITY: Final = 100
MAX_ATTEMPTS: Final = 100
MAX_TEXT_LENGTH: Final = 200
MAX_RUN_S: Final = 31_536_000.0
BYTES_PER_KIB: Final = 1024

#: Name, minimum and maximum of each numeric field of a job's input.
FIELD_RANGES: Final[tuple[tuple[str, float, float], ...]] = (
    ('cpu', 0, MAX_CORES),
    ('memory_gib', 0, MAX_GIB),
    ('accelerators', 0, MAX_DEVICES),
    ('slots', 0, MAX_DEVICES),
    ('priority', 0, MAX_PRIORITY),
    ('max_attempts', 1, MAX_ATTEMPTS),
    ('expected_run_s', 0, MAX_RUN_S),
)

JOB_KINDS: Final = {
    'batch': JobKind.batch,
    'gang': JobKind.gang,
    'service': JobKind.service,
}


@final
class JobSubmission:
    """Checks submitted jobs and appends them to the log."""

    __slots__ = ('context',)

    def __init__(self, context: NodeContext) -> None:
        self.context = context

    async def submit_job(
        self, caller: Caller, queue: QueueSection, job: JobInput
    ) -> JobAcceptedView | Failure:
        """Accept a job on a queue that the caller may use.

        When this returns a view, the job is in the log.  After a
        ``LogUnavailable`` failure it may be; repeat the request with the
        failure's field ``request_id`` to find out.
        """
        spec = self.make_spec(caller, queue, job)
        if isinstance(spec, Failure):
            return spec
        problem = check_feasibility(self.context, spec)
        if problem is not None:
            return problem
        return await self.accept_job(spec)

    async def accept_job(self, spec: JobSpec) -> JobAcceptedView | Failure:
        """Append a job to the log unless it has already been accepted."""
        accepted = self._find_accepted(spec)
        if accepted is not None:
            return accepted
        offset = await self.context.appender.append(JobAccepted(spec))
        if isinstance(offset, Failure):
            return _append_failure(offset, spec)
        return JobAcceptedView(spec.job_id, spec.request_id, offset)

    def make_spec(
        self, caller: Caller, queue: QueueSection, job: JobInput
    ) -> JobSpec | Failure:
        """Check the input and fill in the defaults of the queue."""
        problem = self._input_problem(queue, job)
        if problem is not None:
            return problem
        deadline = self._deadline(job)
        request_id = job.request_id or uuid.uuid4().hex
        digest = _request_digest(caller.team, request_id)
        region = self._home_region(queue, job, caller.team)
        shard = team_shard(caller.team, self.context.document.limits.shards)
        return JobSpec(
            job_id=f'{region}.{shard}.{digest}',
            team=caller.team,
            queue=queue.label,
            kind=JOB_KINDS[queue.work],
            tasks=job.tasks,
            shape=_task_shape(queue, job),
            home=shard_unit(region, shard),
            submitted_at=self.context.wall.time(),
            priority=_value_or_default(job.priority, queue.priority),
            deadline=deadline,
            idempotent=_value_or_default(job.idempotent, queue.idempotent),
            preemptible=_value_or_default(job.preemptible, queue.preemptible),
            expected_run_s=job.expected_run_s,
            max_attempts=_value_or_default(
                job.max_attempts, queue.max_attempts
            ),
            job_class=job.job_class or queue.label,
            payload=job.payload,
            request_id=request_id,
            constraints=job.constraints,
        )

    def _input_problem(
        self, queue: QueueSection, job: JobInput
    ) -> Failure | None:
        if queue.work not in JOB_KINDS:
            return _invalid(
                'queue', f'queue {queue.label!r} takes calls, not jobs'
            )
        if job.kind not in {None, JOB_KINDS[queue.work]}:
            return _invalid(
                'kind', f'queue {queue.label!r} takes {queue.work} jobs'
            )
        ranges = (('tasks', 1, queue.max_tasks), *FIELD_RANGES)
        for field, minimum, maximum in ranges:
            value = getattr(job, field)
            if value is not None and not minimum <= value <= maximum:
                return _invalid(
                    field,
                    f'{field} is {value:g},'
                    f' but must be from {minimum:g} to {maximum:g}',
                )
        if len(job.payload.encode()) > queue.max_body_kib * BYTES_PER_KIB:
            return _invalid(
                'payload',
                f'the payload is larger than {queue.max_body_kib} KiB',
            )
        too_long = _text_problem(job)
        if too_long is not None:
            return too_long
        return self._deadline_problem(queue, job)

    def _deadline_problem(
        self, queue: QueueSection, job: JobInput
    ) -> Failure | None:
        if job.deadline is not None and job.deadline_s is not None:
            return _invalid(
                'deadline_s', 'deadline and deadline_s exclude each other'
            )
        deadline = self._deadline(job)
        if deadline is None:
            return None
        left_s = deadline - self.context.wall.time()
        if left_s <= 0:
            return DeadlineExceeded(
                'the deadline is in the past', deadline=deadline
            )
        if left_s > queue.max_deadline_s:
            return _invalid(
                'deadline',
                f'the queue allows at most {queue.max_deadline_s:g} s',
            )
        return None

    def _deadline(self, job: JobInput) -> float | None:
        if job.deadline_s is not None:
            return self.context.wall.time() + job.deadline_s
        return job.deadline

    def _home_region(
        self, queue: QueueSection, job: JobInput, team: str
    ) -> str:
        region = job.constraints.region or queue.region
        if region:
            return region
        if not job.request_id:
            return self.context.region
        # A repeat at an entry node in another region must get the same home.
        return region_by_weight(self.context, f'{team}\0{job.request_id}')

    def _find_accepted(self, spec: JobSpec) -> JobAcceptedView | Failure | None:
        """Find an accepted job with the same request id in any region.

        A request that names another queue may have another home region.
        """
        jobs = self.context.state.jobs
        own_region, shard, digest = spec.job_id.rsplit('.', 2)
        regions = (own_region, *self.context.document.regions)
        for region in regions:
            job_id = f'{region}.{shard}.{digest}'
            active = jobs.active.get(job_id)
            if active is not None:
                return _answer_repeat(active.spec, spec, active.accepted_offset)
            ended = jobs.ended.get(job_id)
            if ended is not None:
                return _answer_repeat(ended.spec, spec, ended.offset)
        return None


def _answer_repeat(
    accepted: JobSpec, spec: JobSpec, offset: int
) -> JobAcceptedView | Failure:
    if _comparable_spec(accepted) == _comparable_spec(spec):
        return JobAcceptedView(spec.job_id, spec.request_id, offset)
    return RequestReused(
        'the request id belongs to another job of the team',
        job_id=accepted.job_id,
        request_id=spec.request_id,
    )


def _comparable_spec(spec: JobSpec) -> JobSpec:
    """Clear fields that differ between repeats or are dropped at the end."""
    return msgspec.structs.replace(
        spec, submitted_at=0.0, deadline=None, payload=''
    )


def _append_failure(failure: Failure, spec: JobSpec) -> Failure:
    fields = {
        **failure.fields,
        'request_id': spec.request_id,
        'job_id': spec.job_id,
    }
    if isinstance(failure, LogUnavailable) and not failure.fields.get(
        'may_have_applied', True
    ):
        return NotRun(failure.reason, **fields)
    return type(failure)(failure.reason, **fields)


def _task_shape(queue: QueueSection, job: JobInput) -> Resources:
    return Resources(
        round(_value_or_default(job.cpu, queue.cpu) * MILLI_PER_CORE),
        round(
            _value_or_default(job.memory_gib, queue.memory_gib) * MIB_PER_GIB
        ),
        _value_or_default(job.accelerators, queue.accelerators),
        _value_or_default(job.slots, queue.slots),
    )


def _value_or_default(value: ValueT | None, default: ValueT) -> ValueT:
    return default if value is None else value


def _request_digest(team: str, request_id: str) -> str:
    return xxhash.xxh3_128_hexdigest(f'{team}\0{request_id}'.encode())


def _text_problem(job: JobInput) -> Failure | None:
    for field in ('job_class', 'request_id'):
        if len(getattr(job, field)) > MAX_TEXT_LENGTH:
            return _invalid(
                field, f'{field} is longer than {MAX_TEXT_LENGTH} characters'
            )
    return None


def _invalid(field: str, reason: str) -> InvalidInput:
    return InvalidInput(reason, field=field)
