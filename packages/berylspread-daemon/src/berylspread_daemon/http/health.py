"""Health, readiness and metrics over HTTP; these paths need no key."""

import msgspec
from litestar import Controller, Response, get
from litestar.status_codes import HTTP_200_OK, HTTP_503_SERVICE_UNAVAILABLE
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from berylspread_daemon.http.params import Entry


class HealthView(msgspec.Struct, frozen=True):
    """The state of the node: its name, readiness and offset in the log."""

    node: str
    ready: bool
    log_offset: int


class HealthController(Controller):
    """Paths for the load balancer and for Prometheus."""

    path = '/'
    tags = ('health',)

    @get('/healthz', summary='Tell that the process answers')
    async def health(self, entry: Entry) -> HealthView:
        """Return 200 as long as the event loop runs."""
        return _health_view(entry)

    @get('/readyz', summary='Tell whether callers may be sent here')
    async def ready(self, entry: Entry) -> Response[HealthView]:
        """Return 200, or 503 before the node is ready and while it drains."""
        return Response(
            _health_view(entry),
            status_code=HTTP_200_OK
            if entry.is_ready
            else HTTP_503_SERVICE_UNAVAILABLE,
        )

    @get('/metrics', summary='Return the metrics', media_type='text/plain')
    async def metrics(self) -> Response[bytes]:
        """Return the metrics in the text format of Prometheus."""
        return Response(generate_latest(), media_type=CONTENT_TYPE_LATEST)


def _health_view(entry: Entry) -> HealthView:
    return HealthView(
        entry.context.ref.node, entry.is_ready, entry.context.state.offset
    )
