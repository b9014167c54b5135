"""Steps about a store on loopback with slow responses, in real time."""

import asyncio
import itertools

from behave import given, then, when

from berylspread_platform.http_calls import HttpClient
from berylspread_platform.store import StoreClient

BODY = b'{"items":[],"end":5}'
HEAD = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(BODY)

CHUNKED_HEAD = b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
PART_BYTES = 1_000_000
MAX_PARTS = 500


def _serve(context, parts, gap_s, *, closes, head=HEAD):
    context.handlers = []
    context.sent_bytes = 0

    async def respond(reader, writer):
        context.handlers.append(asyncio.current_task())
        await reader.readuntil(b'\r\n\r\n')
        writer.write(head)
        for part in parts:
            writer.write(part)
            await writer.drain()
            context.sent_bytes += len(part)
            await asyncio.sleep(gap_s)
        if not closes:
            await reader.read()
        writer.close()

    context.runner_ = asyncio.Runner()
    context.add_cleanup(context.runner_.close)
    context.server = context.runner_.run(
        asyncio.start_server(respond, '127.0.0.1', 0)
    )
    context.add_cleanup(context.server.close)


@given('a store on loopback that sends a byte each {gap:g} s')
def step_slow(context, gap):
    parts = [BODY[index : index + 1] for index in range(len(BODY))]
    _serve(context, parts, gap, closes=True)


@given('a store on loopback that announces {size:d} bytes')
def step_long(context, size):
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
    parts = itertools.repeat(b' ' * PART_BYTES, size // PART_BYTES)
    _serve(context, parts, 0.0, closes=True, head=head)


@given('a store on loopback that sends chunks without end')
def step_endless(context):
    part = b'%x\r\n%b\r\n' % (PART_BYTES, b' ' * PART_BYTES)
    parts = itertools.repeat(part, MAX_PARTS)
    _serve(context, parts, 0.0, closes=True, head=CHUNKED_HEAD)


@then('the store sent less than {size:d} bytes')
def step_sent(context, size):
    assert context.sent_bytes < size, context.sent_bytes


@given('a store on loopback that sends half a response and no more')
def step_silent(context):
    _serve(context, [BODY[: len(BODY) // 2]], 0.0, closes=False)


@when('the newest records are read with a timeout of {seconds:g} s')
def step_read(context, seconds):
    port = context.server.sockets[0].getsockname()[1]

    async def read():
        http = HttpClient()
        await http.start()
        try:
            store = StoreClient(http, f'127.0.0.1:{port}')
            return await store.read_newest('keyed.op', timeout_s=seconds)
        finally:
            await http.close()
            # After a timeout the client resets the connection.
            await asyncio.gather(*context.handlers, return_exceptions=True)

    context.result = context.runner_.run(read())


@then('the records end at {end:d}')
def step_end(context, end):
    assert context.result.end == end, context.result
