"""The protocol towards backend servers over HTTP.

Names travel percent-encoded in headers, so that any text is safe there.
"""

import collections
from http import HTTPStatus
from typing import Final, final
from urllib.parse import quote

import msgspec

from berylspread.backend.http_pool import (
    ConnectionPool,
    HttpResponse,
    ResponseMismatch,
)
from berylspread.backend.interface import (
    CallReply,
    CallRequest,
    SyncReply,
    SyncRequest,
)
from berylspread.kernel import errors
from berylspread.kernel.errors import Failure, WireFailure, WorkerUnreachable
from berylspread.model import DIMENSIONS, Resources, Vm

SYNC_PATH: Final = '/v1/sync'
CALL_PATH: Final = '/v1/call'
REQUEST_ID_HEADER: Final = 'X-Request-Id'
ATTEMPT_HEADER: Final = 'X-Attempt'
REFUSED_HEADER: Final = 'X-Refused'
JSON_TYPE: Final = 'application/json'
RAW_TYPE: Final = 'application/octet-stream'

#: Connections that a backend server accepts.
MAX_WORKER_CONNECTIONS: Final = 64
#: Entry VMs that share a backend server's connections.
SHARING_NODES: Final = 9
#: A rack's owner syncs over two: one waits for changes, one starts tasks.
SYNC_CONNECTIONS: Final = 2
#: During a handover the old owner and the new one hold theirs at once.
SYNCING_NODES: Final = 2
#: One node's share of a backend server's connections for calls.
CALL_CONNECTIONS: Final = (
    MAX_WORKER_CONNECTIONS - SYNCING_NODES * SYNC_CONNECTIONS
) // SHARING_NODES
SYNC_TIMEOUT_S: Final = 5.0
#: Beyond this the least recently used idle pool gives way to a new one.
MAX_POOLS: Final = 256
#: ASCII characters that stay as they are in a header.
HEADER_SAFE: Final = "!#$&'()*+,/:;<=>?@[]^`{|}"


@final
class WorkerPools:
    """One backend server's pools, apart so that calls cannot starve syncs."""

    __slots__ = ('calls', 'syncs')

    def __init__(self, address: str, call_connections: int) -> None:
        """Connect on demand to ``address``, an ``IP:port``."""
        self.syncs = ConnectionPool(address, SYNC_CONNECTIONS)
        self.calls = ConnectionPool(address, call_connections)

    @property
    def is_busy(self) -> bool:
        """Return whether a request is in flight."""
        return bool(self.syncs.in_flight or self.calls.in_flight)

    async def close(self) -> None:
        """Close the connections."""
        await self.syncs.close()
        await self.calls.close()


