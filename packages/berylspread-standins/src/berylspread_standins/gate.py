"""A gate that holds back what a paused process or VM sends and receives."""

import asyncio
from typing import final


@final
class Gate:
    """Open while its process runs; closed while it is paused."""

    __slots__ = ('opened',)

    def __init__(self) -> None:
        """Start open."""
        self.opened = asyncio.Event()
        self.opened.set()

    @property
    def is_paused(self) -> bool:
        """Return whether the process is paused."""
        return not self.opened.is_set()

    def pause(self) -> None:
        """Hold back everything from now on."""
        self.opened.clear()

    def resume(self) -> None:
        """Let through what was held back, in order."""
        self.opened.set()

    async def wait(self) -> None:
        """Return once the process runs."""
        while self.is_paused:
            await self.opened.wait()
