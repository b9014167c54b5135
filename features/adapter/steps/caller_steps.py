"""Steps about the bounds of callers' connections, without a network."""

import asyncio

import uvicorn
from behave import given, then, when
from hypothesis import example, strategies
from hypothesis import given as given_any
from uvicorn.server import ServerState

from berylspread.serving import ConnectionGuard, GuardedProtocol
from features.support import run_virtual

HEADER_NAMES = frozenset((b'host',))
HOST_LINE = b'Host: host.example\r\n'
HEAD_BYTES = 16_384
LARGE_BYTES = 10_000_000
SETTLE_TURNS = 8
#: Pieces of requests, of which some are cut, malformed or out of place.
PIECES = (
    b'GET /q/1 HTTP/1.1\r\n',
    b'POST /q/2 HTTP/1.1\r\n',
    b'DELETE /q/3 HTTP/1.0\r\n',
    b'CONNECT a:1 HTTP/1.1\r\n',
    b'GET http://[/ HTTP/1.1\r\n',
    b'GET /%ff HTTP/1.1\r\n',
    b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n',
    HOST_LINE,
    b'Host:\r\n',
    b'ab:cd\r\n' * 500,
    b'Connection: close\r\n',
    b'Connection: upgrade\r\nUpgrade: websocket\r\n',
    b'Connection: upgrade\r\nUpgrade: h2c\r\n',
    b'Expect: 100-continue\r\n',
    b'Content-Length: 5\r\n',
    b'Content-Length: 262144\r\n',
    b'Content-Length: -1\r\n',
    b'Transfer-Encoding: chunked\r\n',
    b'Transfer-Encoding: gzip\r\n',
    b'\r\n',
    b'\r\n' * 3000,
    b'hello',
    b'5\r\nhello\r\n',
    b'5;a=b\r\nhello\r\n',
    b'ffffffffffffffffff\r\n',
    b'0\r\n\r\n',
    b'0\r\nT: v\r\n',
    b'x' * 20_000,
    b'\x00\xff',
)


class FakeTransport(asyncio.Transport):
    """Keeps what is written, and tells the protocol when it is closed."""

    def __init__(self, protocol, peer='127.0.0.1'):
        super().__init__(extra={'peername': (peer, 1)})
        self.protocol = protocol
        self.written = b''
        self.is_closed = False
        self.was_aborted = False

    def write(self, data):
        assert not self.is_closed
        self.written += bytes(data)

    def write_eof(self):
        """Accept the end of the stream."""

    def set_write_buffer_limits(self, high=None, low=None):
        """Accept any limits."""

    def pause_reading(self):
        """Accept the pause."""

    def resume_reading(self):
        """Accept the end of a pause."""

    def is_closing(self):
        return self.is_closed

    def close(self):
        if not self.is_closed:
            self.is_closed = True
            asyncio.get_running_loop().call_soon(
                self.protocol.connection_lost, None
            )

    def abort(self):
        self.was_aborted = True
        self.close()


class World:
    """Connections of callers to an application that counts requests."""

    def __init__(self, connections=100, size=LARGE_BYTES):
        self.reports = []
        self.guard = ConnectionGuard(connections, size, report=self._report)
        self.requests = []
        self.headers = []
        self.answers = asyncio.Event()
        self.answers.set()
        self.config = uvicorn.Config(
            self._serve,
            interface='asgi3',
            lifespan='off',
            ws='none',
            log_config=None,
        )
        self.config.load()
        self.state = ServerState()
        self.transports = []

    def _report(self, *arguments):
        self.reports.append(arguments)

    async def _serve(self, scope, receive, send):
        body = b''
        while scope['method'] == 'POST':
            event = await receive()
            if event['type'] == 'http.disconnect':
                return
            body += event['body']
            if not event['more_body']:
                break
        self.requests.append((scope['method'], scope['path'], body))
        self.headers.append(scope['headers'])
        await self.answers.wait()
        headers = [(b'content-length', b'0')]
        await send(
            {'type': 'http.response.start', 'status': 200, 'headers': headers}
        )
        await send({'type': 'http.response.body', 'body': b''})

    def connect(self):
        protocol = GuardedProtocol(
            self.config,
            self.state,
            {},
            asyncio.get_running_loop(),
            guard=self.guard,
            header_names=HEADER_NAMES,
        )
        transport = FakeTransport(protocol)
        self.transports.append(transport)
        protocol.connection_made(transport)
        return transport

    def ended(self):
        """Return for each connection whether it has been ended."""
        return [each.is_closed for each in self.transports]

    async def send(self, transport, data):
        if not transport.is_closed:
            transport.protocol.data_received(data)
        await settle()

    async def caller(self, data):
        transport = self.connect()
        await self.send(transport, data)
        return transport


