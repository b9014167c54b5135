"""The stand-ins' HTTP apps: log service, VM list and workers."""

import asyncio
from collections.abc import Callable, Sequence
from http import HTTPStatus
from typing import Any, Final
from urllib.parse import unquote

import msgspec
from litestar import Litestar, Request, Response, get, post
from litestar.datastructures import State

from berylspread.backend.http_client import (
    ATTEMPT_HEADER,
    JSON_TYPE,
    RAW_TYPE,
    REFUSED_HEADER,
    REQUEST_ID_HEADER,
)
from berylspread.backend.interface import CallRequest, SyncRequest
from berylspread.kernel import errors
from berylspread.kernel.errors import Failure, InvalidInput, Overloaded
from berylspread.log.http_client import AppendReply
from berylspread.model import Resources, Vm
from berylspread_standins.log_service import LogService
from berylspread_standins.worker import Worker

MSGPACK_TYPE: Final = 'application/msgpack'
#: An answer that is lost is withheld for so long, in seconds.
LOST_ANSWER_S: Final = 30.0

HttpRequest = Request[Any, Any, Any]


def log_app(service: LogService) -> Litestar:
    """Return the app of the log service."""
    return _app([append, read_entries], service=service)


def vm_list_app(listed: Callable[[], Sequence[Vm]]) -> Litestar:
    """Return the app of the VM list; ``listed`` returns what it shows."""
    return _app([read_vms], listed=listed)


def workers_app(workers: dict[int, Worker]) -> Litestar:
    """Return the app of the workers, each on the port that is its key."""
    return _app([sync, call], workers=workers)


@post('/v1/append', status_code=HTTPStatus.OK)
async def append(request: HttpRequest, state: State) -> Response[bytes]:
    """Append the body as one entry."""
    offset = await state.service.append(await request.body())
    if state.service.lose_answer:
        await asyncio.sleep(LOST_ANSWER_S)
    if isinstance(offset, Failure):
        return _failed(offset)
    return _json(AppendReply(offset))


@get('/v1/entries')
async def read_entries(
    state: State, offset: int, limit: int, wait_s: float
) -> Response[bytes]:
    """Return a page of entries."""
    page = await state.service.read(offset, limit=limit, wait_s=wait_s)
    if isinstance(page, Failure):
        return _failed(page)
    return Response(msgspec.msgpack.encode(page), media_type=MSGPACK_TYPE)


@get('/v1/vms')
async def read_vms(state: State) -> Response[bytes]:
    """Return the listed VMs."""
    return _json(state.listed())


@post('/v1/sync', status_code=HTTPStatus.OK)
async def sync(request: HttpRequest, state: State) -> Response[bytes]:
    """Exchange with the worker of this port."""
    worker = _worker(request, state)
    body = msgspec.json.decode(await request.body(), type=SyncRequest)
    if worker.faults.is_unreachable:
        await asyncio.sleep(LOST_ANSWER_S)
    reply = await worker.sync(body)
    if worker.faults.lose_answer or worker.faults.is_unreachable:
        await asyncio.sleep(LOST_ANSWER_S)
    return _failed(reply) if isinstance(reply, Failure) else _json(reply)


@post('/v1/call', status_code=HTTPStatus.OK)
async def call(request: HttpRequest, state: State) -> Response[bytes]:
    """Run a call on the worker of this port."""
    worker = _worker(request, state)
    if worker.faults.is_unreachable:
        await asyncio.sleep(LOST_ANSWER_S)
    if len(worker.calls) >= worker.connections:
        return _failed(Overloaded('connections in use'))
    reply = await worker.call(_call_request(request, await request.body()))
    if worker.faults.lose_answer or worker.faults.is_unreachable:
        await asyncio.sleep(LOST_ANSWER_S)
    if isinstance(reply, Failure):
        return _failed(reply)
    return Response(
        reply.body,
        status_code=reply.status,
        headers={
            name: request.headers[name]
            for name in (REQUEST_ID_HEADER, ATTEMPT_HEADER)
        },
        media_type=reply.content_type,
    )


def _app(handlers: list[Any], **fields: Any) -> Litestar:
    return Litestar(
        route_handlers=handlers,
        state=State(fields, deep_copy=False),
        openapi_config=None,
        exception_handlers={
            KeyError: _malformed,
            ValueError: _malformed,
            msgspec.DecodeError: _malformed,
        },
    )


def _malformed(_: HttpRequest, error: Exception) -> Response[bytes]:
    return _failed(InvalidInput(f'{type(error).__name__}: {error}'))


def _worker(request: HttpRequest, state: State) -> Worker:
    _, port = request.scope['server'] or ('', 0)
    worker: Worker = state.workers[port]
    return worker


def _call_request(request: HttpRequest, body: bytes) -> CallRequest:
    headers = request.headers
    names = (
        unquote(headers.get(name, ''))
        for name in ('X-Team', 'X-Queue', 'X-Unit')
    )
    team, queue, unit = names
    return CallRequest(
        request_id=unquote(headers[REQUEST_ID_HEADER]),
        attempt=int(headers[ATTEMPT_HEADER]),
        team=team,
        queue=queue,
        unit=unit,
        epoch=int(headers['X-Epoch']),
        timeout_s=float(headers['X-Timeout-S']),
        body=body,
        shape=_shape(headers.get('X-Shape', '')),
        content_type=headers.get('Content-Type', RAW_TYPE),
        traceparent=headers.get('traceparent', ''),
    )


def _shape(raw: str) -> Resources:
    return Resources(*(int(amount) for amount in raw.split(',') if amount))


def _json(content: Any) -> Response[bytes]:
    return Response(msgspec.json.encode(content), media_type=JSON_TYPE)


def _failed(value: Failure) -> Response[bytes]:
    return Response(
        msgspec.json.encode(errors.to_wire(value)),
        status_code=value.http_status,
        headers={REFUSED_HEADER: value.name},
        media_type=JSON_TYPE,
    )
