"""Faults of workers: dead, paused, failing all, leaving, and wrong sizes."""

import itertools
import random
from typing import Final, final

import msgspec

from berylspread.kernel.clock import CLOCK_DRIFT
from berylspread.model import Vm, VmState
from berylspread_standins.faults.base import (
    DURATION_S,
    Fault,
    World,
    faults,
    pick,
)
from berylspread_standins.worker import Worker

LOSE_ANSWER: Final = 0.3
SIZE_FACTOR: Final = 4.0

_replacements: Final = itertools.count(1)


@faults.register
@final
class WorkerDead(Fault):
    """A worker's VM is lost; a new one takes its address later."""

    name = 'worker-dead'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Lose a worker and replace it."""
        worker = _pick_worker(world, rng)
        if worker is None:
            return
        worker.die()
        world.vms.remove(worker.vm.vm_id)
        try:
            await self.hold(rng)
        finally:
            replace_worker(world, worker)


@faults.register
@final
class WorkerLeaving(Fault):
    """The platform announces that it takes a worker's VM away, and does."""

    name = 'worker-leaving'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Announce, take away and replace a worker."""
        worker = _pick_worker(world, rng)
        if worker is None or worker.vm.vm_id not in world.vms.truth:
            return
        world.vms.mark_leaving(worker.vm.vm_id)
        try:
            await self.hold(rng)
        finally:
            worker.die()
            world.vms.remove(worker.vm.vm_id)
            replace_worker(world, worker)


@faults.register
@final
class WorkerPause(Fault):
    """A worker's VM stands still and then goes on."""

    name = 'worker-pause'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Pause a worker."""
        worker = _pick_worker(world, rng)
        if worker is None:
            return
        worker.pause()
        try:
            await self.hold(rng)
        finally:
            worker.resume()


@faults.register
@final
class WorkerFailsAll(Fault):
    """A worker fails everything that it starts."""

    name = 'worker-fails-all'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Break a worker."""
        worker = _pick_worker(world, rng)
        if worker is None:
            return
        worker.faults.fails_all = True
        try:
            await self.hold(rng)
        finally:
            worker.faults.fails_all = False


@faults.register
@final
class WorkerAnswersLost(Fault):
    """Workers obey, and their answers are lost."""

    name = 'worker-answers-lost'

    __slots__ = ('probability',)

    def __init__(
        self,
        *,
        duration_s: float = DURATION_S,
        probability: float = LOSE_ANSWER,
    ) -> None:
        """Take the probability for each request."""
        super().__init__(duration_s=duration_s)
        self.probability = probability

    async def inject(self, world: World, rng: random.Random) -> None:
        """Lose answers of every worker."""
        for worker in world.workers.values():
            worker.faults.lose_answer = self.probability
        try:
            await self.hold(rng)
        finally:
            for healed in world.workers.values():
                healed.faults.lose_answer = 0.0


@faults.register
@final
class WrongSizes(Fault):
    """New tasks run longer and use more than declared, or less."""

    name = 'wrong-sizes'

    __slots__ = ('factor',)

    def __init__(
        self, *, duration_s: float = DURATION_S, factor: float = SIZE_FACTOR
    ) -> None:
        """Take the largest factor; its inverse is the smallest."""
        super().__init__(duration_s=duration_s)
        self.factor = factor

    async def inject(self, world: World, rng: random.Random) -> None:
        """Distort what each worker starts."""
        for worker in world.workers.values():
            worker.faults.run_factor = self.factor ** rng.uniform(-1, 1)
            worker.faults.use_factor = self.factor ** rng.uniform(-1, 1)
        try:
            await self.hold(rng)
        finally:
            for healed in world.workers.values():
                healed.faults.run_factor = 1.0
                healed.faults.use_factor = 1.0


@faults.register
@final
class ClockDrift(Fault):
    """Workers' clocks run fast or slow, within the bound of leases."""

    name = 'clock-drift'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Set each worker's clock rate."""
        for worker in world.workers.values():
            worker.clock_rate = 1 + rng.uniform(-CLOCK_DRIFT, CLOCK_DRIFT)
        try:
            await self.hold(rng)
        finally:
            for healed in world.workers.values():
                healed.clock_rate = 1.0


def replace_worker(world: World, old: Worker) -> None:
    """Put a new VM with a new identity at the address of a lost one.

    Nothing happens if another fault has replaced it already.
    """
    if world.workers.get(old.vm.address) is not old:
        return
    base, _, _ = old.vm.vm_id.partition('+')
    vm: Vm = msgspec.structs.replace(
        old.vm, vm_id=f'{base}+{next(_replacements)}', state=VmState.live
    )
    new = Worker(
        vm,
        capacity=old.capacity,
        checks=old.checks,
        observer=old.observer,
        wall=old.wall,
    )
    world.workers[vm.address] = new
    world.vms.put(vm)


def _pick_worker(world: World, rng: random.Random) -> Worker | None:
    return pick(
        (
            worker
            for worker in world.workers.values()
            if not worker.faults.is_unreachable
        ),
        rng,
    )
