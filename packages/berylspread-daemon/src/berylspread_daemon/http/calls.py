"""Interactive calls over HTTP."""

from typing import Annotated, Any, Final

from litestar import Controller, Request, Response, post
from litestar.params import Parameter
from litestar.status_codes import HTTP_200_OK

from berylspread.calls.router import CallInput
from berylspread.entry.calls import CallOptions
from berylspread_daemon.http.bodies import read_body
from berylspread_daemon.http.params import Authorization, Entry
from berylspread_daemon.http.problems import (
    RefusedError,
    problem_response,
    unwrap,
)

REQUEST_ID_HEADER: Final = 'X-Request-Id'
BYTES_PER_KIB: Final = 1024
OCTET_STREAM: Final = 'application/octet-stream'


class CallController(Controller):
    """Passes calls to backend servers and returns their replies."""

    path = '/v1/queues'
    tags = ('calls',)
    request_max_body_size = None

    @post(
        '/{queue:str}/call',
        status_code=HTTP_200_OK,
        summary='Run an interactive call',
        description=(
            'The body goes to one backend server, whose status, body and'
            ' content type come back. `X-Deadline-S` is seconds from now,'
            ' `X-Deadline` seconds since the epoch. A call that is not'
            ' idempotent has a UUID of version 7 as `X-Request-Id`.'
        ),
    )
    async def call(
        self,
        request: Request[Any, Any, Any],
        queue: str,
        entry: Entry,
        authorization: Authorization = '',
        request_id: Annotated[str, Parameter(header=REQUEST_ID_HEADER)] = '',
        deadline_s: Annotated[
            float | None, Parameter(header='X-Deadline-S')
        ] = None,
        deadline: Annotated[
            float | None, Parameter(header='X-Deadline')
        ] = None,
        idempotent: Annotated[
            bool | None, Parameter(header='X-Idempotent')
        ] = None,
    ) -> Response[bytes]:
        """Run a call and return the backend server's reply.

        A refusal of a prepared call also carries the request id.
        """
        options = CallOptions(
            request_id=request_id,
            deadline=deadline,
            deadline_s=deadline_s,
            idempotent=idempotent,
            content_type=request.headers.get('Content-Type', OCTET_STREAM),
        )
        call, limit = _prepare_call(entry, authorization, queue, options)
        try:
            return await _run_call(request, entry, call, limit)
        except RefusedError as refused:
            response = problem_response(refused.failure)
        response.headers[REQUEST_ID_HEADER] = call.request_id
        return response


def _prepare_call(
    entry: Entry, authorization: str, name: str, options: CallOptions
) -> tuple[CallInput, int]:
    caller, queue = unwrap(entry.access.authorize_queue(authorization, name))
    call = unwrap(entry.calls.prepare_call(caller, queue, options))
    return call, queue.max_body_kib * BYTES_PER_KIB


async def _run_call(
    request: Request[Any, Any, Any],
    entry: Entry,
    call: CallInput,
    limit: int,
) -> Response[bytes]:
    body = unwrap(await read_body(request, limit))
    reply = unwrap(await entry.calls.run_call(call, body))
    return Response(
        reply.body,
        status_code=reply.status,
        # litestar would add a character set to a media type.
        media_type='',
        headers={
            'Content-Type': reply.content_type,
            REQUEST_ID_HEADER: call.request_id,
            'X-Attempt': str(reply.attempt),
            'X-Run-State': 'ran',
        },
    )
