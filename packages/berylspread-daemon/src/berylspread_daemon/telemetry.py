"""Traces, metrics and logs of the daemon.

Spans are written to the log as JSON lines, or sent by OTLP if its exporter is
installed. Metrics are exposed in the text format of Prometheus.
"""

import importlib
import json
import logging as python_logging
import sys
from collections.abc import Sequence
from typing import Any, Final, TextIO, final

from absl import logging
from opentelemetry import metrics, trace
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import (
    BatchSpanProcessor,
    SpanExporter,
    SpanExportResult,
)
from opentelemetry.sdk.trace.sampling import ParentBased, TraceIdRatioBased

from berylspread.kernel.errors import Failure, InvalidInput
from berylspread_daemon.json_logs import JsonFormatter
from berylspread_daemon.settings import Settings

NS_PER_S: Final = 1e9
VERBOSE_LIBRARIES: Final = ('httpx', 'httpcore', 'uvicorn', 'asyncio')
OTLP_MODULE: Final = 'opentelemetry.exporter.otlp.proto.grpc.trace_exporter'


@final
class LogSpanExporter(SpanExporter):
    """Writes each finished span to the log as one JSON line."""

    def __init__(self, stream: TextIO) -> None:
        self.stream = stream

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write the spans and flush the stream."""
        lines = (json.dumps(_span_fields(span)) for span in spans)
        self.stream.write(''.join(f'{line}\n' for line in lines))
        self.stream.flush()
        return SpanExportResult.SUCCESS


def start_telemetry(
    settings: Settings, stream: TextIO = sys.stderr
) -> Failure | None:
    """Set up logs, metrics and traces; return a failure if that is impossible.

    The failure names the option for traces if no OTLP exporter is installed.
    """
    configure_logging(settings, stream)
    resource = Resource.create(
        {
            'service.name': 'berylspread',
            'service.instance.id': settings.node.name,
        }
    )
    metrics.set_meter_provider(
        MeterProvider([PrometheusMetricReader()], resource=resource)
    )
    exporter = _create_exporter(settings.telemetry.traces, stream)
    if exporter is None or isinstance(exporter, Failure):
        return exporter
    provider = TracerProvider(
        sampler=ParentBased(TraceIdRatioBased(settings.telemetry.sampled)),
        resource=resource,
    )
    provider.add_span_processor(BatchSpanProcessor(exporter))
    trace.set_tracer_provider(provider)
    return None


def configure_logging(settings: Settings, stream: TextIO) -> None:
    """Write the log records of this program and its libraries as JSON lines."""
    handler = python_logging.StreamHandler(stream)
    handler.setFormatter(JsonFormatter(settings.node.name))
    # absl's handler is replaced: it writes plain text and needs absl's flags
    # to be parsed.
    python_logging.root.handlers = [handler]
    logging.set_verbosity(settings.telemetry.verbosity)
    for name in VERBOSE_LIBRARIES:
        python_logging.getLogger(name).setLevel(python_logging.WARNING)


def stop_telemetry() -> None:
    """Flush buffered spans and metrics and shut down the providers."""
    for provider in (trace.get_tracer_provider(), metrics.get_meter_provider()):
        shutdown = getattr(provider, 'shutdown', None)
        if shutdown is not None:
            shutdown()


def _create_exporter(
    kind: str, stream: TextIO
) -> SpanExporter | Failure | None:
    if kind == 'off':
        return None
    if kind == 'log':
        return LogSpanExporter(stream)
    try:
        module = importlib.import_module(OTLP_MODULE)
    except ImportError:
        return InvalidInput(
            '[telemetry] traces: the OTLP exporter is not installed',
            section='telemetry',
            option='traces',
            allowed='off, log',
        )
    exporter: SpanExporter = module.OTLPSpanExporter()
    return exporter


def _span_fields(span: ReadableSpan) -> dict[str, Any]:
    context = span.context
    parent = span.parent
    started = span.start_time or 0
    ended = span.end_time or started
    return {
        'kind': 'span',
        'name': span.name,
        'trace_id': trace.format_trace_id(context.trace_id),
        'span_id': trace.format_span_id(context.span_id),
        'parent_id': trace.format_span_id(parent.span_id) if parent else '',
        'started_at': started / NS_PER_S,
        'duration_s': (ended - started) / NS_PER_S,
        'status': span.status.status_code.name.lower(),
        'attributes': dict(span.attributes or {}),
    }
