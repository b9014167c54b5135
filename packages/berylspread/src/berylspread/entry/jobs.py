"""Status, listing, results and cancellation of jobs.

A job's home has the most recent state.  If the home does not reply, the view
comes from the state of the log, which holds only what has been recorded.
"""

import asyncio
import heapq
from collections.abc import Iterable
from typing import Final, Protocol, final

from berylspread.entry.access import Caller
from berylspread.entry.failures import JobNotEnded
from berylspread.entry.job_views import ACTIVE_STATE, active_view, ended_view
from berylspread.entry.messages import JobsAsk, JobsReply, WhyAsk, WhyReply
from berylspread.entry.views import (
    CancelView,
    JobPage,
    JobResult,
    JobView,
    WhyView,
)
from berylspread.kernel.errors import (
    Failure,
    Forbidden,
    InvalidInput,
    Unauthenticated,
    UnknownName,
)
from berylspread.kernel.registry import nearest
from berylspread.log import JobCancelled
from berylspread.log.folds.jobs import EndedJob, JobFold, JobState
from berylspread.model import TERMINAL_STATES, JobSpec, NodeRef
from berylspread.runtime import NodeContext

REQUEST_TIMEOUT_S: Final = 1.0
MAX_PAGE_SIZE: Final = 500
DEFAULT_PAGE_SIZE: Final = 50
STATE_FILTERS: Final = frozenset(
    (
        '',
        ACTIVE_STATE,
        *(state.value for state in TERMINAL_STATES),
    )
)


class Describer(Protocol):
    """Describes the jobs whose homes are on this node."""

    def describe(self, job_id: str) -> JobView | Failure:
        """Return the view of a job, or a failure if its home is elsewhere."""

    def why(self, job_id: str) -> WhyView | Failure:
        """Return why tasks of a job wait."""


@final
class JobServer:
    """Handles other nodes' requests about jobs whose homes are here."""

    __slots__ = ('describer',)

    def __init__(self, context: NodeContext, describer: Describer) -> None:
        """Register the handlers of both requests."""
        self.describer = describer
        context.peers.register_handler(JobsAsk, self.handle_jobs_request)
        context.peers.register_handler(WhyAsk, self.handle_why_request)

    async def handle_jobs_request(
        self, source: NodeRef, request: JobsAsk
    ) -> JobsReply:
        """Return the requested jobs whose homes are on this node."""
        found = (self.describer.describe(job_id) for job_id in request.job_ids)
        return JobsReply([view for view in found if isinstance(view, JobView)])

    async def handle_why_request(
        self, source: NodeRef, request: WhyAsk
    ) -> WhyReply | Failure:
        """Return why tasks of a job wait."""
        why = self.describer.why(request.job_id)
        return why if isinstance(why, Failure) else WhyReply(why)


