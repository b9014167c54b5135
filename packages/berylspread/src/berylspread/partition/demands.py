"""The pending demand that the homes have published to this node."""

from typing import final

from berylspread.partition.messages import DemandUpdate, PullReply, UnitEpoch
from berylspread.placement.demand import DemandClass, TeamUsage


@final
class HomeDemand:
    """The demand of one home under the newest epoch that the node has seen.

    ``epoch`` is 0, below every real epoch, until the first message.
    """

    __slots__ = ('classes', 'epoch', 'node', 'sequence', 'unit', 'uses')

    def __init__(self, unit: str) -> None:
        self.unit = unit
        self.epoch = 0
        self.sequence = 0
        self.node = ''
        self.classes: list[DemandClass] = []
        self.uses: list[TeamUsage] = []


@final
class DemandTable:
    """The demand of every home that has published to this node."""

    __slots__ = ('homes',)

    def __init__(self) -> None:
        self.homes: dict[str, HomeDemand] = {}

    def accept_epoch(self, home: UnitEpoch) -> bool:
        """Return whether the epoch is current; a newer one replaces the old.

        A newer epoch also discards the demand that was published before.
        """
        stored = self.homes.setdefault(home.unit, HomeDemand(home.unit))
        if home.epoch < stored.epoch:
            return False
        if home.epoch > stored.epoch:
            stored.epoch = home.epoch
            stored.sequence = 0
            stored.classes = []
            stored.uses = []
        return True

    def update(self, node: str, update: DemandUpdate) -> bool:
        """Replace the demand of a home; return whether the update was newer."""
        if not self.accept_epoch(update.home):
            return False
        stored = self.homes[update.home.unit]
        stored.node = node
        if update.sequence <= stored.sequence:
            return False
        stored.sequence = update.sequence
        stored.classes = update.classes
        stored.uses = update.uses
        return True

    def update_from_reply(self, unit: str, reply: PullReply) -> None:
        """Replace the demand of a home by the one in the reply to a pull."""
        stored = self.homes[unit]
        if reply.demand_sequence > stored.sequence:
            stored.sequence = reply.demand_sequence
            stored.classes = reply.classes
            stored.uses = reply.uses

    def find_class(self, unit: str, class_id: str) -> DemandClass | None:
        """Return one demand class of a home, or ``None``."""
        return next(
            (
                demand
                for demand in self.homes[unit].classes
                if demand.class_id == class_id
            ),
            None,
        )

    def pending_classes(self) -> list[DemandClass]:
        """Return the classes of all homes that have pending tasks."""
        return [
            demand
            for home in self.homes.values()
            for demand in home.classes
            if demand.count > 0
        ]
