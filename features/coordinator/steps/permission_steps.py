"""Steps about who asks for permissions, and about which workers."""

from behave import given, then, when

from berylspread.coordinator.fleet import Worker
from berylspread.coordinator.interface import WorkerEntry
from berylspread.coordinator.model import AdviceTerms, Job, Queue, Tickets
from berylspread.coordinator.permits import Askers, workers_to_ask
from berylspread_standins.coordinated.fleet import CAPACITY, job

NAMES = ('w1', 'w2', 'w3')


@given('nodes "a", "b" and "c" that ask')
def step_nodes(context):
    context.askers = Askers()
    for name in ('a', 'b', 'c'):
        context.askers.add(name, 0.0)


@given('answers through "{node}" take {seconds:g} s longer')
def step_longer(context, node, seconds):
    for _ in range(20):
        context.askers.learn(node, seconds / 5)


@given('"{node}" was last heard of {seconds:g} s ago')
def step_heard(context, node, seconds):
    context.askers.add(node, -seconds)


@when('{count:d} requests of {cost:g} s are sent')
def step_send(context, count, cost):
    for _ in range(count):
        context.picked = context.askers.pick(cost, 0.0)
        assert context.picked is not None


@then('a request of {cost:g} s is answered within {seconds:g} s')
def step_answered(context, cost, seconds):
    _, done_at = context.askers.pick(cost, 0.0)
    assert done_at <= seconds, done_at


@then('a request of {cost:g} s has to wait')
def step_waits(context, cost):
    assert context.askers.pick(cost, 0.0) is None


@then('the node that was asked is not "{node}"')
def step_not(context, node):
    assert context.picked[0] != node


@then('no node can be asked')
def step_none(context):
    assert context.askers.pick(0.04, 0.0) is None


@given('a step with tickets for "w1" until 5 s and "w2" until 3 s')
def step_tickets(context):
    queue = Queue('q', 'desk', advice=AdviceTerms(30.0, 1.0, 2000.0))
    context.step = Job(job('a', queue=queue)).steps[0, 0]
    context.step.tickets = Tickets()
    context.step.tickets.by_worker = {'w1': ('t', 5.0), 'w2': ('t', 3.0)}


@given('workers "w1", "w2" and "w3" of which "{unknown}" are new')
def step_workers(context, unknown):
    context.step.tickets.asked = set(NAMES) - set(unknown.split())
    context.workers = [
        Worker(
            WorkerEntry(
                worker=name,
                service='desk',
                address=name,
                zone='z',
                is_ready=True,
                capacity=CAPACITY,
            )
        )
        for name in NAMES
    ]


@given('workers "w1", "w2" and "w3" of which "" are new')
def step_workers_known(context):
    step_workers(context, '')


@when('the step asks at {moment:g} s')
def step_ask(context, moment):
    context.asked = workers_to_ask(context.step, context.workers, moment)


@then('it asks about "{asked}"')
def step_asked(context, asked):
    assert context.asked == asked.split(), context.asked


@then('it asks about ""')
def step_asked_none(context):
    assert not context.asked, context.asked
