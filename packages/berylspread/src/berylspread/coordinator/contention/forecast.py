"""Forecasts when a job that is handed in now could start at the earliest.

Load pattern: a burst of a few seconds leaves a backlog that outlasts the
objectives of the jobs behind it.  The accepted jobs that go first have their
core-seconds served before the new one, by the whole room and by the quota of
its organisation.  A job whose first step finds free room now waits for none.
Organisations ahead take no more room than their quota.  The forecast assumes
that no room is lost between tasks and that nothing more urgent arrives; it
counts later steps, which leave gaps, but no occurrence that is not due.

It is derived from the jobs and workers that a coordinator knows; a successor
has the same as soon as it has loaded the records.
"""

import collections
import math
from collections.abc import Iterable
from typing import Final, NamedTuple, final

from berylspread.coordinator.contention.ordering import Ordering
from berylspread.coordinator.contention.registry import Rank
from berylspread.coordinator.fleet import Worker
from berylspread.coordinator.interface import Policies
from berylspread.coordinator.model import MS_PER_S, Job, Step
from berylspread.coordinator.planner import TenantUsage

ROOM: Final = 'room'
QUOTA: Final = 'quota'
NOTHING: Final = ''


class Wait(NamedTuple):
    """The shortest wait of a job, and what it waits for."""

    seconds: float
    #: ``ROOM``, ``QUOTA`` or ``NOTHING``.
    reason: str
    #: The core-seconds that are served each second meanwhile.
    cores: float


class _Claim(NamedTuple):
    """An accepted job that still needs room."""

    rank: Rank
    service: str
    tenant: str
    remaining_core_s: float


@final
class Forecast:
    """The backlog and the room at one moment."""

    __slots__ = (
        'claims',
        'cores_by_service',
        'ordering',
        'policies',
        'usage',
        'workers',
    )

    def __init__(
        self,
        jobs: Iterable[Job],
        workers: Iterable[Worker],
        policies: Policies,
        ordering: Ordering,
    ) -> None:
        """Take all jobs that have not ended and all workers."""
        self.policies = policies
        self.ordering = ordering
        self.usage = TenantUsage(policies)
        self.workers = [
            worker
            for worker in workers
            if worker.is_present and worker.entry.is_ready
        ]
        self.cores_by_service: dict[str, float] = {}
        for worker in self.workers:
            self._add_room(worker)
        self.claims: list[_Claim] = []
        for job in jobs:
            self.add_job(job)

    def add_job(self, job: Job) -> None:
        """Add the work of an accepted job that is due and does not last."""
        step = job.occurrences.find_next_step(self.ordering.wall_ms)
        spec = job.spec
        if step is not None and not any(
            each.long_running for each in spec.steps
        ):
            claim = _Claim(
                self.ordering.policy.rank(self.ordering.standing(step)),
                spec.queue.service,
                spec.tenant,
                self.ordering.find_remaining(job),
            )
            self.claims.append(claim)

    def find_wait(self, job: Job) -> Wait:
        """Return the shortest time for which a new job has to wait."""
        step = job.occurrences.find_next_step(self.ordering.wall_ms)
        if step is None:
            return Wait(0.0, NOTHING, 0.0)
        spec = job.spec
        rank = self.ordering.policy.rank(self.ordering.standing(step))
        ahead = [
            claim
            for claim in self.claims
            if claim.rank < rank and claim.service == spec.queue.service
        ]
        core_s: dict[str, float] = collections.defaultdict(float)
        for claim in ahead:
            core_s[claim.tenant] += claim.remaining_core_s
        cores = self.cores_by_service.get(spec.queue.service, 0.0)
        room, quota = 0.0, 0.0
        if not self._has_free_room(step):
            room = self._wait_for_room(core_s, cores)
        cap_cores = self._cap_cores(spec.tenant)
        if not self.usage.allowed_tasks(step):
            quota = core_s[spec.tenant] / cap_cores
        if quota > room:
            return Wait(quota, QUOTA, cap_cores)
        return Wait(room, ROOM if room else NOTHING, cores)

    def _has_free_room(self, step: Step) -> bool:
        """Return whether a worker has room for a task of a step now."""
        label, service = step.spec.label, step.job.spec.queue.service
        reserved = step.spec.reserved_resources()
        return any(
            reserved.fits(worker.free)
            for worker in self.workers
            if worker.entry.service == service
            and (not label or label in worker.entry.labels)
        )

    def _wait_for_room(self, core_s: dict[str, float], cores: float) -> float:
        """Return how long the work of organisations takes up all cores.

        An organisation that is not done by then uses its cap all the time, and
        leaves the rest to the others.
        """
        left = dict(core_s)
        while cores > 0:
            wait_s = sum(left.values()) / cores
            capped = [
                tenant
                for tenant, work in left.items()
                if work > self._cap_cores(tenant) * wait_s
            ]
            if not capped:
                return wait_s
            for tenant in capped:
                cores -= self._cap_cores(tenant)
                left.pop(tenant)
        # Without room nothing is known.
        return 0.0

    def _cap_cores(self, tenant: str) -> float:
        """Return how many cores an organisation may use at a time."""
        cap = self.policies.cap(tenant) if tenant else None
        if cap is None or not cap.cpu_milli:
            return math.inf
        return cap.cpu_milli / MS_PER_S

    def _add_room(self, worker: Worker) -> None:
        """Add the cores that are not used by lasting tasks."""
        entry = worker.entry
        for run in worker.runs.values():
            self.usage.add_task(run.task)
        lasting_milli = sum(
            run.reserved.cpu_milli
            for run in worker.runs.values()
            if run.task.step.spec.long_running
        )
        cores = (entry.capacity.cpu_milli - lasting_milli) / MS_PER_S
        known = self.cores_by_service.get(entry.service, 0.0)
        self.cores_by_service[entry.service] = known + cores
