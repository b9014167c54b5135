"""The policy that assigns units to nodes."""

import collections
from collections.abc import Mapping, Sequence

import xxhash


def rendezvous_score(unit: str, node: str) -> int:
    """Return a node's score for a unit; a higher score is preferred."""
    return xxhash.xxh64_intdigest(f'{unit}\0{node}'.encode())


def rendezvous_order(unit: str, nodes: Sequence[str]) -> list[str]:
    """Return the nodes by descending score, as in rendezvous hashing."""
    return sorted(
        nodes, key=lambda node: rendezvous_score(unit, node), reverse=True
    )


def plan_owners(
    units: Sequence[str], nodes: Sequence[str], owners: Mapping[str, str]
) -> dict[str, str]:
    """Return the node that should own each unit.

    Units with an owner among ``nodes`` stay there at first.  Each other unit
    goes to the node that scores highest for it among those with the fewest
    units.  Then units move one by one from the node with the most units to the
    one with the fewest, until these differ by at most one.
    """
    if not nodes:
        return {}
    target = {unit: owners[unit] for unit in units if owners.get(unit) in nodes}
    loads = collections.Counter(target.values())
    for unit in sorted(units):
        if unit not in target:
            target[unit] = _preferred_least_loaded(unit, nodes, loads)
            loads[target[unit]] += 1
    _balance_loads(target, sorted(nodes), loads)
    return target


def _preferred_least_loaded(
    unit: str, nodes: Sequence[str], loads: collections.Counter[str]
) -> str:
    fewest = min(loads[node] for node in nodes)
    least_loaded = [node for node in nodes if loads[node] == fewest]
    return rendezvous_order(unit, least_loaded)[0]


def _balance_loads(
    target: dict[str, str],
    nodes: Sequence[str],
    loads: collections.Counter[str],
) -> None:
    while True:
        most_loaded = max(nodes, key=loads.__getitem__)
        least_loaded = min(nodes, key=loads.__getitem__)
        if loads[most_loaded] - loads[least_loaded] <= 1:
            return
        moved = _most_preferred_unit(least_loaded, target, most_loaded)
        target[moved] = least_loaded
        loads[most_loaded] -= 1
        loads[least_loaded] += 1


def _most_preferred_unit(
    node: str, target: Mapping[str, str], owner: str
) -> str:
    """Return the owner's unit for which ``node`` has the highest score."""
    return max(
        (unit for unit in target if target[unit] == owner),
        key=lambda unit: rendezvous_score(unit, node),
    )
