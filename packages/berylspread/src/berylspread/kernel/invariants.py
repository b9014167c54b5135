"""Invariants asserted inside the program, in production too.

A violated invariant is counted, logged with its fields, and raised, so that the
task that found it does not act on a broken state.
"""

import collections
from typing import Any, Final

from absl import logging

violations: Final[collections.Counter[str]] = collections.Counter()


class InvariantViolationError(Exception):
    """An invariant of the system does not hold; a fault of this program."""

    def __init__(self, invariant: str, fields: dict[str, Any]) -> None:
        """Keep the invariant's name and the fields that show the violation."""
        super().__init__(f'{invariant}: {fields!r}')
        self.invariant = invariant
        self.fields = fields


def check(invariant: str, holds: bool, **fields: Any) -> None:
    """Count, log and raise unless the invariant holds."""
    if holds:
        return
    violations[invariant] += 1
    logging.error('invariant violated: %s %r', invariant, fields)
    raise InvariantViolationError(invariant, fields)
