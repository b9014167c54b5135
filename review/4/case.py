"""A worker drains while the poll of the workers' entries is silent."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'standins'))

from deployment import (  # noqa: E402
    BOUNDS, Deployment, has_trouble, route, run_case, service,
)

WORKERS = 12
RATE_S = 0.25
LENGTH_S = 12.0
DRAIN_AFTER_S = 0.2


async def send_jobs(deployment: Deployment) -> None:
    """Hand in a small job again and again."""
    number = 0
    while True:
        number += 1
        body = {'spec': 'batch', 'steps': [
            {'count': 12, 'cpu': 1000, 'memMb': 64, 'estimateMs': 300}]}
        asyncio.get_running_loop().create_task(deployment.request(
            deployment.nodes[number % 3], 'POST', f'/batch/{number:016x}', body
        ))
        await asyncio.sleep(RATE_S)


async def play(deployment: Deployment) -> str:
    """Silence the poll, let a worker drain, and see what it is told."""
    await deployment.add_workers('desk-a', WORKERS, lambda _: 0.3)
    deployment.configure(
        services=[service('desk-a')], routes=[route('batch', '/batch/', 'desk-a')]
    )
    await deployment.start_nodes(3)
    sending = asyncio.create_task(send_jobs(deployment))
    await asyncio.sleep(4)
    silent_at = deployment.now()
    if has_trouble():
        count = deployment.store.server.silence_open_connections('keyed.servers')
        deployment.record('silenced', connections=count)
    await asyncio.sleep(DRAIN_AFTER_S)
    worker = deployment.workers[0]
    worker.state = 'draining'
    worker.announce()
    drained_at = deployment.now()
    deployment.record('draining', worker=worker.worker_id)
    await asyncio.sleep(LENGTH_S)
    sending.cancel()
    # The silence counts as a reset of the connections, so that the machines are
    # in touch again a while after it.
    from_s = max(
        drained_at + BOUNDS['drainMs'] / 1000,
        silent_at + BOUNDS['contactMs'] / 1000 if has_trouble() else 0,
    )
    late = [
        each for each in deployment.events
        if each['event'] == 'started'
        and each['worker'] == worker.worker_id
        and each['at'] > from_s
    ]
    started = sum(each['event'] == 'started' for each in deployment.events)
    if started < WORKERS:
        raise RuntimeError('no work was started')
    if late:
        last_s = late[-1]['at'] - drained_at
        return (
            f'DRAIN: {len(late)} tasks were started on a worker later than '
            f'{BOUNDS["drainMs"]} ms after its draining was acknowledged, the '
            f'last {last_s:.2f} s after it'
        )
    return ''


if __name__ == '__main__':
    run_case(CASE, play)
