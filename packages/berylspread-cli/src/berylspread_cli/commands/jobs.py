"""``berylspread jobs``: batch jobs, gangs and services."""

import uuid
from typing import Any, Final, final

from berylspread.kernel.errors import Failure
from berylspread_cli.client import Client
from berylspread_cli.output import fail, show, show_fields, show_table
from berylspread_cli.texts import texts

COLUMNS: Final = ('job_id', 'queue', 'kind', 'state', 'tasks', 'waited_s')
DEFAULT_PAGE_SIZE: Final = 50


@final
class JobCommands:
    """Submit, list, show and cancel jobs."""

    def __init__(self, client: Client) -> None:
        self._client = client

    @texts('queue', 'payload', 'request_id', 'job_class')
    def submit(
        self,
        queue: str,
        *,
        tasks: int = 1,
        payload: str = '',
        request_id: str = '',
        job_class: str = '',
        json: bool = False,
        **options: Any,
    ) -> None:
        """Submit a job; a repeat with the same request id returns the same job.

        Args:
            queue: The queue, which sets the defaults and the kind of the job.
            tasks: Number of tasks.
            payload: Input text of each task.
            request_id: Identifier of the request; a new one by default.
            job_class: Name of the class of jobs that sizes and run times are
                learned for.
            json: Print JSON.
            options: ``--cpu``, ``--memory_gib``, ``--accelerators``,
                ``--slots``, ``--priority``, ``--deadline``, ``--deadline_s``,
                ``--idempotent``, ``--preemptible``, ``--expected_run_s`` and
                ``--max_attempts`` replace the settings of the queue.

        """
        request_id = request_id or uuid.uuid4().hex
        response = self._client.post(
            '/v1/jobs',
            {
                'queue': queue,
                'tasks': tasks,
                'payload': payload,
                'request_id': request_id,
                'job_class': job_class,
                **options,
            },
        )
        if isinstance(response, Failure):
            response.fields.setdefault('request_id', request_id)
        show(response, as_json=json)

    @texts('queue', 'state', 'cursor')
    def list(
        self,
        *,
        queue: str = '',
        state: str = '',
        cursor: str = '',
        limit: int = DEFAULT_PAGE_SIZE,
        json: bool = False,
    ) -> None:
        """List jobs in order of submission, one page at a time.

        Args:
            queue: List only jobs of this queue; all by default.
            state: ``active`` or a terminal state; all by default.
            cursor: The cursor printed below the previous page.
            limit: Largest number of jobs on the page.
            json: Print JSON.

        """
        response = self._client.get(
            '/v1/jobs', queue=queue, state=state, cursor=cursor, limit=limit
        )
        if json or isinstance(response, Failure):
            show(response, as_json=json)
            return
        show_table(response['jobs'], COLUMNS)
        if response['cursor']:
            print(f'more: --cursor={response["cursor"]}')

    @texts('job_id')
    def show(self, job_id: str, *, json: bool = False) -> None:
        """Show a job."""
        show(self._client.get(f'/v1/jobs/{job_id}'), as_json=json)

    @texts('job_id', 'reason')
    def cancel(
        self, job_id: str, reason: str = '', *, json: bool = False
    ) -> None:
        """Cancel a job; its tasks stop soon after."""
        response = self._client.delete(f'/v1/jobs/{job_id}', reason=reason)
        show(response, as_json=json)

    @texts('job_id')
    def result(self, job_id: str, *, json: bool = False) -> None:
        """Show the outcome of each task of an ended job."""
        response = self._client.get(f'/v1/jobs/{job_id}/result')
        if json or isinstance(response, Failure):
            show(response, as_json=json)
            return
        outcomes = response.pop('ends')
        show_fields(response)
        names = ('index', 'state', 'exit_code', 'reason', 'output')
        rows = [dict(zip(names, outcome, strict=False)) for outcome in outcomes]
        show_table(rows, names)

    @texts('job_id')
    def why(self, job_id: str, *, json: bool = False) -> None:
        """Explain why tasks of a job wait."""
        response = self._client.get(f'/v1/jobs/{job_id}/why')
        if isinstance(response, Failure):
            fail(response)
        if json:
            show(response, as_json=True)
            return
        print(f'{response["job_id"]}  {response["state"]}')
        show_table(response['lines'], ('tasks', 'reason', 'detail'))
