"""A backend server: each task sleeps under its lease, and calls are echoed."""

import asyncio
import os
import time

from litestar import Litestar, Request, Response, post

held = {'worker': os.environ['VM_ID'], 'capacity': [4000, 8192, 0, 4]}
reports, leases, running = {}, {}, set()


async def run(start: dict) -> None:
    end = time.monotonic() + float(start['payload'])
    while time.monotonic() < min(end, leases[start['task']]):
        await asyncio.sleep(0.1)
    start['state'] = 'succeeded' if time.monotonic() >= end else 'cancelled'


@post('/v1/sync', status_code=200)
async def sync(data: dict) -> dict:
    until = time.monotonic() + data['lease_s']
    [reports.pop(task, None) for task in data['acknowledged']]
    leases.update(dict.fromkeys(data['renew'], until))
    leases.update({stop['task']: 0 for stop in data['stops']})
    for start in data['starts']:
        if reports.setdefault(start['task'], start) is start:
            leases[start['task']], start['state'] = until, 'running'
            running.add(asyncio.create_task(run(start)))
    await asyncio.sleep(min(data['wait_s'], 0.1))
    return dict(held, sequence=time.monotonic_ns(), tasks=[*reports.values()])


@post('/v1/call', status_code=200)
async def call(request: Request) -> Response:
    headers = {k: request.headers[k] for k in ('X-Request-Id', 'X-Attempt')}
    return Response(await request.body(), headers=headers)


app = Litestar([sync, call])
