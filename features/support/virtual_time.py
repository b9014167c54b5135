"""Run a coroutine in virtual time within a bound."""

from collections.abc import Coroutine
from typing import Any, Final, TypeVar

from berylspread_standins import virtual_time

_Result = TypeVar('_Result')

#: Virtual seconds after which a scenario counts as stuck.
SCENARIO_LIMIT_S: Final = 86_400.0


def run_virtual(
    coroutine: Coroutine[Any, Any, _Result],
    limit_s: float | None = SCENARIO_LIMIT_S,
) -> _Result:
    """Run a coroutine; it fails with ``TimeoutError`` at the limit."""
    return virtual_time.run_virtual(coroutine, limit_s=limit_s)
