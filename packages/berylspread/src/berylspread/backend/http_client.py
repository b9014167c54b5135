"""HTTP client for backend servers.

Names are percent-encoded in headers, so that they may contain any text.
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

#: Largest number of connections that a backend server accepts.
MAX_WORKER_CONNECTIONS: Final = 64
#: Entry VMs that share a backend server's connections.
SHARING_NODES: Final = 9
#: A rack's owner uses two: one waits for changes, the other starts tasks.
SYNC_CONNECTIONS: Final = 2
#: During a handover both the old and the new owner have connections.
SYNCING_NODES: Final = 2
#: One node's share of a backend server's connections for calls.
CALL_CONNECTIONS: Final = (
    MAX_WORKER_CONNECTIONS - SYNCING_NODES * SYNC_CONNECTIONS
) // SHARING_NODES
SYNC_TIMEOUT_S: Final = 5.0
#: Above this number the least recently used idle pool is closed for a new one.
MAX_POOLS: Final = 256
#: ASCII characters that are not percent-encoded in a header.
HEADER_SAFE: Final = "!#$&'()*+,/:;<=>?@[]^`{|}"


@final
class WorkerPools:
    """Connection pools of one backend server.

    Calls and syncs have separate pools, so that calls cannot starve syncs.
    """

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
    """Client of the backend servers; implements ``BackendClient``."""

    __slots__ = (
        'call_connections',
        'encoder',
        'pools',
        'refusal_decoder',
        'reply_decoder',
    )

    def __init__(self, *, call_connections: int = CALL_CONNECTIONS) -> None:
        """Use at most ``call_connections`` connections per server for calls."""
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
            The worker's reply; ``WorkerUnreachable`` without a response;
            ``ResponseMismatch`` for a response that is incomplete or of another
            worker; or the worker's refusal, for example ``StaleEpoch``.

        """
        pools = await self._get_pools(vm)
        response = await pools.syncs.post(
            SYNC_PATH,
            self.encoder.encode(request),
            {'Content-Type': JSON_TYPE},
            timeout_s=SYNC_TIMEOUT_S + request.wait_s,
        )
        if isinstance(response, Failure):
            return response
        if response.status != HTTPStatus.OK:
            return self._decode_refusal(response)
        try:
            reply = self.reply_decoder.decode(response.body)
        except msgspec.DecodeError as error:
            return ResponseMismatch(f'malformed response: {error}')
        if reply.worker != vm.vm_id:
            return ResponseMismatch(
                'response of another worker',
                expected=vm.vm_id,
                answered=reply.worker,
            )
        return reply

    async def call(self, vm: Vm, request: CallRequest) -> CallReply | Failure:
        """Run a call.

        Returns:
            The complete response; ``WorkerUnreachable`` with the field
            ``sent``, which is ``False`` only if no byte of the request was
            sent; ``ResponseMismatch`` for a response that is incomplete or to
            another request or attempt; or the worker's refusal, for example
            ``StaleEpoch``.

        """
        pools = await self._get_pools(vm)
        headers = _call_headers(request)
        response = await pools.calls.post(
            CALL_PATH, request.body, headers, timeout_s=request.timeout_s
        )
        if isinstance(response, Failure):
            return response
        if REFUSED_HEADER in response.headers:
            return self._decode_refusal(response)
        for name in (REQUEST_ID_HEADER, ATTEMPT_HEADER):
            if response.headers.get(name) != headers[name]:
                return ResponseMismatch(
                    'response to another request',
                    header=name,
                    expected=headers[name],
                    answered=response.headers.get(name, ''),
                )
        return CallReply(
            request.request_id,
            request.attempt,
            response.status,
            response.body,
            response.headers.get('Content-Type', RAW_TYPE),
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
        """Close the least recently used idle pool at ``MAX_POOLS`` pools."""
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

    def _decode_refusal(self, response: HttpResponse) -> Failure:
        try:
            return errors.from_wire(self.refusal_decoder.decode(response.body))
        except (msgspec.DecodeError, TypeError):
            return WorkerUnreachable(
                'refused', sent=True, status=response.status
            )


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
