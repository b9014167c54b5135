"""A queue is sent to another service while one of its jobs waits."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent / 'standins'))

from deployment import (  # noqa: E402
    BOUNDS, Deployment, has_trouble, route, run_case, service,
)

LASTING = 'aaaaaaaaaaaaaaa1'
WAITING = 'bbbbbbbbbbbbbbb1'
LATER = 'bbbbbbbbbbbbbbb2'
IDLE_S = 3.0
SERVICES = [service('desk-a'), service('desk-b')]
TASKS = 2
TASK_CPU = 1000


def work_s(task: str) -> float | None:
    """Return how long a task works; the lasting ones never end."""
    return None if task.startswith(LASTING) else 0.5


def room(deployment: Deployment, name: str) -> tuple[int, int]:
    """Return the used and the whole cpu of a service's workers."""
    workers = [each for each in deployment.workers if each.service == name]
    # The lasting tasks take 2,000 each, the others TASK_CPU.
    used = sum(
        2000 if task.startswith(LASTING) else TASK_CPU
        for each in workers for task in each.runs
    )
    return used, sum(each.capacity['cpu'] for each in workers)


async def play(deployment: Deployment) -> str:
    """Fill the first service, hand a job in, and move its queue."""
    await deployment.add_workers('desk-a', 2, work_s)
    await deployment.add_workers('desk-b', 2, work_s)
    lasting = route('watch', '/watch/', 'desk-a')
    deployment.configure(
        services=SERVICES, routes=[lasting, route('batch', '/batch/', 'desk-a')]
    )
    await deployment.start_nodes(3)
    body = {'spec': 'watch', 'steps': [
        {'count': 4, 'cpu': 2000, 'memMb': 256, 'estimateMs': 500,
         'longRunning': True}]}
    if not await deployment.hand_in(f'/watch/{LASTING}', body):
        raise RuntimeError('the lasting job was not accepted')
    while deployment.running(LASTING) < 4:
        await asyncio.sleep(0.05)
    batch = {'spec': 'batch', 'steps': [
        {'count': TASKS, 'cpu': TASK_CPU, 'memMb': 256, 'estimateMs': 500}]}
    if not await deployment.hand_in(f'/batch/{WAITING}', batch):
        raise RuntimeError('the job was not accepted')
    await asyncio.sleep(2)
    target = 'desk-a'
    if has_trouble():
        target = 'desk-b'
        deployment.configure(
            services=SERVICES, routes=[lasting, route('batch', '/batch/', target)]
        )
    await asyncio.sleep(BOUNDS['configApplyMs'] / 1000 + 1)
    # Another job shows that the new version is in force.
    await deployment.hand_in(f'/batch/{LATER}', batch)
    # The traffic ends here.
    await asyncio.sleep(BOUNDS['finish_s'])
    idle_s = 0.0
    while idle_s < IDLE_S:
        used, whole = room(deployment, target)
        is_owed = (
            whole - used >= 2 * TASKS * TASK_CPU and used < whole / 2
        )
        deployment.record('room', service=target, used=used, whole=whole,
                          running=deployment.running(WAITING))
        if not is_owed or deployment.running(WAITING):
            break
        idle_s += 0.2
        await asyncio.sleep(0.2)
    status, state = await deployment.state_of(f'/batch/{WAITING}')
    later = await deployment.state_of(f'/batch/{LATER}')
    deployment.record('states', waiting=[status, state], later=list(later))
    if idle_s >= IDLE_S and state != 'completed':
        return (
            f'LOST: {WAITING} was accepted, is {state!r} and has nothing '
            f'running for {IDLE_S} s, while {target} is empty; '
            f'{LATER}, handed in after the change, is {later[1]!r}'
        )
    return ''


if __name__ == '__main__':
    run_case(CASE, play)
