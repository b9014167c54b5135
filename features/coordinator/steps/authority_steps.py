"""Steps for what a coordinator does without authority."""

from unittest import mock

from behave import given, then, when

from berylspread.coordinator.fleet import WorkerClock
from berylspread.coordinator.orders import OrderSender
from features.coordinator.cell import find_coordinator, reach_worker_alone

START = OrderSender.start
REPORTED_MS = 482_113
MS_PER_S = 1000


@when('the coordinator is to pause as its next order leaves')
def step_pause_at_order(context):
    name = find_coordinator(context)
    context.paused = context.cell.nodes[name]

    def start_and_pause(sender, run, ticket):
        START(sender, run, ticket)
        patcher.stop()
        context.cell.pause(name)

    patcher = mock.patch.object(OrderSender, 'start', start_and_pause)
    patcher.start()


@when(
    'the worker on which job "{job_id}" is placed is reached by that node alone'
)
def step_reach_alone(context, job_id):
    worker = next(
        line['worker']
        for line in context.cell.events('start')
        if line['task'].startswith(f'{job_id}.')
    )
    reach_worker_alone(context, context.paused.name, worker)


@given('a worker whose clock runs at {rate:g} of the usual rate')
def step_rate(context, rate):
    context.rate = rate


@when('it has reported {age:g} s ago')
def step_reported(context, age):
    context.worker_clock = WorkerClock()
    context.worker_clock.observe(REPORTED_MS, 0.0)
    context.age = age


@then('the time that its coordinator assumes is not ahead of its clock')
def step_not_ahead(context):
    assumed_ms = context.worker_clock.lower_bound_ms(context.age)
    true_ms = REPORTED_MS + context.age * context.rate * MS_PER_S
    assert REPORTED_MS <= assumed_ms <= true_ms, (assumed_ms, true_ms)
