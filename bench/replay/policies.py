"""The policies that are compared: ours by document, and the baselines."""

import random
from collections.abc import Callable
from typing import Final, final

from berylspread.limits import FreeIndex, WorkerView
from berylspread.model import Resources
from berylspread.placement import Pipeline, PlacementContext, PolicySection
from berylspread.placement.demand import DemandClass
from berylspread.placement.kernel import Scorer, WorkerPool, scorers
from berylspread.placement.policy import default_policy

#: Pairs of random workers that are tried.
TRIES: Final = 4


@final
class FirstFitPool:
    """The first worker of a fixed list with room."""

    __slots__ = ('index', 'members')

    def __init__(self, index: FreeIndex, members: list[WorkerView]) -> None:
        """Take the owner's index, for its counters, and its workers."""
        self.index = index
        self.members = members

    @property
    def version(self) -> int:
        """Return the index's version."""
        return self.index.version

    def candidates(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Walk the list until a worker has room."""
        for view in self.members:
            self.index.examined += 1
            if not view.barriers and shape.fits(view.free):
                return [view]
        return []

    def sample(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return no worker: nothing is kept or preempted."""
        return []


@final
class RandomPool:
    """Two random workers, tried four times."""

    __slots__ = ('index', 'members', 'rng')

    def __init__(self, index: FreeIndex, members: list[WorkerView]) -> None:
        """Take the owner's index, for its counters, and its workers."""
        self.index = index
        self.members = members
        self.rng = random.Random(1)

    @property
    def version(self) -> int:
        """Return the index's version."""
        return self.index.version

    def candidates(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return those of two random workers that have room."""
        for _ in range(TRIES):
            pair = self.rng.sample(self.members, 2)
            self.index.examined += 2
            found = [
                view
                for view in pair
                if not view.barriers and shape.fits(view.free)
            ]
            if found:
                return found
        return []

    def sample(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return no worker: nothing is kept or preempted."""
        return []


@final
@scorers.register
class LeastLoaded(Scorer):
    """The worker with most processor time free; for the baseline."""

    name = 'bench-least-loaded'

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return the free part of the processors."""
        return worker.free.cpu_milli / worker.capacity.cpu_milli


PoolMaker = Callable[[FreeIndex, list[WorkerView]], WorkerPool]


@final
class Policy:
    """A name, a policy section, and where candidates come from."""

    __slots__ = ('has_health', 'is_pooled', 'make_pool', 'name', 'section')

    def __init__(
        self,
        name: str,
        section: PolicySection,
        make_pool: PoolMaker | None = None,
        *,
        has_health: bool = False,
        is_pooled: bool = False,
    ) -> None:
        """Describe a policy; without a pool it uses the index."""
        self.name = name
        self.section = section
        self.make_pool = make_pool
        self.has_health = has_health
        self.is_pooled = is_pooled

    def pipeline(self) -> Pipeline:
        """Return a new pipeline of the section."""
        pipeline = Pipeline.from_options(self.section)
        assert isinstance(pipeline, Pipeline)
        return pipeline


def _section(**options: object) -> PolicySection:
    section = default_policy()
    for key, value in options.items():
        setattr(section, key, value)
    return section


def _baseline(
    name: str,
    scorer: str,
    make_pool: PoolMaker | None = None,
    **options: object,
) -> Policy:
    section = _section(
        order='fifo',
        filters=('fits',),
        scorers=(scorer,),
        preemption='never',
        starving_s=1e9,
        **options,
    )
    return Policy(name, section, make_pool)


SURYADI: Final = 'suryadi (waiting)'
HANBIT: Final = 'hanbit (nearness)'
OFFLINE: Final = 'offline bound'


def policies() -> list[Policy]:
    """Return the policies in the order of the table."""
    return [
        Policy(
            SURYADI,
            _section(waiting=8, nearness=0.5, packing=1, starving_s=120),
            has_health=True,
        ),
        Policy(
            HANBIT,
            _section(waiting=0.2, nearness=8, packing=1, starving_s=120),
            has_health=True,
        ),
        _baseline('fifo first-fit', 'best-fit', FirstFitPool),
        _baseline('random of two', 'bench-least-loaded', RandomPool),
        _baseline('best-fit, no shares', 'best-fit', candidates=256),
        Policy(
            OFFLINE,
            _section(waiting=8, nearness=0, packing=0, starving_s=1e9),
            is_pooled=True,
        ),
    ]
