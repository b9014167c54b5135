"""Steps for the property checks of the ledgers."""

from behave import given, then, when
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from features.limits.capacity_machine import CapacityMachine
from features.limits.quota_machine import QuotaMachine

MACHINES = {'capacity': CapacityMachine, 'quota': QuotaMachine}
STEPS_PER_RUN = 60


@given('random steps over the {name} ledger')
def choose_machine(context, name):
    context.machine = MACHINES[name]
    context.machine.steps = 0


@when('{runs:d} runs of them are made')
def run_machine(context, runs):
    run_state_machine_as_test(
        context.machine,
        settings=settings(max_examples=runs, stateful_step_count=STEPS_PER_RUN),
    )


@then('at least {count:d} steps kept every invariant')
def check_steps(context, count):
    assert context.machine.steps >= count, context.machine.steps