def cut(data, sizes):
    """Return the data in pieces of these sizes, and the rest."""
    start = 0
    pieces = []
    for size in sizes:
        pieces.append(data[start : start + size])
        start += size
    pieces.append(data[start:])
    return pieces


async def settle():
    for _ in range(SETTLE_TURNS):
        await asyncio.sleep(0)


def status_of(transport):
    line = transport.written.split(b'\r\n', 1)[0].split()
    return int(line[1]) if line else None


def post(size, sent=None):
    head = b'POST /q/9 HTTP/1.1\r\n%bContent-Length: %d\r\n\r\n%b'
    body = b' ' * size
    return head % (HOST_LINE, size, body[:sent])


def get(lines):
    return b'GET /q/1 HTTP/1.1\r\n%b%b\r\n' % (HOST_LINE, lines)


def head_of(size):
    line = b'X-Long: %b\r\n'
    return get(line % (b'v' * (size - len(get(line % b'')))))


def chunked(rest):
    head = b'POST /q/1 HTTP/1.1\r\n%bTransfer-Encoding: chunked\r\n\r\n%b'
    return head % (HOST_LINE, rest)


WHATS = {
    'a head of 16384 bytes': head_of(HEAD_BYTES),
    '4000 header lines in 16384 bytes': get(b'a:\r\n' * 4000),
    'a head of 17500 bytes': head_of(17_500),
    'half a head of 40000 bytes': head_of(40_000)[:35_000],
    'a path of 40000 bytes': b'GET /%b' % (b'p' * 40_000),
    'a header line of 40000 bytes': head_of(40_000),
    '40000 bytes of empty lines': b'\r\n' * 20_000,
    '1000 bytes of empty lines and a request': b''.join(
        (b'\r\n' * 500, head_of(100))
    ),
    'a body with 90000 bytes of trailers': chunked(
        b'1\r\nx\r\n0\r\n%b' % (b'T: trail\r\n' * 9000)
    ),
    'a body with a chunk extension of 90000': chunked(
        b'1;%b\r\nx\r\n0\r\n\r\n' % (b'e' * 90_000)
    ),
    'a body of 20000 chunks of one byte': chunked(
        b'%b0\r\n\r\n' % (b'1\r\nx\r\n' * 20_000)
    ),
    'a cancellation with 90000 bytes of trailers': chunked(
        b'1\r\nx\r\n0\r\n%b' % (b'T: trail\r\n' * 9000)
    ).replace(b'POST', b'DELETE'),
    'what is no request': b'\x00\x01\x02 hello\r\n\r\n',
    'a head of 2000 lines that nobody reads': get(b'ab:cd\r\n' * 2000),
    'a head of 2000 hosts': get(b'Host:\r\n' * 2000),
    '1000 requests at once': head_of(100) * 1000,
}


@when('callers send any pieces of requests in any slices')
def step_fuzz(context):
    pieces = strategies.lists(strategies.sampled_from(PIECES), max_size=12)
    sizes = strategies.lists(
        strategies.integers(min_value=1, max_value=70_000), max_size=4
    )

    @given_any(pieces, sizes)
    @example([b'DELETE /q/3 HTTP/1.0\r\n', b'\r\n', b'hello'], [1])
    def check(parts, cuts):
        run_virtual(_send_any(b''.join(parts), cuts))

    context.check = check


