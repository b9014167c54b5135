"""The HTTP client of the command line: results or typed failures."""

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
#: Marks a backend server's answer, whatever its status.
RUN_STATE_HEADER: Final = 'X-Run-State'
PROBLEM_TYPE_PREFIX: Final = 'urn:berylspread:problem:'
#: Modules whose failures a node may answer with; importing registers them.
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
    """A refusal as a node answers it."""

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
        """Take ``IP:port`` or a URL; nothing is sent yet."""
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
        """Return the JSON of an answer, or the failure in it."""
        given = {
            key: value
            for key, value in params.items()
            if value not in {None, ''}
        }
        return _decoded(self.send('GET', path, params=given))

    def post(self, path: str, body: Any) -> Any:
        """Send JSON and return the JSON of the answer, or the failure in it."""
        return _decoded(self.send('POST', path, json=body))

    def delete(self, path: str, **params: Any) -> Any:
        """Delete and return the JSON of the answer, or the failure in it."""
        return _decoded(self.send('DELETE', path, params=params))

    def send(
        self, method: str, path: str, **options: Any
    ) -> httpx.Response | Failure:
        """Return the whole answer, or the failure that stands in its place."""
        try:
            answer = self.http.request(method, path, **options)
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            return NodeUnreachable(
                f'{self.http.base_url.netloc.decode()}: {error}'
            )
        except httpx.HTTPError as error:
            return OutcomeUnknown(
                f'no whole answer: {type(error).__name__}: {error}'
            )
        if answer.headers.get('Content-Type', '').startswith(
            PROBLEM_CONTENT_TYPE
        ):
            return rebuild(answer)
        if answer.is_error and RUN_STATE_HEADER not in answer.headers:
            return OutcomeUnknown(
                f'an answer that is not of a node: {answer.status_code}',
                status=answer.status_code,
            )
        return answer


def rebuild(answer: httpx.Response) -> Failure:
    """Return the typed failure of a problem; an unknown type keeps its name."""
    try:
        problem = msgspec.json.decode(answer.content, type=Problem)
    except msgspec.DecodeError as error:
        return OutcomeUnknown(f'malformed refusal: {error}')
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
            f'malformed answer: {error}', status=answer.status_code
        )
