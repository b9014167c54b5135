"""Faults of entry VMs: killed, paused, and callers that cancel."""

import random
from typing import Final, final

from berylspread_standins.faults.base import Fault, Node, World, faults, pick

CANCELLED_SHARE: Final = 0.5


@faults.register
@final
class NodeKill(Fault):
    """A node's process dies; a new incarnation starts after a while."""

    name = 'node-kill'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Kill a running node and start it again."""
        node = pick(_running(world), rng)
        if node is None:
            return
        await node.kill()
        try:
            await self.hold(rng)
        finally:
            await node.start()


@faults.register
@final
class NodePause(Fault):
    """A node stands still and then goes on as if nothing had happened."""

    name = 'node-pause'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Pause a running node."""
        node = pick(_running(world), rng)
        if node is None:
            return
        # A node that starts again meanwhile has another gate.
        gate = node.gate
        gate.pause()
        try:
            await self.hold(rng)
        finally:
            gate.resume()


@faults.register
@final
class CancellationWave(Fault):
    """Callers cancel many of their jobs at once."""

    name = 'cancellation-wave'

    __slots__ = ('share',)

    def __init__(self, *, share: float = CANCELLED_SHARE) -> None:
        """Take the share of the open jobs that are cancelled."""
        super().__init__()
        self.share = share

    async def inject(self, world: World, rng: random.Random) -> None:
        """Cancel a share of the open jobs."""
        await world.cancel_jobs(self.share, rng)


def _running(world: World) -> list[Node]:
    return [node for node in world.nodes.values() if node.is_running]
