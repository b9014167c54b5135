"""Arithmetic of resource amounts and of limits.

A dimension of 0 in a team's ``fleet_limit`` is unlimited.
"""

from berylspread.model import DIMENSIONS, Resources


def remaining_count(
    shape: Resources,
    in_use: Resources,
    limit: Resources,
    fleet_limit: Resources,
) -> int | None:
    """Return how many more of a shape fit below a limit, at least 0.

    ``None`` means that the shape needs no limited dimension.
    """
    counts: list[int] = [
        (getattr(limit, name) - getattr(in_use, name)) // getattr(shape, name)
        for name in DIMENSIONS
        if getattr(fleet_limit, name) > 0 and getattr(shape, name) > 0
    ]
    if not counts:
        return None
    return max(min(counts), 0)


def excess_over_limit(
    in_use: Resources, limit: Resources, fleet_limit: Resources
) -> Resources:
    """Return by how much each limited dimension exceeds its limit."""
    return Resources(
        *(
            max(getattr(in_use, name) - getattr(limit, name), 0)
            if getattr(fleet_limit, name) > 0
            else 0
            for name in DIMENSIONS
        )
    )


def is_within_limit(
    in_use: Resources,
    limit: Resources,
    fleet_limit: Resources,
    shape: Resources,
) -> bool:
    """Return whether the use is within the limit.

    Only the limited dimensions that the shape needs are compared.
    """
    return all(
        getattr(in_use, name) <= getattr(limit, name)
        for name in DIMENSIONS
        if getattr(fleet_limit, name) > 0 and getattr(shape, name) > 0
    )


def elementwise_min(left: Resources, right: Resources) -> Resources:
    """Return the smaller amount in each dimension."""
    return Resources(
        *(min(getattr(left, name), getattr(right, name)) for name in DIMENSIONS)
    )


def elementwise_max(left: Resources, right: Resources) -> Resources:
    """Return the larger amount in each dimension."""
    return Resources(
        *(max(getattr(left, name), getattr(right, name)) for name in DIMENSIONS)
    )


def clamp_non_negative(amount: Resources) -> Resources:
    """Return an amount with 0 in place of negative dimensions."""
    if amount.is_non_negative():
        return amount
    return Resources(*(max(getattr(amount, name), 0) for name in DIMENSIONS))
