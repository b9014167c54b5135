"""Steps about two programs that are run beside each other."""

import asyncio
import tempfile
from pathlib import Path

from behave import given, then, when

from berylspread_standins.process_soak import run_seed
from berylspread_standins.process_soak.programs import PRESENT, Programs

ROOT = Path(__file__).parents[3]


@given('a source tree as the other program, which is {place}')
def step_other(context, place):
    context.programs = Programs(str(ROOT), is_other_first=place == 'the first')


@when('{nodes:d} nodes are started {count:d} times')
def step_starts(context, nodes, count):
    context.trees = [
        [context.programs.choose(index, start) for start in range(count)]
        for index in range(nodes)
    ]


@then('the nodes have run the programs "{programs}"')
def step_trees(context, programs):
    names = {PRESENT: 'present', str(ROOT): 'other'}
    rows = [' '.join(names[tree] for tree in row) for row in context.trees]
    assert ', '.join(rows) == programs, rows


@when('a folder without a program is named as the other program')
def step_no_program(context):
    context.error = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            Programs(folder)
        except ValueError as error:
            context.error = error


@then('it is refused')
def step_refused(context):
    assert context.error is not None


@when(
    'seed {seed:d} runs for {seconds:g} s with {nodes:d} nodes of the two '
    'programs'
)
def step_run(context, seed, seconds, nodes):
    context.report = asyncio.run(
        run_seed(seed, seconds=seconds, nodes=nodes, programs=context.programs)
    )


@then('each program was started at least once')
def step_both(context):
    starts = context.report.starts
    assert starts.keys() == {'present', str(ROOT)}, starts
