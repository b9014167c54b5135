"""Steps about runs of random faults."""

from behave import then, when
from behave.runner import Context

from berylspread_standins.soak import run_seeds

PROCESSES = 3


@when(
    'the seeds {first:d} to {last:d} run for {minutes:g} virtual minutes each'
)
def step_run(context: Context, first: int, last: int, minutes: float) -> None:
    seeds = list(range(first, last + 1))
    context.found = list(run_seeds(seeds, minutes, '', PROCESSES))


@then('no run broke a guarantee or lost work')
def step_clean(context: Context) -> None:
    problems = {
        run['seed']: run['problems'][:3]
        for run in context.found
        if run['problems']
    }
    assert not problems, problems
