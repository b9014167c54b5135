"""An event loop whose clock jumps to the next timer when nothing is ready.

A run takes no wall time for its waits, and the same program takes the same
course each time as long as it does no I/O outside of the process.
"""

import asyncio
import collections
import contextvars
import math
import selectors
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeVar, TypeVarTuple, final

__all__ = [
    'VirtualTimeLoop',
    'VirtualTimeStalledError',
    'process_context',
    'run_virtual',
]

_Result = TypeVar('_Result')
_Args = TypeVarTuple('_Args')

#: The simulated process to which the running callback belongs, if any.
_process: Final = contextvars.ContextVar('process', default='')

#: Virtual time at which every loop starts, in seconds.
START_S: Final = 0.0


def process_context(name: str) -> contextvars.Context:
    """Return a context of a simulated process; of none if the name is empty."""
    context = contextvars.copy_context()
    context.run(_process.set, name)
    return context


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


@final
class _Call:
    """A callback of a simulated process, and its handle."""

    __slots__ = ('args', 'callback', 'context', 'handle', 'process')

    def __init__(
        self,
        callback: Callable[..., object],
        args: tuple[Any, ...],
        context: contextvars.Context,
    ) -> None:
        self.callback = callback
        self.args = args
        self.context = context
        self.process = context.get(_process, '')
        self.handle: asyncio.Handle | None = None

    def run(self) -> None:
        """Run the callback in its context, unless it was cancelled."""
        if self.handle is None or not self.handle.cancelled():
            self.context.run(self.callback, *self.args)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop that runs on the clock of its selector.

    While a simulated process is paused, the callbacks of its contexts are held
    back; they run in order when it is resumed.
    """

    def __init__(self) -> None:
        """Create the loop with a clock of its own."""
        self.virtual_selector = VirtualSelector()
        self.paused_processes: set[str] = set()
        self._held: collections.defaultdict[str, collections.deque[_Call]] = (
            collections.defaultdict(collections.deque)
        )
        super().__init__(self.virtual_selector)

    def pause(self, process: str) -> None:
        """Run no callback of a process until it is resumed."""
        self.paused_processes.add(process)

    def resume(self, process: str) -> None:
        """Run what was held back of a process, in order."""
        self.paused_processes.discard(process)
        self.call_soon(self._release, process, context=process_context(''))

    def call_soon(
        self,
        callback: Callable[[*_Args], object],  # noqa: WPS356
        *args: *_Args,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Schedule a callback; see ``asyncio.loop.call_soon``."""
        context = context or contextvars.copy_context()
        call = _Call(callback, args, context)
        if not call.process:
            return super().call_soon(callback, *args, context=context)
        call.handle = super().call_soon(
            self._run_or_hold, call, context=process_context('')
        )
        return call.handle

    def call_at(
        self,
        when: float,
        callback: Callable[[*_Args], object],  # noqa: WPS356
        *args: *_Args,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Schedule a callback; see ``asyncio.loop.call_at``."""
        context = context or contextvars.copy_context()
        call = _Call(callback, args, context)
        if not call.process:
            return super().call_at(when, callback, *args, context=context)
        timer = super().call_at(
            when, self._run_or_hold, call, context=process_context('')
        )
        call.handle = timer
        return timer

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

    def _run_or_hold(self, call: _Call) -> None:
        held = self._held[call.process]
        if held or call.process in self.paused_processes:
            held.append(call)
        else:
            call.run()

    def _release(self, process: str) -> None:
        held = self._held[process]
        while held and process not in self.paused_processes:
            held.popleft().run()


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
