"""The HTTP client of the platform's log service."""

import asyncio
from http import HTTPStatus
from typing import Any, Final, final

import httpx
import msgspec

from berylspread.kernel.errors import Failure, LogUnavailable, WireFailure
from berylspread.log.interface import Page

TIMEOUT_S: Final = 5.0
CONNECT_TIMEOUT_S: Final = 2.0
#: One connection waits for new entries, the others carry appends.
MAX_CONNECTIONS: Final = 8
#: Seconds after which the client closes an idle connection; the service closes
#: it later.
KEEPALIVE_EXPIRY_S: Final = 20.0
APPEND_PATH: Final = '/v1/append'
ENTRIES_PATH: Final = '/v1/entries'
#: Errors that occur before any byte of the request has been sent.
UNSENT_ERRORS: Final = (
    httpx.ConnectError,
    httpx.ConnectTimeout,
    httpx.PoolTimeout,
)


@final
class AppendReply(msgspec.Struct, frozen=True):
    """The reply to an append."""

    offset: int


@final
class HttpLog:
    """Client of the log service.

    ``POST /v1/append`` takes an entry as its body and returns its offset as
    JSON; ``GET /v1/entries`` returns a ``Page`` as MessagePack.
    """

    __slots__ = (
        'append_decoder',
        'client',
        'page_decoder',
        'refusal_decoder',
        'timeout_s',
    )

    def __init__(self, base_url: str, *, timeout_s: float = TIMEOUT_S) -> None:
        """Create a client; connections are opened with the first request."""
        self.timeout_s = timeout_s
        self.client = httpx.AsyncClient(
            base_url=base_url,
            timeout=httpx.Timeout(timeout_s, connect=CONNECT_TIMEOUT_S),
            limits=httpx.Limits(
                max_connections=MAX_CONNECTIONS,
                max_keepalive_connections=MAX_CONNECTIONS,
                keepalive_expiry=KEEPALIVE_EXPIRY_S,
            ),
            trust_env=False,
        )
        self.append_decoder = msgspec.json.Decoder(AppendReply)
        self.page_decoder = msgspec.msgpack.Decoder(Page)
        self.refusal_decoder = msgspec.json.Decoder(WireFailure)

    async def append(self, blob: bytes) -> int | Failure:
        """Append one entry and return its offset, or ``LogUnavailable``.

        The field ``may_have_applied`` of the failure is ``False`` only if
        nothing was sent or the service reports it.
        """
        response = await self._send_request(
            self.client.post(APPEND_PATH, content=blob), self.timeout_s
        )
        if isinstance(response, LogUnavailable):
            return response
        if response.status_code != HTTPStatus.OK:
            return self._decode_refusal(response)
        try:
            return self.append_decoder.decode(response.content).offset
        except msgspec.DecodeError as error:
            return _unavailable_failure(f'malformed response: {error}')

    async def read(
        self, offset: int, *, limit: int, wait_s: float
    ) -> Page | Failure:
        """Return up to ``limit`` entries from ``offset`` on, or a failure."""
        timeout_s = self.timeout_s + wait_s
        query = {'offset': offset, 'limit': limit, 'wait_s': wait_s}
        response = await self._send_request(
            self.client.get(ENTRIES_PATH, params=query, timeout=timeout_s),
            timeout_s,
        )
        if isinstance(response, LogUnavailable):
            return response
        if response.status_code != HTTPStatus.OK:
            return self._decode_refusal(response)
        try:
            return self.page_decoder.decode(response.content)
        except msgspec.DecodeError as error:
            return _unavailable_failure(f'malformed response: {error}')

    async def close(self) -> None:
        """Close the connections."""
        await self.client.aclose()

    async def _send_request(
        self, request: Any, timeout_s: float
    ) -> httpx.Response | LogUnavailable:
        try:
            async with asyncio.timeout(timeout_s):
                return await request  # type: ignore[no-any-return]
        except UNSENT_ERRORS as error:
            return _unavailable_failure(
                _describe_error(error), may_have_applied=False
            )
        except (httpx.HTTPError, TimeoutError) as error:
            return _unavailable_failure(_describe_error(error))

    def _decode_refusal(self, response: httpx.Response) -> LogUnavailable:
        try:
            refusal = self.refusal_decoder.decode(response.content)
        except msgspec.DecodeError:
            return _unavailable_failure(
                'the log service refused the request',
                status=response.status_code,
            )
        may_have_applied = refusal.fields.get('may_have_applied', True)
        return _unavailable_failure(
            refusal.reason,
            status=response.status_code,
            may_have_applied=bool(may_have_applied),
        )


def _describe_error(error: Exception) -> str:
    return f'{type(error).__name__}: {error}'


def _unavailable_failure(
    reason: str, *, may_have_applied: bool = True, **fields: int
) -> LogUnavailable:
    return LogUnavailable(reason, may_have_applied=may_have_applied, **fields)
