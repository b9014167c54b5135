"""The W3C trace context of messages between nodes."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Final

from opentelemetry import trace
from opentelemetry.trace import Span, SpanKind
from opentelemetry.trace.propagation.tracecontext import (
    TraceContextTextMapPropagator,
)

TRACEPARENT: Final = 'traceparent'

_propagator: Final = TraceContextTextMapPropagator()
_tracer: Final = trace.get_tracer('berylspread.peers')


def current_traceparent() -> str:
    """Return the trace context of the current span, or an empty string."""
    carrier: dict[str, str] = {}
    _propagator.inject(carrier)
    return carrier.get(TRACEPARENT, '')


@contextmanager
def request_span(type_name: str, node: str) -> Iterator[Span]:
    """Open the span of one request at its sender."""
    with _tracer.start_as_current_span(
        f'ask {type_name}',
        kind=SpanKind.CLIENT,
        attributes={'peer.node': node},
    ) as span:
        yield span


@contextmanager
def serve_span(type_name: str, node: str, traceparent: str) -> Iterator[Span]:
    """Open the span of one message at its receiver.

    It is a child of the sender's span.
    """
    context = None
    if traceparent:
        context = _propagator.extract({TRACEPARENT: traceparent})
    with _tracer.start_as_current_span(
        f'serve {type_name}',
        context=context,
        kind=SpanKind.SERVER,
        attributes={'peer.node': node},
    ) as span:
        yield span
