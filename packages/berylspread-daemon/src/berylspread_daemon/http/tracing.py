"""A span for each request; it continues the caller's W3C trace context."""

from typing import Any, Final, final

from litestar.enums import ScopeType
from litestar.types import ASGIApp, Receive, Scope, Send
from opentelemetry import metrics, trace
from opentelemetry.propagate import extract
from opentelemetry.trace import Span, SpanKind, Status, StatusCode

from berylspread.kernel import now

UNTRACED_PATHS: Final = frozenset(('/healthz', '/readyz', '/metrics'))
MIN_SERVER_ERROR: Final = 500

_tracer: Final = trace.get_tracer('berylspread.http')
_meter: Final = metrics.get_meter('berylspread.http')
_durations: Final = _meter.create_histogram(
    'berylspread_http_request_duration',
    unit='s',
    description='from the first byte of a request to the end of its answer',
)


@final
class RequestTracing:
    """ASGI middleware that records a span and the duration of each request."""

    __slots__ = ('app',)

    def __init__(self, app: ASGIApp) -> None:
        self.app = app

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Run the request in a span, except for health and metrics paths."""
        if scope['type'] != ScopeType.HTTP or scope['path'] in UNTRACED_PATHS:
            await self.app(scope, receive, send)
            return
        started = now()
        with _tracer.start_as_current_span(
            f'{scope["method"]} request',
            context=extract(_decode_headers(scope)),
            kind=SpanKind.SERVER,
            attributes={'url.path': scope['path']},
        ) as span:
            recorder = _StatusRecorder(send, span)
            await self.app(scope, receive, recorder)
        _durations.record(
            now() - started,
            {'method': scope['method'], 'status': recorder.status},
        )


@final
class _StatusRecorder:
    """Records the status of a response on its span."""

    __slots__ = ('send', 'span', 'status')

    def __init__(self, send: Send, span: Span) -> None:
        self.send = send
        self.span = span
        self.status = 0

    async def __call__(self, message: Any) -> None:
        if message['type'] == 'http.response.start':
            self.status = message['status']
            self.span.set_attribute('http.response.status_code', self.status)
            if self.status >= MIN_SERVER_ERROR:
                self.span.set_status(Status(StatusCode.ERROR))
        await self.send(message)


def _decode_headers(scope: Any) -> dict[str, str]:
    return {
        name.decode('latin-1').lower(): text.decode('latin-1')
        for name, text in scope['headers']
    }
