"""Arithmetic of limits in which a dimension of 0 is unlimited."""

from berylspread.model import DIMENSIONS, Resources


def remaining_count(
    shape: Resources, in_use: Resources, limit: Resources, mask: Resources
) -> int | None:
    """Return how many more of a shape fit below a limit.

    ``mask`` tells by 0 which dimensions are unlimited.  ``None`` means that no
    limited dimension is asked for.  The count is never below 0.
    """
    counts: list[int] = [
        (getattr(limit, name) - getattr(in_use, name)) // getattr(shape, name)
        for name in DIMENSIONS
        if getattr(mask, name) > 0 and getattr(shape, name) > 0
    ]
    if not counts:
        return None
    return max(min(counts), 0)


def excess_over_limit(
    in_use: Resources, limit: Resources, mask: Resources
) -> Resources:
    """Return by how much each limited dimension is above its limit."""
    return Resources(
        *(
            max(getattr(in_use, name) - getattr(limit, name), 0)
            if getattr(mask, name) > 0
            else 0
            for name in DIMENSIONS
        )
    )


def is_within_limit(
    in_use: Resources, limit: Resources, mask: Resources, shape: Resources
) -> bool:
    """Return whether the limited dimensions of a shape are below the limit."""
    return all(
        getattr(in_use, name) <= getattr(limit, name)
        for name in DIMENSIONS
        if getattr(mask, name) > 0 and getattr(shape, name) > 0
    )


def elementwise_min(left: Resources, right: Resources) -> Resources:
    """Return the smaller amount of each dimension."""
    return Resources(
        *(min(getattr(left, name), getattr(right, name)) for name in DIMENSIONS)
    )


def elementwise_max(left: Resources, right: Resources) -> Resources:
    """Return the larger amount of each dimension."""
    return Resources(
        *(max(getattr(left, name), getattr(right, name)) for name in DIMENSIONS)
    )


def clamp_non_negative(amount: Resources) -> Resources:
    """Return an amount with 0 in place of what is below 0."""
    if amount.is_non_negative():
        return amount
    return Resources(*(max(getattr(amount, name), 0) for name in DIMENSIONS))
