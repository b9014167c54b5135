"""Steps for the explorer of the states of the ownership protocol."""

from behave import then, when

from bench.ownership_explorer import (
    MUTANTS,
    SCOPES,
    explore,
    explore_naive,
)


@when('the explorer visits the scope "{name}"')
def when_scope(context, name):
    context.found = explore(SCOPES[name])


@when('the explorer visits the naive protocol')
def when_naive(context):
    context.found = explore_naive()


@when('the explorer visits the mutant "{name}"')
def when_mutant(context, name):
    context.found = explore(*MUTANTS[name])


@then('it has visited all {states:d} states')
def then_visited(context, states):
    assert context.found.is_complete, context.found
    assert context.found.visited == states, context.found


@then('it found no state with two holders')
def then_none(context):
    assert context.found.is_complete, context.found
    assert not context.found.steps, context.found


@then('it found a state with two holders')
def then_two(context):
    assert context.found.steps > 0, context.found
