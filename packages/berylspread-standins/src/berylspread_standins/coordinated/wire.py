"""The users' platform over HTTP, by its published protocol, on loopback.

Plain ASGI applications around the stand-ins: the store's log, one worker, and
the service that grants permissions.  Names on the wire are the platform's.
"""

import asyncio
import base64
import json
import struct
from collections.abc import Awaitable, Callable, Iterator
from typing import Any, Final, final
from urllib.parse import parse_qs

from berylspread.coordinator.interface import (
    Appended,
    KeyedItem,
    OrderRefused,
    Outcome,
    Permissions,
    Producer,
    Record,
    Renewal,
    StartOrder,
    WorkerReport,
)
from berylspread.coordinator.records import STEP_PREFIX
from berylspread.kernel.errors import Failure
from berylspread_standins.coordinated.advisor import PermissionServiceStandin
from berylspread_standins.coordinated.store import StoreStandin, StoreView
from berylspread_standins.coordinated.worker import WorkerStandin

Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]
Reply = tuple[int, bytes]

OK: Final = 200
NOT_FOUND: Final = 404
CONFLICT: Final = 409
UNAVAILABLE: Final = 503
MS: Final = 1000
LENGTH: Final = struct.Struct('>I')
HEAD: Final = struct.Struct('>QQ')
#: A client's time limit is its own affair here.
TIMEOUT_S: Final = 60.0
#: The topics of the workers' entries, and of the jobs and their steps.
WORKERS_TOPIC: Final = 'keyed.servers'
JOBS_TOPIC: Final = 'keyed.jobs'

#: The word on the wire for how a run has ended.
HOW: Final = {
    Outcome.succeeded: 'done',
    Outcome.failed: 'failed',
    Outcome.stopped: 'stopped',
    Outcome.lease_over: 'lapsed',
    Outcome.gang_broken: 'broken',
    Outcome.gang_incomplete: 'alone',
}

#: The word on the wire for why an order is refused.
REASONS: Final = {
    'stale-fence': 'fence',
    'stale-run': 'old',
    'late': 'late',
    'no-room': 'room',
    'no-ticket': 'ticket',
}


class WireApp:
    """Finds the handler by path and writes its reply."""

    handlers: dict[str, Callable[..., Awaitable[Reply]]]

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        query = {
            key: values[0]
            for key, values in parse_qs(scope['query_string'].decode()).items()
        }
        handler = self.handlers.get(scope['path'])
        status, body = NOT_FOUND, b'{}'
        if handler is not None:
            status, body = await handler(query, await _body(receive))
        await send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [(b'content-length', str(len(body)).encode())],
            }
        )
        await send({'type': 'http.response.body', 'body': body})


@final
class AnswerHold:
    """Holds answers to appends of steps back until it is released."""

    __slots__ = ('held', 'released')

    def __init__(self) -> None:
        """Begin with no answer held."""
        self.held = asyncio.Event()
        self.released = asyncio.Event()

    async def pass_on(self, topic: str, records: list[Record]) -> None:
        """Wait for the release if the records hold a step."""
        if topic == JOBS_TOPIC and any(
            key.startswith(STEP_PREFIX) for key, _ in records
        ):
            self.held.set()
            await self.released.wait()


@final
class StoreApp(WireApp):
    """The store: appends, reads and newest records of keyed topics."""

    def __init__(
        self,
        store: StoreStandin,
        view_entry: Callable[[str, bytes], bytes] | None = None,
    ) -> None:
        """Serve a store's state.

        ``view_entry`` returns what this app's clients read as a worker's entry.
        """
        self.store = store
        self.view_entry = view_entry
        self.answer_hold: AnswerHold | None = None
        self.view = StoreView(store)
        self.handlers = {
            '/api/log-append': self.append,
            '/api/log-read': self.read,
            '/api/log-newest': self.newest,
        }

    async def append(self, query: dict[str, str], body: bytes) -> Reply:
        """Append framed records."""
        name = query.get('producer')
        producer = (
            None
            if name is None
            else Producer(name, int(query['epoch']), int(query['seq']))
        )
        at = query.get('at')
        records = list(_records(body))
        await self.store.wait_if_late()
        reply = await self.view.append(
            query['topic'],
            records,
            producer=producer,
            at=None if at is None else int(at),
            timeout_s=TIMEOUT_S,
        )
        if self.answer_hold is not None:
            await self.answer_hold.pass_on(query['topic'], records)
        if isinstance(reply, Appended):
            return _json(OK, offset=reply.offset, end=reply.end)
        if reply.fields.get('done') is False:
            return _json(UNAVAILABLE)
        expected = reply.fields.get('expected')
        reason = 'fenced' if expected is None else 'seq'
        return _json(CONFLICT, reason=reason, seq=expected)

    async def read(self, query: dict[str, str], body: bytes) -> Reply:
        """Return records from an offset on, or none after a wait."""
        batch = await self.view.read_from(
            query['topic'],
            int(query['from']),
            wait_s=int(query.get('waitMs', '0')) / MS,
            timeout_s=TIMEOUT_S,
        )
        if isinstance(batch, Failure):
            return _json(UNAVAILABLE)
        frames = b''.join(
            _frame(item.key, self._shown(query['topic'], item))
            for item in batch.items
        )
        return OK, HEAD.pack(batch.end, 0) + frames

    async def newest(self, query: dict[str, str], body: bytes) -> Reply:
        """Return the newest record of each key, on one page."""
        snapshot = await self.view.read_newest(
            query['topic'], timeout_s=TIMEOUT_S
        )
        if isinstance(snapshot, Failure):
            return _json(UNAVAILABLE)
        items = [
            {
                'key': item.key,
                'value': base64.b64encode(
                    self._shown(query['topic'], item)
                ).decode(),
                'offset': item.offset,
            }
            for item in snapshot.items
        ]
        return _json(OK, items=items, hasMore=False, end=snapshot.end)

    def _shown(self, topic: str, item: KeyedItem) -> bytes:
        if self.view_entry is None or topic != WORKERS_TOPIC:
            return item.blob
        return self.view_entry(item.key, item.blob)


