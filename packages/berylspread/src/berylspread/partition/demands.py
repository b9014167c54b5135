"""The pending demand of the homes, as a partition owner knows it."""

from typing import final

from berylspread.partition.messages import DemandUpdate, PullReply, UnitEpoch
from berylspread.placement.demand import DemandClass, TeamUsage


@final
class HomeDemand:
    """One home under its newest known epoch."""

    __slots__ = ('classes', 'epoch', 'node', 'sequence', 'unit', 'uses')

    def __init__(self, unit: str) -> None:
        """Start with an epoch below every real one."""
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
        """Start without homes."""
        self.homes: dict[str, HomeDemand] = {}

    def accept_epoch(self, home: UnitEpoch) -> bool:
        """Return whether the epoch is not outdated; remember a newer one."""
        known = self.homes.setdefault(home.unit, HomeDemand(home.unit))
        if home.epoch < known.epoch:
            return False
        if home.epoch > known.epoch:
            known.epoch = home.epoch
            known.sequence = 0
            known.classes = []
            known.uses = []
        return True

    def update(self, node: str, update: DemandUpdate) -> bool:
        """Take in a whole update; return whether it was news."""
        if not self.accept_epoch(update.home):
            return False
        known = self.homes[update.home.unit]
        known.node = node
        if update.sequence <= known.sequence:
            return False
        known.sequence = update.sequence
        known.classes = update.classes
        known.uses = update.uses
        return True

    def update_from_reply(self, unit: str, reply: PullReply) -> None:
        """Take in the demand that a pull's reply carries."""
        known = self.homes[unit]
        if reply.demand_sequence > known.sequence:
            known.sequence = reply.demand_sequence
            known.classes = reply.classes
            known.uses = reply.uses

    def find_class(self, unit: str, class_id: str) -> DemandClass | None:
        """Return one class of a home."""
        return next(
            (
                demand
                for demand in self.homes[unit].classes
                if demand.class_id == class_id
            ),
            None,
        )

    def pending_classes(self) -> list[DemandClass]:
        """Return every pending class of every home."""
        return [
            demand
            for home in self.homes.values()
            for demand in home.classes
            if demand.count > 0
        ]
