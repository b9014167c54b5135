"""Limits on the time and the size of request bodies."""

import asyncio
from typing import Any, Final, final

from litestar import Request
from litestar.enums import ScopeType
from litestar.types import ASGIApp, Receive, Scope, Send

from berylspread.entry.failures import (
    BodyIncomplete,
    BodyTimeout,
    BodyTooLarge,
)
from berylspread.kernel import Failure, now
from berylspread_daemon.http.problems import RefusedError

BODY_TIMEOUT_S: Final = 5.0


@final
class BodyTimeoutMiddleware:
    """ASGI middleware that refuses a late or incomplete request body.

    The body must be complete within ``timeout_s`` seconds.
    """

    __slots__ = ('app', 'timeout_s')

    def __init__(self, app: ASGIApp, timeout_s: float = BODY_TIMEOUT_S) -> None:
        self.app = app
        self.timeout_s = timeout_s

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Pass the request on with a ``receive`` that has a time limit."""
        if scope['type'] == ScopeType.HTTP:
            receive = TimedReceive(receive, self.timeout_s)
        await self.app(scope, receive, send)


@final
class TimedReceive:
    """Receives the messages of one request within a time limit.

    The limit no longer applies once the body is complete.
    """

    __slots__ = ('deadline', 'is_complete', 'receive', 'timeout_s')

    def __init__(self, receive: Receive, timeout_s: float) -> None:
        """Start the time limit of ``timeout_s`` seconds."""
        self.receive = receive
        self.timeout_s = timeout_s
        self.deadline = now() + timeout_s
        self.is_complete = False

    async def __call__(self) -> Any:
        """Return the next message.

        Raise ``RefusedError`` if the body is late or the client disconnects
        before its end.
        """
        if self.is_complete:
            return await self.receive()
        try:
            async with asyncio.timeout(self.deadline - now()):
                message = await self.receive()
        except TimeoutError:
            raise RefusedError(
                BodyTimeout(
                    f'the body was not complete after {self.timeout_s:g} s',
                    timeout_s=self.timeout_s,
                )
            ) from None
        self._check_message(message)
        return message

    def _check_message(self, message: Any) -> None:
        if message['type'] == 'http.disconnect':
            raise RefusedError(
                BodyIncomplete(
                    'the connection closed before the end of the body'
                )
            )
        self.is_complete = not message.get('more_body', False)


async def read_body(
    request: Request[Any, Any, Any], limit: int
) -> bytes | Failure:
    """Return the body, or a failure if it has more than ``limit`` bytes.

    A body whose Content-Length exceeds the limit is refused unread.
    """
    content_length = request.content_length or 0
    if content_length > limit:
        return _too_large(content_length, limit)
    chunks: list[bytes] = []
    size = 0
    async for chunk in request.stream():
        size += len(chunk)
        if size > limit:
            return _too_large(size, limit)
        chunks.append(chunk)
    return b''.join(chunks)


def _too_large(size: int, limit: int) -> BodyTooLarge:
    return BodyTooLarge(
        f'the body has {size} bytes or more, the limit is {limit}',
        size=size,
        limit=limit,
    )
