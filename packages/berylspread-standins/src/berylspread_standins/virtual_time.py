"""An event loop whose clock jumps to the next timer when nothing is ready.

A run takes no wall time for its waits, and the same program takes the same
course each time as long as it does no I/O outside of the process.
"""

import asyncio
import math
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar, TypeVarTuple

__all__ = ['VirtualTimeLoop', 'VirtualTimeStalledError', 'run_virtual']

_Result = TypeVar('_Result')
_Args = TypeVarTuple('_Args')

#: Virtual time at which every loop starts, in seconds.
START_S: Final = 0.0


class VirtualTimeStalledError(RuntimeError):
    """Nothing is ready and no timer is set, so the program waits forever."""


class VirtualSelector(selectors.DefaultSelector):
    """A selector that advances a clock in place of waiting."""

    def __init__(self) -> None:
        """Start the clock."""
        super().__init__()
        self.now_s = START_S

    def select(
        self,
        timeout: float | None = None,
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready; if nothing is, advance by the timeout."""
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise VirtualTimeStalledError('no task is ready and no timer set')
        if timeout > 0:
            self.advance(timeout)
        return ready

    def advance(self, seconds: float) -> None:
        """Advance the clock, at least by its smallest step."""
        smallest = math.nextafter(self.now_s, math.inf)
        self.now_s = max(self.now_s + seconds, smallest)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on the clock of its selector."""

    def __init__(self) -> None:
        """Create the loop with a clock of its own."""
        self.virtual_selector = VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self.virtual_selector.now_s

    def run_in_executor(
        self,
        executor: object,
        func: Callable[[*_Args], _Result],  # noqa: WPS356
        *args: *_Args,
    ) -> asyncio.Future[_Result]:
        """Call the function at once: a thread would run in wall time."""
        future: asyncio.Future[_Result] = self.create_future()
        try:
            future.set_result(func(*args))
        except Exception as error:  # noqa: BLE001
            future.set_exception(error)
        return future


async def _run_within(
    coroutine: Coroutine[Any, Any, _Result],
    limit_s: float | None,
) -> _Result:
    async with asyncio.timeout(limit_s):
        return await coroutine


def run_virtual(
    coroutine: Coroutine[Any, Any, _Result],
    *,
    limit_s: float | None = None,
) -> _Result:
    """Run a coroutine on a new loop in virtual time and return its result.

    Args:
        coroutine: What to run.
        limit_s: Virtual seconds after which ``TimeoutError`` is raised.

    Raises:
        VirtualTimeStalledError: The coroutine waits for nothing.

    """
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(_run_within(coroutine, limit_s))
