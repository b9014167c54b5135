"""Hooks of this folder: each run has a loop of its own."""

from features.support import hooks

before_all = hooks.before_all
before_scenario = hooks.before_scenario
