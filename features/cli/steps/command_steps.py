"""Steps that run the command line in this process."""

import contextlib
import io
import json
import re
import tempfile
from collections.abc import Callable
from pathlib import Path

import httpx
from behave import then, when
from behave.runner import Context

from berylspread_cli.main import main
from features.support import fleet_steps
from features.support.fleet_steps import token, world


class FleetTransport(httpx.BaseTransport):
    """Passes the requests of the command line to the simulated fleet."""

    def __init__(self, context: Context) -> None:
        self.context = context

    def handle_request(self, request: httpx.Request) -> httpx.Response:
        """Run one request in virtual time and return its whole response."""
        response = world(self.context).request(
            request.method,
            str(request.url),
            content=request.read(),
            headers=dict(request.headers),
        )
        headers = dict(response.headers)
        headers.pop('content-length', None)
        return httpx.Response(
            response.status_code, headers=headers, content=response.content
        )


class OutputText(io.TextIOWrapper):
    """Replacement for standard output that keeps written bytes and text."""

    def __init__(self) -> None:
        super().__init__(io.BytesIO(), encoding='utf-8', write_through=True)

    def getvalue(self) -> str:
        """Return everything that was written as text."""
        return self.buffer.getvalue().decode()


def run_command(
    context: Context, arguments: list[str], transport: httpx.BaseTransport
) -> None:
    """Run a command and store its output and exit code in the context."""
    out, errors = OutputText(), io.StringIO()
    context.code = 0
    with (
        contextlib.redirect_stdout(out),
        contextlib.redirect_stderr(errors),
    ):
        try:
            main(arguments, transport)
        except SystemExit as exit_error:
            context.code = exit_error.code or 0
    context.out, context.errors = out.getvalue(), errors.getvalue()
    with contextlib.suppress(ValueError, AttributeError):
        found = json.loads(context.out)
        context.job_id = found.get('job_id', '')


def write_document(context: Context, text: str) -> str:
    """Write a document to a temporary file and return the path."""
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = Path(folder.name) / 'document.ini'
    path.write_text(text, encoding='utf-8')
    return str(path)


def fill_placeholder(context: Context, argument: str) -> str:
    """Return the value of a placeholder, or the argument itself."""
    values_by_placeholder: dict[str, Callable[[], str]] = {
        '{plain}': lambda: write_document(context, world(context).text),
        '{trial}': lambda: write_document(
            context,
            world(context).text.replace('name = production', 'name = trial'),
        ),
        '{faulty}': lambda: write_document(
            context,
            world(context).text.replace('share = 80', 'share = 80\nsahre = 1'),
        ),
        '{job}': lambda: context.job_id,
    }
    return values_by_placeholder.get(argument, lambda: argument)()


@when('{key} key runs berylspread {command}')
def step_run(context: Context, key: str, command: str) -> None:
    bearer = token(context, key)
    arguments = [fill_placeholder(context, word) for word in command.split()]
    # Without a key, --key= is passed, so that none comes from the environment.
    run_command(
        context, [*arguments, f'--key={bearer}'], FleetTransport(context)
    )


@then('it exits with {code:d}')
def step_exit_code(context: Context, code: int) -> None:
    assert context.code == code, (context.code, context.out, context.errors)


@then('the error output starts with {text}')
def step_error(context: Context, text: str) -> None:
    assert context.errors.startswith(text), context.errors


@then('it prints one line of JSON')
def step_json(context: Context) -> None:
    assert context.out.count('\n') == 1, context.out
    assert isinstance(json.loads(context.out), dict | list)


@then('it prints just {text}')
def step_prints_exactly(context: Context, text: str) -> None:
    assert context.out == text, context.out


@then('it prints {text}')
def step_prints(context: Context, text: str) -> None:
    # Fire prints help to the error output.
    assert text in context.out + context.errors, (context.out, context.errors)


@when(
    'the printed document is applied with a limit of {cores:d} cores for {team}'
)
def step_apply(context: Context, cores: int, team: str) -> None:
    text = re.sub(
        rf'(\[team {team}\][^\[]*limit_cpu = )\d+',
        rf'\g<1>{cores}',
        context.out,
    )
    context.file = write_document(context, text)
    step_apply_again(context)


@when('the same file is applied again')
def step_apply_again(context: Context) -> None:
    step_run(context, 'the operator', f'config apply {context.file}')


def refuse_connection(request: httpx.Request) -> httpx.Response:
    """Fail as if nothing listened at the address."""
    raise httpx.ConnectError('connection refused', request=request)


def lose_response(request: httpx.Request) -> httpx.Response:
    """Fail as if the connection broke after the request was sent."""
    raise httpx.ReadError('connection reset', request=request)


@when('a command runs without any node')
def step_no_node(context: Context) -> None:
    run_command(context, ['status'], httpx.MockTransport(refuse_connection))


@when('a command runs and its response is lost')
def step_lost(context: Context) -> None:
    run_command(context, ['drain', 'vm-1'], httpx.MockTransport(lose_response))


@when('a command is refused with the problem {name} of run state {run_state}')
def step_unknown_problem(context: Context, name: str, run_state: str) -> None:
    problem = {
        'type': f'urn:berylspread:problem:{name}',
        'status': 403,
        'detail': 'why ask',
        'run_state': run_state,
    }
    response = httpx.Response(
        403,
        headers={'Content-Type': 'application/problem+json'},
        content=json.dumps(problem),
    )
    run_command(
        context, ['status'], httpx.MockTransport(lambda _request: response)
    )


__all__ = ['fleet_steps']
