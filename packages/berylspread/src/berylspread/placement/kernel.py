"""The placement kernel: the kinds of plug-ins and their registries.

A plug-in is a section of options, so that the document can configure it.  Its
class attributes give its name and aliases.  The plug-in modules register their
classes on import.
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
#: Default weight of decayed usage against current usage, 0 to 1.
DECAYED_USAGE_WEIGHT: Final = 0.2

ConfiguredT = TypeVar('ConfiguredT', bound='PlacementPlugin')


class PlacementPlugin(Plugin, Section):
    """The base class of the placement plug-ins."""

    @classmethod
    def with_defaults(cls: type[ConfiguredT]) -> ConfiguredT:
        """Return an instance whose options have their default values."""
        plugin = cls(cls.name)
        for key, option in cls.options().items():
            setattr(plugin, key, option.default)
        return plugin


class QueueOrder(PlacementPlugin):
    """Orders the pending classes; the class with the lowest key comes first.

    Urgent classes come before all others; the key orders the classes within
    each of the two groups.  A key that rises takes effect when the class comes
    first, one that falls at the next reordering of the queue.
    """

    kind = 'order'

    def key(self, pending: PendingClass, context: PlacementContext) -> float:
        """Return the sort key of a class."""
        raise NotImplementedError


class Filter(PlacementPlugin):
    """Decides which workers may take a class.

    Its name is the reason that is reported for a rejected worker.
    """

    kind = 'filter'

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the filter could reject a worker for the class."""
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
    """Scores workers for a class from 0 to 1, where 1 is best.

    ``concern`` is the option of the policy section whose value scales the
    weight of the scorer, or is empty.
    """

    kind = 'scorer'
    concern: str = ''
    weight: Any = number(0, MAX_WEIGHT, default=1, help='relative weight')

    def applies(self, demand: DemandClass) -> bool:
        """Return whether the score could differ between workers."""
        return True

    def score(
        self,
        demand: DemandClass,
        worker: WorkerView,
        context: PlacementContext,
    ) -> float:
        """Return the score of the worker for the class."""
        raise NotImplementedError


class PreemptionPolicy(PlacementPlugin):
    """Chooses the tasks that are preempted for urgent work."""

    kind = 'preemption'

    def victims(
        self,
        demand: DemandClass,
        workers: Sequence[WorkerView],
        context: PlacementContext,
    ) -> list[Booking]:
        """Return the bookings of one worker to preempt, or an empty list."""
        raise NotImplementedError


class WorkerPool(Protocol):
    """The source of candidates: the index of a ledger, or a benchmark's list.

    ``version`` changes when capacity may have become free.
    """

    version: int

    def candidates(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return up to ``limit`` workers that have room for the shape."""

    def sample(self, shape: Resources, limit: int) -> list[WorkerView]:
        """Return up to ``limit`` workers that could hold the shape if empty."""


orders: Final[Registry[QueueOrder]] = Registry('order')
filters: Final[Registry[Filter]] = Registry('filter')
scorers: Final[Registry[Scorer]] = Registry('scorer')
preemptions: Final[Registry[PreemptionPolicy]] = Registry('preemption policy')
