"""Bounds on request bodies: how long they may take and how long they are."""

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
    """ASGI middleware: a body arrives whole in time, or is a typed failure."""

    __slots__ = ('app', 'timeout_s')

    def __init__(self, app: ASGIApp, timeout_s: float = BODY_TIMEOUT_S) -> None:
        """Take the next application and the longest time for a body."""
        self.app = app
        self.timeout_s = timeout_s

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Pass the request on with a guarded ``receive``."""
        if scope['type'] == ScopeType.HTTP:
            receive = TimedReceive(receive, self.timeout_s)
        await self.app(scope, receive, send)


@final
class TimedReceive:
    """Receives one request's messages until its body is whole."""

    __slots__ = ('deadline', 'is_complete', 'receive', 'timeout_s')

    def __init__(self, receive: Receive, timeout_s: float) -> None:
        """Start the clock."""
        self.receive = receive
        self.timeout_s = timeout_s
        self.deadline = now() + timeout_s
        self.is_complete = False

    async def __call__(self) -> Any:
        """Return the next message, or raise ``RefusedError``."""
        if self.is_complete:
            return await self.receive()
        try:
            async with asyncio.timeout(self.deadline - now()):
                message = await self.receive()
        except TimeoutError:
            raise RefusedError(
                BodyTimeout(
                    f'the body was not whole after {self.timeout_s:g} s',
                    timeout_s=self.timeout_s,
                )
            ) from None
        self._check_message(message)
        return message

    def _check_message(self, message: Any) -> None:
        if message['type'] == 'http.disconnect':
            raise RefusedError(
                BodyIncomplete('the connection closed within the body')
            )
        self.is_complete = not message.get('more_body', False)


async def read_body(
    request: Request[Any, Any, Any], limit: int
) -> bytes | Failure:
    """Return a body of at most ``limit`` bytes."""
    announced = request.content_length or 0
    if announced > limit:
        return _too_large(announced, limit)
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
