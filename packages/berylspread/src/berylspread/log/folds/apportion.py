"""Splits integer amounts by weights with the largest remainder method."""

from collections.abc import Mapping

from berylspread.kernel import check


def apportion(amount: int, weights: Mapping[str, int]) -> dict[str, int]:
    """Split an amount by weights; the parts add up to it exactly.

    Ties between remainders are resolved in alphabetical order of the names.
    If every weight is zero, all weights count as equal.
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
    """Adjust parts to a new sum.

    An increase is split by the weights.  A decrease scales each part down, so
    that no part grows.
    """
    total = sum(parts.values())
    if limit < total:
        return apportion(limit, parts)
    increase = apportion(limit - total, weights)
    return {name: part + increase.get(name, 0) for name, part in parts.items()}
