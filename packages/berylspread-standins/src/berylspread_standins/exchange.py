"""Exchanges whose effects go on after the client has stopped waiting."""

import asyncio
import contextvars
import weakref
from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from berylspread.kernel.clock import now
from berylspread_standins.virtual_time import process_context

ResultT = TypeVar('ResultT')

#: Exchanges under way by loop; the loop itself keeps only weak references.
_pending: Final = weakref.WeakKeyDictionary[
    asyncio.AbstractEventLoop, set[asyncio.Future[Any]]
]()


def detach(
    work: Coroutine[Any, Any, ResultT],
    context: contextvars.Context | None = None,
) -> asyncio.Task[ResultT]:
    """Run work as a task that nobody has to wait for."""
    loop = asyncio.get_running_loop()
    tasks = _pending.setdefault(loop, set())
    task = loop.create_task(work, context=context)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


async def call_outside(work: Coroutine[Any, Any, ResultT]) -> ResultT:
    """Return the result of work that is done outside of any process.

    The work goes on while the calling process is paused, and after the caller
    is cancelled.
    """
    return await asyncio.shield(detach(work, process_context('')))


async def exchange(
    work: Coroutine[Any, Any, ResultT], *, timeout_s: float
) -> ResultT | None:
    """Return the work's result, or ``None`` after ``timeout_s`` seconds.

    Work that returns ``None`` has lost its answer; the client waits for it
    until the timeout.  The work itself goes on when the client gives up or is
    cancelled, as a server does with a request that has left the client.
    """
    deadline = now() + timeout_s
    task = detach(work)
    await asyncio.wait((task,), timeout=timeout_s)
    answer = task.result() if task.done() else None
    if answer is None:
        await asyncio.sleep(deadline - now())
    return answer
