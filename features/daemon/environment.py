"""Hooks for the scenarios of the daemon."""

from behave.runner import Context

from features.support.entry_world import SHARED
from features.support.hooks import before_all, before_scenario

__all__ = ['after_all', 'before_all', 'before_scenario']


def after_all(context: Context) -> None:
    """Close the fleet that the scenarios share."""
    SHARED.close()
