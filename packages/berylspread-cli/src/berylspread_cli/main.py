"""The ``berylspread`` command for operators and callers.

Exit codes: 0 done, 1 an error at the node or from the backend server, 2 invalid
input or usage, 3 refused, 4 conflict, 5 unavailable, 6 outcome unknown.
"""

import argparse
import os
from collections.abc import Sequence
from typing import Final

import fire
import httpx

from berylspread.capacity import Fleet
from berylspread_cli.client import Client
from berylspread_cli.commands import (
    ConfigCommands,
    JobCommands,
    KeyCommands,
    read_body,
    run_call,
    run_check,
    show_capacity,
    show_trail,
    write_report,
)
from berylspread_cli.output import show
from berylspread_cli.texts import texts

ADDRESS_VARIABLE: Final = 'BERYLSPREAD_ADDRESS'
KEY_VARIABLE: Final = 'BERYLSPREAD_KEY'
DEFAULT_ADDRESS: Final = '127.0.0.1:8080'
DEFAULT_TIMEOUT_S: Final = 30.0
HELP_FLAGS: Final = frozenset(('-h', '--help'))


class Commands:
    """Run work on a berylspread fleet and operate the fleet.

    Every command accepts three more flags: --address=IP:PORT, or the URL of an
    entry node, by default BERYLSPREAD_ADDRESS; --key=KEY, a team's key or an
    operator's token, by default BERYLSPREAD_KEY, which keeps the key out of the
    process list; --timeout_s=SECONDS, the longest wait for a response.

    Exit codes: 0 done, 1 an error at the node or from the backend server,
    2 invalid input or usage, 3 refused, 4 conflict, 5 unavailable, 6 outcome
    unknown.  Failures are printed as [RUN-STATE] NAME: REASON (FIELDS), where
    the run state is not-run, ran or unknown.
    """

    def __init__(self, client: Client) -> None:
        self._client = client
        self.config = ConfigCommands(client)
        self.keys = KeyCommands(client)
        self.jobs = JobCommands(client)

    @texts('queue', 'body', 'file', 'request_id')
    def call(
        self,
        queue: str,
        body: str = '',
        *,
        file: str = '',
        deadline_s: float | None = None,
        idempotent: bool | None = None,
        request_id: str = '',
        json: bool = False,
    ) -> None:
        """Run an interactive call and print the whole response.

        Args:
            queue: A queue of kind interactive.
            body: The body of the request.
            file: A file to read the body from; ``-`` is the standard input.
            deadline_s: Deadline in seconds from now; by default the queue's.
            idempotent: Whether the call may be run again; by default the
                queue's setting.
            request_id: A UUID of version 7; a new one by default.
            json: Print a JSON object with the status and the body.

        """
        run_call(
            self._client,
            queue,
            read_body(file, body),
            deadline_s=deadline_s,
            idempotent=idempotent,
            request_id=request_id,
            as_json=json,
        )

    def status(self, *, json: bool = False) -> None:
        """Show a summary of the whole system."""
        show(self._client.get('/v1/admin/status'), as_json=json)

    def nodes(self, *, json: bool = False) -> None:
        """List the entry nodes."""
        show(
            self._client.get('/v1/admin/nodes'),
            (
                'node',
                'region',
                'zone',
                'liveness',
                'ready',
                'log_offset',
                'versions',
                'units',
            ),
            as_json=json,
        )

    def workers(self, *, json: bool = False) -> None:
        """List the workers."""
        show(
            self._client.get('/v1/admin/workers'),
            ('worker', 'region', 'zone', 'rack', 'state', 'owner', 'epoch'),
            as_json=json,
        )

    def teams(self, *, json: bool = False) -> None:
        """List the teams with their shares and limits."""
        show(
            self._client.get('/v1/admin/teams'),
            ('team', 'organisation', 'share', 'limit', 'jobs', 'keys'),
            as_json=json,
        )

    def queues(self, *, json: bool = False) -> None:
        """List the queues."""
        show(
            self._client.get('/v1/admin/queues'),
            ('queue', 'team', 'open', 'kind', 'region', 'shape', 'jobs'),
            as_json=json,
        )

    def tickets(self, *, json: bool = False) -> None:
        """List the tickets of the help desk, newest first."""
        show(
            self._client.get('/v1/admin/tickets'),
            ('category', 'subject', 'opened_at', 'node', 'trace_id', 'detail'),
            as_json=json,
        )

    @texts('vm')
    def drain(self, vm: str, *, undo: bool = False, json: bool = False) -> None:
        """Stop giving new work to a VM, or allow it again with --undo."""
        response = self._client.post(
            '/v1/admin/drain', {'vm': vm, 'undo': undo}
        )
        show(response, as_json=json)

    @texts('file', 'against', 'environment')
    def check(
        self,
        file: str,
        *,
        against: str = '',
        environment: str = '',
        json: bool = False,
    ) -> None:
        """Check a document on this machine, before it is sent.

        Prints errors, warnings (entries that never take effect, limits that
        contradict each other) and what the document changes.  Exit codes: 0
        nothing found, 1 errors, or a file that cannot be read, 2 warnings only.

        Args:
            file: The document; ``-`` reads the standard input.
            against: The document that it is to replace: a file, or ``current``
                for the one in force, which is fetched from the node.
            environment: The environment that the document must be for,
                ``trial`` or ``production``; any if it is left out, production
                with ``current``.
            json: Print a JSON object.

        """
        run_check(self._client, file, against, environment, as_json=json)

    @texts('item')
    def trace(self, item: str, *logs: str, json: bool = False) -> None:
        """Print what the nodes' logs tell about a request, job, step or task.

        The command sends no request.

        Args:
            item: The id of a request, job, step or task.
            logs: Files with the lines of one or more nodes; by default the
                standard input.  Other lines are passed over and counted.
            json: Print a JSON object.

        """
        show_trail(item, logs, as_json=json)

    def report(
        self, *logs: str, output: str = 'report.html', json: bool = False
    ) -> None:
        """Draw what the nodes' logs tell about a day, second by second.

        The command sends no request.  It prints the changes of the coordinator:
        seconds since the last decision of the former one.

        Args:
            logs: Files with the lines of one or more nodes; by default the
                standard input.  Other lines are passed over and counted.
            output: The HTML page to write.
            json: Print a JSON object.

        """
        write_report(logs, output, as_json=json)

    def capacity(  # noqa: WPS211 - a flag for each number
        self,
        *,
        workers: int = 0,
        tasks: int = 0,
        jobs_per_day: float = 0,
        starts_per_s: float = 0,
        teams: int = 0,
        nodes: int = 9,
        regions: int = 1,
        config_changes_per_day: float = 0,
        calls_per_s: float = 0,
        keys: int = 0,
        queued_jobs: int = 0,
        json: bool = False,
    ) -> None:
        """Estimate the load that a fleet of this size puts on its entry VMs.

        The command sends no request.  The tasks are those that run, and the
        queued jobs those that wait, at the same time; starts and calls a second
        are peak rates; nodes are entry VMs.
        """
        fleet = Fleet(
            workers,
            tasks,
            jobs_per_day,
            starts_per_s,
            teams,
            nodes,
            regions,
            config_changes_per_day,
            calls_per_s,
            keys,
            queued_jobs,
        )
        show_capacity(fleet, as_json=json)


def main(
    arguments: Sequence[str] | None = None,
    transport: httpx.BaseTransport | None = None,
) -> None:
    """Run a command line, by default the arguments of the process."""
    options, remaining = _parser().parse_known_args(arguments)
    client = Client(options.address, options.key, options.timeout_s, transport)
    fire.Fire(Commands(client), command=_asked(remaining), name='berylspread')


def _asked(arguments: list[str]) -> list[str]:
    """Replace help flags with ``-- --help``.

    Fire treats a help flag in another place as an error.
    """
    kept = [argument for argument in arguments if argument not in HELP_FLAGS]
    return arguments if kept == arguments else [*kept, '--', '--help']


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog='berylspread', add_help=False, allow_abbrev=False
    )
    parser.add_argument(
        '--address', default=os.environ.get(ADDRESS_VARIABLE, DEFAULT_ADDRESS)
    )
    parser.add_argument('--key', default=os.environ.get(KEY_VARIABLE, ''))
    parser.add_argument(
        '--timeout_s', '--timeout-s', type=float, default=DEFAULT_TIMEOUT_S
    )
    return parser


if __name__ == '__main__':
    main()
