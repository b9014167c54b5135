"""Steps that run schedules."""

import itertools

from behave import given, then, when

from berylspread_standins.explorer import explore, shrink, walk
from berylspread_standins.explorer.faults import LOST
from berylspread_standins.explorer.invariants import CHECKS


@given('{nodes:d} nodes and the script "{script}"')
def step_script(context, nodes, script):
    context.nodes = nodes
    context.script = script


@given("a check that no call to the leader's topic is lost")
def step_check(context):
    def no_lost_call(world):
        return [
            choice.label
            for choice in world.chooser.choices
            if choice.options[choice.taken] == LOST
            and choice.label.endswith('to leader')
        ]

    CHECKS['no_lost_call'] = no_lost_call
    context.add_cleanup(lambda: CHECKS.pop('no_lost_call'))


@when('the schedules with at most {depth:d} deviations are run')
def step_explore(context, depth):
    context.findings = list(explore(context.script, context.nodes, depth))


@when('the first {count:d} schedules with at most {depth:d} deviation are run')
def step_explore_part(context, count, depth):
    schedules = explore(context.script, context.nodes, depth)
    context.findings = list(itertools.islice(schedules, count))


@when('random schedules of the seeds {first:d} to {last:d} are run')
def step_walk(context, first, last):
    context.findings = [
        walk(context.script, context.nodes, seed)
        for seed in range(first, last + 1)
    ]


@then('no schedule violates a check')
def step_clean(context):
    bad = [found for found in context.findings if found.violations]
    assert not bad, shrink(bad[0]).describe()


@then('a schedule violates a check')
def step_violates(context):
    context.bad = [found for found in context.findings if found.violations]
    assert context.bad


@then('shrunk it has one deviation, which its description names')
def step_shrunk(context):
    smallest = shrink(context.bad[0])
    numbers = list(smallest.deviations())
    assert len(numbers) == 1, smallest.describe()
    assert f'#{numbers[0]} ' in smallest.describe(), smallest.describe()