@final
class HttpBackendClient:
    """Connections to the backend servers; implements ``Workers``."""

    __slots__ = (
        'call_connections',
        'encoder',
        'pools',
        'refusal_decoder',
        'reply_decoder',
    )

    def __init__(self, *, call_connections: int = CALL_CONNECTIONS) -> None:
        """Take this node's share of a backend server's calls at once."""
        self.call_connections = call_connections
        self.pools: collections.OrderedDict[str, WorkerPools] = (
            collections.OrderedDict()
        )
        self.encoder = msgspec.json.Encoder()
        self.reply_decoder = msgspec.json.Decoder(SyncReply)
        self.refusal_decoder = msgspec.json.Decoder(WireFailure)

    async def sync(self, vm: Vm, request: SyncRequest) -> SyncReply | Failure:
        """Exchange with one worker.

        Returns:
            The worker's reply; ``WorkerUnreachable`` without an answer;
            ``AnswerMismatch`` for an answer that is not whole or not of this
            worker; or the worker's own refusal, as ``StaleEpoch``.

        """
        pools = await self._get_pools(vm)
        answer = await pools.syncs.post(
            SYNC_PATH,
            self.encoder.encode(request),
            {'Content-Type': JSON_TYPE},
            timeout_s=SYNC_TIMEOUT_S + request.wait_s,
        )
        if isinstance(answer, Failure):
            return answer
        if answer.status != HTTPStatus.OK:
            return self._decode_refusal(answer)
        try:
            reply = self.reply_decoder.decode(answer.body)
        except msgspec.DecodeError as error:
            return ResponseMismatch(f'malformed answer: {error}')
        if reply.worker != vm.vm_id:
            return ResponseMismatch(
                'answer of another worker',
                expected=vm.vm_id,
                answered=reply.worker,
            )
        return reply

    async def call(self, vm: Vm, request: CallRequest) -> CallReply | Failure:
        """Run a call.

        Returns:
            The whole answer; ``WorkerUnreachable`` with the field ``sent``,
            which is ``False`` only if no byte of the request was sent;
            ``AnswerMismatch`` for an answer that is not whole or not to this
            request and attempt; or the worker's own refusal, as ``StaleEpoch``.

        """
        pools = await self._get_pools(vm)
        headers = _call_headers(request)
        answer = await pools.calls.post(
            CALL_PATH, request.body, headers, timeout_s=request.timeout_s
        )
        if isinstance(answer, Failure):
            return answer
        if REFUSED_HEADER in answer.headers:
            return self._decode_refusal(answer)
        for name in (REQUEST_ID_HEADER, ATTEMPT_HEADER):
            if answer.headers.get(name) != headers[name]:
                return ResponseMismatch(
                    'answer to another request',
                    header=name,
                    expected=headers[name],
                    answered=answer.headers.get(name, ''),
                )
        return CallReply(
            request.request_id,
            request.attempt,
            answer.status,
            answer.body,
            answer.headers.get('Content-Type', RAW_TYPE),
        )

    async def close(self) -> None:
        """Close all connections."""
        while self.pools:
            _, pools = self.pools.popitem()
            await pools.close()

    async def _get_pools(self, vm: Vm) -> WorkerPools:
        found = self.pools.get(vm.address)
        if found is None:
            await self._evict_idle_pools()
            found = WorkerPools(vm.address, self.call_connections)
            self.pools[vm.address] = found
        self.pools.move_to_end(vm.address)
        return found

    async def _evict_idle_pools(self) -> None:
        """Close the least recently used pool if there are many."""
        if len(self.pools) < MAX_POOLS:
            return
        idle = (
            address
            for address, pools in self.pools.items()
            if not pools.is_busy
        )
        oldest = next(idle, None)
        if oldest is not None:
            await self.pools.pop(oldest).close()

    def _decode_refusal(self, answer: HttpResponse) -> Failure:
        try:
            return errors.from_wire(self.refusal_decoder.decode(answer.body))
        except (msgspec.DecodeError, TypeError):
            return WorkerUnreachable('refused', sent=True, status=answer.status)


def _call_headers(request: CallRequest) -> dict[str, str]:
    headers = {
        REQUEST_ID_HEADER: _percent_encode(request.request_id),
        ATTEMPT_HEADER: str(request.attempt),
        'X-Team': _percent_encode(request.team),
        'X-Queue': _percent_encode(request.queue),
        'X-Unit': _percent_encode(request.unit),
        'X-Epoch': str(request.epoch),
        'X-Timeout-S': f'{request.timeout_s:.3f}',
        'X-Shape': ','.join(
            str(amount) for amount in _shape_amounts(request.shape)
        ),
        'Content-Type': _percent_encode(request.content_type, ' "'),
    }
    if request.traceparent:
        headers['traceparent'] = _percent_encode(request.traceparent)
    return headers


def _shape_amounts(shape: Resources) -> list[int]:
    return [getattr(shape, name) for name in DIMENSIONS]


def _percent_encode(raw: str, also_safe: str = '') -> str:
    return quote(raw, safe=HEADER_SAFE + also_safe)
