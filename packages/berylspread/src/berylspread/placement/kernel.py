"""The placement kernel: the kinds of plug-ins and their registries.

A plug-in is a section of options, so that the document can set it up; its class
attributes describe it.  The plug-in modules register their classes on import.
"""

from collections.abc import Sequence
from typing import Any, Final, Protocol, TypeVar

from berylspread.kernel import Plugin, Registry, Section
from berylspread.kernel.options import number
from berylspread.limits import Booking, WorkerView
from berylspread.model import Resources
from berylspread.placement.context import PlacementContext
from berylspread.placement.demand import DemandClass
from berylspread.placement.pending import PendingClass

MAX_WEIGHT: Final = 100.0
#: Weight of decayed use against current use in a team's ratio.
DECAYED_USAGE_WEIGHT: Final = 0.2

ConfiguredT = TypeVar('ConfiguredT', bound='PlacementPlugin')


class PlacementPlugin(Plugin, Section):
    """Base of the placement plug-ins: named, with a table of options."""

    @classmethod
    def with_defaults(cls: type[ConfiguredT]) -> ConfiguredT:
        """Return an instance whose options have their default values."""
        plugin = cls(cls.name)
        for key, option in cls.options().items():
            setattr(plugin, key, option.default)
        return plugin


class QueueOrder(PlacementPlugin):
    """Orders the pending classes; the lowest key is placed first.

    Among classes of one band, urgent or not, only the key decides.  It may
    rise as a class is served; a fall is seen at the next reordering.
    """

    kind = 'order'

    def key(self, pending: PendingClass, context: PlacementContext) -> float:
        """Return the place of a class in the order."""
        raise NotImplementedError


class Filter(PlacementPlugin):
    """Tells which workers may take a class; its name is the reason given."""

    kind = 'filter'

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the filter could reject any worker for a class."""
        return True

    def admits(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> bool:
        """Return whether the worker may take a task of the class."""
        raise NotImplementedError


class Scorer(PlacementPlugin):
    """Scores a worker for a class from 0 to 1, the best being 1.

    ``concern`` names the weight of the policy that scales the scorer, or is
    empty.
    """

    kind = 'scorer'
    concern: str = ''
    weight: Any = number(0, MAX_WEIGHT, default=1, help='relative weight')

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the scorer could tell workers apart for a class."""
        return True

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return how well the worker suits the class."""
        raise NotImplementedError


class PreemptionPolicy(PlacementPlugin):
    """Chooses the tasks that make room for urgent work."""

    kind = 'preemption'

    def victims(
        self,
        demand: DemandClass,
        workers: Sequence[WorkerView],
        context: PlacementContext,
    ) -> list[Booking]:
        """Return bookings of one worker to preempt; empty if none suffice."""
        raise NotImplementedError


class WorkerPool(Protocol):
    """Where candidates come from: a ledger's index, or a baseline's list."""

    version: int

    def candidates(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return up to ``limit`` workers that have room for the shape."""

    def sample(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return up to ``limit`` workers that could hold it if empty."""


orders: Final[Registry[QueueOrder]] = Registry('order')
filters: Final[Registry[Filter]] = Registry('filter')
scorers: Final[Registry[Scorer]] = Registry('scorer')
preemptions: Final[Registry[PreemptionPolicy]] = Registry('preemption policy')
