"""One node's connections to the worker stand-ins, in the same process."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from typing import Any, Final, TypeVar, final

import msgspec

from berylspread.backend.interface import (
    CallReply,
    CallRequest,
    SyncReply,
    SyncRequest,
)
from berylspread.kernel.errors import Failure, WorkerUnreachable
from berylspread.model import Vm
from berylspread_standins.exchange import exchange
from berylspread_standins.gate import Gate
from berylspread_standins.network import Endpoint, Network
from berylspread_standins.worker import Worker

CLIENT_TIMEOUT_S: Final = 2.0
#: Bytes of a request or an answer besides its body.
HEADER_BYTES: Final = 200

ReplyT = TypeVar('ReplyT')


@final
class WorkerLinkFaults:
    """What goes wrong between one node and the workers."""

    __slots__ = ('cut_workers', 'delay_s', 'drop_after', 'drop_before')

    def __init__(self) -> None:
        """Start without faults."""
        #: Addresses of workers that this node cannot reach.
        self.cut_workers: set[str] = set()
        self.delay_s = 0.0
        #: Probability that a request is lost before it has effect.
        self.drop_before = 0.0
        #: Probability that an answer is lost after the effect.
        self.drop_after = 0.0


@final
class LocalWorkers:
    """Implements ``Workers``; ``fleet`` maps addresses to workers.

    The failure's field ``sent`` is ``False`` only where no connection was kept
    from an earlier exchange and none could be made.
    """

    __slots__ = (
        'connected',
        'faults',
        'fleet',
        'gate',
        'network',
        'node',
        'rng',
        'timeout_s',
    )

    def __init__(
        self,
        fleet: Mapping[str, Worker],
        rng: random.Random,
        *,
        timeout_s: float = CLIENT_TIMEOUT_S,
        gate: Gate | None = None,
        network: Network | None = None,
        node: Endpoint | None = None,
    ) -> None:
        """Connect ``node`` to the fleet over the network."""
        self.fleet = fleet
        self.rng = rng
        self.timeout_s = timeout_s
        self.gate = gate or Gate()
        self.network = network
        self.node = node or Endpoint('client', '')
        self.connected: set[str] = set()
        self.faults = WorkerLinkFaults()

    async def sync(self, vm: Vm, request: SyncRequest) -> SyncReply | Failure:
        """Exchange with one worker, or return ``WorkerUnreachable``."""
        return await self._exchange(
            vm,
            request,
            lambda worker: worker.sync(request),
            self.timeout_s + request.wait_s,
        )

    async def call(self, vm: Vm, request: CallRequest) -> CallReply | Failure:
        """Run a call, or return ``WorkerUnreachable`` with ``sent``."""
        return await self._exchange(
            vm,
            request,
            lambda worker: _call(worker, request),
            request.timeout_s,
        )

    async def _exchange(
        self,
        vm: Vm,
        request: SyncRequest | CallRequest,
        serve: Callable[[Worker], Awaitable[ReplyT | Failure]],
        timeout_s: float,
    ) -> ReplyT | Failure:
        await self.gate.wait()
        if vm.address not in self.connected and not self._is_reachable(vm):
            # Without a connection no byte of the request goes out.
            await asyncio.sleep(timeout_s)
            await self.gate.wait()
            return WorkerUnreachable('no connection in time', sent=False)
        answer = await exchange(
            self._serve(vm, request, serve), timeout_s=timeout_s
        )
        await self.gate.wait()
        if answer is None:
            self.connected.discard(vm.address)
            return WorkerUnreachable('no answer in time', sent=True)
        self.connected.add(vm.address)
        return answer

    async def _serve(
        self,
        vm: Vm,
        request: SyncRequest | CallRequest,
        serve: Callable[[Worker], Awaitable[ReplyT | Failure]],
    ) -> ReplyT | Failure | None:
        # What a paused node was about to send goes out when it resumes.
        await self.gate.wait()
        worker = self.fleet.get(vm.address)
        if worker is None or not await self._travel(vm, request, inbound=True):
            return None
        if worker.faults.is_unreachable or self._happens(
            self.faults.drop_before
        ):
            return None
        answer = await serve(worker)
        if worker.faults.is_unreachable or self._happens(
            max(self.faults.drop_after, worker.faults.lose_answer)
        ):
            return None
        arrived = await self._travel(vm, answer, inbound=False)
        return answer if arrived else None

    async def _travel(self, vm: Vm, body: Any, *, inbound: bool) -> bool:
        if vm.address in self.faults.cut_workers:
            return False
        await asyncio.sleep(self.faults.delay_s)
        if self.network is None:
            return True
        place = _endpoint(vm)
        ends = (self.node, place) if inbound else (place, self.node)
        size = HEADER_BYTES
        if place.region != self.node.region:
            size += _size(body)
        return await self.network.carry(*ends, size, _purpose(body))

    def _is_reachable(self, vm: Vm) -> bool:
        worker = self.fleet.get(vm.address)
        if worker is None or worker.faults.is_unreachable:
            return False
        if vm.address in self.faults.cut_workers:
            return False
        if self.network is None:
            return True
        place = _endpoint(vm)
        return not (
            self.network.is_cut(self.node, place)
            or self.network.is_cut(place, self.node)
        )

    def _happens(self, probability: float) -> bool:
        return probability > 0 and self.rng.random() < probability


async def _call(worker: Worker, request: CallRequest) -> CallReply | Failure:
    if len(worker.calls) >= worker.connections:
        return WorkerUnreachable('connections in use', sent=False)
    return await worker.call(request)


def _endpoint(vm: Vm) -> Endpoint:
    return Endpoint(vm.vm_id, vm.region, vm.zone)


def _size(body: Any) -> int:
    if isinstance(body, CallRequest | CallReply):
        return len(body.body)
    if isinstance(body, Failure):
        return 0
    return len(msgspec.json.encode(body))


def _purpose(body: Any) -> str:
    is_call = isinstance(body, CallRequest | CallReply)
    return 'worker-call' if is_call else 'worker-sync'
