"""Rendezvous hashing: all nodes compute the same order without messages."""

from collections.abc import Iterable

import xxhash


def rendezvous(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in their order for a key, the preferred one first."""
    return sorted(nodes, key=lambda node: (_digest(key, node), node))


def _digest(key: str, node: str) -> int:
    return xxhash.xxh64_intdigest(f'{key}/{node}'.encode())
