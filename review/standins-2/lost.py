"""The rule LOST as a caller checks it at the end of the traffic."""

import asyncio
import time

FINISH_S = 14
#: The span in which a job that could run has nothing running.
CALM_S = 3
#: Times that an accepted job is asked for at the end, 3 s each.
ASKED = 4
RETRIES = 4


async def hand_in_small(fleet, accepted):
    """Hand in a small job as a sound client does, with four retries."""
    job, body = fleet.new_job(
        [{'count': 2, 'cpu': 500, 'memMb': 100, 'estimateMs': 500}]
    )
    for _ in range(1 + RETRIES):
        status, _ = await fleet.call('POST', job, body)
        if status == 200:
            accepted.append(job)
        if status in {200, 400, 401, 403, 404, 413}:
            return
        await asyncio.sleep(1)


async def hand_in_for(fleet, seconds, accepted, callers, every_s=0.5):
    """Hand in small jobs for a time."""
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        callers.append(asyncio.create_task(hand_in_small(fleet, accepted)))
        await asyncio.sleep(every_s)


async def find_lost(fleet, accepted, callers):
    """Return the accepted small jobs that are lost, and print a summary.

    They have a tenant without a cap.  Each is asked for ``FINISH_S`` after the
    end of the traffic.  It is lost if it is unknown, gets no answer in time, or
    had nothing running for ``CALM_S`` while under half of the capacity was in
    use.
    """
    await asyncio.gather(*callers)
    await asyncio.sleep(FINISH_S - CALM_S)
    capacity = sum(each.capacity['cpu'] for each in fleet.workers.values())
    most_in_use = 0
    for _ in range(CALM_S * 10):
        await asyncio.sleep(0.1)
        in_use = sum(each.demand_in_use() for each in fleet.workers.values())
        most_in_use = max(most_in_use, in_use)
    started = {
        run.task.partition('.')[0]
        for worker in fleet.workers.values()
        for run in worker.all_runs
    }
    is_idle = most_in_use < capacity / 2
    states = await asyncio.gather(*(_state_of(fleet, job) for job in accepted))
    lost = []
    for job, state in zip(accepted, states, strict=True):
        waits = is_idle and job not in started and state != 'completed'
        if waits or state in {'unknown', 'no answer'}:
            lost.append(job)
            fleet.record.write('lost', job, state, 'waits' if waits else '')
    ended = [n.name for n in fleet.nodes if n.process.returncode is not None]
    print(
        f'{len(callers)} callers, {len(accepted)} small jobs accepted, '
        f'{len(lost)} of them lost; in the last {CALM_S} s at most '
        f'{most_in_use} of {capacity} thousandths of a core in use; '
        f'ended programs: {ended}'
    )
    if not accepted:
        raise RuntimeError('nothing was accepted')
    return lost


async def _state_of(fleet, job):
    for _ in range(ASKED):
        status, body = await fleet.call('GET', job)
        if status == 200:
            return body['state']
        if status == 410:
            return 'unknown'
    return 'no answer'
