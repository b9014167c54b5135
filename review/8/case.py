"""One scheduled job whose occurrences are all due stops the whole system.

An organisation hands in one job of 10,080 occurrences, one a minute for a week,
whose first time has passed.  Another organisation hands in two small jobs a
second, before and after.
"""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins-2'))

from lost import find_lost, hand_in_for  # noqa: E402
from platform_standins import TROUBLE, Fleet, main  # noqa: E402

BULK_KEY = 'key-of-bulk'
OCCURRENCES = 10_080
MINUTE_MS = 60_000
BEFORE_S, AFTER_S = 6, 25


async def hand_in_scheduled(fleet):
    """Hand in the scheduled job as a sound client does."""
    step = {'count': 1, 'cpu': 1000, 'memMb': 100, 'estimateMs': 500}
    job, body = fleet.new_job([step])
    body['firstMs'] = int(time.time() * 1000) - OCCURRENCES * MINUTE_MS
    body['intervalMs'] = MINUTE_MS
    body['repeatCount'] = OCCURRENCES
    print('the scheduled job:', await fleet.hand_in(job, body, 10, key=BULK_KEY))


async def case():
    async with Fleet(HERE) as fleet:
        fleet.tenants.append(
            {'name': 'bulk', 'apiKeys': [BULK_KEY], 'weight': 5}
        )
        fleet.publish()
        for index in range(6):
            await fleet.add_worker(
                f'i-{index}', {'cpu': 8000, 'memMb': 16000, 'gpu': 0}
            )
        if not await fleet.wait_ready():
            raise RuntimeError('the programs are not ready')
        accepted, callers = [], []
        await hand_in_for(fleet, BEFORE_S, accepted, callers)
        if TROUBLE:
            callers.append(asyncio.create_task(hand_in_scheduled(fleet)))
        await hand_in_for(fleet, AFTER_S, accepted, callers)
        lost = await find_lost(fleet, accepted, callers)
        if lost:
            return f'LOST: {len(lost)} accepted jobs'
        return ''


main(case, HERE)
