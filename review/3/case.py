"""A job with a very wide step comes while another job is at work."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'standins'))

from deployment import (  # noqa: E402
    BOUNDS, Deployment, has_trouble, route, run_case, service,
)

EARLIER = 'eeeeeeeeeeeeeee1'
LARGE = 'eeeeeeeeeeeeeee2'
LATER = 'eeeeeeeeeeeeeee3'
LARGE_COUNT = 20_000
IDLE_S = 3.0
TASK_CPU = 500
#: The first step outlasts the time until the large job's record is too long.
FIRST_S = 35.0


def work_s(task: str) -> float | None:
    """Return how long a task works."""
    return FIRST_S if task.startswith(f'{EARLIER}.0.0.') else 0.2


async def play(deployment: Deployment) -> str:
    """Hand a job in, then the large one, and see whether the first goes on."""
    workers = await deployment.add_workers('desk-a', 8, work_s)
    deployment.configure(
        services=[service('desk-a')], routes=[route('batch', '/batch/', 'desk-a')]
    )
    await deployment.start_nodes(3)
    step = {'count': 2, 'cpu': TASK_CPU, 'memMb': 64, 'estimateMs': 35_000}
    body = {'spec': 'two steps', 'steps': [step, {**step, 'dependsOn': [0]}]}
    if not await deployment.hand_in(f'/batch/{EARLIER}', body):
        raise RuntimeError('the job was not accepted')
    while deployment.running(EARLIER) < 2:
        await asyncio.sleep(0.05)
    if has_trouble():
        large = {'spec': 'large', 'steps': [
            {'count': LARGE_COUNT, 'cpu': 50, 'memMb': 16, 'estimateMs': 20}]}
        await deployment.hand_in(f'/batch/{LARGE}', large, limit_s=5.0)
    await asyncio.sleep(FIRST_S)
    small = {'spec': 'small', 'steps': [{**step, 'count': 1}]}
    later = await deployment.hand_in(f'/batch/{LATER}', small, limit_s=8.0)
    # The traffic ends here.
    await asyncio.sleep(BOUNDS['finish_s'])
    whole = sum(each.capacity['cpu'] for each in workers)
    idle_s = 0.0
    while idle_s < IDLE_S:
        runs = sum(len(each.runs) for each in workers)
        deployment.record('room', runs=runs, refused=deployment.store.refused,
                          running=deployment.running(EARLIER))
        if deployment.running(EARLIER) or runs * TASK_CPU >= whole / 2:
            break
        idle_s += 0.2
        await asyncio.sleep(0.2)
    status, state = await deployment.state_of(f'/batch/{EARLIER}')
    deployment.record('states', earlier=[status, state], later_accepted=later,
                      refused=deployment.store.refused)
    if idle_s >= IDLE_S and state != 'completed':
        return (
            f'LOST: {EARLIER} was accepted, is {state!r} and has nothing '
            f'running for {IDLE_S} s, while the workers are empty; the store '
            f'has rejected {deployment.store.refused}; a later job was '
            f'{"accepted" if later else "refused"}'
        )
    return ''


if __name__ == '__main__':
    run_case(CASE, play)
