"""Middleware that limits requests in flight and closes connections."""

from collections.abc import Callable
from typing import Any, Final, final

from litestar.enums import ScopeType
from litestar.types import ASGIApp, Receive, Scope, Send

from berylspread.kernel.errors import Overloaded
from berylspread_daemon.http.problems import RefusedError

MAX_IN_FLIGHT: Final = 1_000
CONNECTION_CLOSE: Final = (b'connection', b'close')


@final
class AdmissionMiddleware:
    """ASGI middleware that limits the number of requests in flight.

    While ``is_leaving`` returns true, each response closes its connection, so
    that no client sends a request on a connection that is about to close.
    """

    __slots__ = ('app', 'in_flight', 'is_leaving', 'max_in_flight')

    def __init__(
        self,
        app: ASGIApp,
        is_leaving: Callable[[], bool],
        max_in_flight: int = MAX_IN_FLIGHT,
    ) -> None:
        self.app = app
        self.is_leaving = is_leaving
        self.max_in_flight = max_in_flight
        self.in_flight = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Pass a request on; raise ``RefusedError`` at the limit."""
        if scope['type'] != ScopeType.HTTP:
            await self.app(scope, receive, send)
            return
        if self.in_flight >= self.max_in_flight:
            raise RefusedError(
                Overloaded(
                    'too many requests are in flight at this node',
                    limit=self.max_in_flight,
                )
            )
        self.in_flight += 1
        try:
            await self.app(scope, receive, self._add_close_header(send))
        finally:
            self.in_flight -= 1

    def _add_close_header(self, send: Send) -> Send:
        async def send_with_close(message: Any) -> None:
            if message['type'] == 'http.response.start' and self.is_leaving():
                message['headers'] = [*message['headers'], CONNECTION_CLOSE]
            await send(message)

        return send_with_close
