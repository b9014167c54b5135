"""The HTTP protocol of uvicorn with bounds on each connection.

The parser and the protocol take what arrives: heads, trailers and chunk
extensions of any length, any number of header lines, and as many pipelined
requests as one read returns.  Here each read is given to the parser in slices,
header lines that nobody reads are not kept, and a connection that goes beyond
its bounds is ended.
"""

import collections
import http
from typing import Any, Final, final

import httptools

from berylspread.serving.guard import (
    NO_MEMORY,
    NO_ROOM,
    UNAVAILABLE_STATUS,
    ConnectionGuard,
    Place,
)
from berylspread.serving.lingering import LingeringProtocol
from berylspread.serving.request_bounds import (
    BAD_REQUEST,
    LINE_BYTES,
    RequestBounds,
    RequestRefused,
)

#: What is given to the parser at a time.
SLICE_BYTES: Final = 16_384
#: Requests of one connection that wait for an answer.
MAX_PIPELINED: Final = 16
#: What a request in flight costs beside its bytes.
REQUEST_BYTES: Final = 8192
#: How often a head, as path and values, and a body are in memory.
HEAD_FACTOR: Final = 4
BODY_FACTOR: Final = 2
#: Header lines of a request that the application reads; none comes twice.
MAX_KEPT_LINES: Final = 16
#: An answer waits for its caller beyond this.
WRITE_BUFFER_BYTES: Final = 16_384
#: Methods whose requests reach the application only with the whole body.
BODY_METHODS: Final = frozenset(('POST',))
#: No answer is possible.
NO_STATUS: Final = 0
REFUSAL_BODY: Final = b'{"error":"%b","reason":"%b"}'


