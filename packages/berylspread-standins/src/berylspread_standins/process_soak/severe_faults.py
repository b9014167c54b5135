"""Faults of a series of their own, which a run injects if it is severe.

They last longer than those of ``faults``, or tell one node from another.
"""

import asyncio
import contextlib
import random
import signal
from typing import Final, final

from berylspread.kernel.clock import now
from berylspread.kernel.registry import Registry
from berylspread_standins.coordinated.lease import WorkerClock
from berylspread_standins.coordinated.wire import AnswerHold
from berylspread_standins.process_soak.faults import (
    BOTH_WAYS,
    LinkFault,
    ProcessFault,
    heal,
    silence,
)
from berylspread_standins.process_soak.fleet import NodeProcess, ProcessFleet
from berylspread_standins.process_soak.proxy import LoopbackProxy

SHORTEST_CUT_S: Final = 0.5
#: Longer than the wait for inherited leases.
LONGEST_CUT_S: Final = 12.0
#: Longer than the wait for inherited leases, which is 8.1 s.
SHORTEST_PAUSE_S: Final = 8.5
LONGEST_PAUSE_S: Final = 14.0
#: The share of the pauses that begin before the answer to an append of steps,
#: and how long they wait for one.
HELD_SHARE: Final = 0.6
HELD_LIMIT_S: Final = 1.0
#: The share of these in which the answers are sent right before the pause, and
#: how soon before it.
RELEASED_SHARE: Final = 0.7
LONGEST_ACTING_S: Final = 0.003
#: How long the successors' ways stay cut after the pause.
LONGEST_AFTER_S: Final = 3.0
LONGEST_DOWN_S: Final = 6.0
#: How long after a worker's return its ways stay cut.
LONGEST_CUT_AFTER_S: Final = 8.0
#: The share of the workers that are down behind a cut.
CUT_SHARE: Final = 0.5
#: Orders without an answer, and how late they are carried out.
MOST_LATE_ORDERS: Final = 8
SHORTEST_LATE_S: Final = 2.0
LONGEST_LATE_S: Final = 12.0
#: The platform's lower bound for the rate of a worker's clock.
LOWEST_RATE: Final = 0.98
LARGEST_OFFSET_MS: Final = 1_000_000
#: From an entry's end to the next one, while the store is up.
LONGEST_LAPSE_S: Final = 6.0
#: Entries that lapsed while the store was down are back this soon after it.
LONGEST_RETURN_S: Final = 2.0

severe_faults: Final[Registry[ProcessFault]] = Registry('severe process fault')


@severe_faults.register
@final
class NodeWorkerLink(LinkFault):
    """The ways of some nodes to some workers are harmed, not of all nodes."""

    name = 'node-worker-link'

    def choose(
        self, fleet: ProcessFleet, rng: random.Random
    ) -> list[LoopbackProxy]:
        """Choose some nodes, but not all, and some workers."""
        count = rng.randint(1, max(len(fleet.nodes) - 1, 1))
        return choose_ways(fleet, rng, rng.sample(fleet.node_names(), k=count))

    async def hold(self, rng: random.Random) -> None:
        """Let it last for up to longer than a successor waits for leases."""
        await asyncio.sleep(rng.uniform(SHORTEST_CUT_S, LONGEST_CUT_S))


@severe_faults.register
@final
class EntryLapse(ProcessFault):
    """The entries of some workers lapse while the workers run on."""

    name = 'entry-lapse'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Remove entries, and write them again after a while."""
        workers = choose_workers(fleet, rng)
        for worker in workers:
            fleet.lapse_entry(worker)
        try:
            await asyncio.sleep(rng.uniform(0, LONGEST_LAPSE_S))
        finally:
            for worker in workers:
                fleet.write_entry(worker)


@severe_faults.register
@final
class StoreLapse(ProcessFault):
    """Entries lapse while the store is down, and come back after it."""

    name = 'store-lapse'
    halts = True

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Let entries lapse at some moment of an outage."""
        workers = choose_workers(fleet, rng)
        fleet.store.is_down = True
        try:
            await self.hold(rng)
            for worker in workers:
                fleet.lapse_entry(worker)
            await self.hold(rng)
        finally:
            fleet.store.is_down = False
            await _return_entries(fleet, rng, workers)


