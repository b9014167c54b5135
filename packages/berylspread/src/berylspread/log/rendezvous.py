"""Rendezvous order: every node ranks the others alike without asking."""

from collections.abc import Iterable

import xxhash


def rendezvous(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in their order for a key, the first choice first."""
    return sorted(nodes, key=lambda node: (_digest(key, node), node))


def _digest(key: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}/{node}'.encode())
