"""Divides a home's pending tasks over the nodes that could place them.

A task that is offered to one node is decided once.  Tasks that still wait after
``DIVIDED_S`` are offered to every node, since the chosen one may lack room.
"""

from collections.abc import Mapping, Sequence
from typing import Final, final

import msgspec

from berylspread.model import Resources
from berylspread.placement.demand import DemandClass

DIVISION_PERIOD_S: Final = 1.0


@final
class Division:
    """How many tasks of each class were offered to which node."""

    __slots__ = ('offers', 'rotation')

    def __init__(self) -> None:
        """Start with nothing offered."""
        self.offers: dict[str, dict[str, int]] = {}
        self.rotation = 0

    def divide(
        self, demand: Sequence[DemandClass], free: Mapping[str, Resources]
    ) -> None:
        """Offer each young class in parts by the room that a node has free.

        A class for which no node has room is offered to all.
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
        """Return the demand as one node is to see it."""
        return [
            msgspec.structs.replace(pending, count=count)
            for pending in demand
            if (count := self._offered_count(node, pending)) > 0
        ]

    def record_handed_out(self, node: str, class_id: str, count: int) -> None:
        """Count tasks that a node was handed against what it was offered."""
        offered = self.offers.get(class_id)
        if offered is not None and node in offered:
            offered[node] -= count

    def signature(self, demand: Sequence[DemandClass]) -> list[object]:
        """Return what has to change for the demand to be worth publishing."""
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
    """Return how many tasks of a shape each node has room for, if any."""
    return {
        node: times
        for node, room in free.items()
        if (times := shape.fit_count(room))
    }


def _split_by_weight(
    count: int, weights: Mapping[str, int], turn: int
) -> dict[str, int]:
    """Split a count by weight; a remainder goes to the nodes in turn."""
    total = sum(weights.values())
    nodes = sorted(weights)
    parts = {node: count * weights[node] // total for node in nodes}
    for number in range(count - sum(parts.values())):
        parts[nodes[(turn + number) % len(nodes)]] += 1
    return parts
