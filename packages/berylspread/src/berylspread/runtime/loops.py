"""Periodic tasks that survive a fault of one round."""

import asyncio
from collections.abc import Awaitable, Callable

from absl import logging


async def run_periodically(
    period_s: float, step: Callable[[], Awaitable[None]], name: str
) -> None:
    """Run ``step`` for ever, ``period_s`` seconds after each round's end.

    An exception of a round is logged, and the next round runs as usual.
    """
    while True:
        try:
            await step()
        except Exception:  # noqa: BLE001 - one bad round must not end the role
            logging.exception('round of %s failed', name)
        await asyncio.sleep(period_s)
