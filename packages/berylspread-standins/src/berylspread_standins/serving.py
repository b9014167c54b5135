"""Stand-ins over real sockets: uvicorn servers in the running loop."""

import asyncio
from collections.abc import Sequence
from typing import Any, Final, final

import uvicorn

from berylspread.serving import EmbeddedServer, listen

LOOPBACK: Final = '127.0.0.1'
#: Idle connections stay open for longer than any client keeps them.
KEEPALIVE_S: Final = 75
STOP_TIMEOUT_S: Final = 1


@final
class HttpServer:
    """One app on one or more loopback ports."""

    __slots__ = ('ports', 'server', 'sockets', 'task')

    def __init__(self, app: Any, ports: Sequence[int] = (0,)) -> None:
        """Bind the ports at once; 0 takes any free one, told by ``ports``.

        ``app`` is an ASGI application.
        """
        config = uvicorn.Config(
            app,
            lifespan='off',
            ws='none',
            log_config=None,
            # Long polls end by cancellation at a stop, which is no error.
            log_level='critical',
            access_log=False,
            timeout_keep_alive=KEEPALIVE_S,
            timeout_graceful_shutdown=STOP_TIMEOUT_S,
        )
        self.server = EmbeddedServer(config)
        self.sockets = [listen(f'{LOOPBACK}:{port}') for port in ports]
        self.ports = [bound.getsockname()[1] for bound in self.sockets]
        self.task: asyncio.Task[None] | None = None

    @property
    def addresses(self) -> list[str]:
        """Return ``IP:port`` of each port."""
        return [f'{LOOPBACK}:{port}' for port in self.ports]

    async def start(self) -> None:
        """Serve, and return once connections are accepted."""
        self.task = asyncio.create_task(self.server.serve(self.sockets))
        await self.server.accepting.wait()

    async def stop(self) -> None:
        """Stop after the requests in flight, or after a second."""
        self.server.should_exit = True
        if self.task is not None:
            await self.task
        for bound in self.sockets:
            bound.close()
