"""Splitting whole amounts by weights with the largest remainder method."""

from collections.abc import Mapping

from berylspread.kernel import check


def apportion(amount: int, weights: Mapping[str, int]) -> dict[str, int]:
    """Split an amount by weights; the parts add up to it exactly.

    Names with equal remainders are served in alphabetical order.  If every
    weight is zero, all count the same.
    """
    total = sum(weights.values())
    if total == 0:
        weights = dict.fromkeys(weights, 1)
        total = len(weights)
    if not total:
        return {}
    parts = {name: amount * weight // total for name, weight in weights.items()}
    remainders = sorted(
        weights, key=lambda name: (-(amount * weights[name] % total), name)
    )
    for name in remainders[: amount - sum(parts.values())]:
        parts[name] += 1
    check(
        'parts add up to the amount',
        sum(parts.values()) == amount,
        amount=amount,
        parts=parts,
    )
    return parts


def adjust_parts(
    parts: Mapping[str, int], limit: int, weights: Mapping[str, int]
) -> dict[str, int]:
    """Bring parts to a new sum: a rise goes by weights, a fall shrinks all.

    A fall scales each part down, so that none grows.
    """
    held = sum(parts.values())
    if limit < held:
        return apportion(limit, parts)
    rise = apportion(limit - held, weights)
    return {name: part + rise.get(name, 0) for name, part in parts.items()}
