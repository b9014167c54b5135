"""Workers that run a task are cut off, one after the other, and run on."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'standins'))

from deployment import (  # noqa: E402
    Deployment, has_trouble, route, run_case, service,
)

JOB = 'dddddddddddddddd'
TASK = f'{JOB}.0.0.0'
#: One of 12 is a share of 0.083; the site file has 0.17.
WORKERS = 12
CUT_S = 5.5
CUTS = 3
#: How soon after a start the worker is cut off.
AFTER_START_S = 0.5
WORK_S = 8.0
END_S = 40.0


async def cut_off(deployment: Deployment) -> None:
    """Cut off the worker of each of the first runs for a while."""
    for count in range(1, CUTS + 1):
        while len(deployment.started(JOB)) < count:
            await asyncio.sleep(0.02)
        name = deployment.started(JOB)[-1]['worker']
        worker = next(
            each for each in deployment.workers if each.worker_id == name
        )
        await asyncio.sleep(AFTER_START_S)
        deployment.record('cut', worker=name)
        worker.is_cut = True
        await asyncio.sleep(CUT_S)
        worker.is_cut = False
        deployment.record('cut-ends', worker=name)


async def play(deployment: Deployment) -> str:
    """Hand a job in, cut its workers off, and ask for its state."""
    await deployment.add_workers('desk-a', WORKERS, lambda _: WORK_S)
    deployment.configure(
        services=[service('desk-a')], routes=[route('batch', '/batch/', 'desk-a')]
    )
    await deployment.start_nodes(3)
    body = {'spec': 'batch', 'steps': [
        {'count': 1, 'cpu': 1000, 'memMb': 64, 'estimateMs': 8000}]}
    if not await deployment.hand_in(f'/batch/{JOB}', body):
        raise RuntimeError('the job was not accepted')
    cutting = asyncio.create_task(cut_off(deployment)) if has_trouble() else None
    state = ''
    until = deployment.now() + END_S
    while deployment.now() < until and state not in {'completed', 'failed'}:
        await asyncio.sleep(0.5)
        _, state = await deployment.state_of(f'/batch/{JOB}')
    if cutting is not None:
        cutting.cancel()
    ends = [
        each['how'] for each in deployment.events
        if each['event'] == 'ended' and each['task'] == TASK
    ]
    deployment.record('ends', state=state, ends=ends)
    if state == 'failed' and 'failed' not in ends:
        return (
            f'LOST: {JOB} was accepted and is shown as failed; its runs ended '
            f'{ends}, and no worker has crashed'
        )
    if state != 'completed':
        raise RuntimeError(f'the job is {state!r} after {END_S} s')
    return ''


if __name__ == '__main__':
    run_case(CASE, play)