@final
class JobQueries:
    """Queries and cancellation of jobs; a caller sees only its team's jobs.

    ``caller`` is ``None`` for an operator, who sees all jobs.
    """

    __slots__ = ('context',)

    def __init__(self, context: NodeContext) -> None:
        self.context = context

    @property
    def job_fold(self) -> JobFold:
        """The jobs in the state of the log."""
        return self.context.state.jobs

    async def job_status(
        self, caller: Caller | None, job_id: str
    ) -> JobView | Failure:
        """Return a job from its home, or from the log if there is no reply."""
        spec = self.find_visible_job(caller, job_id)
        if isinstance(spec, Failure):
            return spec
        views = await self._refresh_from_homes([self._view_from_log(job_id)])
        return views[0]

    async def list_jobs(
        self,
        caller: Caller | None,
        *,
        cursor: str = '',
        limit: int = DEFAULT_PAGE_SIZE,
        queue: str = '',
        state: str = '',
    ) -> JobPage | Failure:
        """Return a page of jobs after the cursor, in order of submission.

        ``state`` is a terminal state, ``active``, or empty for all jobs.
        """
        after = _read_cursor(cursor)
        if isinstance(after, Failure):
            return after
        if state not in STATE_FILTERS:
            return InvalidInput(
                f'no state is called {state!r}',
                field='state',
                nearest=nearest(state, STATE_FILTERS),
            )
        if not 1 <= limit <= MAX_PAGE_SIZE:
            return InvalidInput(
                f'limit is {limit}, but must be from 1 to {MAX_PAGE_SIZE}',
                field='limit',
            )
        selected = heapq.nsmallest(
            limit + 1,
            (
                _sort_key(spec)
                for spec in self._specs_in_state(state)
                if _matches(spec, caller, queue) and _sort_key(spec) > after
            ),
        )
        views = [
            self._view_from_log(job_id)
            for _submitted_at, job_id in selected[:limit]
        ]
        has_more = len(selected) > limit
        return JobPage(
            await self._refresh_from_homes(views),
            _write_cursor(selected[limit - 1]) if has_more else '',
        )

    def job_result(
        self, caller: Caller | None, job_id: str
    ) -> JobResult | Failure:
        """Return the outcome of a job and its tasks, once the job has ended."""
        spec = self.find_visible_job(caller, job_id)
        if isinstance(spec, Failure):
            return spec
        ended = self.job_fold.ended.get(job_id)
        if ended is None:
            return JobNotEnded('the job has not ended', job_id=job_id)
        return JobResult(
            job_id,
            ended.state.value,
            ended.counts,
            list(ended.ends),
            ended.reason,
        )

    async def cancel_job(
        self, caller: Caller | None, job_id: str, reason: str = ''
    ) -> CancelView | Failure:
        """Cancel a job; its tasks stop soon after this returns.

        A job that has already ended is unchanged; the returned offset is that
        of its end.
        """
        spec = self.find_visible_job(caller, job_id)
        if isinstance(spec, Failure):
            return spec
        ended = self.job_fold.ended.get(job_id)
        if ended is not None:
            return CancelView(job_id, ended.offset)
        offset = await self.context.appender.append(
            JobCancelled(job_id, reason or 'cancelled by its team')
        )
        if isinstance(offset, Failure):
            return offset
        return CancelView(job_id, offset)

    async def explain_pending(
        self, caller: Caller | None, job_id: str
    ) -> WhyView | Failure:
        """Return why tasks of a job are pending, from the job's home."""
        spec = self.find_visible_job(caller, job_id)
        if isinstance(spec, Failure):
            return spec
        ended = self.job_fold.ended.get(job_id)
        if ended is not None:
            return WhyView(job_id, ended.state.value, [])
        owner = self.context.owner(spec.home)
        if owner is None:
            return UnknownName(
                f'no node owns {spec.home!r} yet', kind='home', key=spec.home
            )
        ref, _epoch = owner
        reply = await self.context.peers.request(
            ref.node, WhyAsk(job_id), WhyReply, timeout_s=REQUEST_TIMEOUT_S
        )
        return reply if isinstance(reply, Failure) else reply.why

    def find_visible_job(
        self, caller: Caller | None, job_id: str
    ) -> JobSpec | Failure:
        """Return a job's spec if the caller may see it."""
        job = self._find_in_log(job_id)
        if job is None:
            return UnknownName(
                f'no job is called {job_id!r}', kind='job', key=job_id
            )
        if caller is None or caller.team == job.spec.team:
            return job.spec
        if not caller.is_authenticated:
            return Unauthenticated('a key is required', job_id=job_id)
        return Forbidden('the job belongs to another team', job_id=job_id)

    def _find_in_log(self, job_id: str) -> JobState | EndedJob | None:
        jobs = self.job_fold
        return jobs.active.get(job_id) or jobs.ended.get(job_id)

    def _specs_in_state(self, state: str) -> Iterable[JobSpec]:
        jobs = self.job_fold
        if state in {'', ACTIVE_STATE}:
            yield from (job.spec for job in jobs.active.values())
        if state != ACTIVE_STATE:
            yield from (
                job.spec
                for job in jobs.ended.values()
                if state in {'', job.state.value}
            )

    def _view_from_log(self, job_id: str) -> JobView:
        jobs = self.job_fold
        active = jobs.active.get(job_id)
        if active is not None:
            return active_view(active, self.context.wall.time())
        return ended_view(jobs.ended[job_id])

    async def _refresh_from_homes(self, views: list[JobView]) -> list[JobView]:
        """Replace the views of active jobs with the replies of their homes."""
        by_node: dict[str, list[str]] = {}
        for view in views:
            owner = self.context.owner(view.home)
            if view.ended_at is None and owner is not None:
                ref, _epoch = owner
                by_node.setdefault(ref.node, []).append(view.job_id)
        replies = await asyncio.gather(
            *(
                self.context.peers.request(
                    node,
                    JobsAsk(job_ids),
                    JobsReply,
                    timeout_s=REQUEST_TIMEOUT_S,
                )
                for node, job_ids in by_node.items()
            )
        )
        fresh = {
            view.job_id: view
            for reply in replies
            if isinstance(reply, JobsReply)
            for view in reply.jobs
        }
        return [fresh.get(view.job_id, view) for view in views]


def _matches(spec: JobSpec, caller: Caller | None, queue: str) -> bool:
    is_own = caller is None or caller.team == spec.team
    return is_own and queue in {'', spec.queue}


def _sort_key(spec: JobSpec) -> tuple[float, str]:
    return spec.submitted_at, spec.job_id


def _write_cursor(sort_key: tuple[float, str]) -> str:
    submitted_at, job_id = sort_key
    return f'{submitted_at!r}~{job_id}'


def _read_cursor(cursor: str) -> tuple[float, str] | InvalidInput:
    if not cursor:
        return float('-inf'), ''
    at, separator, job_id = cursor.partition('~')
    try:
        submitted_at = float(at)
    except ValueError:
        separator = ''
    if not separator:
        return InvalidInput(f'malformed cursor {cursor!r}', field='cursor')
    return submitted_at, job_id
