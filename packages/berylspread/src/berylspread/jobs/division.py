"""Divides a home's pending tasks among the nodes that can place them.

A task that is offered to only one node is not placed by two nodes.  Tasks that
still wait after ``DIVISION_PERIOD_S`` are offered to every node, since the
chosen node may lack room.
"""

from collections.abc import Mapping, Sequence
from typing import Final, final

import msgspec

from berylspread.model import Resources
from berylspread.placement.demand import DemandClass

DIVISION_PERIOD_S: Final = 1.0


@final
class Division:
    """The number of tasks of each class that is offered to each node."""

    __slots__ = ('offers', 'rotation')

    def __init__(self) -> None:
        self.offers: dict[str, dict[str, int]] = {}
        self.rotation = 0

    def divide(
        self, demand: Sequence[DemandClass], free: Mapping[str, Resources]
    ) -> None:
        """Split each new class in proportion to the free room of the nodes.

        A class is new while its oldest task waits for less than
        ``DIVISION_PERIOD_S``.  A class for which no node has room is offered
        to every node.
        """
        self.rotation += 1
        self.offers = {}
        for pending in demand:
            weights = _task_room(pending.shape, free)
            if weights and pending.oldest_age_s < DIVISION_PERIOD_S:
                self.offers[pending.class_id] = _split_by_weight(
                    pending.count, weights, self.rotation
                )

    def demand_for(
        self, node: str, demand: Sequence[DemandClass]
    ) -> list[DemandClass]:
        """Return the part of the demand that is offered to a node."""
        return [
            msgspec.structs.replace(pending, count=count)
            for pending in demand
            if (count := self._offered_count(node, pending)) > 0
        ]

    def record_handed_out(self, node: str, class_id: str, count: int) -> None:
        """Subtract tasks that were handed out to a node from its offer."""
        offered = self.offers.get(class_id)
        if offered is not None and node in offered:
            offered[node] -= count

    def signature(self, demand: Sequence[DemandClass]) -> list[object]:
        """Return a value that changes when the demand must be published."""
        return [
            (
                pending.class_id,
                pending.count,
                pending.oldest_age_s < DIVISION_PERIOD_S,
            )
            for pending in demand
        ]

    def _offered_count(self, node: str, pending: DemandClass) -> int:
        offered = self.offers.get(pending.class_id)
        if offered is None:
            return pending.count
        return min(offered.get(node, 0), pending.count)


def _task_room(
    shape: Resources, free: Mapping[str, Resources]
) -> dict[str, int]:
    """Return how many tasks of a shape fit on each node that has room."""
    return {
        node: count
        for node, room in free.items()
        if (count := shape.fit_count(room))
    }


def _split_by_weight(
    count: int, weights: Mapping[str, int], rotation: int
) -> dict[str, int]:
    """Split a count by weight; the remainder goes to the nodes in rotation."""
    total = sum(weights.values())
    nodes = sorted(weights)
    parts = {node: count * weights[node] // total for node in nodes}
    for number in range(count - sum(parts.values())):
        parts[nodes[(rotation + number) % len(nodes)]] += 1
    return parts
