"""Job views built from the state of the log."""

from typing import Final

from msgspec import structs

from berylspread.entry.views import JobView
from berylspread.log.folds import EndedJob, JobState
from berylspread.model import JobSpec

ACTIVE_STATE: Final = 'active'


def base_view(
    spec: JobSpec, state: str, tasks: dict[str, int], wall_time: float
) -> JobView:
    """Return a view with ``source='log'`` and without the job's end.

    ``waited_s`` is counted until ``wall_time``, in seconds since the epoch.
    """
    return JobView(
        job_id=spec.job_id,
        team=spec.team,
        queue=spec.queue,
        kind=spec.kind,
        state=state,
        tasks=tasks,
        shape=spec.shape,
        submitted_at=spec.submitted_at,
        home=spec.home,
        priority=spec.priority,
        deadline=spec.deadline,
        waited_s=max(wall_time - spec.submitted_at, 0.0),
        source='log',
    )


def active_view(job: JobState, wall_time: float) -> JobView:
    """Return the view of a job that has not ended."""
    counts = job.count_by_state()
    active = job.spec.tasks - sum(counts.values())
    view = base_view(
        job.spec, ACTIVE_STATE, {**counts, ACTIVE_STATE: active}, wall_time
    )
    if job.cancel_reason is None:
        return view
    return structs.replace(view, cancelled=True, reason=job.cancel_reason)


def ended_view(job: EndedJob) -> JobView:
    """Return the view of an ended job."""
    view = base_view(job.spec, job.state.value, job.counts, job.ended_at)
    return structs.replace(view, ended_at=job.ended_at, reason=job.reason)
