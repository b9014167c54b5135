"""Batch jobs, gangs and services over HTTP."""

from typing import Annotated

from litestar import Controller, delete, get, post
from litestar.params import Parameter
from litestar.status_codes import HTTP_200_OK, HTTP_202_ACCEPTED

from berylspread.entry.access import ANONYMOUS, Caller
from berylspread.entry.jobs import DEFAULT_PAGE_SIZE
from berylspread.entry.views import (
    CancelView,
    JobAcceptedView,
    JobInput,
    JobPage,
    JobResult,
    JobView,
    WhyView,
)
from berylspread_daemon.http.params import (
    Authorization,
    Entry,
    OptionalCaller,
)
from berylspread_daemon.http.problems import unwrap


def provide_caller(
    entry: Entry, authorization: Authorization = ''
) -> Caller | None:
    """Return the caller of a key, or ``None`` for an operator's token.

    Raise ``RefusedError`` if the key is missing or not valid.
    """
    if entry.operators.check_token(authorization) is None:
        return None
    return unwrap(entry.access.require_team(authorization))


def provide_reader(
    entry: Entry, authorization: Authorization = ''
) -> Caller | None:
    """Return the caller that reads a job.

    Without a key it is the anonymous caller, as for jobs of open queues.
    """
    if not authorization:
        return ANONYMOUS
    return provide_caller(entry, authorization)


class JobController(Controller):
    """Operations on jobs of the caller's team; operators see all teams."""

    path = '/v1/jobs'
    tags = ('jobs',)

    @post('/', status_code=HTTP_202_ACCEPTED, summary='Submit a job')
    async def submit(
        self,
        data: JobInput,
        entry: Entry,
        authorization: Authorization = '',
    ) -> JobAcceptedView:
        """Accept a job and return once it is in the platform's log.

        A repeated request with the same `request_id` returns the same job.
        """
        caller, queue = unwrap(
            entry.access.authorize_queue(authorization, data.queue)
        )
        return unwrap(await entry.submission.submit_job(caller, queue, data))

    @get('/', summary='List jobs in order of submission')
    async def list(
        self,
        entry: Entry,
        caller: OptionalCaller,
        cursor: str = '',
        limit: int = DEFAULT_PAGE_SIZE,
        queue: str = '',
        job_state: Annotated[str, Parameter(query='state')] = '',
    ) -> JobPage:
        """Return a page of jobs; its `cursor` selects the next page."""
        return unwrap(
            await entry.jobs.list_jobs(
                caller, cursor=cursor, limit=limit, queue=queue, state=job_state
            )
        )

    @get('/{job_id:str}', summary='Show a job')
    async def show(
        self, entry: Entry, reader: OptionalCaller, job_id: str
    ) -> JobView:
        """Return the state of the job at its home."""
        return unwrap(await entry.jobs.job_status(reader, job_id))

    @delete('/{job_id:str}', status_code=HTTP_200_OK, summary='Cancel a job')
    async def cancel(
        self,
        entry: Entry,
        caller: OptionalCaller,
        job_id: str,
        reason: str = '',
    ) -> CancelView:
        """Cancel a job; a job that has ended is left unchanged."""
        return unwrap(await entry.jobs.cancel_job(caller, job_id, reason))

    @get('/{job_id:str}/result', summary='Show how the tasks ended')
    async def result(
        self, entry: Entry, reader: OptionalCaller, job_id: str
    ) -> JobResult:
        """Return the outcome of a job that has ended."""
        return unwrap(entry.jobs.job_result(reader, job_id))

    @get('/{job_id:str}/why', summary='Explain why tasks wait')
    async def why(
        self, entry: Entry, reader: OptionalCaller, job_id: str
    ) -> WhyView:
        """Return the reasons why tasks of the job are not started."""
        return unwrap(await entry.jobs.explain_pending(reader, job_id))
