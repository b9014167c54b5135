"""Faults of the log service and of the VM list."""

import random
from typing import Final, final

from berylspread_standins.faults.base import DURATION_S, Fault, World, faults

SLOW_S: Final = 1.0
LOSE_ANSWER: Final = 0.3
KEEP_S: Final = 120.0
LONG_LAG_S: Final = 30.0


@faults.register
@final
class LogOutage(Fault):
    """The log refuses appends and reads."""

    name = 'log-outage'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Take the log down."""
        world.log.is_down = True
        try:
            await self.hold(rng)
        finally:
            world.log.is_down = False


@faults.register
@final
class LogSlow(Fault):
    """The log answers late."""

    name = 'log-slow'

    __slots__ = ('slow_s',)

    def __init__(
        self, *, duration_s: float = DURATION_S, slow_s: float = SLOW_S
    ) -> None:
        """Take the delay that is added to each answer, in seconds."""
        super().__init__(duration_s=duration_s)
        self.slow_s = slow_s

    async def inject(self, world: World, rng: random.Random) -> None:
        """Slow the log down."""
        world.log.slow_s = self.slow_s
        try:
            await self.hold(rng)
        finally:
            world.log.slow_s = 0.0


@faults.register
@final
class LogAnswersLost(Fault):
    """Appends take effect and their answers are lost."""

    name = 'log-answers-lost'

    __slots__ = ('probability',)

    def __init__(
        self,
        *,
        duration_s: float = DURATION_S,
        probability: float = LOSE_ANSWER,
    ) -> None:
        """Take the probability for each append."""
        super().__init__(duration_s=duration_s)
        self.probability = probability

    async def inject(self, world: World, rng: random.Random) -> None:
        """Lose answers."""
        world.log.lose_answer = self.probability
        try:
            await self.hold(rng)
        finally:
            world.log.lose_answer = 0.0


@faults.register
@final
class RetentionCut(Fault):
    """The log drops everything that is older than it promises to keep."""

    name = 'retention-cut'

    __slots__ = ('keep_s',)

    def __init__(self, *, keep_s: float = KEEP_S) -> None:
        """Take the age in seconds that the log promises to keep."""
        super().__init__()
        self.keep_s = keep_s

    async def inject(self, world: World, rng: random.Random) -> None:
        """Drop the old entries at once."""
        oldest = world.log.wall.time() - self.keep_s
        kept = (
            entry.offset
            for entry in world.log.entries
            if entry.appended_at >= oldest
        )
        world.log.cut_retention(next(kept, world.log.end))


@faults.register
@final
class VmListStale(Fault):
    """The VM list shows no change, then all at once."""

    name = 'vm-list-stale'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Freeze the list."""
        world.vms.is_stale = True
        try:
            await self.hold(rng)
        finally:
            world.vms.is_stale = False


@faults.register
@final
class VmListLag(Fault):
    """The VM list lags for long."""

    name = 'vm-list-lag'

    __slots__ = ('lag_s',)

    def __init__(
        self, *, duration_s: float = DURATION_S, lag_s: float = LONG_LAG_S
    ) -> None:
        """Take the lag in seconds."""
        super().__init__(duration_s=duration_s)
        self.lag_s = lag_s

    async def inject(self, world: World, rng: random.Random) -> None:
        """Add to the lag."""
        world.vms.extra_lag_s = self.lag_s
        try:
            await self.hold(rng)
        finally:
            world.vms.extra_lag_s = 0.0


@faults.register
@final
class VmListDown(Fault):
    """The VM list does not answer."""

    name = 'vm-list-down'

    async def inject(self, world: World, rng: random.Random) -> None:
        """Take the list down."""
        world.vms.is_down = True
        try:
            await self.hold(rng)
        finally:
            world.vms.is_down = False
