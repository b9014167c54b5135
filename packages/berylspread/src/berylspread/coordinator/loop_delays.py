"""Tells when the event loop was held up.

Load pattern: one callback, or a crowd of them, takes so long that renewals and
replies wait.  The loop was late by then, whatever the reason, also a VM that
was suspended.
"""

import asyncio
from typing import Final

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.kernel.clock import now

#: How often the loop's delay is measured.
CHECK_INTERVAL_S: Final = 0.25
#: Delays from this on are logged; other nodes wait a second for a leader.
LOGGED_DELAY_S: Final = 0.2


async def watch_loop(log: DecisionLog) -> None:
    """Measure the delays of timers, and log long ones, until cancelled."""
    while True:
        due_at = now() + CHECK_INTERVAL_S
        await asyncio.sleep(CHECK_INTERVAL_S)
        delay_s = max(now() - due_at, 0.0)
        log.metrics.observe('loop-delay', delay_s)
        if delay_s >= LOGGED_DELAY_S:
            log.write('loop-delayed', delay_s=round(delay_s, 3))
