"""What callers submit and operators configure: jobs, their steps and queues."""

from typing import final

import msgspec

from berylspread.model import Resources


@final
class PermissionTerms(msgspec.Struct, frozen=True, array_like=True):
    """How long permission requests of a queue take and tickets stay valid.

    A reply takes ``base_ms`` plus ``each_ms`` for every worker that the request
    names.  Its tickets are valid for ``valid_ms``.
    """

    base_ms: float
    each_ms: float
    valid_ms: float


@final
class Queue(msgspec.Struct, frozen=True, array_like=True):
    """A queue's policy from the newest configuration that contains the queue.

    ``priority`` 0 is the most urgent.  The objective of a job is ``stretch``
    times its critical path plus ``target_ms`` of waiting time.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    permission_terms: PermissionTerms | None = None


@final
class StepSpec(msgspec.Struct, frozen=True, array_like=True):
    """One step of a job: ``count`` identical tasks."""

    count: int
    demand: Resources
    estimate_ms: int = 0
    #: Numbers of the earlier steps whose tasks must all succeed first.
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ''
    data_rack: str = ''
    #: The most tasks of one occurrence of the step on a worker; 0 is unlimited.
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    checkpoints: bool = False
    image: str = ''
    latency_target_ms: int = 0
    #: The tasks use leftover cpu; no cpu is reserved for them.
    is_filler: bool = False
    may_miss: int = 0

    def reserved_resources(self) -> Resources:
        """Return the resources that are reserved for one task on a worker."""
        if self.is_filler:
            return Resources(
                0, self.demand.memory_mib, self.demand.accelerators
            )
        return self.demand


@final
class JobSpec(msgspec.Struct, frozen=True, array_like=True):
    """An accepted job.

    ``accepted_ms`` and ``first_ms`` are milliseconds since the epoch.
    ``queue`` is of the newest version of the configuration that is known to
    contain it; ``config_version`` is that version, or an earlier one since
    which the queue has not changed.
    """

    job_id: str
    queue: Queue
    tenant: str
    payload: str
    steps: tuple[StepSpec, ...]
    accepted_ms: int
    first_ms: int = 0
    interval_ms: int = 0
    repeat: int = 0
    config_version: int = 0

    def task_count(self) -> int:
        """Return the number of tasks of all occurrences."""
        return self.occurrence_count() * sum(step.count for step in self.steps)

    def occurrence_count(self) -> int:
        """Return how many times the steps run."""
        return max(self.repeat, 1)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in ms since the epoch.

        0 means at once.
        """
        if not self.repeat:
            # Don't use the time of acceptance: the clock of the node that
            # accepted the job may be ahead of the coordinator's.
            return 0
        return self.first_ms + occurrence * self.interval_ms
