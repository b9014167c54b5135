"""The litestar application of one node."""

from collections.abc import Callable
from typing import Final

from litestar import Litestar
from litestar.datastructures import State
from litestar.di import Provide
from litestar.middleware import DefineMiddleware
from litestar.openapi import OpenAPIConfig
from litestar.openapi.plugins import (
    JsonRenderPlugin,
    SwaggerRenderPlugin,
    YamlRenderPlugin,
)

from berylspread.entry.service import EntryService
from berylspread_daemon.http.admin import AdminController, ConfigController
from berylspread_daemon.http.admission import MAX_IN_FLIGHT, AdmissionMiddleware
from berylspread_daemon.http.bodies import BODY_TIMEOUT_S, BodyTimeoutMiddleware
from berylspread_daemon.http.calls import CallController
from berylspread_daemon.http.health import HealthController
from berylspread_daemon.http.jobs import (
    JobController,
    provide_caller,
    provide_reader,
)
from berylspread_daemon.http.problems import EXCEPTION_HANDLERS
from berylspread_daemon.http.tracing import RequestTracing

MAX_JSON_BYTES: Final = 4 * 1024 * 1024
API_VERSION: Final = '1'


def build_app(
    entry: EntryService,
    *,
    body_timeout_s: float = BODY_TIMEOUT_S,
    max_in_flight: int = MAX_IN_FLIGHT,
    is_leaving: Callable[[], bool] = bool,
) -> Litestar:
    """Return the application; ``/schema`` serves its OpenAPI description."""
    return Litestar(
        route_handlers=[
            CallController,
            JobController,
            ConfigController,
            AdminController,
            HealthController,
        ],
        dependencies={
            'entry': Provide(provide_entry, sync_to_thread=False),
            'caller': Provide(provide_caller, sync_to_thread=False),
            'reader': Provide(provide_reader, sync_to_thread=False),
        },
        exception_handlers=EXCEPTION_HANDLERS,
        middleware=[
            RequestTracing,
            DefineMiddleware(
                AdmissionMiddleware,
                is_leaving=is_leaving,
                max_in_flight=max_in_flight,
            ),
            DefineMiddleware(BodyTimeoutMiddleware, timeout_s=body_timeout_s),
        ],
        openapi_config=OpenAPIConfig(
            title='berylspread',
            version=API_VERSION,
            path='/schema',
            render_plugins=[
                SwaggerRenderPlugin(path='/'),
                JsonRenderPlugin(),
                YamlRenderPlugin(),
            ],
        ),
        request_max_body_size=MAX_JSON_BYTES,
        state=State({'entry': entry}),
        logging_config=None,
    )


def provide_entry(state: State) -> EntryService:
    """Return the entry service from the application's state."""
    entry: EntryService = state['entry']
    return entry
