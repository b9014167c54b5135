"""Faults of the network: cuts, loss and a narrow link."""

import random
from typing import Final, final

from berylspread_standins.faults.base import (
    DURATION_S,
    Fault,
    World,
    faults,
    pick,
    regions,
)
from berylspread_standins.network import LossRates

LOSS: Final = 0.02
NARROW_SHARE: Final = 0.02


@faults.register
@final
class OneWayCut(Fault):
    """One VM hears nothing from another, which still hears it."""

    name = 'one-way-cut'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Cut between a node and another node or a worker, one way."""
        node = pick(world.nodes, rng)
        workers = [worker.vm.vm_id for worker in world.workers.values()]
        others = [name for name in (*world.nodes, *workers) if name != node]
        other = pick(others, rng)
        if node is None or other is None:
            return
        ends = [node, other]
        rng.shuffle(ends)
        world.network.cut(*ends)
        try:
            await self.hold(rng)
        finally:
            world.network.heal(*ends)


@faults.register
@final
class RegionCut(Fault):
    """Nothing passes between one region and the others."""

    name = 'region-cut'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Cut a region off, both ways."""
        region = pick(regions(world), rng)
        others = [other for other in regions(world) if other != region]
        if region is None:
            return
        for other in others:
            world.network.cut(region, other)
            world.network.cut(other, region)
        try:
            await self.hold(rng)
        finally:
            for other in others:
                world.network.heal(region, other)
                world.network.heal(other, region)


@faults.register
@final
class MessageLoss(Fault):
    """Messages are lost, doubled, delayed and overtaken."""

    name = 'message-loss'

    __slots__ = ('probability',)

    def __init__(
        self,
        *,
        duration_s: float = DURATION_S,
        probability: float = LOSS,
    ) -> None:
        """Take the probability of each mishap for one message."""
        super().__init__(duration_s=duration_s)
        self.probability = probability

    async def inject(self, world: World, rng: random.Random) -> None:
        """Raise all rates."""
        rates = LossRates()
        rates.drop = self.probability
        rates.duplicate = self.probability
        rates.reorder = self.probability
        world.network.rates = rates
        try:
            await self.hold(rng)
        finally:
            world.network.rates = LossRates()


@faults.register
@final
class NarrowLink(Fault):
    """The link between the regions has a fraction of its bandwidth."""

    name = 'narrow-link'

    __slots__ = ('share',)

    def __init__(
        self,
        *,
        duration_s: float = DURATION_S,
        share: float = NARROW_SHARE,
    ) -> None:
        """Take the share of the bandwidth that is left."""
        super().__init__(duration_s=duration_s)
        self.share = share

    async def inject(self, world: World, rng: random.Random) -> None:
        """Narrow every link that has been used."""
        network = world.network
        for narrowed in network.links.values():
            narrowed.bits_per_s = network.link_bits_per_s * self.share
        try:
            await self.hold(rng)
        finally:
            for link in network.links.values():
                link.bits_per_s = network.link_bits_per_s
