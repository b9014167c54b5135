"""Steps for faults between homes and entry nodes, and for idle allotments."""

from behave import given, then, when

from berylspread.kernel.errors import StaleEpoch
from berylspread.limits import (
    CALL_SHAPE,
    CallAllowance,
    IdleTracker,
    QuotaLedger,
)
from berylspread.model import Resources

TEAM = 'proofs'
ENTRY = 'e0'
TTL_S = 10.0
MAX_CALL_S = 60.0


def new_home(context, slots):
    context.home = QuotaLedger(TTL_S, MAX_CALL_S)
    set_limit(context, slots)


def set_limit(context, slots):
    context.home.set_allotment(
        TEAM, Resources(slots=slots), Resources(slots=context.limit)
    )


def send_request(context, wanted):
    """Send a request; return its sequence number and the home's reply."""
    sequence = context.node.start_request(context.now, wanted)
    reply = lend(context, wanted, sequence)
    return sequence, reply


def lend(context, wanted, sequence):
    return context.home.lend(
        ENTRY,
        TEAM,
        wanted,
        context.now,
        sequence=sequence,
        held_calls=context.node.held_calls(context.now),
    )


def exchange(context, wanted):
    sequence, reply = send_request(context, wanted)
    assert context.node.apply_reply(sequence, reply.offered, TTL_S)


@given('a home with an allotment of {slots:d} call slots')
def given_home(context, slots):
    context.now = 0.0
    context.limit = slots
    new_home(context, slots)
    context.node = CallAllowance()


@given('an entry node that was lent {count:d} of them')
def given_slice(context, count):
    exchange(context, 1)
    exchange(context, count)


@when('its next request for {wanted:d} gets no reply')
def lose_reply(context, wanted):
    send_request(context, wanted)


@when('its next request for {wanted:d} is answered')
def reply_to_request(context, wanted):
    exchange(context, wanted)


@when('an older request for {wanted:d} arrives late')
def deliver_old_request(context, wanted):
    reply = lend(context, wanted, sequence=1)
    assert isinstance(reply, StaleEpoch), reply


@when('the reply to an older request arrives late')
def deliver_old_reply(context):
    assert not context.node.apply_reply(1, 9, TTL_S)


@when('it dies, and {elapsed_s:d} s pass')
def kill_entry_node(context, elapsed_s):
    context.node = CallAllowance()
    pass_time(context, elapsed_s)


@when('it is paused for {elapsed_s:d} s')
@when('{elapsed_s:d} s pass')
def pass_time(context, elapsed_s):
    context.now += elapsed_s
    context.home.expire_all(context.now)


@when('the limit is lowered to {slots:d}')
@when("the region's part of the limit becomes {slots:d}")
def set_limit_to(context, slots):
    set_limit(context, slots)


@when('the limit is lowered to {slots:d} and it asks for {wanted:d}')
def lower_and_request(context, slots, wanted):
    set_limit(context, slots)
    exchange(context, wanted)
    exchange(context, wanted)


@when('the home is handed over')
def hand_over(context):
    new_home(context, context.limit)
    context.home.await_slices(TEAM, [ENTRY], context.now)


@when('{count:d} tasks with a slot are taken')
def take_tasks(context, count):
    assert context.home.acquire(TEAM, CALL_SHAPE, count) == count


@then('the home counts {count:d} slots in use')
def check_counted(context, count):
    found = context.home.teams[TEAM].in_use.slots
    assert found == count, found


@then('the entry node may start {count:d} more calls')
def check_calls(context, count):
    started = 0
    while context.node.acquire(context.now):
        started += 1
    assert started == count, started


@then('{count:d} tasks with a slot are handed out')
def check_handed_out(context, count):
    found = context.home.acquire(TEAM, CALL_SHAPE, 100)
    assert found == count, found


@then('{count:d} slots are to be preempted')
def check_excess(context, count):
    assert context.home.excess(TEAM) == Resources(slots=count)


@given('a region that uses {used:d} of its allotment of {slots:d}')
def given_region(context, used, slots):
    context.now = 0.0
    context.used = used
    context.allotment = slots
    context.given = 0
    context.tracker = IdleTracker(0)
    observe(context, 20, 0)


def observe(context, seconds, wanted):
    """Observe the use each second and move what is transferable."""
    fleet = Resources(slots=40)
    for _ in range(seconds):
        context.now += 1
        context.tracker.observe(Resources(slots=context.used), context.now)
        amount = context.tracker.transferable(
            Resources(slots=context.allotment),
            fleet,
            Resources(slots=max(wanted - context.given, 0)),
        )
        context.allotment -= amount.slots
        context.given += amount.slots


@when('another region wants {wanted:d} for {seconds:d} s')
def request_amount(context, wanted, seconds):
    observe(context, seconds, wanted)


@when(
    'its use dips to {used:d} for {seconds:d} s and another region wants {n:d}'
)
def lower_use(context, used, seconds, n):
    context.used = used
    observe(context, seconds, n)


@then('it was given at least {count:d}')
def check_given_at_least(context, count):
    assert context.given >= count, context.given


@then('it was given at most {count:d}')
def check_given_at_most(context, count):
    assert context.given <= count, context.given


@then('no amount was given back')
def check_not_returned(context):
    assert context.allotment >= context.used
