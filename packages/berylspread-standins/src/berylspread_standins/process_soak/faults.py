"""The faults that a run injects; each ends what it began."""

import asyncio
import random
import signal
from collections.abc import Set
from typing import Final, final

from berylspread.kernel.registry import Plugin, Registry
from berylspread_standins.process_soak.crowds import Crowd
from berylspread_standins.process_soak.fleet import (
    OTHER_SERVICE,
    SERVICE,
    ZONES,
    NodeProcess,
    ProcessFleet,
)
from berylspread_standins.process_soak.proxy import Direction, LoopbackProxy

SHORTEST_S: Final = 0.5
LONGEST_S: Final = 5.0
DELAY_S: Final = 0.25
#: The usual time of the store's replies.
ANSWER_S: Final = 0.004
LATE_SHARE: Final = 0.3
MAX_CLOCK_OFF_S: Final = 30.0
#: Cuts of a task's workers, each longer than a lease.
WORKER_CUTS: Final = 4
WORKER_CUT_S: Final = 4.6
#: Longer than starts may go on in a closed zone.
LONGEST_CLOSED_S: Final = 9.0
#: How often the history is forgotten right before a zone is opened.
FORGOTTEN_SHARE: Final = 0.5
#: Between two kills: up to a takeover and a while.
LONGEST_GAP_S: Final = 3.0
#: A crowd of callers, of which no request becomes complete.
CROWD_CONNECTIONS: Final = 40
CROWD_BYTES: Final = 500_000
CROWD_KINDS: Final = (
    'short header lines without end',
    'one header value without end',
    'empty lines without end',
    'trailers without end',
    'bodies all but one byte',
    'pipelined requests',
    'slow heads',
    'silence',
)
BOTH_WAYS: Final = frozenset(Direction)


class ProcessFault(Plugin):
    """Injects one fault and takes it back."""

    #: Whether nothing can be accepted while it lasts.
    halts = False

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Bring the fault about, hold it, and heal it."""
        raise NotImplementedError

    async def hold(self, rng: random.Random) -> None:
        """Let the fault last."""
        await asyncio.sleep(rng.uniform(SHORTEST_S, LONGEST_S))


faults: Final[Registry[ProcessFault]] = Registry('process fault')


@faults.register
@final
class Kill(ProcessFault):
    """A program is killed and started again."""

    name = 'kill'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Kill one program."""
        node = rng.choice(fleet.nodes)
        node.send(signal.SIGKILL)
        await asyncio.sleep(rng.random())
        await fleet.restart(node)


@faults.register
@final
class KillAll(ProcessFault):
    """All programs are killed at once and started again."""

    name = 'kill-all'
    halts = True

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Kill every program."""
        for node in fleet.nodes:
            node.send(signal.SIGKILL)
        await asyncio.gather(*(fleet.restart(node) for node in fleet.nodes))


@faults.register
@final
class Pause(ProcessFault):
    """A program stands still and goes on."""

    name = 'pause'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Suspend one program for a while."""
        node = rng.choice(fleet.nodes)
        node.send(signal.SIGSTOP)
        try:
            await self.hold(rng)
        finally:
            node.send(signal.SIGCONT)


@faults.register
@final
class Stop(ProcessFault):
    """A program is asked to stop, and started again."""

    name = 'stop'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Stop one program with grace; a second fault may suspend it."""
        node = rng.choice(fleet.nodes)
        node.send(signal.SIGTERM)
        await fleet.restart(node)


@faults.register
@final
class CallerCrowd(ProcessFault):
    """Callers outside the limits come to one program."""

    name = 'crowd'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Let a crowd of one kind send to one program for a while."""
        node = rng.choice(fleet.nodes)
        crowd = Crowd(rng.choice(CROWD_KINDS), node.front, CROWD_BYTES)
        sending = asyncio.create_task(crowd.send(CROWD_CONNECTIONS))
        try:
            await self.hold(rng)
        finally:
            sending.cancel()
            await asyncio.gather(sending, return_exceptions=True)
            crowd.close()


class LinkFault(ProcessFault):
    """Harms one proxied way; subclasses choose which."""

    def choose(
        self, fleet: ProcessFleet, rng: random.Random
    ) -> list[LoopbackProxy]:
        """Return the proxies of the harmed ways."""
        raise NotImplementedError

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Delay, silence, cut one way or reset for a while."""
        harm = rng.choice((_delay, silence, _reset))
        proxies = self.choose(fleet, rng)
        way = rng.choice((BOTH_WAYS, *({each} for each in Direction)))
        for proxy in proxies:
            harm(proxy, way)
        try:
            await self.hold(rng)
        finally:
            for proxy in proxies:
                heal(proxy)


@faults.register
@final
class StoreLink(LinkFault):
    """The way of one or of all nodes to the store is harmed."""

    name = 'store-link'

    def choose(
        self, fleet: ProcessFleet, rng: random.Random
    ) -> list[LoopbackProxy]:
        """Choose one node, or all."""
        nodes: list[NodeProcess] = rng.choice(
            ([rng.choice(fleet.nodes)], fleet.nodes)
        )
        return [node.proxy for node in nodes]


@faults.register
@final
class WorkerLink(LinkFault):
    """The way to a third of the workers is harmed."""

    name = 'worker-link'

    def choose(
        self, fleet: ProcessFleet, rng: random.Random
    ) -> list[LoopbackProxy]:
        """Choose a third of the workers."""
        proxies = list(fleet.worker_proxies.values())
        return rng.sample(proxies, k=max(len(proxies) // 3, 1))


@faults.register
@final
class StoreOutage(ProcessFault):
    """The store refuses every call, and is slow after that."""

    name = 'store-outage'
    halts = True

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Refuse, then answer slowly."""
        fleet.store.is_down = True
        try:
            await self.hold(rng)
        finally:
            fleet.store.is_down = False
        fleet.store.answer_s = DELAY_S
        try:
            await self.hold(rng)
        finally:
            # Two outages may overlap: the slow one is not the usual time.
            fleet.store.answer_s = ANSWER_S


