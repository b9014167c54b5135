"""Steps for the schema, health, traces and logs."""

import json
import logging

from behave import then, when
from behave.runner import Context
from opentelemetry import trace
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor
from opentelemetry.sdk.trace.export.in_memory_span_exporter import (
    InMemorySpanExporter,
)

from berylspread.backend import CallReply, CallRequest
from berylspread.backend.traced import TracedBackendClient
from berylspread_daemon.json_logs import JsonFormatter
from features.daemon.steps.caller_steps import CALL_BODY
from features.support.entry_world import CENTRAL
from features.support.fleet_steps import token, world

TRACE_ID = '0af7651916cd43dd8448eb211c80319c'
PARENT_ID = 'b7ad6b7169203331'
SPANS = InMemorySpanExporter()


def collect_spans() -> None:
    """Collect the spans of this process and drop those collected before.

    The provider is set only once, as OpenTelemetry requires.
    """
    if not isinstance(trace.get_tracer_provider(), TracerProvider):
        provider = TracerProvider()
        provider.add_span_processor(SimpleSpanProcessor(SPANS))
        trace.set_tracer_provider(provider)
    SPANS.clear()


class RecordingBackendClient:
    """Records the calls that are sent to the backend servers."""

    def __init__(self, workers) -> None:
        self.workers = workers
        self.requests: list[CallRequest] = []

    async def sync(self, vm, request):
        return await self.workers.sync(vm, request)

    async def call(self, vm, request: CallRequest) -> CallReply:
        self.requests.append(request)
        return await self.workers.call(vm, request)


@then('the answer describes the path {path}')
def step_path(context: Context, path: str) -> None:
    assert path in context.answer.json()['paths']


@when('the node starts to leave')
def step_leave(context: Context) -> None:
    world(context).cluster.node(CENTRAL).is_leaving = True


@then("the answer has the caller's body and the header {header} of {value}")
def step_whole(context: Context, header: str, value: str) -> None:
    assert context.answer.content == CALL_BODY
    assert context.answer.headers['Content-Type'] == 'application/octet-stream'
    assert context.answer.headers[header] == value


@when("a call comes within the caller's trace")
def step_traced(context: Context) -> None:
    collect_spans()
    router = world(context).cluster.node(CENTRAL).call_router
    plain = router.workers
    context.recording_client = RecordingBackendClient(plain)
    router.workers = TracedBackendClient(context.recording_client)
    context.add_cleanup(setattr, router, 'workers', plain)
    answer = world(context).request(
        'POST',
        '/v1/queues/proof/call',
        content=CALL_BODY,
        key=token(context, 'proofs'),
        headers={'traceparent': f'00-{TRACE_ID}-{PARENT_ID}-01'},
    )
    assert answer.status_code == 200, answer.text


def spans_by_name() -> dict:
    """Return the spans of the caller's trace by name."""
    return {
        span.name: span
        for span in SPANS.get_finished_spans()
        if trace.format_trace_id(span.context.trace_id) == TRACE_ID
    }


@then('the entry node and the backend server share that trace')
def step_shared_trace(context: Context) -> None:
    spans = spans_by_name()
    entry, worker = spans['POST request'], spans['worker call']
    assert trace.format_span_id(entry.parent.span_id) == PARENT_ID
    assert worker.parent.span_id == entry.context.span_id


@then('the backend server receives the span of its call')
def step_given(context: Context) -> None:
    request = context.recording_client.requests[-1]
    assert len(context.recording_client.requests) == 1
    span = spans_by_name()['worker call']
    span_id = trace.format_span_id(span.context.span_id)
    assert request.traceparent == f'00-{TRACE_ID}-{span_id}-01'


@when('a line is logged within a span')
def step_log(context: Context) -> None:
    collect_spans()
    record = logging.LogRecord(
        'absl', logging.WARNING, 'place.py', 7, 'node %s', ('n1',), None
    )
    with trace.get_tracer('test').start_as_current_span('work') as span:
        context.trace_id = trace.format_trace_id(span.context.trace_id)
        context.line = JsonFormatter('entry-1').format(record)


@then("the line is JSON with the span's trace")
def step_line(context: Context) -> None:
    fields = json.loads(context.line)
    assert '\n' not in context.line
    assert fields['trace_id'] == context.trace_id
    assert (fields['level'], fields['message']) == ('warning', 'node n1')
