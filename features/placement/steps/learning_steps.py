"""Steps for usage estimates, overuse of grants and the call queue."""

import math

from behave import given, then, when

from berylspread.model import Resources
from berylspread.placement.calls import CallQueue, WaitingCall
from berylspread.placement.learned import UsageEstimator
from berylspread.placement.overuse import (
    ACTION_GRACE_S,
    OveruseAction,
    OveruseTracker,
)

NAME = 'render'
DAY_S = 86_400.0


@given('a class that declares {cores:g} cores and {mib:d} MiB')
def given_class(context, cores, mib):
    context.now = 0.0
    context.declared = Resources(int(cores * 1000), mib, 1, 2)
    context.estimator = UsageEstimator()


@when('{count:d} tasks end that used {cores:g} cores and {mib:d} MiB')
def when_ended(context, count, cores, mib):
    for _ in range(count):
        peak = Resources(int(cores * 1000), mib)
        context.estimator.record_task(NAME, peak, 5.0, context.now)


@when('{days:d} days pass')
def when_days_pass(context, days):
    context.now += days * DAY_S


@then('the next task is granted about {cores:g} cores and {mib:d} MiB')
def then_granted(context, cores, mib):
    found = context.estimator.estimate_grant(NAME, context.declared)
    assert math.isclose(found.cpu_milli, cores * 1000, rel_tol=0.1), found
    assert math.isclose(found.memory_mib, mib, rel_tol=0.1), found
    assert (found.accelerators, found.slots) == (1, 2)


@when('tasks of {count:d} classes end')
def when_classes_end(context, count):
    context.estimator = UsageEstimator()
    for number in range(count):
        context.estimator.record_task(f'c{number}', Resources(1), 1.0, 0.0)


@then('{count:d} classes are remembered')
def then_remembered(context, count):
    assert len(context.estimator.classes) == count


@given('a task that {can} be checkpointed, whose last action is {last}')
def given_task(context, can, last):
    context.now = 100.0
    context.preemptible = can == 'can'
    context.tracker = OveruseTracker()
    context.tracker.last_actions['t'] = (
        OveruseAction(last),
        context.now - ACTION_GRACE_S,
    )


def observe(context, cores, mib):
    context.action = context.tracker.choose_action(
        't',
        Resources(int(cores * 1000), mib),
        Resources(4000, 4096),
        context.now,
        preemptible=context.preemptible,
    )


@when('it uses {cores:g} of 4 cores and {mib:d} of 4096 MiB')
def when_uses(context, cores, mib):
    observe(context, cores, mib)


@when('{elapsed:g} s later it uses {cores:g} of 4 cores')
def when_uses_later(context, elapsed, cores):
    context.now += elapsed - ACTION_GRACE_S
    observe(context, cores, 4096)


@then('the action is {action}')
def then_action(context, action):
    assert context.action is OveruseAction(action), context.action


@given('a call queue for {slots:d} slot')
def given_queue(context, slots):
    context.now = 0.0
    context.queue = CallQueue(slots)
    context.queue.service_times.observe('q', 0.01)


@given('a call queue for {slots:d} slot whose calls take {service:g} s')
def given_slow_queue(context, slots, service):
    given_queue(context, slots)
    for _ in range(200):
        context.queue.service_times.observe('q', service)


@given(
    'a call queue for {slots:d} slots that holds at most {count:d} calls and '
    'is full'
)
def given_full_queue(context, slots, count):
    given_queue(context, slots)
    context.queue.max_waiting = count
    for number in range(count):
        assert enqueue(context, f'a{number}', 'a', 60) is None


def enqueue(context, request_id, team, deadline):
    call = WaitingCall(request_id, team, 'q', deadline)
    return context.queue.enqueue(call, context.now, free_slots=0)


@when(
    'calls of team "{team}" are offered with deadlines {a:d}, {b:d} and {c:d}'
)
def when_offered(context, team, a, b, c):
    context.refusals = [
        enqueue(context, str(deadline), team, deadline)
        for deadline in (a, b, c)
    ]


@when(
    '{many:d} calls of team "{a}" with the deadline {first:d} and {few:d} of '
    'team "{b}" with the deadline {second:d} wait'
)
def when_two_teams(context, many, a, first, few, b, second):
    for number in range(many):
        assert enqueue(context, f'{a}{number}', a, first) is None
    for number in range(few):
        assert enqueue(context, f'{b}{number}', b, second) is None


@when('the call with the deadline {deadline:d} is cancelled')
def when_cancelled(context, deadline):
    assert context.queue.cancel(str(deadline))


@when('{seconds:d} s have passed')
def when_passed(context, seconds):
    context.now += seconds
    context.queue.expire(context.now)


@then('they are served in the order {order}')
def then_served(context, order):
    served = []
    while (call := context.queue.dequeue(context.now)) is not None:
        served.append(call.request_id)
    assert served == order.split(', '), served


@then('a call with the deadline {deadline:d} is refused as {name}')
def then_refused(context, deadline, name):
    refusal = enqueue(context, f'late-{deadline}', 'a', deadline)
    assert refusal is not None
    assert refusal.name == name, refusal
    assert refusal.run_state.value == 'not-run'


@then('a call with the deadline {deadline:d} waits')
def then_waits(context, deadline):
    assert enqueue(context, f'new-{deadline}', 'a', deadline) is None


@then(
    'at least {minimum:d} of the first {count:d} served calls are of team '
    '"{team}"'
)
def then_fair(context, count, minimum, team):
    served = [context.queue.dequeue(context.now) for _ in range(count)]
    of_team = [call for call in served if call.team == team]
    assert len(of_team) >= minimum, len(of_team)
