"""Steps that run seeds of the soak."""

from behave import then, when

from berylspread_standins.coordinator_soak import Options, run_seed


def run_seeds(context, first, last, options):
    context.results = [
        run_seed(seed, options) for seed in range(first, last + 1)
    ]


@when('the seeds {first:d} to {last:d} are run with faults at random')
def step_random(context, first, last):
    run_seeds(context, first, last, Options())


@when('the seeds {first:d} to {last:d} of the sequence "{name}" are run')
def step_sequence(context, first, last, name):
    run_seeds(context, first, last, Options(sequence=name))


@when(
    'the seeds {first:d} to {last:d} of the sequence "{name}" are run with '
    'late kills'
)
def step_late_kills(context, first, last, name):
    run_seeds(context, first, last, Options(late_kills=True, sequence=name))


@when('the seed {seed:d} of the sequence "{name}" is run')
def step_seed(context, seed, name):
    run_seeds(context, seed, seed, Options(sequence=name))


@then('no run violates a check')
def step_clean(context):
    found = [
        (result.seed, violation)
        for result in context.results
        for violation in result.violations
    ]
    assert not found, found


@then('the runs had at least {count:d} changes of the coordinator')
def step_claims(context, count):
    claims = sum(result.claims for result in context.results)
    assert claims >= count, claims


@then('workers began at least {count:d} runs')
def step_starts(context, count):
    starts = sum(result.starts for result in context.results)
    assert starts >= count, starts
