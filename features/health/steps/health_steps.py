"""Steps for the health of workers and drains."""

import collections

from behave import given, then, when

from berylspread.health import Drain, DrainEvent, DrainState, HealthMonitor
from berylspread.limits import Barrier, BookedWork, CapacityLedger
from berylspread.model import JobKind, Resources, Vm, VmRole

TASK = Resources(1000, 1024)


def make_ledger(count):
    ledger = CapacityLedger('workers/r/k')
    for number in range(count):
        name = f'w{number}'
        vm = Vm(name, VmRole.worker, '10.0.0.1:1', 'r', 'z', 'k')
        ledger.add_worker(vm)
        ledger.apply_report(name, Resources(32_000, 131_072, 0, 8))
    return ledger


@given('{count:d} workers that serve {classes:d} job classes')
def given_workers(context, count, classes):
    context.now = 0.0
    context.ledger = make_ledger(count)
    context.monitor = HealthMonitor(0)
    context.monitor.add_ledger(context.ledger)
    for number in range(count * 4):
        context.monitor.record_task(
            f'w{number % count}', f'c{number % classes}', 0.0, failed=False
        )


def record_failures(context, worker, count):
    for number in range(count):
        context.monitor.record_task(
            worker, f'c{number % 4}', context.now, failed=True
        )


def quarantined_workers(context):
    return {
        view.worker
        for view in context.ledger.workers.values()
        if Barrier.quarantined in view.barriers
    }


@when('worker "{worker}" fails {count:d} tasks of different classes')
def when_fails(context, worker, count):
    record_failures(context, worker, count)


@when('a class "{name}" fails once on each of {count:d} workers')
def when_class_fails(context, name, count):
    for number in range(count):
        context.monitor.record_task(
            f'w{number}', name, context.now, failed=True
        )


@when('{workers:d} workers fail {count:d} tasks of different classes each')
def when_many_fail(context, workers, count):
    for number in range(workers):
        record_failures(context, f'w{number}', count)


@when('{seconds:d} s pass')
def when_passed(context, seconds):
    context.now += seconds


@when('a probe of worker "{worker}" {outcome}')
def when_probed(context, worker, outcome):
    context.monitor.record_probe_start(worker, context.now)
    assert worker not in context.monitor.workers_to_probe(context.now)
    failed = {'fails': True, 'succeeds': False}[outcome]
    context.monitor.record_task(worker, 'c0', context.now, failed=failed)


@then('worker "{worker}" is in quarantine')
def then_quarantined(context, worker):
    context.expected = {worker}
    assert worker in quarantined_workers(context)


@then('no other worker is in quarantine')
def then_no_other(context):
    assert quarantined_workers(context) == context.expected


@then('no worker is in quarantine')
def then_none(context):
    assert not quarantined_workers(context)


@then('{count:d} workers are in quarantine')
def then_count(context, count):
    assert len(quarantined_workers(context)) == count


@then('worker "{worker}" has a higher fault probability than the others')
def then_fault_probability(context, worker):
    probabilities = {
        view.worker: view.fault_probability
        for view in context.ledger.workers.values()
    }
    found = probabilities.pop(worker)
    assert found > 2 * max(probabilities.values()), (found, probabilities)


@then('class "{name}" is faulty')
def then_faulty(context, name):
    assert context.monitor.is_class_faulty(name)


@then('class "{name}" is not faulty')
def then_not_faulty(context, name):
    assert not context.monitor.is_class_faulty(name)


@then('worker "{worker}" may be probed')
def then_probe(context, worker):
    assert context.monitor.workers_to_probe(context.now) == [worker]


@then('worker "{worker}" may not be probed')
def then_no_probe(context, worker):
    assert context.monitor.workers_to_probe(context.now) == []


@then('a booking at worker "{worker}" is refused')
def then_refused(context, worker):
    refused = context.ledger.book(worker, 'k', TASK)
    assert refused.name == 'worker-barred', refused


@then('a probe can be booked at worker "{worker}"')
def then_probe_booked(context, worker):
    assert context.ledger.book(worker, 'k', TASK, probe=True)


@given('a worker with {batch:d} batch tasks and {services:d} services')
def given_worker(context, batch, services):
    context.ledger = make_ledger(1)
    context.drain = Drain(context.ledger, 'w0')
    for number in range(services + batch):
        kind = JobKind.service if number < services else JobKind.batch
        work = BookedWork(kind=kind)
        assert context.ledger.book('w0', f'k{number}', TASK, work)


@when('these events happen: {events}')
def when_events(context, events):
    for name in events.split(', '):
        if name != 'none':
            context.drain.apply_event(DrainEvent(name))


@when('the stopped tasks have ended')
def when_ended(context):
    for key in list(context.drain.stopping_keys):
        context.ledger.release(key)


@then('its state is {state}')
def then_state(context, state):
    assert context.drain.state is DrainState(state)


@then('it {reaction} new work')
def then_new_work(context, reaction):
    booked = context.ledger.book('w0', 'new', TASK)
    assert bool(booked) == (reaction == 'takes'), booked


def count_stops(context):
    """Count the stops by mode; a second call returns none of them again."""
    context.modes = collections.Counter(
        mode for _, mode in context.drain.next_stops()
    )
    assert not context.drain.next_stops()


@then('{count:d} tasks are asked to checkpoint')
def then_checkpointed(context, count):
    count_stops(context)
    assert context.modes['checkpoint'] == count, context.modes


@then('{count:d} tasks are asked to stop')
def then_stopped(context, count):
    assert context.modes['stop'] == count, context.modes


@then('{batch:d} tasks are asked to checkpoint and {services:d} to stop')
def then_both(context, batch, services):
    count_stops(context)
    assert context.modes == {'checkpoint': batch, 'stop': services}


@then('no task is left and its state is {state}')
def then_drained(context, state):
    count_stops(context)
    assert not context.modes
    assert context.drain.state is DrainState(state)
