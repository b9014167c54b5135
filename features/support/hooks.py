"""Behave hooks that each folder's environment re-exports."""

import random

from behave.model import Scenario
from behave.runner import Context
from hypothesis import settings

from features.support.mutants import apply_mutant

SEED = 1


def before_all(context: Context) -> None:
    """Make the property checks repeatable and free of time limits."""
    settings.register_profile(
        'features',
        database=None,
        deadline=None,
        derandomize=True,
    )
    settings.load_profile('features')
    apply_mutant()


def before_scenario(context: Context, scenario: Scenario) -> None:
    """Give each scenario the same random numbers, whatever ran before."""
    random.seed(SEED)
