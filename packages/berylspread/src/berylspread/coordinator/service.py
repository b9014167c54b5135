"""Handles requests for jobs: submission, status, cancellation and backlog."""

import asyncio
import functools
from typing import Final, final

import msgspec

from berylspread.coordinator.committer import wait_stored
from berylspread.coordinator.confirmations import (
    CONFIRM_POLL_S,
    Confirmations,
)
from berylspread.coordinator.contention import (
    Action,
    Verdict,
    retry_after_s,
)
from berylspread.coordinator.coordinator import Coordinator
from berylspread.coordinator.fenced_log import StoredFuture
from berylspread.coordinator.interface import RecordsRefused
from berylspread.coordinator.job_room import (
    DEFAULT_JOB_BYTES,
    JobRoom,
    JobTooLarge,
)
from berylspread.coordinator.messages import (
    AskBacklog,
    AskJobStatus,
    BacklogReply,
    CancelJob,
    JobAccepted,
    JobCancelled,
    JobStatusReply,
    NodeUp,
    SubmitJob,
)
from berylspread.coordinator.model import Job, JobSpec, JobStatus
from berylspread.kernel.clock import now
from berylspread.kernel.errors import (
    Failure,
    Forbidden,
    NotOwner,
    NotRun,
    Overloaded,
    RunState,
    failure,
)
from berylspread.kernel.turns import complete_in_turns

#: A coordinator whose authority was confirmed longer ago refuses requests for
#: jobs.
ANSWER_GRACE_S: Final = 1.5
#: The most tasks of a job, over all its occurrences.  A coordinator keeps them
#: in memory; the largest fleet runs a quarter as many at a time.
MAX_JOB_TASKS: Final = 100_000
#: The longest specification of a job; its records share one append.
MAX_JOB_BYTES: Final = 800_000


@failure
class NoSuchJob(Failure):
    """No job with this id is known, or its record is no longer kept."""

    name = 'no-such-job'
    http_status = 410


@failure
class NotStored(Failure):
    """The store did not confirm the change, which may still be stored."""

    name = 'not-stored'
    http_status = 504
    run_state = RunState.unknown


@failure
class JobUnreadable(Failure):
    """The job's record is of a version that this node cannot read."""

    name = 'job-unreadable'
    http_status = 502
    run_state = RunState.unknown


