"""``berylspread call``: run one interactive call."""

import sys
import time
from http import HTTPStatus
from pathlib import Path
from typing import Final

import httpx

from berylspread.calls.request_id import new_request_id
from berylspread.kernel.errors import Failure, InvalidInput
from berylspread_cli.client import Client
from berylspread_cli.output import fail, show_json

REQUEST_ID_HEADER: Final = 'X-Request-Id'
EXIT_ERROR_RESPONSE: Final = 1


def run_call(
    client: Client,
    queue: str,
    body: bytes,
    *,
    deadline_s: float | None,
    idempotent: bool | None,
    request_id: str,
    as_json: bool,
) -> None:
    """Send a body and print the whole response of the backend server."""
    request_id = request_id or new_request_id(time.time())
    headers = {REQUEST_ID_HEADER: request_id}
    if deadline_s is not None:
        headers['X-Deadline-S'] = str(deadline_s)
    if idempotent is not None:
        headers['X-Idempotent'] = str(idempotent).lower()
    response = client.send(
        'POST', f'/v1/queues/{queue}/call', content=body, headers=headers
    )
    if isinstance(response, Failure):
        response.fields.setdefault('request_id', request_id)
        fail(response)
    _print(response, as_json=as_json)
    if response.status_code >= HTTPStatus.BAD_REQUEST:
        sys.exit(EXIT_ERROR_RESPONSE)


def read_body(file: str, text: str) -> bytes:
    """Return the body from a file, the standard input or the command line."""
    if not file:
        return text.encode()
    try:
        return sys.stdin.buffer.read() if file == '-' else _read(file)
    except OSError as error:
        fail(InvalidInput(f'{file}: {error}'))


def _read(file: str) -> bytes:
    return Path(file).read_bytes()


def _print(answer: httpx.Response, *, as_json: bool) -> None:
    if not as_json:
        sys.stdout.flush()
        sys.stdout.buffer.write(answer.content)
        sys.stdout.flush()
        return
    show_json(
        {
            'request_id': answer.headers.get(REQUEST_ID_HEADER, ''),
            'status': answer.status_code,
            'content_type': answer.headers.get('Content-Type', ''),
            'body': answer.text,
        }
    )
