"""Steps for fault kinds, in a world without a scheduler."""

import asyncio
import itertools
import random
from collections.abc import Callable, Iterable

from behave import given, then, when
from behave.runner import Context

from berylspread.kernel import now
from berylspread.model import Vm, VmRole, VmState
from berylspread_standins import (
    Endpoint,
    Gate,
    LogService,
    Network,
    VmList,
    Worker,
)
from berylspread_standins.faults import Fault, faults
from features.support import run_virtual

SAMPLE_S = 0.5
LONG_S = 300.0


class SmallNode:
    """A node without a program."""

    def __init__(self, name: str, region: str) -> None:
        """Start running."""
        self.endpoint = Endpoint(name, region)
        self.gate = Gate()
        self.is_running = True

    async def kill(self) -> None:
        """Stop running."""
        assert self.is_running
        self.is_running = False

    async def start(self) -> None:
        """Run again."""
        assert not self.is_running
        self.is_running = True


class SmallWorld:
    """Three nodes and four workers in two regions."""

    def __init__(self) -> None:
        """Build the parts in their usual state."""
        self.network = Network(random.Random(1))
        for ends in (('north', 'south'), ('south', 'north')):
            self.network.link(*ends)
        self.log = LogService()
        self.log.publish(b'first')
        self.vms = VmList()
        self.nodes = {
            name: SmallNode(name, region)
            for name, region in (('a', 'north'), ('b', 'north'), ('c', 'south'))
        }
        self.workers: dict[str, Worker] = {}
        for number in range(4):
            self._add_worker(number)
        self.vms.settle()
        self.cancelled = 0.0

    async def cancel_jobs(self, share: float, rng: random.Random) -> None:
        """Take note of the wave."""
        self.cancelled = share

    def _add_worker(self, number: int) -> None:
        vm = Vm(
            f'w{number}', VmRole.worker, f'127.0.0.1:{number}', 'north', 'n-a'
        )
        self.workers[vm.address] = Worker(vm)
        self.vms.put(vm)


Check = Callable[[SmallWorld], bool]


def _any_node(check: Callable[[SmallNode], bool]) -> Check:
    return lambda world: any(check(node) for node in world.nodes.values())


def _any_worker(check: Callable[[Worker], bool]) -> Check:
    return lambda world: any(check(one) for one in world.workers.values())


def _is_narrow(world: SmallWorld) -> bool:
    usual = world.network.link_bits_per_s
    return any(link.bits_per_s < usual for link in world.network.links.values())


SYMPTOMS: dict[str, Check] = {
    'a node that is down': _any_node(lambda node: not node.is_running),
    'a node that is paused': _any_node(lambda node: node.gate.is_paused),
    'cancelled jobs': lambda world: world.cancelled > 0,
    'a cut': lambda world: bool(world.network.cuts),
    'loss': lambda world: world.network.rates.drop > 0,
    'a narrow link': _is_narrow,
    'a log that is down': lambda world: world.log.is_down,
    'a slow log': lambda world: world.log.slow_s > 0,
    'a log that loses answers': lambda world: world.log.lose_answer > 0,
    'a log without its start': lambda world: world.log.first > 1,
    'a stale VM list': lambda world: world.vms.is_stale,
    'a lagging VM list': lambda world: world.vms.extra_lag_s > 0,
    'a VM list that is down': lambda world: world.vms.is_down,
    'an unreachable worker': _any_worker(
        lambda worker: worker.faults.is_unreachable
    ),
    'a leaving worker': lambda world: any(
        vm.state is VmState.leaving for vm in world.vms.truth.values()
    ),
    'a paused worker': _any_worker(lambda worker: worker.gate.is_paused),
    'a worker that fails all': _any_worker(
        lambda worker: worker.faults.fails_all
    ),
    'workers that lose answers': _any_worker(
        lambda worker: worker.faults.lose_answer > 0
    ),
    'workers with wrong sizes': _any_worker(
        lambda worker: worker.faults.run_factor * worker.faults.use_factor != 1
    ),
    'workers with wrong clocks': _any_worker(
        lambda worker: worker.clock_rate != 1
    ),
}
#: What a momentary fault leaves behind for good.
LASTING = frozenset(('cancelled jobs', 'a log without its start'))


def symptoms(world: SmallWorld) -> set[str]:
    """Name what is wrong with a world now."""
    return {name for name, shows in SYMPTOMS.items() if shows(world)}


def is_whole(world: SmallWorld) -> bool:
    """Return whether nothing is wrong, and each worker is listed once."""
    listed = sorted(vm.address for vm in world.vms.truth.values())
    return symptoms(world) <= LASTING and listed == sorted(world.workers)


async def inject(
    kinds: Iterable[type[Fault]], seed: int, *, step: int = 1
) -> SmallWorld:
    """Run faults at once in a small world until all have ended.

    With a ``step`` of 0 all draw the same numbers, so that they meet on the
    same node or worker.
    """
    world = SmallWorld()
    # The log's first entry is old when the faults begin.
    await asyncio.sleep(LONG_S)
    world.seen = set()
    world.course = []
    async with asyncio.TaskGroup() as group:
        pending = [
            group.create_task(
                kind().inject(world, random.Random(seed + step * index))
            )
            for index, kind in enumerate(kinds)
        ]
        while not all(task.done() for task in pending):
            await asyncio.sleep(SAMPLE_S)
            world.seen |= symptoms(world)
            world.course.append((now(), sorted(symptoms(world))))
    return world


async def inject_and_cancel(kind: type[Fault]) -> SmallWorld:
    """Cancel a fault halfway."""
    world = SmallWorld()
    task = asyncio.create_task(kind().inject(world, random.Random(1)))
    await asyncio.sleep(1)
    task.cancel()
    await asyncio.wait((task,))
    return world


@given('a small world of 3 nodes and 4 workers in two regions')
def given_world(context: Context) -> None:
    """Build it when the loop runs."""


@when('the fault "{fault}" is injected')
def when_injected(context: Context, fault: str) -> None:
    kind = faults.lookup(fault)
    assert isinstance(kind, type), kind
    context.world = run_virtual(inject([kind], 1))


@when('each pair of faults overlaps in a small world')
def when_pairs(context: Context) -> None:
    context.worlds = [
        run_virtual(inject(pair, seed, step=step))
        for seed, pair in enumerate(itertools.product(faults, faults))
        for step in (0, 1)
    ]


@when('each fault is cancelled halfway in a small world')
def when_cancelled(context: Context) -> None:
    async def run() -> list[SmallWorld]:
        return [await inject_and_cancel(kind) for kind in faults]

    context.worlds = run_virtual(run())


@when('all faults run twice at once from the same seed')
def when_same_seed(context: Context) -> None:
    context.courses = [
        run_virtual(inject(list(faults), 7)).course for _ in range(2)
    ]


@then('{symptom} shows meanwhile')
def then_shows(context: Context, symptom: str) -> None:
    assert symptom in context.world.seen, context.world.seen


@then('the world is whole afterwards')
def then_whole(context: Context) -> None:
    assert is_whole(context.world), symptoms(context.world)


@then('each of those worlds is whole afterwards')
def then_all_whole(context: Context) -> None:
    assert context.worlds
    broken = [symptoms(one) for one in context.worlds if not is_whole(one)]
    assert not broken, broken


@then('the registry holds {count:d} fault kinds')
def then_registry(context: Context, count: int) -> None:
    assert len(list(faults)) == count


@then('both runs took the same course')
def then_same_course(context: Context) -> None:
    first, second = context.courses
    assert first == second
    assert len(first) > 1
