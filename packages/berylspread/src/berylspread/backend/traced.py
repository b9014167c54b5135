"""Trace spans for calls and starts that are sent to backend servers."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final, final

from msgspec import structs
from opentelemetry import trace
from opentelemetry.trace import Span, SpanKind, Status, StatusCode

from berylspread.backend.interface import (
    BackendClient,
    CallReply,
    CallRequest,
    SyncReply,
    SyncRequest,
)
from berylspread.kernel.errors import Failure
from berylspread.model import Vm
from berylspread.peers.tracing import current_traceparent

_tracer: Final = trace.get_tracer('berylspread.backend')


@final
class TracedBackendClient:
    """Forwards to another ``BackendClient`` within trace spans.

    Exchanges that start no task have no span, because they renew leases all the
    time.
    """

    __slots__ = ('workers',)

    def __init__(self, workers: BackendClient) -> None:
        self.workers = workers

    async def sync(self, vm: Vm, request: SyncRequest) -> SyncReply | Failure:
        """Exchange with a worker; ``WorkerUnreachable`` without a reply."""
        if not request.starts:
            return await self.workers.sync(vm, request)
        with _worker_span('worker start', vm) as span:
            span.set_attribute(
                'tasks', [start.task for start in request.starts]
            )
            traceparent = current_traceparent()
            reply = await self.workers.sync(
                vm,
                structs.replace(
                    request,
                    starts=[
                        structs.replace(start, traceparent=traceparent)
                        for start in request.starts
                    ],
                ),
            )
            _record_failure(span, reply)
            return reply

    async def call(self, vm: Vm, request: CallRequest) -> CallReply | Failure:
        """Run a call; ``WorkerUnreachable`` has the field ``sent``."""
        with _worker_span('worker call', vm) as span:
            span.set_attribute('request_id', request.request_id)
            span.set_attribute('attempt', request.attempt)
            reply = await self.workers.call(
                vm, structs.replace(request, traceparent=current_traceparent())
            )
            _record_failure(span, reply)
            return reply


@contextmanager
def _worker_span(name: str, vm: Vm) -> Iterator[Span]:
    with _tracer.start_as_current_span(
        name, kind=SpanKind.CLIENT, attributes={'worker': vm.vm_id}
    ) as span:
        yield span


def _record_failure(span: Span, reply: object) -> None:
    if isinstance(reply, Failure):
        span.set_status(Status(StatusCode.ERROR, reply.name))