async def _send_any(data, cuts):
    world = World()
    failures = []
    asyncio.get_running_loop().set_exception_handler(
        lambda loop, failure: failures.append(failure)
    )
    transport = world.connect()
    for piece in cut(data, cuts):
        await world.send(transport, piece)
        _check_counts(world)
    transport.close()
    await settle()
    guard = world.guard
    assert not failures, failures
    assert not guard.used_bytes
    assert not guard.open_connections
    assert not (guard.fresh or guard.idle or guard.receiving)
    assert not (guard.blocked or guard.closing)


def _check_counts(world):
    held = sum(
        each.protocol.held_bytes
        for each in world.transports
        if not each.is_closed
    )
    assert world.guard.used_bytes == held
    assert held >= 0


@then('no connection has failed, and none holds anything after its end')
@then('the application gets each of them, and nothing else')
def step_checked(context):
    context.check()


@when('callers send any requests inside the limits in any slices')
def step_legal(context):
    lines = strategies.sampled_from((b'', b'a:\r\n' * 900, b'X-Y: z\r\n'))
    bodies = strategies.sampled_from((b'', b'{}', b'x' * 30_000))
    request = strategies.tuples(lines, bodies, strategies.booleans())
    sizes = strategies.lists(
        strategies.integers(min_value=1, max_value=40_000), max_size=5
    )

    @given_any(strategies.lists(request, max_size=4), sizes)
    def check(requests, cuts):
        run_virtual(_send_legal(requests, cuts))

    context.check = check


def _encode(number, lines, body, is_chunked):
    head = b'POST /q/%d HTTP/1.1\r\n%b%b' % (number, HOST_LINE, lines)
    if not is_chunked:
        return b'%bContent-Length: %d\r\n\r\n%b' % (head, len(body), body)
    chunk = b'%x\r\n%b\r\n' % (len(body), body) if body else b''
    return b'%bTransfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n' % (head, chunk)


async def _send_legal(requests, cuts):
    world = World()
    expected = [
        ('POST', f'/q/{number}', body)
        for number, (_, body, _) in enumerate(requests)
    ]
    data = b''.join(
        _encode(number, *request) for number, request in enumerate(requests)
    )
    transport = world.connect()
    for piece in cut(data, cuts):
        await world.send(transport, piece)
    await settle()
    assert world.requests == expected, world.requests
    assert transport.written.count(b'HTTP/1.1 200 ') == len(expected)
    assert not transport.is_closed


@when('a caller sends {what}')
def step_send(context, what):
    async def play():
        context.callers = World()
        context.transport = await context.callers.caller(WHATS[what])
        await asyncio.sleep(2)
        context.ended = context.callers.ended()

    run_virtual(play())


@then('it is answered {status:d} and the connection is closed')
def step_answered(context, status):
    assert status_of(context.transport) == status, context.transport.written
    is_refusal = status != 200
    assert context.ended == [is_refusal]


@then('the connection is closed without an answer')
def step_closed(context):
    assert context.ended == [True]
    assert not context.transport.written, context.transport.written


@then('the application got {count:d} requests')
def step_requests(context, count):
    assert len(context.callers.requests) == count, context.callers.requests


@then('the application got at most {count:d} requests')
def step_at_most(context, count):
    assert len(context.callers.requests) <= count, context.callers.requests
    assert context.ended == [True]


@then('the application got no header but the host')
def step_headers(context):
    assert context.callers.headers == [[(b'host', b'host.example')]]


@given('a guard of {connections:d} connections and {size:d} bytes')
def step_guard(context, connections, size):
    context.guard_limits = (connections, size)


def _hold(count, data, *, is_answered):
    async def hold(world):
        if not is_answered:
            world.answers.clear()
        for _ in range(count):
            await world.caller(data)

    return hold


@given('{count:d} callers have sent {size:d} bytes of a body')
def step_bodies(context, count, size):
    context.hold = _hold(count, post(size + 1, size), is_answered=True)


