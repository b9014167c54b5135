"""The HTTP client of the command line; returns results or typed failures."""

from http import HTTPStatus
from typing import Any, Final, final

import httpx
import msgspec

from berylspread.config.document import InvalidDocument
from berylspread.entry import failures as entry_failures
from berylspread.kernel.errors import (
    EXIT_CONFLICT,
    EXIT_INPUT,
    EXIT_REFUSED,
    EXIT_UNAVAILABLE,
    Failure,
    OutcomeUnknown,
    RunState,
    failure,
    failure_types,
)
from berylspread.limits import errors as limit_failures

PROBLEM_CONTENT_TYPE: Final = 'application/problem+json'
#: Header of every response of a backend server, whatever its status.
RUN_STATE_HEADER: Final = 'X-Run-State'
PROBLEM_TYPE_PREFIX: Final = 'urn:berylspread:problem:'
#: Sources of the failures that a node may return; importing registers them.
FAILURE_SOURCES: Final = (InvalidDocument, entry_failures, limit_failures)
EXIT_CODES: Final[dict[int, int]] = {
    HTTPStatus.BAD_REQUEST: EXIT_INPUT,
    HTTPStatus.NOT_FOUND: EXIT_INPUT,
    HTTPStatus.UNAUTHORIZED: EXIT_REFUSED,
    HTTPStatus.FORBIDDEN: EXIT_REFUSED,
    HTTPStatus.CONFLICT: EXIT_CONFLICT,
    HTTPStatus.TOO_MANY_REQUESTS: EXIT_REFUSED,
    HTTPStatus.SERVICE_UNAVAILABLE: EXIT_UNAVAILABLE,
    HTTPStatus.GATEWAY_TIMEOUT: EXIT_UNAVAILABLE,
}


@final
@failure
class NodeUnreachable(Failure):
    """No entry node accepted the connection; the request was not sent."""

    name = 'node-unreachable'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@final
class Problem(msgspec.Struct, frozen=True):
    """A problem response of a node."""

    type: str
    detail: str = ''
    status: int = 500
    run_state: str = RunState.unknown.value
    fields: dict[str, Any] = {}


@final
class Client:
    """Sends requests to one address, with a key or token and a timeout."""

    __slots__ = ('http',)

    def __init__(
        self,
        address: str,
        key: str = '',
        timeout_s: float = 30.0,
        transport: httpx.BaseTransport | None = None,
    ) -> None:
        """Accept an address as ``IP:port`` or a URL; no request is sent yet."""
        headers = {'Authorization': f'Bearer {key}'} if key else {}
        url = address if '://' in address else f'http://{address}'
        self.http = httpx.Client(
            base_url=url,
            headers=headers,
            timeout=timeout_s,
            transport=transport,
            trust_env=False,
        )

    def get(self, path: str, **params: Any) -> Any:
        """Send the parameters that have a value; return the JSON or failure."""
        non_empty = {
            key: value
            for key, value in params.items()
            if value not in {None, ''}
        }
        return _decoded(self.send('GET', path, params=non_empty))

    def post(self, path: str, body: Any) -> Any:
        """Send JSON and return the JSON or failure of the response."""
        return _decoded(self.send('POST', path, json=body))

    def delete(self, path: str, **params: Any) -> Any:
        """Send a DELETE; return the JSON or failure of the response."""
        return _decoded(self.send('DELETE', path, params=params))

    def send(
        self, method: str, path: str, **options: Any
    ) -> httpx.Response | Failure:
        """Return the response, or the failure if it is missing or a problem.

        An error response of a backend server is returned as a response.
        """
        try:
            response = self.http.request(method, path, **options)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return NodeUnreachable(
                f'{self.http.base_url.netloc.decode()}: {error}'
            )
        except httpx.HTTPError as error:
            return OutcomeUnknown(
                f'no complete response: {type(error).__name__}: {error}'
            )
        if response.headers.get('Content-Type', '').startswith(
            PROBLEM_CONTENT_TYPE
        ):
            return rebuild(response)
        if response.is_error and RUN_STATE_HEADER not in response.headers:
            return OutcomeUnknown(
                f'response not from a node: status {response.status_code}',
                status=response.status_code,
            )
        return response


def rebuild(answer: httpx.Response) -> Failure:
    """Return the typed failure of a problem response.

    A problem of an unknown type becomes a ``RemoteFailure`` with its name.
    """
    try:
        problem = msgspec.json.decode(answer.content, type=Problem)
    except msgspec.DecodeError as error:
        return OutcomeUnknown(f'malformed problem response: {error}')
    name = problem.type.removeprefix(PROBLEM_TYPE_PREFIX)
    cls = failure_types().get(name) or _unknown_type(name, problem)
    return cls(problem.detail, **problem.fields)


def _unknown_type(name: str, problem: Problem) -> type[Failure]:
    return type(
        'RemoteFailure',
        (Failure,),
        {
            'name': name,
            'http_status': problem.status,
            'exit_code': EXIT_CODES.get(problem.status, 1),
            'run_state': RunState(problem.run_state),
        },
    )


def _decoded(answer: httpx.Response | Failure) -> Any:
    if isinstance(answer, Failure):
        return answer
    try:
        return msgspec.json.decode(answer.content)
    except msgspec.DecodeError as error:
        return OutcomeUnknown(
            f'malformed response: {error}', status=answer.status_code
        )
