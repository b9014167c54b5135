"""Decides what waits, goes first or is refused when room is short."""

from berylspread.coordinator.contention import policies
from berylspread.coordinator.contention.admission import (
    Action,
    Admission,
    Verdict,
    retry_after_s,
)
from berylspread.coordinator.contention.forecast import Forecast, Wait
from berylspread.coordinator.contention.load_report import LoadReporter
from berylspread.coordinator.contention.ordering import Ordering
from berylspread.coordinator.contention.registry import (
    DEFAULT_POLICY,
    POLICIES,
    ContentionPolicy,
    Rank,
    contention_policy,
    find_policy,
)
from berylspread.coordinator.contention.standing import (
    Standing,
    find_standing,
)

__all__ = [
    'DEFAULT_POLICY',
    'POLICIES',
    'Action',
    'Admission',
    'ContentionPolicy',
    'Forecast',
    'LoadReporter',
    'Ordering',
    'Rank',
    'Standing',
    'Verdict',
    'Wait',
    'contention_policy',
    'find_policy',
    'find_standing',
    'policies',
    'retry_after_s',
]
