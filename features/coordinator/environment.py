"""Hooks of this folder: each scenario has a loop in virtual time."""

import asyncio

from behave.model import Scenario
from behave.runner import Context

from berylspread_standins.virtual_time import VirtualTimeLoop
from features.support import hooks

before_all = hooks.before_all


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Start a loop whose clock only steps advance."""
    hooks.before_scenario(context, scenario)
    context.runner_of_loop = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.run = context.runner_of_loop.run


def after_scenario(context: Context, scenario: Scenario) -> None:
    """End the loop and all that still runs on it."""
    context.runner_of_loop.close()
