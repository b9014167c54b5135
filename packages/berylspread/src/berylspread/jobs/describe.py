"""Views of the jobs of a node's homes, with the reasons why tasks wait."""

from collections.abc import Callable, Iterable, Iterator
from typing import Final, final

from msgspec import structs

from berylspread.entry.job_views import base_view
from berylspread.entry.views import JobView, WhyLine, WhyView
from berylspread.jobs.home import JobHome
from berylspread.jobs.progress import JobProgress
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import NotOwner, UnknownName
from berylspread.model import ZERO, JobKind, Resources, shard_unit

JOB_ID_PARTS: Final = 3
RUNNING_STATES: Final = frozenset(('starting', 'running', 'stopping'))


def used_by_team(homes: Iterable[JobHome]) -> dict[str, Resources]:
    """Return the resources that each team uses at these homes."""
    total: dict[str, Resources] = {}
    for home in homes:
        for team, quota in home.quota.teams.items():
            total[team] = total.get(team, ZERO) + quota.used
    return {team: used for team, used in total.items() if used != ZERO}


@final
class JobDescriber:
    """Describes jobs; ``find_home`` returns a home of this node by its unit."""

    __slots__ = ('find_home',)

    def __init__(self, find_home: Callable[[str], JobHome | None]) -> None:
        self.find_home = find_home

    def describe(self, job_id: str) -> JobView | Failure:
        """Return the present view of a job at its home."""
        found = self._find_job(job_id)
        if isinstance(found, Failure):
            return found
        home, progress = found
        return job_view(progress, home.context.wall.time())

    def why(self, job_id: str) -> WhyView | Failure:
        """Return the reasons why tasks of a job wait."""
        found = self._find_job(job_id)
        if isinstance(found, Failure):
            return found
        home, progress = found
        state = job_view(progress, home.context.wall.time()).state
        return WhyView(job_id, state, list(waiting_reasons(home, progress)))

    def _find_job(self, job_id: str) -> tuple[JobHome, JobProgress] | Failure:
        unit = home_unit_of_job(job_id)
        home = self.find_home(unit)
        if home is None:
            return NotOwner('this node is not the home', unit=unit)
        progress = home.job_table.jobs.get(job_id)
        if progress is None:
            return UnknownName(
                'the home has no such job', kind='job', key=job_id
            )
        return home, progress


def home_unit_of_job(job_id: str) -> str:
    """Return the home unit in a job's id, or '' if the id has none."""
    parts = job_id.rsplit('.', JOB_ID_PARTS - 1)
    if len(parts) != JOB_ID_PARTS or not parts[1].isdigit():
        return ''
    return shard_unit(parts[0], int(parts[1]))


def job_view(progress: JobProgress, wall_time: float) -> JobView:
    """Return the view of a job at its home."""
    counts = progress.count_by_state()
    view = base_view(
        progress.spec, _job_state(progress, counts), counts, wall_time
    )
    workers = {item.worker for item in progress.handed_out.values()} - {''}
    return structs.replace(
        view,
        cancelled=progress.cancelled,
        workers=sorted(workers),
        source='home',
    )


def waiting_reasons(home: JobHome, progress: JobProgress) -> Iterator[WhyLine]:
    """Yield each reason why tasks wait, with the number of these tasks."""
    if not home.tenure.is_valid(now()):
        yield WhyLine('the home has no authority now', len(progress.pending))
    if progress.unsure:
        yield WhyLine(
            'the home waits for the inventories of the partitions',
            len(progress.unsure),
        )
    retries = _delayed_retry_count(home, progress)
    if retries:
        yield WhyLine('the tasks wait to be tried again', retries)
    if progress.pending:
        yield _pending_reason(home, progress)


def _pending_reason(home: JobHome, progress: JobProgress) -> WhyLine:
    spec = progress.spec
    waiting = len(progress.pending)
    quota = home.quota.teams.get(spec.team)
    if quota is None:
        return WhyLine(
            'the team has no quota in the region', waiting, {'team': spec.team}
        )
    room = quota.room(spec.shape)
    needed = waiting if spec.kind is JobKind.gang else 1
    if room is not None and room < needed:
        return WhyLine(
            'the team is at its upper limit in the region',
            waiting,
            {'team': spec.team, 'room': max(room, 0), 'region': home.region},
        )
    if not home.demand_receivers([]):
        return WhyLine('no partition of the region has an owner', waiting)
    if spec.kind is JobKind.gang:
        return WhyLine('no room for all tasks of the gang at once', waiting)
    return WhyLine('no worker has room for another task', waiting)


def _delayed_retry_count(home: JobHome, progress: JobProgress) -> int:
    return sum(
        job_id == progress.spec.job_id
        for _due, job_id, _index in home.job_table.delayed_retries
    )


def _job_state(progress: JobProgress, counts: dict[str, int]) -> str:
    if progress.is_ended:
        return progress.summary_state().value
    return 'running' if RUNNING_STATES & counts.keys() else 'pending'
