"""The kinds of faults: each is a coroutine that lasts as long as the fault."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final

from berylspread.kernel.clock import now
from berylspread_standins.coordinated import WorkerStandin
from berylspread_standins.coordinator_soak.cell import Cell
from berylspread_standins.coordinator_soak.links import APPEND, ORDER, STORE
from berylspread_standins.coordinator_soak.plan import ANY, Fault
from berylspread_standins.virtual_time import process_context

Inject = Callable[[Cell, Fault], Awaitable[None]]

#: How long a pause waits for the call after which it begins.
TRIGGER_LIMIT_S: Final = 4.0
POLL_S: Final = 0.05
#: A worker that is silent for longer has no entry.
ENTRY_S: Final = 4.5
#: Entries are back this long after the store at the latest.
ENTRY_BACK_S: Final = 2.0
#: The longest way of a call to a slow store, in seconds.
SLOW_S: Final = 4.0
LEAVE_LIMIT_S: Final = 3.0
#: Above this extent, a worker starts again behind a cut from some nodes.
BEHIND_CUT: Final = 0.4
MIN_SHARE: Final = 0.2
#: How much quicker a quick restart of a worker is.
QUICKER: Final = 10

KINDS: Final[dict[str, Inject]] = {}


def kind(inject: Inject) -> Inject:
    """Register a kind of fault under the name of its coroutine."""
    KINDS[inject.__name__] = inject
    return inject


async def inject_fault(cell: Cell, fault: Fault) -> None:
    """Wait for the time of a fault and inject it."""
    await asyncio.sleep(fault.at_s)
    await KINDS[fault.kind](cell, fault)


@kind
async def pause(cell: Cell, fault: Fault) -> None:
    """Let a node stand still."""
    node = cell.find_node(fault.node)
    cell.stand_still(node, fault.number)
    await fault.last()
    cell.go_on(node, fault.number)


@kind
async def pause_after_append(cell: Cell, fault: Fault) -> None:
    """Let a node stand still when its next append has left it."""
    await _pause_after(cell, fault, APPEND)


@kind
async def pause_after_order(cell: Cell, fault: Fault) -> None:
    """Let a node stand still when its next order to start has left it."""
    await _pause_after(cell, fault, ORDER)


async def _pause_after(cell: Cell, fault: Fault, sent: str) -> None:
    node = cell.find_node(fault.node)
    cell.triggers[node] = (sent, fault.number)
    ends_at = now() + TRIGGER_LIMIT_S
    while fault.number not in cell.stills[node] and now() < ends_at:
        await asyncio.sleep(POLL_S)
    cell.triggers.pop(node, None)
    await fault.last()
    cell.go_on(node, fault.number)


@kind
async def cut_store(cell: Cell, fault: Fault) -> None:
    """Cut a node off from the store."""
    with cell.disturbances.cut([(cell.find_node(fault.node), STORE)]):
        await fault.last()


@kind
async def cut_peers(cell: Cell, fault: Fault) -> None:
    """Cut a node off from the other nodes and the callers."""
    node = cell.find_node(fault.node)
    network = cell.fleet.peers.network
    paths = ((node, ANY), (ANY, node))
    for source, target in paths:
        network.cut(source, target)
    await fault.last()
    for source, target in paths:
        network.heal(source, target)


@kind
async def cut_node_from_worker(cell: Cell, fault: Fault) -> None:
    """Cut a node off from one worker."""
    with cell.disturbances.cut([(cell.find_node(fault.node), fault.worker)]):
        await fault.last()


@kind
async def cut_node_from_workers(cell: Cell, fault: Fault) -> None:
    """Cut a node off from a share of the workers."""
    node = cell.find_node(fault.node)
    names = sorted(cell.fleet.workers)
    count = round(len(names) * fault.extent) + 1
    with cell.disturbances.cut([(node, name) for name in names[:count]]):
        await fault.last()


@kind
async def cut_worker(cell: Cell, fault: Fault) -> None:
    """Cut a worker off from all nodes, or from all but one."""
    with cell.disturbances.cut(_cuts_of_worker(cell, fault)):
        await fault.last()


def _cuts_of_worker(cell: Cell, fault: Fault) -> list[tuple[str, str]]:
    """Return cuts from all nodes, or from all but one or two."""
    count = int(fault.extent * 3)
    if not count:
        return [(ANY, fault.worker)]
    first = cell.find_node(fault.node)
    others = [f'n{index}' for index in range(cell.plan.nodes)]
    others.remove(first)
    return [(node, fault.worker) for node in others[count - 1 :]]


@kind
async def restart_worker(cell: Cell, fault: Fault) -> None:
    """Let a worker crash and begin another life, also behind a cut."""
    worker = cell.fleet.workers[fault.worker]
    worker.vanish()
    down_s = fault.lasts_s if fault.is_slow() else fault.lasts_s / QUICKER
    with contextlib.ExitStack() as stack:
        if fault.extent > BEHIND_CUT:
            cuts = _cuts_of_worker(cell, fault)
            stack.enter_context(cell.disturbances.cut(cuts))
        await asyncio.sleep(min(down_s, ENTRY_S))
        if down_s > ENTRY_S:
            cell.fleet.withdraw(fault.worker)
            await asyncio.sleep(down_s - ENTRY_S)
        _begin_life(cell, worker)
        await fault.last()


def _begin_life(cell: Cell, worker: WorkerStandin) -> None:
    worker.restart()
    worker.lease.clock.set(0, worker.lease.clock.rate)
    worker.is_cut = False
    cell.fleet.publish(worker.entry)


@kind
async def lose_orders(cell: Cell, fault: Fault) -> None:
    """Lose a share of the orders to a worker."""
    await _harm(cell.disturbances.lost_orders, fault)


@kind
async def delay_orders(cell: Cell, fault: Fault) -> None:
    """Let a share of the orders to a worker arrive seconds late."""
    await _harm(cell.disturbances.late_orders, fault)


@kind
async def delay_renewals(cell: Cell, fault: Fault) -> None:
    """Let a share of the renewals to a worker arrive late, without a reply."""
    await _harm(cell.disturbances.late_renewals, fault)


async def _harm(shares: dict[str, float], fault: Fault) -> None:
    shares[fault.worker] = max(fault.extent, MIN_SHARE)
    await fault.last()
    shares.pop(fault.worker, None)


@kind
async def stop_store(cell: Cell, fault: Fault) -> None:
    """Let the store be down; some entries lapse and return after it."""
    names = sorted(cell.fleet.workers)
    lapsed = names[: round(len(names) * fault.extent)]
    cell.fleet.store.is_down = True
    await fault.last()
    if fault.lasts_s > ENTRY_S / 3:
        for name in lapsed:
            cell.fleet.withdraw(name)
    cell.fleet.store.is_down = False
    await asyncio.sleep(ENTRY_BACK_S * fault.extent)
    _republish(cell, lapsed)


@kind
async def slow_store(cell: Cell, fault: Fault) -> None:
    """Let the store be slow, so that calls overtake each other."""
    cell.fleet.store.jitter_s = fault.extent * SLOW_S
    await fault.last()
    cell.fleet.store.jitter_s = 0.0


@kind
async def lapse_entry(cell: Cell, fault: Fault) -> None:
    """Let a worker's entry lapse while it lives, and return."""
    cell.fleet.withdraw(fault.worker)
    await fault.last()
    _republish(cell, [fault.worker])


def _republish(cell: Cell, names: list[str]) -> None:
    for name in names:
        worker = cell.fleet.workers[name]
        if not worker.is_down:
            cell.fleet.publish(worker.entry)


@kind
async def hand_over(cell: Cell, fault: Fault) -> None:
    """Let a node leave, and start again."""
    node = cell.find_node(fault.node)
    standin = cell.fleet.nodes.get(node)
    if standin is None:
        return
    leaving = asyncio.get_running_loop().create_task(
        standin.node.leave(), context=process_context(node)
    )
    await asyncio.wait((leaving,), timeout=LEAVE_LIMIT_S)
    await fault.last()
    if cell.fleet.nodes.get(node) is standin:
        cell.kill_node(node)
        leaving.cancel()
        await fault.last()
        cell.start_node(node)


@kind
async def kill_node(cell: Cell, fault: Fault) -> None:
    """Kill a node, and start it again."""
    node = cell.find_node(fault.node)
    if node not in cell.fleet.nodes:
        return
    cell.kill_node(node)
    await fault.last()
    if node not in cell.fleet.nodes:
        cell.start_node(node)
