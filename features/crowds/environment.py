"""Hooks of this folder."""

from features.support.hooks import before_all, before_scenario

__all__ = ['before_all', 'before_scenario']
