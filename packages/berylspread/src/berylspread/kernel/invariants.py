"""Invariants that the program checks at run time, in production, too.

A violation is counted and logged with its fields, and raises an exception, so
that the task that detected it does not act on an inconsistent state.
"""

import collections
from typing import Any, Final

from absl import logging

violations: Final[collections.Counter[str]] = collections.Counter()


class InvariantViolationError(Exception):
    """An invariant does not hold, which is a fault of the program."""

    def __init__(self, invariant: str, fields: dict[str, Any]) -> None:
        """Store the invariant's name and the fields that show the violation."""
        super().__init__(f'{invariant}: {fields!r}')
        self.invariant = invariant
        self.fields = fields


def check(invariant: str, holds: bool, **fields: Any) -> None:
    """Count, log and raise a violation unless the invariant holds."""
    if holds:
        return
    violations[invariant] += 1
    logging.error('invariant violated: %s %r', invariant, fields)
    raise InvariantViolationError(invariant, fields)