@given('{count:d} requests of {size:d} bytes wait for the answer')
def step_waiting(context, count, size):
    context.hold = _hold(count, post(size), is_answered=False)


@given('{count:d} callers that say nothing')
def step_silent(context, count):
    context.hold = _hold(count, b'', is_answered=True)


@when('another caller sends a request with a body of {size:d} bytes')
def step_another(context, size):
    async def play():
        context.callers = World(*context.guard_limits)
        await context.hold(context.callers)
        context.before = len(context.callers.requests)
        context.transport = await context.callers.caller(post(size))
        context.ended = context.callers.ended()

    run_virtual(play())


@when('another caller connects')
def step_connects(context):
    async def play():
        context.callers = World(*context.guard_limits)
        await context.hold(context.callers)
        context.transport = context.callers.connect()
        await settle()
        context.ended = context.callers.ended()

    run_virtual(play())


@then('it reaches the application, and the first holder is ended')
def step_reaches(context):
    assert len(context.callers.requests) == context.before + 1
    assert context.ended[0], context.ended
    assert not any(context.ended[1:]), context.ended


@then('it is refused with 503 and Retry-After, and never handed over')
def step_refused(context):
    assert status_of(context.transport) == 503, context.transport.written
    assert b'etry-after: 1' in context.transport.written.lower()
    assert len(context.callers.requests) == context.before


@then('it is ended, and no other is')
def step_ended(context):
    assert context.ended.pop()
    assert not any(context.ended), context.ended


HALVES = {
    'half a head': b'GET /q/1 HTTP/1.1\r\nHo',
    'half a body': post(100, 50),
    'nothing': b'',
    'a whole request': post(100),
    'a whole request and half a head': b''.join(
        (post(100), b'GET /q/1 HTTP/1.1\r\nHo')
    ),
    'a whole request and half a body': b''.join((post(100), post(100, 50))),
    '40 requests at once': head_of(100) * 40,
}


@given('a caller that has sent {what}')
def step_half(context, what):
    context.sent = HALVES[what]


@when('{count:d} other callers connect')
def step_connect_more(context, count):
    async def play():
        context.callers = World(*context.guard_limits)
        context.callers.answers.clear()
        await context.callers.caller(context.sent)
        for _ in range(count):
            context.callers.connect()
        await settle()
        context.ended = context.callers.ended()

    run_virtual(play())


@then('the first is ended, and no other is')
def step_first_ended(context):
    first, *others = context.ended
    assert first
    assert not any(others), context.ended


@when('{seconds:d} s pass')
def step_pass(context, seconds):
    async def play():
        context.callers = World(*context.guard_limits)
        context.callers.answers.clear()
        context.transport = await context.callers.caller(context.sent)
        for _ in range(seconds):
            await asyncio.sleep(1)
            context.callers.guard.sweep()
        context.ended = context.callers.ended()

    run_virtual(play())


async def _answer_late(context, before_s, after_s):
    context.callers = World(*context.guard_limits)
    context.callers.answers.clear()
    context.transport = await context.callers.caller(context.sent)
    for second in range(before_s + after_s):
        if second == before_s:
            context.callers.answers.set()
            await settle()
        await asyncio.sleep(1)
        context.callers.guard.sweep()
    context.callers.answers.set()
    await settle()
    context.ended = context.callers.ended()


@when('{before:d} s pass and the answer is given')
def step_answer_late(context, before):
    context.before_s = before
    run_virtual(_answer_late(context, before, 0))


@when('{after:d} s pass after it')
def step_after(context, after):
    run_virtual(_answer_late(context, context.before_s, after))


@then('the request is answered {status:d}')
def step_served(context, status):
    assert status_of(context.transport) == status, context.callers.reports
    assert not any(context.ended)


@then('the connection is {state}')
def step_state(context, state):
    assert context.ended == [state != 'open']
    if state.endswith('408'):
        assert status_of(context.transport) == 408
