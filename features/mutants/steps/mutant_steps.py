"""Steps about mechanisms that are switched off."""

from pathlib import Path

from behave import then

from features.support.mutants import MUTANTS, catches


@then('the mutant "{name}" is caught')
def step_caught(context, name):
    assert catches(name), MUTANTS[name].scenario


@then('every mutant is among the examples')
def step_listed(context):
    text = Path(context.feature.filename).read_text(encoding='utf-8')
    missing = [name for name in MUTANTS if f'| {name} ' not in text]
    assert not missing, missing
