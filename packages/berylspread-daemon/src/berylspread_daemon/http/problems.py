"""Failures as HTTP responses with problem details (RFC 9457)."""

from http import HTTPStatus
from typing import Any, Final, TypeVar, final

import msgspec
from absl import logging
from litestar import Request, Response
from litestar.exceptions import HTTPException

from berylspread.entry.failures import BodyTooLarge
from berylspread.kernel.errors import (
    Failure,
    Internal,
    InvalidInput,
    Unauthenticated,
    UnknownName,
)

PROBLEM_MEDIA_TYPE: Final = 'application/problem+json'
PROBLEM_TYPE_PREFIX: Final = 'urn:berylspread:problem:'
RETRY_AFTER_S: Final = 1

ResultT = TypeVar('ResultT')


@final
class Problem(msgspec.Struct, frozen=True):
    """The body of each refusal.

    ``run_state`` says whether the request has run, or ``unknown`` if that is
    uncertain.
    """

    type: str
    title: str
    status: int
    detail: str
    run_state: str
    fields: dict[str, Any] = {}


class RefusedError(Exception):
    """Carries a failure from a handler to the exception handler."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.reason)
        self.failure = failure


def unwrap(result: ResultT | Failure) -> ResultT:
    """Return a result; raise ``RefusedError`` if it is a failure."""
    if isinstance(result, Failure):
        raise RefusedError(result)
    return result


def problem_details(failure: Failure, status: int) -> Problem:
    """Return the problem details of a failure with an HTTP status."""
    return Problem(
        type=PROBLEM_TYPE_PREFIX + failure.name,
        title=failure.name.replace('-', ' '),
        status=status,
        detail=failure.reason,
        run_state=failure.run_state.value,
        fields=failure.fields,
    )


def problem_response(failure: Failure, status: int = 0) -> Response[bytes]:
    """Return the response to a failure; 0 selects the failure's own status."""
    status = status or failure.http_status
    return Response(
        msgspec.json.encode(problem_details(failure, status), enc_hook=repr),
        status_code=status,
        media_type=PROBLEM_MEDIA_TYPE,
        headers=_failure_headers(failure),
    )


def _failure_headers(failure: Failure) -> dict[str, str]:
    headers = dict(_STATUS_HEADERS.get(failure.http_status, {}))
    if isinstance(failure, Unauthenticated):
        headers['WWW-Authenticate'] = 'Bearer'
    return headers


def handle_refusal(
    request: Request[Any, Any, Any], error: RefusedError
) -> Response[bytes]:
    """Return the response to a failure from a handler."""
    return problem_response(error.failure)


def handle_http_error(
    request: Request[Any, Any, Any], error: HTTPException
) -> Response[bytes]:
    """Return the response to an error that litestar found.

    Examples are an unknown path, a wrong method and malformed input.
    """
    fields = {'path': request.url.path}
    if error.status_code == HTTPStatus.NOT_FOUND:
        return problem_response(
            UnknownName('no such path', kind='path', **fields)
        )
    if error.status_code == HTTPStatus.REQUEST_ENTITY_TOO_LARGE:
        return problem_response(BodyTooLarge('the body is too large', **fields))
    if error.status_code >= HTTPStatus.INTERNAL_SERVER_ERROR:
        return handle_internal_error(request, error)
    failure = InvalidInput(error.detail, errors=error.extra, **fields)
    return problem_response(failure, error.status_code)


def handle_internal_error(
    request: Request[Any, Any, Any], error: Exception
) -> Response[bytes]:
    """Log an unexpected exception and return an internal error."""
    logging.error('request to %s failed', request.url.path, exc_info=error)
    return problem_response(
        Internal('internal error at this node; its log has the details')
    )


_STATUS_HEADERS: Final[dict[int, dict[str, str]]] = {
    HTTPStatus.REQUEST_TIMEOUT: {'Connection': 'close'},
    HTTPStatus.REQUEST_ENTITY_TOO_LARGE: {'Connection': 'close'},
    HTTPStatus.TOO_MANY_REQUESTS: {'Retry-After': str(RETRY_AFTER_S)},
    HTTPStatus.SERVICE_UNAVAILABLE: {'Retry-After': str(RETRY_AFTER_S)},
}
EXCEPTION_HANDLERS: Final[dict[int | type[Exception], Any]] = {
    RefusedError: handle_refusal,
    HTTPException: handle_http_error,
    Exception: handle_internal_error,
}
