"""A bounded pool of keep-alive connections to one backend server."""

import asyncio
from collections.abc import Mapping
from typing import Any, Final, final

import httpx
import msgspec

from berylspread.kernel.errors import (
    EXIT_UNKNOWN_OUTCOME,
    Failure,
    RunState,
    WorkerUnreachable,
    failure,
)

CONNECT_TIMEOUT_S: Final = 2.0
#: Idle connections are closed before the backend server closes them.
KEEPALIVE_S: Final = 20.0
MIB: Final = 1024 * 1024
MAX_RESPONSE_MIB: Final = 32
LENGTH_HEADERS: Final = ('content-length', 'transfer-encoding')


@failure
class ResponseMismatch(Failure):
    """A response is incomplete or belongs to another request."""

    name = 'answer-mismatch'
    http_status = 502
    exit_code = EXIT_UNKNOWN_OUTCOME
    run_state = RunState.unknown


@final
class HttpResponse(msgspec.Struct, frozen=True):
    """A complete HTTP response."""

    status: int
    headers: httpx.Headers
    body: bytes


@final
class SendTracer:
    """Trace hook of the HTTP library that records when sending begins."""

    __slots__ = ('is_sent',)

    def __init__(self) -> None:
        self.is_sent = False

    async def __call__(self, event: str, details: Mapping[str, Any]) -> None:
        """Handle a trace event of the library."""
        if event == 'http11.send_request_headers.started':
            self.is_sent = True


@final
class ConnectionPool:
    """Keeps at most ``connections`` connections to one address."""

    __slots__ = ('address', 'in_flight', 'transport')

    def __init__(self, address: str, connections: int) -> None:
        """Connect on demand to ``address``, an ``IP:port``."""
        self.address = address
        self.in_flight = 0
        self.transport = httpx.AsyncHTTPTransport(
            verify=False,
            trust_env=False,
            limits=httpx.Limits(
                max_connections=connections,
                max_keepalive_connections=connections,
                keepalive_expiry=KEEPALIVE_S,
            ),
        )

    async def post(
        self,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
        *,
        timeout_s: float,
    ) -> HttpResponse | WorkerUnreachable | ResponseMismatch:
        """Send a POST request and return the complete response or a failure."""
        tracer = SendTracer()
        self.in_flight += 1
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(
                    httpx.Request(
                        'POST',
                        f'http://{self.address}{path}',
                        headers=headers,
                        content=body,
                        extensions=_extensions(tracer, timeout_s),
                    )
                )
        except (httpx.HTTPError, httpx.InvalidURL, TimeoutError) as error:
            return WorkerUnreachable(
                f'{type(error).__name__}: {error}', sent=tracer.is_sent
            )
        finally:
            self.in_flight -= 1

    async def close(self) -> None:
        """Close the connections."""
        await self.transport.aclose()

    async def _exchange(
        self, request: httpx.Request
    ) -> HttpResponse | ResponseMismatch:
        response = await self.transport.handle_async_request(request)
        try:
            return await _read_response(response)
        finally:
            await response.aclose()


def _extensions(tracer: SendTracer, timeout_s: float) -> dict[str, Any]:
    return {
        'trace': tracer,
        'timeout': {
            'connect': min(CONNECT_TIMEOUT_S, timeout_s),
            'pool': timeout_s,
            'read': timeout_s,
            'write': timeout_s,
        },
    }


async def _read_response(
    response: httpx.Response,
) -> HttpResponse | ResponseMismatch:
    if not any(name in response.headers for name in LENGTH_HEADERS):
        # Without a length a truncated response cannot be detected.
        return ResponseMismatch('response without a length')
    body = bytearray()
    async for chunk in response.aiter_raw():
        body += chunk
        if len(body) > MAX_RESPONSE_MIB * MIB:
            return ResponseMismatch(
                'response too large', limit_mib=MAX_RESPONSE_MIB
            )
    return HttpResponse(response.status_code, response.headers, bytes(body))
