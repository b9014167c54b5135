"""Periodic tasks that continue after an exception."""

import asyncio
from collections.abc import Awaitable, Callable

from absl import logging


async def run_periodically(
    period_s: float, step: Callable[[], Awaitable[None]], name: str
) -> None:
    """Run ``step`` forever; pause for ``period_s`` seconds after each run.

    An exception in a run is logged, and the next run follows as usual.
    """
    while True:
        try:
            await step()
        except Exception:  # noqa: BLE001 - one failed run must not end the task
            logging.exception('a run of the periodic task %s failed', name)
        await asyncio.sleep(period_s)
