"""Which node should own which unit."""

import collections
import math
from collections.abc import Mapping, Sequence

import xxhash


def rank(unit: str, node: str) -> int:
    """Return a node's score for a unit; the highest is preferred."""
    return xxhash.xxh64_intdigest(f'{unit}\0{node}'.encode())


def preference(unit: str, nodes: Sequence[str]) -> list[str]:
    """Return the nodes in order of preference: rendezvous hashing."""
    return sorted(nodes, key=lambda node: rank(unit, node), reverse=True)


def plan(
    units: Sequence[str], nodes: Sequence[str], owners: Mapping[str, str]
) -> dict[str, str]:
    """Return the node that should own each unit.

    Units stay where they are.  Those without a live owner go to the most
    preferred node below the bound; then units move one by one from the node
    with the most to the one with the least, until they differ by one.
    """
    if not nodes:
        return {}
    target = {unit: owners[unit] for unit in units if owners.get(unit) in nodes}
    loads = collections.Counter(target.values())
    bound = math.ceil(len(units) / len(nodes)) + 1
    for unit in sorted(units):
        if unit not in target:
            target[unit] = _first_below(unit, nodes, loads, bound)
            loads[target[unit]] += 1
    _balance(target, sorted(nodes), loads)
    return target


def _first_below(
    unit: str,
    nodes: Sequence[str],
    loads: collections.Counter[str],
    bound: int,
) -> str:
    ranked = preference(unit, nodes)
    return next((node for node in ranked if loads[node] < bound), ranked[0])


def _balance(
    target: dict[str, str],
    nodes: Sequence[str],
    loads: collections.Counter[str],
) -> None:
    while True:
        most = max(nodes, key=loads.__getitem__)
        least = min(nodes, key=loads.__getitem__)
        if loads[most] - loads[least] <= 1:
            return
        moved = _best_for(least, target, most)
        target[moved] = least
        loads[most] -= 1
        loads[least] += 1


def _best_for(node: str, target: Mapping[str, str], owner: str) -> str:
    """Return the owner's unit that another node prefers most."""
    return max(
        (unit for unit in target if target[unit] == owner),
        key=lambda unit: rank(unit, node),
    )
