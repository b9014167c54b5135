"""The jobs of the coordinator and the steps that are ready to run."""

import heapq
from collections.abc import Callable
from typing import Final, final

from berylspread.coordinator.contacts import Contact
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.durations import (
    DurationEstimator,
    critical_paths_ms,
    objective_ms,
    size_core_s,
)
from berylspread.coordinator.interface import Policies
from berylspread.coordinator.model import (
    MS_PER_S,
    TASKS_PER_UNIT,
    Job,
    JobSpec,
    JobStatus,
    Step,
    Task,
)
from berylspread.coordinator.ready_steps import ReadySteps
from berylspread.coordinator.shares import ShareMeter
from berylspread.kernel.turns import Work, complete

#: Weight of the newest job in the mean size of its queue.
SIZE_WEIGHT: Final = 0.1


@final
class EndedJob:
    """What is kept of a job that has ended, to answer later requests."""

    __slots__ = ('ended_ms', 'queue', 'status', 'tenant')

    def __init__(
        self, status: JobStatus, tenant: str, queue: str, ended_ms: int
    ) -> None:
        self.status = status
        self.tenant = tenant
        self.queue = queue
        self.ended_ms = ended_ms


@final
class JobTable:
    """Jobs by id; jobs that have ended are kept separately for some time."""

    __slots__ = (
        'contacts',
        'due_jobs',
        'durations',
        'ended_jobs',
        'jobs',
        'log',
        'policies',
        'queues_version',
        'ready_steps',
        'share_meter',
        'unreadable_jobs',
        'usual_sizes',
    )

    def __init__(self, policies: Policies, log: DecisionLog) -> None:
        self.policies = policies
        self.log = log
        #: The version of the configuration that the jobs' queues are of.
        self.queues_version = 0
        self.share_meter = ShareMeter()
        self.durations = DurationEstimator()
        #: The mean core-seconds of the accepted jobs, by queue.
        self.usual_sizes: dict[str, float] = {}
        #: The last contacts with the workers, as they are stored.
        self.contacts: dict[str, Contact] = {}
        self.jobs: dict[str, Job] = {}
        self.ended_jobs: dict[str, EndedJob] = {}
        #: Jobs with a record that this version cannot read.  They are left as
        #: they are, for a version that can.
        self.unreadable_jobs: set[str] = set()
        #: Steps that may run and have waiting tasks.
        self.ready_steps = ReadySteps()
        #: A heap of the times in ms since the epoch at which the next
        #: occurrences become due, with the ids of their jobs.
        self.due_jobs: list[tuple[int, str]] = []

    def draft_job(self, spec: JobSpec) -> Job:
        """Return a job with its estimates that is not in the table."""
        return complete(self.create_draft(spec))

    def create_draft(self, spec: JobSpec) -> Work[Job]:
        """Create a job with its estimates that is not in the table."""
        job = Job(spec, is_complete=False)
        yield from job.create_steps()
        self._update_queue(job)
        job.share_step = self._find_share_step(job)
        self._estimate(job)
        return job

    def add_job(self, spec: JobSpec, wall_ms: float) -> Job:
        """Add a new job and return it."""
        job = self.draft_job(spec)
        self.add_draft(job)
        complete(self.release_due(wall_ms))
        return job

    def add_draft(self, job: Job) -> None:
        """Add a job that ``create_draft`` has created.

        ``release_due`` makes its steps ready.
        """
        self.jobs[job.spec.job_id] = job
        # Others may have been added since the draft was created.
        job.share_step = self._find_share_step(job)
        self._charge_share(job)
        self.begin_job(job)

    def begin_job(self, job: Job) -> None:
        """Apply the newest policy to a job; schedule its occurrences."""
        self._update_queue(job)
        self._estimate(job)
        self._record_size(job)
        due_ms = job.occurrences.next_due_ms()
        if due_ms is not None:
            heapq.heappush(self.due_jobs, (due_ms, job.spec.job_id))

    def update_queues(self) -> Work[list[Job]]:
        """Apply the configuration in force to the queues of the jobs.

        Returns the jobs whose queue has been dropped since it changed.  Their
        records are to be stored, as they alone hold its newest policy.
        """
        if self.queues_version == self.policies.version:
            return []
        self.queues_version = self.policies.version
        at_risk: list[Job] = []
        for job in list(self.jobs.values()):
            if not job.status.is_final and self.update_queue(job):
                at_risk.append(job)
            yield 1
        return at_risk

    def update_queue(self, job: Job) -> bool:
        """Apply the configuration in force to the queue of one job.

        Returns whether the queue has been dropped since it changed, see
        ``update_queues``.
        """
        if self._update_queue(job):
            self._estimate(job)
        return self._is_queue_at_risk(job)

    def release_due(self, wall_ms: float) -> Work[None]:
        """Make the steps of the occurrences that are due ready."""
        while self.due_jobs and self.due_jobs[0][0] <= wall_ms:
            _, job_id = heapq.heappop(self.due_jobs)
            job = self.jobs.get(job_id)
            if job is not None:
                yield from self._release_job(job, wall_ms)
            yield 1

    def _release_job(self, job: Job, wall_ms: float) -> Work[None]:
        for step in job.occurrences.release_due(wall_ms):
            self._release_step(step, wall_ms)
            yield 1
        due_ms = job.occurrences.next_due_ms()
        if due_ms is not None:
            heapq.heappush(self.due_jobs, (due_ms, job.spec.job_id))

    def release_dependents(self, step: Step, wall_ms: float) -> None:
        """Make the steps ready that have waited for a step that is done."""
        for dependent in step.job.occurrences.find_dependents(step):
            self._release_step(dependent, wall_ms)

    def _release_step(self, step: Step, wall_ms: float) -> None:
        job = step.job
        if job.status.is_final or not step.waiting_tasks:
            return
        if job.is_runnable(step, wall_ms):
            self.ready_steps.add(step)

    def end_job(self, job: Job, status: JobStatus, wall_ms: int) -> None:
        """Record that a job has ended."""
        job.status = status
        self.ready_steps.discard_job(job.spec.job_id)
        self.ended_jobs[job.spec.job_id] = EndedJob(
            status, job.spec.tenant, job.spec.queue.name, wall_ms
        )

    def forget_ended(self, before_ms: float) -> list[str]:
        """Remove the jobs that ended before a time; return their ids."""
        old = [
            job_id
            for job_id, ended in self.ended_jobs.items()
            if ended.ended_ms < before_ms
        ]
        for job_id in old:
            del self.ended_jobs[job_id]
            self.jobs.pop(job_id, None)
        return old

    def visit_tasks(self, visit: Callable[[Task], None]) -> Work[None]:
        """Call ``visit`` with the tasks of all jobs that have not ended."""
        steps = [
            step for job in self.jobs.values() for step in job.steps.values()
        ]
        for step in steps:
            yield 1
            for number, task in enumerate(step.tasks):
                visit(task)
                yield number % TASKS_PER_UNIT == 0

    def backlog(self, queue: str, wall_ms: float) -> int:
        """Return how many jobs of a queue are due and have not started."""
        return sum(
            job.status is JobStatus.queued
            and job.spec.queue.name == queue
            and wall_ms >= job.spec.due_ms(0)
            for job in self.jobs.values()
        )

    def update_estimates(self) -> Work[None]:
        """Update objectives and sizes from the newest mean durations."""
        for job in list(self.jobs.values()):
            if not job.status.is_final:
                self._estimate(job)
                yield 1 + len(job.spec.steps)

    def _update_queue(self, job: Job) -> bool:
        """Apply the policy of a job's queue; return whether it changed."""
        name = job.spec.queue.name
        queue = self.policies.find_queue(name)
        version = self.policies.version
        if queue is None or not job.update_queue(queue, version):
            return False
        self.log.write(
            'job-queue-changed',
            job=job.spec.job_id,
            queue=name,
            service=queue.service,
            config=version,
        )
        return True

    def _is_queue_at_risk(self, job: Job) -> bool:
        queue = job.spec.queue
        is_dropped = self.policies.find_queue(queue.name) is None
        return is_dropped and queue != job.stored_queue

    def _estimate(self, job: Job) -> None:
        """Compute the objective and size of a job."""
        spec, longest_ms = job.spec, self.durations.expected_longest_ms
        job.task_durations_ms = [longest_ms(step) for step in spec.steps]
        job.critical_paths_ms = critical_paths_ms(spec, longest_ms)
        job.deadline_ms = spec.accepted_ms + objective_ms(
            spec, job.critical_paths_ms
        )
        job.size_core_s = size_core_s(spec, self.durations.expected_ms)

    def _charge_share(self, job: Job) -> None:
        """Charge a job to its organisation's share."""
        spec = job.spec
        if spec.tenant:
            self.share_meter.charge(
                spec.tenant,
                self.policies.weight(spec.tenant),
                spec.accepted_ms / MS_PER_S,
                job.share_step,
            )

    def _find_share_step(self, job: Job) -> int:
        spec = job.spec
        if not spec.tenant:
            return 0
        return self.share_meter.find_step(
            spec.tenant,
            self.policies.weight(spec.tenant),
            spec.accepted_ms / MS_PER_S,
        )

    def _record_size(self, job: Job) -> None:
        """Add a job to the mean size of its queue."""
        name = job.spec.queue.name
        known = self.usual_sizes.get(name, job.size_core_s)
        usual = known + SIZE_WEIGHT * (job.size_core_s - known)
        self.usual_sizes[name] = usual
        job.usual_size_core_s = usual