@final
class GuardedProtocol(LingeringProtocol):
    """One connection of a caller; the guard sees all of them."""

    def __init__(
        self,
        *arguments: Any,
        guard: ConnectionGuard,
        header_names: frozenset[bytes],
        **named: Any,
    ) -> None:
        """``header_names`` are the headers that the application reads."""
        super().__init__(*arguments, **named)
        self.guard = guard
        self.header_names = header_names
        self.served_app = self.app
        self.bounds = RequestBounds(guard.terms.head_bytes)
        self.place: Place | None = None
        self.held_bytes = 0
        self.peer = ''
        self.active_at = 0.0
        self.is_refused = False
        #: What the guard counts for a head that is not complete.
        self.head_held = 0
        #: What each request without an answer holds, in their order.
        self.request_sizes: collections.deque[int] = collections.deque()

    @property
    def is_in_head(self) -> bool:
        """Return whether a head has begun and is not complete."""
        return self.bounds.is_in_head

    @property
    def is_served(self) -> bool:
        """Return whether the application has a request of it."""
        waiting = self.bounds.is_in_body and (
            self.scope['method'] in BODY_METHODS
        )
        return len(self.request_sizes) > waiting

    def connection_made(self, transport: Any) -> None:
        """Take a new connection, unless there are too many."""
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.peer = self.client[0] if self.client else ''
        if not self.guard.admit(self):
            self.guard.count(NO_ROOM, self.peer)
            self.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release what the connection holds."""
        self._drop_request()
        self.guard.forget(self)
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Feed the parser in slices, until the connection is refused."""
        if len(data) <= SLICE_BYTES:
            self._feed(data)
            return
        for start in range(0, len(data), SLICE_BYTES):
            self._feed(data[start : start + SLICE_BYTES])

    def on_message_begin(self) -> None:
        """Begin a head."""
        super().on_message_begin()
        self.bounds.begin_head()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header line; keep it only if somebody reads it."""
        bounds = self.bounds
        if bounds.is_in_head:
            bounds.fields_size += len(name) + len(value) + LINE_BYTES
            if name.lower() in self.header_names:
                if len(self.headers) >= MAX_KEPT_LINES:
                    raise RequestRefused(BAD_REQUEST, 'repeated header lines')
                super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Take a complete head, or refuse it."""
        bounds = self.bounds
        bounds.head_bytes = self.guard.terms.head_bytes
        bounds.fields_size += len(self.url)
        if len(self.request_sizes) >= MAX_PIPELINED:
            # Before the head ends, as its method is not known yet.
            raise RequestRefused(NO_STATUS, 'too many pipelined requests')
        bounds.end_head()
        size = REQUEST_BYTES + HEAD_FACTOR * bounds.fields_size
        self.request_sizes.append(size)
        self._hold(size - self.head_held)
        self.head_held = 0
        self.app = self.served_app
        if self.guard.is_full and not self.guard.make_room(self):
            self.guard.count(NO_MEMORY, self.peer)
            self.app = refuse_for_memory
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        """Take a part of a body."""
        super().on_body(body)
        self.bounds.body_size += len(body)
        size = BODY_FACTOR * len(body)
        if self.request_sizes and not self.cycle.response_complete:
            self.request_sizes[-1] += size
            self._hold(size)

    def on_message_complete(self) -> None:
        """End a message."""
        self.bounds.is_in_body = False
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Release what the request held, and begin the next one.

        The guard closes idle connections; there is no timer for each.
        """
        self.active_at = self.loop.time()
        if self.request_sizes:
            self._hold(-self.request_sizes.popleft())
        self.server_state.total_requests += 1
        if self.transport.is_closing():
            self._move_to(self.guard.closing)
            return
        if not self.request_sizes:
            # The application may have left a body unread.
            self.cycle.body.clear()
        if self.place is self.guard.fresh:
            self.guard.move(self, self.guard.idle)
        elif self.place is self.guard.receiving and not self.is_served:
            # What follows has had no time before, as reading was paused.
            self.guard.move(self, self.guard.receiving)
        self.flow.resume_reading()
        if self.pipeline:
            self._start_asgi_task(*self.pipeline.pop())

    def pause_writing(self) -> None:
        """Note that the caller does not read."""
        super().pause_writing()
        self.guard.blocked[self] = self.loop.time()
        self._hold(WRITE_BUFFER_BYTES)

    def resume_writing(self) -> None:
        """Note that the caller reads again."""
        super().resume_writing()
        if self.guard.blocked.pop(self, None) is not None:
            self._hold(-WRITE_BUFFER_BYTES)

    def refuse(self, status: int, reason: str) -> None:
        """Answer with a status if that is possible, and close."""
        self.guard.count(reason, self.peer)
        if status and self._may_answer():
            self.transport.write(encode_refusal(status, reason))
        self._drop_request()
        self.is_refused = True
        self.guard.release(self)
        self.close()

    def close(self) -> None:
        """Close the connection, after a wait if the caller is sending."""
        self.transport.close()
        self._move_to(self.guard.closing)

    def abort(self) -> None:
        """End the connection at once."""
        self._drop_request()
        self.transport.abort()

    def _feed(self, data: bytes) -> None:
        """Give a slice to the parser; drop it if the transport is closing."""
        if self.transport.is_closing():
            return
        try:
            self._parse(data)
        except RequestRefused as refused:
            self.refuse(refused.status, refused.reason)

    def _parse(self, data: bytes) -> None:
        bounds = self.bounds
        begun_messages = bounds.begun_messages
        body_size = bounds.body_size
        was_in_head = bounds.is_in_head
        was_in_body = bounds.is_in_body
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # No other protocol is spoken here, and the parser takes no more.
            self.cycle.keep_alive = False
        except httptools.HttpParserError as error:
            raise _find_refusal(error) from error
        is_edge = (
            bounds.begun_messages != begun_messages
            or bounds.is_in_head != was_in_head
            or bounds.is_in_body != was_in_body
        )
        if is_edge:
            bounds.count_edge()
        else:
            bounds.count_within(len(data), bounds.body_size - body_size)
        if bounds.is_in_head or bounds.is_in_body:
            if bounds.begun_messages != begun_messages:
                self.guard.move(self, self.guard.receiving)
            self._wait_for_rest(len(data))
        elif self.place is self.guard.receiving:
            self.guard.move(self, self.guard.idle)

    def _wait_for_rest(self, size: int) -> None:
        """Note that a request is incomplete after a slice."""
        bounds = self.bounds
        bounds.head_bytes = self.guard.terms.head_bytes
        if bounds.is_in_head:
            self.head_held += size
            self._hold(size)
        self.active_at = self.loop.time()
        self._move_to(self.guard.receiving)
        if self.guard.is_full and not self.guard.make_room(self):
            raise RequestRefused(UNAVAILABLE_STATUS, NO_MEMORY)

    def _hold(self, size: int) -> None:
        self.held_bytes += size
        self.guard.used_bytes += size

    def _move_to(self, place: Place) -> None:
        if self.place is not place:
            self.guard.move(self, place)

    def _may_answer(self) -> bool:
        """Return whether a refusal would be the next answer, and be true."""
        if not self.bounds.is_in_body:
            return not self.request_sizes
        return (
            len(self.request_sizes) == 1
            and not self.cycle.response_started
            and self.scope['method'] in BODY_METHODS
        )

    def _drop_request(self) -> None:
        """Let the application see that the caller has gone."""
        self.request_sizes.clear()
        self.head_held = 0
        cycle = self.cycle
        if self.bounds.is_in_body and cycle is not None:
            cycle.disconnected = True
            cycle.body.clear()
            cycle.message_event.set()

    def _is_mid_request(self) -> bool:
        return self.is_refused or super()._is_mid_request()


def _find_refusal(error: httptools.HttpParserError) -> RequestRefused:
    cause = error.__context__
    if isinstance(cause, RequestRefused):
        return cause
    return RequestRefused(BAD_REQUEST, 'malformed request')


async def refuse_for_memory(scope: Any, receive: Any, send: Any) -> None:
    """Refuse a request that the application has not seen; an ASGI app."""
    body = _encode_body(UNAVAILABLE_STATUS, NO_MEMORY)
    await send(
        {
            'type': 'http.response.start',
            'status': UNAVAILABLE_STATUS,
            'headers': [
                (b'content-type', b'application/json'),
                (b'content-length', str(len(body)).encode()),
                (b'retry-after', b'1'),
                (b'connection', b'close'),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': body})


def encode_refusal(status: int, reason: str) -> bytes:
    """Return a whole response."""
    body = _encode_body(status, reason)
    phrase = http.HTTPStatus(status).phrase.encode()
    retry = b'Retry-After: 1\r\n' if status == UNAVAILABLE_STATUS else b''
    return (
        b'HTTP/1.1 %d %b\r\nContent-Type: application/json\r\n'
        b'Content-Length: %d\r\n%bConnection: close\r\n\r\n%b'
    ) % (status, phrase, len(body), retry, body)


def _encode_body(status: int, reason: str) -> bytes:
    name = http.HTTPStatus(status).name.lower().replace('_', '-')
    return REFUSAL_BODY % (name.encode(), reason.encode())