@faults.register
@final
class StoreLate(ProcessFault):
    """The store carries out some appends seconds late."""

    name = 'store-late'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Let some appends be late."""
        fleet.store.late_share = LATE_SHARE
        try:
            await self.hold(rng)
        finally:
            fleet.store.late_share = 0.0


@faults.register
@final
class ClockStep(ProcessFault):
    """A VM's clock steps; its program starts with the wrong time of day."""

    name = 'clock-step'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Let one program start with a wrong clock, and again without."""
        node = rng.choice(fleet.nodes)
        node.clock_off_s = rng.uniform(-MAX_CLOCK_OFF_S, MAX_CLOCK_OFF_S)
        try:
            node.send(signal.SIGKILL)
            await fleet.restart(node)
            await self.hold(rng)
        finally:
            node.clock_off_s = 0.0
        node.send(signal.SIGKILL)
        await fleet.restart(node)


@faults.register
@final
class WorkerReplaced(ProcessFault):
    """A worker vanishes and another one comes under a new name."""

    name = 'worker-replaced'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Replace one worker."""
        await fleet.replace_worker(rng.choice(list(fleet.worker_proxies)))


@faults.register
@final
class WorkerRestart(ProcessFault):
    """A worker loses all and begins another life under its id."""

    name = 'worker-restart'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Restart one worker."""
        fleet.restart_worker(rng.choice(list(fleet.worker_proxies)))


@faults.register
@final
class WorkerFails(ProcessFault):
    """A worker fails all that it starts."""

    name = 'worker-fails'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Let one worker fail for a while."""
        worker = fleet.workers[rng.choice(list(fleet.worker_proxies))]
        worker.fails_all = True
        try:
            await self.hold(rng)
        finally:
            worker.fails_all = False


@faults.register
@final
class WorkerCuts(ProcessFault):
    """The workers of one task are cut off one after the other, and run on."""

    name = 'worker-cuts'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Cut off the worker of the newest run of a task, several times."""
        task = ''
        for _ in range(WORKER_CUTS):
            run = fleet.newest_run(task)
            if run is None or run.worker not in fleet.worker_proxies:
                return
            task = run.task
            proxy = fleet.worker_proxies[run.worker]
            silence(proxy, BOTH_WAYS)
            try:
                await asyncio.sleep(WORKER_CUT_S)
            finally:
                heal(proxy)


@faults.register
@final
class LostInTurn(ProcessFault):
    """A worker is lost for good, and then one program after the other."""

    name = 'lost-in-turn'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Replace a worker and kill the programs in turn."""
        await fleet.replace_worker(rng.choice(list(fleet.worker_proxies)))
        for node in fleet.nodes:
            node.send(signal.SIGKILL)
            await fleet.restart(node)
            await asyncio.sleep(rng.uniform(0, LONGEST_GAP_S))


@faults.register
@final
class QueueMoved(ProcessFault):
    """The queue is sent to another service, and back."""

    name = 'queue-moved'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Publish two versions of the configuration."""
        fleet.send_queue_to(OTHER_SERVICE)
        try:
            await self.hold(rng)
        finally:
            fleet.send_queue_to(SERVICE)


@final
class ZoneClosed(ProcessFault):
    """The operator empties a zone and takes that back.

    It is in a series of its own, so that the faults of earlier seeds stay.
    """

    name = 'zone-closed'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Close a zone, and forget the history at some moment meanwhile."""
        zone = rng.choice(ZONES)
        if fleet.closures.is_closed(zone):
            return
        fleet.close_zone(zone)
        try:
            await asyncio.sleep(rng.uniform(SHORTEST_S, LONGEST_CLOSED_S))
            if rng.random() < FORGOTTEN_SHARE:
                fleet.store.forget('keyed.op')
        finally:
            fleet.open_zone(zone)


def _delay(proxy: LoopbackProxy, way: Set[Direction]) -> None:
    proxy.delay_s = DELAY_S


def silence(proxy: LoopbackProxy, way: Set[Direction]) -> None:
    """Lose what is sent in some directions."""
    proxy.silent |= way


def _reset(proxy: LoopbackProxy, way: Set[Direction]) -> None:
    proxy.reset()


def heal(proxy: LoopbackProxy) -> None:
    """Take back a delay or a silence."""
    proxy.delay_s = 0.0
    if proxy.silent:
        proxy.silent.clear()
        # What was dropped is missing in the middle of a stream.
        proxy.reset()
