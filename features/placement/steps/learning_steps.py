"""Steps for learned use, outgrown grants and the line of calls."""

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
    context.learned = UsageEstimator()


@when('{count:d} tasks end that used {cores:g} cores and {mib:d} MiB')
def when_ended(context, count, cores, mib):
    for _ in range(count):
        peak = Resources(int(cores * 1000), mib)
        context.learned.record_task(NAME, peak, 5.0, context.now)


@when('{days:d} days pass')
def when_days_pass(context, days):
    context.now += days * DAY_S


@then('the next task is granted about {cores:g} cores and {mib:d} MiB')
def then_granted(context, cores, mib):
    found = context.learned.estimate_grant(NAME, context.declared)
    assert math.isclose(found.cpu_milli, cores * 1000, rel_tol=0.1), found
    assert math.isclose(found.memory_mib, mib, rel_tol=0.1), found
    assert (found.accelerators, found.slots) == (1, 2)


@when('{count:d} classes are met')
def when_met(context, count):
    context.learned = UsageEstimator()
    for number in range(count):
        context.learned.record_task(f'c{number}', Resources(1), 1.0, 0.0)


@then('{count:d} classes are remembered')
def then_remembered(context, count):
    assert len(context.learned.classes) == count


@given('a task that {can} be checkpointed and has {done} before')
def given_task(context, can, done):
    context.now = 100.0
    context.preemptible = can == 'can'
    context.watch = OveruseTracker()
    context.watch.last_actions['t'] = (
        OveruseAction(done),
        context.now - ACTION_GRACE_S,
    )


def observe(context, cores, mib):
    context.measure = context.watch.choose_action(
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


@then('the measure is {measure}')
def then_measure(context, measure):
    assert context.measure is OveruseAction(measure), context.measure


@given('a line for {slots:d} slot')
def given_line(context, slots):
    context.now = 0.0
    context.line = CallQueue(slots)
    context.line.service_times.observe('q', 0.01)


@given('a line for {slots:d} slot whose calls take {service:g} s')
def given_slow_line(context, slots, service):
    given_line(context, slots)
    for _ in range(200):
        context.line.service_times.observe('q', service)


@given('a line for {slots:d} slots that holds {count:d} calls')
def given_full_line(context, slots, count):
    given_line(context, slots)
    context.line.max_waiting = count
    for number in range(count):
        assert offer(context, f'a{number}', 'a', 60) is None


def offer(context, request_id, team, deadline):
    call = WaitingCall(request_id, team, 'q', deadline)
    return context.line.enqueue(call, context.now, free_slots=0)


@when(
    'calls of team "{team}" are offered with deadlines {a:d}, {b:d} and {c:d}'
)
def when_offered(context, team, a, b, c):
    context.answers = [
        offer(context, str(deadline), team, deadline) for deadline in (a, b, c)
    ]


@when(
    '{many:d} calls of team "{a}" with the deadline {first:d} and {few:d} of '
    'team "{b}" with the deadline {second:d} wait'
)
def when_two_teams(context, many, a, first, few, b, second):
    for number in range(many):
        assert offer(context, f'{a}{number}', a, first) is None
    for number in range(few):
        assert offer(context, f'{b}{number}', b, second) is None


@when('the call with the deadline {deadline:d} is cancelled')
def when_cancelled(context, deadline):
    assert context.line.cancel(str(deadline))


@when('{seconds:d} s have passed')
def when_passed(context, seconds):
    context.now += seconds
    context.line.expire(context.now)


@then('they are served in the order {order}')
def then_served(context, order):
    served = []
    while (call := context.line.dequeue(context.now)) is not None:
        served.append(call.request_id)
    assert served == order.split(', '), served


@then('a call with the deadline {deadline:d} is refused as {name}')
def then_refused(context, deadline, name):
    answer = offer(context, f'late-{deadline}', 'a', deadline)
    assert answer is not None
    assert answer.name == name, answer
    assert answer.run_state.value == 'not-run'


@then('a call with the deadline {deadline:d} waits')
def then_waits(context, deadline):
    assert offer(context, f'new-{deadline}', 'a', deadline) is None


@then('of the first {count:d} served at least {least:d} are of team "{team}"')
def then_fair(context, count, least, team):
    served = [context.line.dequeue(context.now) for _ in range(count)]
    of_team = [call for call in served if call.team == team]
    assert len(of_team) >= least, len(of_team)
