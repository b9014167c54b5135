"""Prints what each order makes of each pattern."""

import time
from typing import Final

from bench.orders.baselines import ORDERS
from bench.orders.engine import Replay
from bench.orders.patterns import PATTERNS, arrivals

SEEDS: Final = (1, 2, 3)


def share_of(pattern: str, order: str) -> float:
    """Print one line for a pattern and an order; return the worth served."""
    rows: dict[str, list[tuple[int, int, int, float]]] = {}
    wasted_s = 0.0
    began = time.process_time()
    for seed in SEEDS:
        replay = Replay(
            PATTERNS[pattern].site, arrivals(pattern, seed), ORDERS[order]
        )
        replay.play()
        wasted_s += replay.stopped_s
        for name, row in replay.credit().items():
            rows.setdefault(name, []).append(row)
    took_s = time.process_time() - began
    cells = []
    shares = []
    for name, found in sorted(rows.items()):
        jobs, on_time, late = (
            sum(row[field] for row in found) for field in range(3)
        )
        worth = sum(row[3] for row in found) / len(found)
        shares.append(worth)
        cells.append(
            f'{name} {jobs:5d} jobs {on_time:5d} on time {late:4d} late '
            f'worth {worth:.3f}'
        )
    print(
        f'{pattern:21s} {order:30s} {" | ".join(cells)} '
        f'| {took_s / len(SEEDS):.1f} s a replay',
        flush=True,
    )
    return sum(shares) / len(shares)


def compare() -> dict[str, dict[str, float]]:
    """Return the mean worth served, by pattern and order."""
    return {
        pattern: {order: share_of(pattern, order) for order in ORDERS}
        for pattern in PATTERNS
    }
