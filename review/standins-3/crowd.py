"""Small jobs of one tenant, and a large one of another among them."""

import asyncio
import time

import world as standins

TASK_CPU, TASK_MS = 2000, 300
WORKERS, WORKER_CPU = 24, 32_000
#: How long small jobs come, and when the large one comes.
TRAFFIC_S, LARGE_AT_S = 40.0, 5.0
GAP_S = 0.5
#: A client sends a job once and, if need be, four times more.
TRIES, RETRY_S = 5, 0.5
FINISH_S, IDLE_S = 14.0, 3.0
#: How long the idle spans are watched for after that.
WATCH_S = 10.0
LARGE = 'aaaaaaaaaaaaaaaa'


def job():
    """Return the body of a small job."""
    step = {
        'count': 1,
        'cpu': TASK_CPU,
        'memMb': 100,
        'estimateMs': TASK_MS,
    }
    return {'spec': f'{TASK_MS} text', 'steps': [step]}


async def submit(world, name, key, body):
    """Hand a job in as a client does: again, elsewhere, until it is accepted."""
    status = 0
    for attempt in range(TRIES):
        node = world.nodes[attempt % len(world.nodes)]
        status, _ = await world.send(
            node,
            'POST',
            f'/q/{name}',
            host='jobs.example',
            key=key,
            body=body,
        )
        if status // 100 == 2:
            break
        await asyncio.sleep(RETRY_S)
    return status


async def ask(world, name, key):
    """Return the state of a job, empty if no node says it in time."""
    for node in world.nodes * 2:
        status, body = await world.send(
            node, 'GET', f'/q/{name}', host='jobs.example', key=key
        )
        if status in {200, 410}:
            return f'{status} {body}'
    return ''


async def watch(world, accepted, began, large_cpu):
    """Return the longest span in which an accepted job had nothing running.

    A sample counts while under half of the workers' room is in use.
    """
    idle_since, longest, waits = None, 0.0, ''
    while time.monotonic() < began + WATCH_S:
        used = sum(
            len(runs) * (large_cpu if task.startswith(LARGE) else TASK_CPU)
            for task, runs in world.running.items()
        )
        started = {task.split('.')[0] for _, task, _, _ in world.starts}
        idle = [name for name in accepted if name not in started]
        now = time.monotonic()
        if idle and used < WORKERS * WORKER_CPU / 2:
            idle_since = idle_since or now
            if now - idle_since > longest:
                longest, waits = now - idle_since, idle[0]
        else:
            idle_since = None
        await asyncio.sleep(0.05)
    return longest, waits


async def measure_pauses(pauses):
    """Keep the longest pause of the process of the stand-ins."""
    while True:
        before = time.monotonic()
        await asyncio.sleep(0.02)
        pauses[0] = max(pauses[0], time.monotonic() - before - 0.02)


async def trial(world, make_large, large_cpu):
    """Return whether the rule was broken; without a large job nothing comes."""
    world.configure(
        [standins.route('q', '/q/')],
        [standins.tenant('a', 'ka'), standins.tenant('b', 'kb')],
    )
    await world.start(
        3,
        [
            standins.Worker(world, f'w{number}', WORKER_CPU)
            for number in range(WORKERS)
        ],
    )
    await asyncio.sleep(4)
    statuses, pending, pauses = {}, [], [0.0]
    meter = asyncio.create_task(measure_pauses(pauses))

    async def small(number):
        name = f'{number:016x}'
        statuses[name] = await submit(world, name, 'kb', job())

    async def large():
        status = await submit(world, LARGE, 'ka', make_large())
        world.record.say(f'the large job was answered {status}')

    began = time.monotonic()
    calm_terms = world.terms()
    for number in range(int(TRAFFIC_S / GAP_S)):
        if make_large and number == int(LARGE_AT_S / GAP_S):
            pending.append(asyncio.create_task(large()))
        pending.append(asyncio.create_task(small(number)))
        await asyncio.sleep(
            max(began + (number + 1) * GAP_S - time.monotonic(), 0)
        )
    ended = time.monotonic()
    await asyncio.sleep(FINISH_S - (time.monotonic() - ended))
    await asyncio.gather(*pending)
    accepted = sorted(
        name for name, status in statuses.items() if status // 100 == 2
    )
    longest, waits = await watch(
        world, accepted, time.monotonic(), large_cpu
    )
    answers = await asyncio.gather(
        *(ask(world, name, 'kb') for name in accepted)
    )
    lost = [
        name
        for name, answer in zip(accepted, answers, strict=True)
        if not answer.startswith('200')
    ]
    done = sum('completed' in answer for answer in answers)
    world.record.say(
        f'small jobs: {len(statuses)} sent, {len(accepted)} accepted, '
        f'{done} completed, {len(lost)} unknown or not answered'
    )
    world.record.say(
        f'tasks started: {len(world.starts)}; terms of coordinators: '
        f'{calm_terms} before the traffic, {world.terms()} at the end'
    )
    meter.cancel()
    world.record.say(f'longest pause of the stand-ins: {pauses[0]:.2f} s')
    if longest > IDLE_S:
        world.record.say(f'{waits} had nothing running for {longest:.1f} s')
    return bool(lost) or longest > IDLE_S

