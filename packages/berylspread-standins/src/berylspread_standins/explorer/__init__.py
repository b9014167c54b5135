"""Explores schedules of the coordinating nodes in virtual time."""

from berylspread_standins.explorer.choices import Chooser, Deviations
from berylspread_standins.explorer.scripts import SCRIPTS, script
from berylspread_standins.explorer.search import (
    Finding,
    explore,
    run_schedule,
    shrink,
    walk,
)

__all__ = (
    'SCRIPTS',
    'Chooser',
    'Deviations',
    'Finding',
    'explore',
    'run_schedule',
    'script',
    'shrink',
    'walk',
)
