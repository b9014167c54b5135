"""The litestar application of one node."""

from functools import partial
from typing import Any, Final

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
from berylspread_daemon.http.bodies import BODY_TIMEOUT_S, BodyGuard
from berylspread_daemon.http.calls import CallController
from berylspread_daemon.http.health import HealthController
from berylspread_daemon.http.jobs import JobController, provide_caller
from berylspread_daemon.http.problems import EXCEPTION_HANDLERS

MAX_JSON_BYTES: Final = 4 * 1024 * 1024
API_VERSION: Final = '1'


def build_app(
    entry: EntryService,
    *,
    body_timeout_s: float = BODY_TIMEOUT_S,
    middleware: tuple[Any, ...] = (),
) -> Litestar:
    """Return the application; ``/schema`` describes its interface."""
    return Litestar(
        route_handlers=[
            CallController,
            JobController,
            ConfigController,
            AdminController,
            HealthController,
        ],
        dependencies={
            'entry': Provide(partial(_same, entry), sync_to_thread=False),
            'caller': Provide(provide_caller, sync_to_thread=False),
        },
        exception_handlers=EXCEPTION_HANDLERS,
        middleware=[
            *middleware,
            DefineMiddleware(BodyGuard, timeout_s=body_timeout_s),
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


def _same(entry: EntryService) -> EntryService:
    return entry
