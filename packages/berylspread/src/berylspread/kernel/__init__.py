"""Failures, registries, options, clocks and invariants, used by all parts."""

from berylspread.kernel.clock import CLOCK_DRIFT, WallClock, now
from berylspread.kernel.errors import (
    Failure,
    RunState,
    failure,
    failure_types,
)
from berylspread.kernel.invariants import InvariantViolationError, check
from berylspread.kernel.options import (
    Option,
    Section,
    SectionLocation,
    parse_section,
)
from berylspread.kernel.registry import Plugin, Registry, nearest

__all__ = (
    'CLOCK_DRIFT',
    'Failure',
    'InvariantViolationError',
    'Option',
    'Plugin',
    'Registry',
    'RunState',
    'Section',
    'SectionLocation',
    'WallClock',
    'check',
    'failure',
    'failure_types',
    'nearest',
    'now',
    'parse_section',
)
