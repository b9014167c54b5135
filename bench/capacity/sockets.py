"""Processor time, bytes and memory of what goes over real sockets.

Run as ``python -m bench.capacity.sockets '{}'``; everything is on 127.0.0.1.
"""

import asyncio
import json
import resource
import time
from typing import Any

import msgspec

from bench.capacity import samples
from bench.capacity.fit import Line, fit
from bench.capacity.sizes import message_bytes
from bench.capacity.subprocesses import run_module
from berylspread.backend.http_client import HttpBackendClient
from berylspread.membership.messages import (
    Heartbeat,
    HeartbeatReply,
    NodeStatus,
)
from berylspread.model import NodeRef, Vm
from berylspread.partition.messages import EventsTaken, TaskEvents
from berylspread.peers import GrpcPeers

HOST = '127.0.0.1'
COUNTS = (250, 500, 1000)
TASKS_PER_WORKER = 12
LINK_COUNTS = (100, 200, 400)
TIMEOUT_S = 20.0
KIB = 1024


def measure() -> dict[str, Line]:
    """Return the lines by name; a message costs both of its sides."""
    found: dict[str, Any] = run_module('sockets', {})
    return {name: fit(points) for name, points in found.items()}


class _Server:
    """Answers every exchange at once and counts the bytes of the requests."""

    def __init__(self, tasks: int) -> None:
        reply = msgspec.structs.replace(samples.reply(tasks), worker='w')
        body = msgspec.json.encode(reply)
        self.answer = (
            b'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n'
            b'content-length: %d\r\n\r\n%s' % (len(body), body)
        )
        self.head_bytes = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await self._serve(reader, writer)
        except (asyncio.CancelledError, EOFError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            self.head_bytes = len(head)
            lines = head.lower().split(b'\r\n')
            length = next(
                int(line.split(b':')[1])
                for line in lines
                if line.startswith(b'content-length:')
            )
            await reader.readexactly(length)
            writer.write(self.answer)


async def _exchanges(found: dict[str, Any]) -> None:
    tasks = TASKS_PER_WORKER
    server = _Server(tasks)
    listener = await asyncio.start_server(server.serve, HOST, 0)
    port = listener.sockets[0].getsockname()[1]
    vm = msgspec.structs.replace(
        samples.vm(1), vm_id='w', address=f'{HOST}:{port}'
    )
    workers = HttpBackendClient()
    await workers.sync(vm, samples.renewal(tasks))
    points = []
    for count in COUNTS:
        began = time.process_time()
        for _ in range(count):
            reply = await workers.sync(vm, samples.renewal(tasks))
            assert getattr(reply, 'worker', '') == 'w', reply
        points.append((count, time.process_time() - began))
    found['cpu_s_http_exchange_both_sides'] = points
    found['http_head_bytes_per_exchange'] = [
        (count, count * server.head_bytes) for count in COUNTS
    ]
    await workers.close()
    listener.close()
    found['rss_bytes_per_worker_connection'] = await _connections(server, vm)


async def _connections(server: _Server, vm: Vm) -> list[tuple[int, float]]:
    """Peak memory with one more listener and connection for each worker."""
    workers = HttpBackendClient()
    points = []
    for number in range(1, max(LINK_COUNTS) + 1):
        listener = await asyncio.start_server(server.serve, HOST, 0)
        port = listener.sockets[0].getsockname()[1]
        fresh = msgspec.structs.replace(vm, address=f'{HOST}:{port}')
        await workers.sync(fresh, samples.renewal(1))
        if number in LINK_COUNTS:
            peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            points.append((number, peak * KIB))
    await workers.close()
    return points


async def _messages(found: dict[str, Any]) -> None:
    ports: dict[str, str] = {}
    asking = GrpcPeers(NodeRef('a', 1), ports.get)
    serving = GrpcPeers(NodeRef('b', 1), ports.get)
    ports['a'] = f'{HOST}:{await asking.start(f"{HOST}:0")}'
    ports['b'] = f'{HOST}:{await serving.start(f"{HOST}:0")}'
    status = NodeStatus(ports['a'], 'central-java', 'pekalongan', 4711, 17)

    async def beat(source: NodeRef, body: Heartbeat) -> HeartbeatReply:
        return HeartbeatReply(1, body.status)

    async def take(source: NodeRef, body: TaskEvents) -> EventsTaken:
        return EventsTaken(len(body.events))

    serving.register_handler(Heartbeat, beat)
    serving.register_handler(TaskEvents, take)
    await asking.request('b', Heartbeat(status), HeartbeatReply, timeout_s=5)
    found['cpu_s_peer_ask_both_sides'] = await _asks(
        asking, Heartbeat(status), HeartbeatReply
    )
    found['bytes_per_heartbeat_pair'] = [
        (
            count,
            count
            * (
                message_bytes(Heartbeat(status))
                + message_bytes(HeartbeatReply(1, status))
            ),
        )
        for count in COUNTS
    ]
    await asking.stop()
    await serving.stop()


async def _asks(
    asking: GrpcPeers, body: Any, reply_type: Any
) -> list[tuple[int, float]]:
    points = []
    for count in COUNTS:
        began = time.process_time()
        for _ in range(count):
            await asking.request('b', body, reply_type, timeout_s=5)
        points.append((count, time.process_time() - began))
    return points


async def _main() -> None:
    found: dict[str, Any] = {}
    async with asyncio.timeout(TIMEOUT_S * 3):
        await _messages(found)
        await _exchanges(found)
    print(json.dumps(found))


if __name__ == '__main__':
    asyncio.run(_main())