@final
class JobService:
    """Handles requests with the coordinator's job table."""

    __slots__ = (
        'confirmations',
        'coordinator',
        'creating',
        'room',
        'started_at',
    )

    def __init__(
        self, coordinator: Coordinator, job_bytes: int = DEFAULT_JOB_BYTES
    ) -> None:
        """``job_bytes`` is what the jobs may take of the memory."""
        self.coordinator = coordinator
        self.confirmations = Confirmations(coordinator.authority)
        self.room = JobRoom(job_bytes)
        #: The ids of the jobs that are being created.
        self.creating: set[str] = set()
        #: When the term began, in loop time.
        self.started_at = now()

    async def submit(self, request: SubmitJob) -> JobAccepted | Failure:
        """Accept a job, reply once it is stored; a repeat changes nothing."""
        coordinator, spec = self.coordinator, request.spec
        table = coordinator.table
        if self._must_refuse(spec.job_id):
            # Otherwise the request would wait until the caller's time limit.
            # Refused, it leaves no state.
            return NotRun('the store takes no appends at present')
        if not self._may_answer():
            return NotOwner('the coordinator is not ready to answer')
        if spec.job_id in table.unreadable_jobs:
            return _unreadable(spec.job_id)
        if spec.job_id in table.ended_jobs:
            return JobAccepted()
        job = table.jobs.get(spec.job_id)
        if job is None:
            created = await self._create_job(spec)
            if isinstance(created, Failure):
                return created
            job = created
        failure = await _wait_stored(job)
        return JobAccepted() if failure is None else failure

    async def status(self, request: AskJobStatus) -> JobStatusReply | Failure:
        """Return a job's status, a final one only once it is stored."""
        table = self.coordinator.table
        if self._belongs_to_other_tenant(request.job_id, request.tenant):
            return Forbidden("the job is another organisation's")
        job = table.jobs.get(request.job_id)
        if job is not None:
            failure = await _wait_stored(job) if job.status.is_final else None
            if failure is not None:
                return failure
            return JobStatusReply(job.status.value)
        if not self._may_answer():
            return NotOwner('the coordinator is not ready to answer')
        ended = table.ended_jobs.get(request.job_id)
        if ended is not None:
            return JobStatusReply(ended.status.value)
        failure = await self._find_absence(request.job_id)
        return await self.status(request) if failure is None else failure

    async def cancel(self, request: CancelJob) -> JobCancelled | Failure:
        """Cancel a job and reply once that is stored.

        A job that has ended keeps its status.
        """
        coordinator = self.coordinator
        if not self._may_answer():
            return NotOwner('the coordinator is not ready to answer')
        if self._belongs_to_other_tenant(request.job_id, request.tenant):
            return Forbidden("the job is another organisation's")
        job = coordinator.table.jobs.get(request.job_id)
        if job is None:
            if request.job_id in coordinator.table.ended_jobs:
                return JobCancelled()
            failure = await self._find_absence(request.job_id)
            return await self.cancel(request) if failure is None else failure
        if not job.status.is_final:
            coordinator.finish_job(job, JobStatus.cancelled, 'cancelled')
        failure = await _wait_stored(job)
        return JobCancelled() if failure is None else failure

    async def _find_absence(self, job_id: str) -> Failure | None:
        """Return why a job is not known, or ``None`` if it is by now.

        That there is no such job is said only once the authority has been
        confirmed after the request: until then a successor may have accepted
        it.
        """
        table = self.coordinator.table
        if job_id in table.unreadable_jobs:
            return _unreadable(job_id)
        if self.confirmations.is_full():
            return Overloaded('too many requests for unknown jobs')
        failure = await self._confirm_authority()
        if job_id in table.jobs or job_id in table.ended_jobs:
            return None
        if failure is not None:
            return failure
        return NoSuchJob('no such job', job=job_id)

    async def _confirm_authority(self) -> Failure | None:
        """Wait for proof that no successor had begun before this call."""
        failure = await self.confirmations.wait()
        if failure is None and not self._may_answer():
            return NotOwner('the coordinator is not ready to answer')
        return failure

    def _belongs_to_other_tenant(self, job_id: str, tenant: str) -> bool:
        # Callers and jobs of open queues may belong to no organisation.
        table = self.coordinator.table
        job = table.jobs.get(job_id)
        ended = table.ended_jobs.get(job_id)
        owner = ''
        if job is not None:
            owner = job.spec.tenant
        elif ended is not None:
            owner = ended.tenant
        return bool(owner and tenant) and owner != tenant

    def _must_refuse(self, job_id: str) -> bool:
        coordinator = self.coordinator
        return (
            coordinator.is_loaded
            and job_id not in coordinator.table.jobs
            and coordinator.fenced_log.is_stalled()
        )

    def _find_excess(self, spec: JobSpec) -> Failure | None:
        problem = _find_excess(spec)
        if problem is None:
            return self.room.admit(spec, self.coordinator.table.jobs.values())
        return problem

    async def _create_job(self, spec: JobSpec) -> Job | Failure:
        """Create a job and accept it, or return why it is refused."""
        jobs, job_id = self.coordinator.table.jobs, spec.job_id
        while job_id in self.creating:
            await asyncio.sleep(CONFIRM_POLL_S)
        known = jobs.get(job_id)
        if known is not None:
            return known
        problem = self._find_excess(spec)
        if problem is not None:
            return problem
        self.creating.add(job_id)
        try:
            draft = await complete_in_turns(
                self.coordinator.table.create_draft(spec)
            )
        finally:
            self.creating.discard(job_id)
        problem = await self._find_refusal(draft)
        if problem is not None:
            return problem
        if not self._may_answer():
            return NotOwner('the coordinator is not ready to answer')
        # While a refusal was being confirmed, a repeat may have come.
        return jobs.get(job_id) or self._accept(draft)

    async def _find_refusal(self, draft: Job) -> Failure | None:
        """Return why a new job is refused, or ``None``.

        A refusal says that the job has not run.  It is given only once the
        authority has been confirmed after the decision: until then a successor
        may have accepted the job.
        """
        coordinator, spec = self.coordinator, draft.spec
        if not coordinator.dispatcher.admission.policy.refuses:
            return None
        verdict = self._judge(draft)
        if verdict.action is not Action.refuse:
            return None
        failure = await self._confirm_authority()
        if failure is not None:
            return failure
        if spec.job_id in coordinator.table.jobs:
            return None
        after_s = retry_after_s(verdict.after_s)
        coordinator.log.metrics.refusals[verdict.reason] += 1
        coordinator.log.write(
            'job-refused',
            job=spec.job_id,
            queue=spec.queue.name,
            tenant=spec.tenant,
            reason=verdict.reason,
            retry_after_s=after_s,
        )
        return Overloaded(
            f'the job would end too late for want of {verdict.reason}',
            retry_after_s=after_s,
        )

    def _judge(self, draft: Job) -> Verdict:
        coordinator = self.coordinator
        moment, wall_ms = now(), coordinator.wall_ms()
        admission = coordinator.dispatcher.admission
        admission.update(
            coordinator.table,
            coordinator.workers,
            coordinator.dependencies.policies,
            moment=moment,
            wall_ms=wall_ms,
        )
        verdict = admission.judge(draft, moment, wall_ms)
        if verdict.action is not Action.refuse:
            coordinator.log.metrics.observe(
                f'forecast-wait {draft.spec.queue.name}', verdict.after_s
            )
        return verdict

    def _accept(self, job: Job) -> Job:
        coordinator, spec = self.coordinator, job.spec
        coordinator.table.add_draft(job)
        coordinator.dispatcher.admission.record_accepted(job)
        job.status_stored = coordinator.committer.store_job(job)
        job.status_stored.add_done_callback(
            functools.partial(self._withdraw_if_refused, job)
        )
        coordinator.log.write(
            'job-accepted',
            job=spec.job_id,
            queue=spec.queue.name,
            tenant=spec.tenant,
            tasks=sum(step.count for step in spec.steps),
            objective_ms=round(job.deadline_ms - spec.accepted_ms),
            share_step=job.share_step,
            priority=spec.queue.priority,
        )
        coordinator.wake.set()
        return job

    def _withdraw_if_refused(self, job: Job, stored: StoredFuture) -> None:
        """Cancel a job whose record the store refuses for good."""
        if stored.cancelled() or job.status.is_final:
            return
        if isinstance(stored.result(), RecordsRefused):
            cause = 'the store refuses its record'
            self.coordinator.finish_job(job, JobStatus.cancelled, cause)

    def _may_answer(self) -> bool:
        # Before the table is loaded, every job would seem to be new.
        coordinator = self.coordinator
        return coordinator.is_loaded and coordinator.authority.is_confirmed(
            ANSWER_GRACE_S
        )

    async def backlog(self, request: AskBacklog) -> BacklogReply | Failure:
        """Return the number of jobs of a queue that have not started."""
        coordinator = self.coordinator
        if not self._may_answer():
            return NotOwner('the coordinator is not ready to answer')
        return BacklogReply(
            coordinator.table.backlog(request.queue, coordinator.wall_ms())
        )

    def register_node(self, request: NodeUp) -> None:
        """Add a node to those that send permission requests."""
        self.coordinator.dispatcher.permission_requester.nodes.record_presence(
            request.node, now()
        )


async def _wait_stored(job: Job) -> Failure | None:
    """Wait until a job's newest status is stored; return why it is not."""
    if job.status_stored is None:
        return None
    failure = await wait_stored(job.status_stored)
    if failure is None or isinstance(failure, RecordsRefused):
        return failure
    return NotStored(failure.reason)


def _find_excess(spec: JobSpec) -> JobTooLarge | None:
    """Return why a job is too large to be accepted."""
    tasks, size = spec.task_count(), len(msgspec.msgpack.encode(spec))
    if tasks > MAX_JOB_TASKS:
        return JobTooLarge(
            f'the job has {tasks} tasks; at most {MAX_JOB_TASKS} are allowed'
        )
    if size > MAX_JOB_BYTES:
        return JobTooLarge(f'the job needs {size} bytes in the store')
    return None


def _unreadable(job_id: str) -> JobUnreadable:
    return JobUnreadable('this node cannot read the record', job=job_id)
