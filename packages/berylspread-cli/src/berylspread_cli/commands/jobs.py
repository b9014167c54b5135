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
        """Take the client."""
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
        """Submit a job; a repeat with the same request id is the same job.

        Args:
            queue: The queue, which gives the defaults and the job's kind.
            tasks: Number of tasks.
            payload: What each task is given.
            request_id: Name of the request; a new one by default.
            job_class: Name under which sizes and times are learned.
            json: Print JSON.
            options: ``--cpu``, ``--memory_gib``, ``--accelerators``,
                ``--slots``, ``--priority``, ``--deadline``, ``--deadline_s``,
                ``--idempotent``, ``--preemptible``, ``--expected_run_s`` and
                ``--max_attempts`` in place of the queue's.

        """
        request_id = request_id or uuid.uuid4().hex
        found = self._client.post(
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
        if isinstance(found, Failure):
            found.fields.setdefault('request_id', request_id)
        show(found, as_json=json)

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
        """List jobs in order of submission, a page at a time.

        Args:
            queue: Only those of this queue.
            state: ``active`` or a terminal state; all by default.
            cursor: Where the page before ended.
            limit: Length of the page.
            json: Print JSON.

        """
        found = self._client.get(
            '/v1/jobs', queue=queue, state=state, cursor=cursor, limit=limit
        )
        if json or isinstance(found, Failure):
            show(found, as_json=json)
            return
        show_table(found['jobs'], COLUMNS)
        if found['cursor']:
            print(f'more: --cursor={found["cursor"]}')

    @texts('job_id')
    def show(self, job_id: str, *, json: bool = False) -> None:
        """Show a job."""
        show(self._client.get(f'/v1/jobs/{job_id}'), as_json=json)

    @texts('job_id', 'reason')
    def cancel(
        self, job_id: str, reason: str = '', *, json: bool = False
    ) -> None:
        """Cancel a job; its tasks stop soon after."""
        found = self._client.delete(f'/v1/jobs/{job_id}', reason=reason)
        show(found, as_json=json)

    @texts('job_id')
    def result(self, job_id: str, *, json: bool = False) -> None:
        """Show how an ended job's tasks ended."""
        found = self._client.get(f'/v1/jobs/{job_id}/result')
        if json or isinstance(found, Failure):
            show(found, as_json=json)
            return
        ends = found.pop('ends')
        show_fields(found)
        names = ('index', 'state', 'exit_code', 'reason', 'output')
        rows = [dict(zip(names, end, strict=False)) for end in ends]
        show_table(rows, names)

    @texts('job_id')
    def why(self, job_id: str, *, json: bool = False) -> None:
        """Explain why tasks of a job wait."""
        found = self._client.get(f'/v1/jobs/{job_id}/why')
        if isinstance(found, Failure):
            fail(found)
        if json:
            show(found, as_json=True)
            return
        print(f'{found["job_id"]}  {found["state"]}')
        show_table(found['lines'], ('tasks', 'reason', 'detail'))