@final
class WorkerApp(WireApp):
    """One worker: orders and renewals."""

    def __init__(self, worker: WorkerStandin) -> None:
        """Serve a worker's state."""
        self.worker = worker
        self.handlers = {
            '/api/run-start': self.start,
            '/api/run-stop': self.stop,
            '/api/hold': self.hold,
        }

    async def start(self, query: dict[str, str], body: bytes) -> Reply:
        """Take an order to start."""
        order = json.loads(body)
        return await self._ordered(
            await self.worker.start(
                StartOrder(
                    task=order['task'],
                    run=order['runId'],
                    payload=order['spec'],
                    until_ms=order['untilMs'],
                    token=order['fencingToken'],
                    checkpoint=order.get('checkpoint', ''),
                    ticket=order.get('ticket', ''),
                )
            )
        )

    async def stop(self, query: dict[str, str], body: bytes) -> Reply:
        """Take an order to stop."""
        order = json.loads(body)
        return await self._ordered(
            await self.worker.stop(
                order['task'], order['runId'], order['fencingToken']
            )
        )

    async def hold(self, query: dict[str, str], body: bytes) -> Reply:
        """Renew the leases and report."""
        order = json.loads(body)
        report = await self.worker.renew(
            Renewal(
                token=order['fencingToken'],
                acked=order.get('ackSeq', 0),
                until_ms=order.get('untilMs', 0),
                wait_ms=order.get('waitMs', 0),
            )
        )
        if not isinstance(report, WorkerReport):
            return await self._ordered(report)
        return _json(
            OK,
            clockMs=report.clock_ms,
            born=report.born_ms,
            running=[
                [
                    row.task,
                    row.run,
                    row.checkpoint,
                    row.percent,
                    row.latency_or_cpu,
                ]
                for row in report.running
            ],
            finished=[
                [
                    row.seq,
                    row.task,
                    row.run,
                    HOW[row.outcome],
                    row.checkpoint,
                ]
                for row in report.ended
            ],
        )

    async def _ordered(self, reply: int | Failure) -> Reply:
        clock_ms = self.worker.clock_ms()
        if isinstance(reply, int):
            return _json(OK, clockMs=clock_ms)
        if not isinstance(reply, OrderRefused):
            # A status would say that the order was not carried out.
            await asyncio.sleep(TIMEOUT_S)
            return _json(UNAVAILABLE)
        reason = REASONS.get(str(reply.fields['cause']), '')
        return _json(CONFLICT, clockMs=clock_ms, reason=reason)


@final
class AdviceApp(WireApp):
    """The service that grants permissions."""

    def __init__(self, advisor: PermissionServiceStandin) -> None:
        """Serve an advisor."""
        self.advisor = advisor
        self.handlers = {'/api/advise': self.advise}

    async def advise(self, query: dict[str, str], body: bytes) -> Reply:
        """Tell which workers may run a step."""
        asked = json.loads(body)
        reply = await self.advisor.request_permissions(
            asked['step'], asked['workers'], TIMEOUT_S
        )
        assert isinstance(reply, Permissions)
        return _json(
            OK,
            good=list(reply.tickets.items()),
            validMs=reply.valid_s * MS,
        )


def _records(body: bytes) -> Iterator[Record]:
    position = 0
    while position < len(body):
        length = LENGTH.unpack_from(body, position)[0]
        position += LENGTH.size
        content = body[position : position + length]
        position += length
        split = 1 + content[0]
        yield content[1:split].decode(), content[split:]


def _frame(key: str, blob: bytes) -> bytes:
    name = key.encode()
    content = bytes((len(name),)) + name + blob
    return LENGTH.pack(len(content)) + content


def _json(status: int, **fields: Any) -> Reply:
    return status, json.dumps(fields).encode()


async def _body(receive: Receive) -> bytes:
    chunks = []
    while True:
        event = await receive()
        chunks.append(event.get('body', b''))
        if not event.get('more_body'):
            return b''.join(chunks)
