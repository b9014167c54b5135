"""Straight lines through measured points."""

import statistics
from collections.abc import Sequence
from typing import final

import msgspec

Point = tuple[float, float]


@final
class Line(msgspec.Struct, frozen=True):
    """A fitted line; ``residual`` is the worst miss in parts of the value."""

    slope: float
    intercept: float
    residual: float
    sizes: tuple[float, ...]


def fit(points: Sequence[Point]) -> Line:
    """Fit by least squares; at least two sizes are needed."""
    sizes = [size for size, _ in points]
    amounts = [amount for _, amount in points]
    line = statistics.linear_regression(sizes, amounts)
    misses = [
        abs(amount - line.intercept - line.slope * size)
        for size, amount in points
    ]
    largest = max(abs(amount) for amount in amounts) or 1
    return Line(line.slope, line.intercept, max(misses) / largest, tuple(sizes))
