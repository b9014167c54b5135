"""Hooks of this folder: each scenario runs in a loop with virtual time."""

import asyncio

from behave.model import Scenario
from behave.runner import Context

from berylspread_standins.virtual_time import VirtualTimeLoop
from features.support import hooks

before_all = hooks.before_all


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Create a loop whose clock advances only while a step runs it."""
    hooks.before_scenario(context, scenario)
    context.runner_of_loop = asyncio.Runner(loop_factory=VirtualTimeLoop)
    context.run = context.runner_of_loop.run


def after_scenario(context: Context, scenario: Scenario) -> None:
    """Close the loop and cancel its tasks."""
    context.runner_of_loop.close()