@severe_faults.register
@final
class WorkerDown(ProcessFault):
    """A worker is down for a while and begins another life under its id."""

    name = 'worker-down'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Take a worker down, at times behind a cut from some nodes."""
        worker = rng.choice(list(fleet.worker_proxies))
        count = rng.randint(0, len(fleet.nodes))
        is_cut = rng.random() < CUT_SHARE
        ways = [
            node.relays[worker]
            for node in rng.sample(fleet.nodes, k=count * is_cut)
        ]
        for way in ways:
            silence(way, BOTH_WAYS)
        try:
            await self._restart(fleet, worker, rng)
            await asyncio.sleep(rng.uniform(0, LONGEST_CUT_AFTER_S) * is_cut)
        finally:
            for way in ways:
                heal(way)

    async def _restart(
        self, fleet: ProcessFleet, worker: str, rng: random.Random
    ) -> None:
        await asyncio.sleep(rng.random())
        if worker not in fleet.worker_proxies:
            return
        fleet.take_worker_down(worker)
        try:
            await asyncio.sleep(rng.uniform(0, LONGEST_DOWN_S))
        finally:
            fleet.bring_worker_up(worker, draw_clock(rng))


@severe_faults.register
@final
class OrdersLate(ProcessFault):
    """Orders to some workers get no answer and are carried out late."""

    name = 'orders-late'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Let some orders of some workers be late."""
        faults = [
            fleet.workers[name].orders for name in choose_workers(fleet, rng)
        ]
        for each in faults:
            each.mute = rng.randint(1, MOST_LATE_ORDERS)
            each.delay_s = rng.uniform(SHORTEST_LATE_S, LONGEST_LATE_S)
        try:
            await self.hold(rng)
        finally:
            for each in faults:
                each.mute = 0


@final
class LongPause(ProcessFault):
    """The coordinator stands still for longer than leases are waited for.

    Meanwhile the other nodes are cut off from some workers.  It is in a series
    of its own: it lasts longer than the others.
    """

    name = 'long-pause'

    async def inject(self, fleet: ProcessFleet, rng: random.Random) -> None:
        """Suspend the coordinator, and let it go on before its successor."""
        node = fleet.coordinating_node() or rng.choice(fleet.nodes)
        others = [name for name in fleet.node_names() if name != node.name]
        ways = choose_ways(fleet, rng, others)
        try:
            if rng.random() < HELD_SHARE:
                await stop_with_held_answers(node, rng)
            node.send(signal.SIGSTOP)
            await self._cut(ways, node, rng)
        finally:
            node.send(signal.SIGCONT)
            for way in ways:
                heal(way)

    async def _cut(
        self, ways: list[LoopbackProxy], node: NodeProcess, rng: random.Random
    ) -> None:
        for way in ways:
            silence(way, BOTH_WAYS)
        await asyncio.sleep(rng.uniform(SHORTEST_PAUSE_S, LONGEST_PAUSE_S))
        node.send(signal.SIGCONT)
        await asyncio.sleep(rng.uniform(0, LONGEST_AFTER_S))


async def stop_with_held_answers(node: NodeProcess, rng: random.Random) -> None:
    """Suspend a node while answers to its appends of steps are due.

    They are sent right after that, or so soon before it that the program may
    stand still while it acts on them.
    """
    hold = AnswerHold()
    node.store_app.answer_hold = hold
    try:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(HELD_LIMIT_S):
                await hold.held.wait()
                await asyncio.sleep(rng.random() * HELD_LIMIT_S)
        if rng.random() < RELEASED_SHARE:
            hold.released.set()
            await asyncio.sleep(rng.uniform(0, LONGEST_ACTING_S))
        node.send(signal.SIGSTOP)
    finally:
        node.store_app.answer_hold = None
        hold.released.set()


async def _return_entries(
    fleet: ProcessFleet, rng: random.Random, workers: list[str]
) -> None:
    """Write the entries again, one after the other, unless cancelled."""
    due = list(workers)
    try:
        while due:
            await asyncio.sleep(rng.uniform(0, LONGEST_RETURN_S / len(workers)))
            fleet.write_entry(due.pop())
    finally:
        for worker in due:
            fleet.write_entry(worker)


def draw_clock(rng: random.Random) -> WorkerClock:
    """Return a worker's clock, which may be slow and begins anywhere."""
    return WorkerClock(
        rate=rng.uniform(LOWEST_RATE, 1.0),
        offset_ms=rng.randrange(LARGEST_OFFSET_MS),
        began_at=now(),
    )


def choose_workers(fleet: ProcessFleet, rng: random.Random) -> list[str]:
    """Choose some of the workers, or all."""
    names = list(fleet.worker_proxies)
    return rng.sample(names, k=rng.randint(1, len(names)))


def choose_ways(
    fleet: ProcessFleet, rng: random.Random, nodes: list[str]
) -> list[LoopbackProxy]:
    """Return the ways of the nodes to some of the workers, or to all."""
    workers = choose_workers(fleet, rng)
    return [
        node.relays[worker]
        for node in fleet.nodes
        if node.name in nodes
        for worker in workers
    ]
