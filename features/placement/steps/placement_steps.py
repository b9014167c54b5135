"""Steps for decisions of the placement pipeline."""

from behave import given, then, when

from berylspread.kernel.errors import UnknownName
from berylspread.limits import Barrier, BookedWork, CapacityLedger
from berylspread.model import (
    URGENT_PRIORITY,
    Constraints,
    JobKind,
    Resources,
    Vm,
    VmRole,
)
from berylspread.placement import (
    Decision,
    DemandClass,
    DemandQueue,
    GangInfo,
    Pipeline,
    TeamUsage,
    WorkerCapacity,
    check_feasibility,
    default_policy,
    explain,
)

WORKER = Resources(32_000, 131_072, 0, 8)
SMALL = Resources(1000, 2048)
HOME = 'teams/r/0'
NOW = 1000.0


def make_ledger(count):
    ledger = CapacityLedger('workers/r/k')
    for number in range(count):
        name = f'w{number}'
        zone, rack = f'z{number % 3}', f'k{number // 8}'
        vm = Vm(name, VmRole.worker, '10.0.0.1:1', 'r', zone, rack)
        ledger.add_worker(vm)
        ledger.apply_report(name, WORKER)
    return ledger


def make_pipeline(ledger, **options):
    section = default_policy()
    for key, value in options.items():
        setattr(section, key, value)
    pipeline = Pipeline.from_options(section)
    assert isinstance(pipeline, Pipeline)
    pipeline.context.update_capacity(ledger.workers.values())
    pipeline.context.shares.region_capacity = WORKER * len(ledger.workers)
    return pipeline


def demand(team, count=1, **options):
    options.setdefault('class_id', team)
    options.setdefault('shape', SMALL)
    options.setdefault('kind', JobKind.batch)
    return DemandClass(
        home=HOME,
        home_epoch=1,
        team=team,
        queue='q',
        job_class=team,
        count=count,
        **options,
    )


def decide(context):
    """Decide and book until no class is left to try."""
    pipeline, ledger = context.pipeline, context.ledger
    while True:
        outcome = pipeline.next_decision(
            context.queue, ledger.index, context.now
        )
        if outcome is None:
            return
        if isinstance(outcome, Decision):
            context.decisions.append(outcome)
            assert ledger.book(
                outcome.worker,
                f'k{len(context.decisions)}',
                outcome.shape,
                BookedWork(job_class=outcome.class_id),
            )


def book_tasks(context, worker, count, cores, **options):
    for number in range(count):
        work = BookedWork(started_at=float(number), **options)
        assert context.ledger.book(
            worker, f'{worker}-{number}', Resources(cores * 1000), work
        )


@given('a fleet of {count:d} workers')
def given_fleet(context, count):
    context.now = NOW
    context.ledger = make_ledger(count)
    context.pipeline = make_pipeline(context.ledger)
    context.queue = DemandQueue()
    context.constraints = Constraints()
    context.decisions = []


@given('the document weighs waiting {waiting:g} and nearness {nearness:g}')
def given_document(context, waiting, nearness):
    context.pipeline = make_pipeline(
        context.ledger, waiting=waiting, nearness=nearness
    )


@given('team "{team}" is entitled to {share:g} and uses {used:g}')
def given_team(context, team, share, used):
    use = TeamUsage(team, share, used, used)
    context.pipeline.context.shares.update_team(use)


@given('"{team}" has waited {age:g} s for {count:d} task of {run:g} s')
@given('"{team}" has waited {age:g} s for {count:d} tasks of {run:g} s')
def given_tasks(context, team, age, count, run):
    context.queue.put(
        demand(
            team,
            count,
            oldest_age_s=age,
            expected_run_s=run,
            constraints=context.constraints,
        ),
        context.now,
    )


@given('"{team}" has waited {age:g} s for 1 urgent task')
def given_urgent(context, team, age):
    urgent = demand(team, priority=URGENT_PRIORITY, oldest_age_s=age)
    context.queue.put(urgent, context.now)


@given(
    '"{team}" has waited {age:g} s for {count:d} tasks spread over "{place}"'
)
def given_spread(context, team, age, count, place):
    spread = demand(team, count, constraints=Constraints(spread=place))
    context.queue.put(spread, context.now)


@given('"{team}" has waited {age:g} s for 1 task of {cores:d} cores')
def given_large(context, team, age, cores):
    large = demand(team, shape=Resources(cores * 1000), oldest_age_s=age)
    context.queue.put(large, context.now)


@given('worker "{worker}" of the fleet {state}')
def given_state(context, worker, state):
    SET_STATE[state](context, worker)


@given('worker "{worker}" runs {count:d} preemptible tasks of {cores:d} cores')
def given_preemptible(context, worker, count, cores):
    book_tasks(context, worker, count, cores, preemptible=True)


@given('worker "{worker}" runs 1 service of {cores:d} cores')
def given_service(context, worker, cores):
    book_tasks(
        context, worker, 1, cores, kind=JobKind.service, preemptible=True
    )


@given('worker "{worker}" is full until {end:g}')
def given_full_until(context, worker, end):
    book_tasks(context, worker, 1, 32, expected_end=NOW + end)


@given('{count:d} classes of one task wait')
def given_classes(context, count):
    for number in range(count):
        name = f'c{number}'
        context.queue.put(demand('large', class_id=name), context.now)


@given('gangs "{old}" and "{young}" of 4 tasks wait while all workers are full')
def given_gangs(context, old, young):
    for number in range(8):
        book_tasks(context, f'w{number}', 1, 32, expected_end=NOW + 60)
    for name, age in ((young, 500), (old, 600)):
        gang = demand(
            'large',
            4,
            class_id=name,
            kind=JobKind.gang,
            shape=Resources(32_000),
            oldest_age_s=age,
            gang=GangInfo(name, 4),
        )
        context.queue.put(gang, context.now)


@when('decisions are made')
def when_decided(context):
    decide(context)


@when('decisions are made for {seconds:d} s')
def when_decided_for(context, seconds):
    for _ in range(seconds * 10):
        context.now += 0.1
        context.ledger.index.version += 1
        decide(context)


@when('all but {count:d} of them are cancelled')
def when_cancelled(context, count):
    for class_id in list(context.queue.classes)[count:]:
        context.queue.remove(class_id)


@then('the first decision is for "{team}"')
def then_first(context, team):
    assert context.decisions[0].class_id == team, context.decisions


@then('no decision is for worker "{worker}"')
def then_not_there(context, worker):
    workers = {decision.worker for decision in context.decisions}
    assert worker not in workers
    assert workers


@then('{count:d} decisions were made')
def then_count(context, count):
    assert len(context.decisions) == count


@then('no more than {count:d} candidates were examined')
def then_examined(context, count):
    assert context.ledger.index.examined <= count


def count_examined(workers):
    """Place 200 tasks of 40 shapes on a partly filled fleet.

    Return the number of candidates that were examined.
    """
    ledger = make_ledger(workers)
    pipeline = make_pipeline(ledger)
    queue = DemandQueue()
    for number, worker in enumerate(ledger.workers):
        ledger.book(worker, worker, Resources(number % 12 * 2000, 1024))
    for number in range(40):
        shape = Resources(500 + number * 97, 1024 + number * 131)
        queue.put(demand('t', 5, class_id=f'c{number}', shape=shape), NOW)
    before = ledger.index.examined
    placed = 0
    while (
        outcome := pipeline.next_decision(queue, ledger.index, NOW)
    ) is not None:
        assert isinstance(outcome, Decision)
        placed += 1
        ledger.book(outcome.worker, f'k{placed}', outcome.shape)
    assert placed == 200
    return ledger.index.examined - before


@then('placing 200 tasks on {workers:d} workers examines some candidates')
def then_some(context, workers):
    context.examined = count_examined(workers)
    assert context.examined


@then(
    'placing 200 tasks on {workers:d} workers examines at most {factor:g} '
    'times as many'
)
def then_flat(context, workers, factor):
    found = count_examined(workers)
    assert found <= context.examined * factor, (found, context.examined)


@then('each zone has {count:d} of them')
def then_spread(context, count):
    zones = [
        context.ledger.workers[decision.worker].vm.zone
        for decision in context.decisions
    ]
    assert {zones.count(f'z{number}') for number in range(3)} == {count}


@then(
    'a {kind} job of {tasks:d} tasks with {cpu:d} cores and {gib:d} GiB '
    'is {answer}'
)
def then_feasible(context, kind, tasks, cpu, gib, answer):
    workers = [
        WorkerCapacity(view.vm, view.capacity)
        for view in context.ledger.workers.values()
    ]
    found = check_feasibility(
        Resources(cpu * 1000, gib * 1024),
        Constraints(),
        workers,
        kind=JobKind(kind),
        tasks=tasks,
    )
    result = 'accepted'
    if found is not None:
        result = f'refused for {found.fields["dimension"]}'
    assert result == answer, result


@then('a task in zone "{zone}" is rejected by {reasons}')
def then_explained(context, zone, reasons):
    task = demand('large', constraints=Constraints(zone=zone))
    views = context.ledger.workers.values()
    found = explain(context.pipeline, task, views).reasons
    expected = {}
    for part in reasons.split(', '):
        name, count = part.rsplit(' ', 1)
        expected[name] = int(count)
    assert found == expected, found


@then(
    'an urgent task of {cores:d} cores preempts the {count:d} youngest tasks '
    'of worker "{worker}"'
)
def then_preempted(context, cores, count, worker):
    urgent = demand(
        'large', shape=Resources(cores * 1000), priority=URGENT_PRIORITY
    )
    workers = context.ledger.index.sample(urgent.shape, 8)
    victims = context.pipeline.victims(urgent, workers)
    keys = {booking.key for booking in victims}
    assert keys == {f'{worker}-{3 - number}' for number in range(count)}


@then('worker "{worker}" is earmarked until {end:g}')
def then_earmarked(context, worker, end):
    earmarks = context.pipeline.context.earmarks.by_worker
    assert set(earmarks) == {worker}, earmarks
    assert earmarks[worker].due_at == NOW + end


@then('a task of {run:g} s may use worker "{worker}" until then')
def then_backfills(context, run, worker):
    earmarks = context.pipeline.context.earmarks
    assert earmarks.admits(worker, 'other', run, context.now)


@then('a task of {run:g} s may not use worker "{worker}" until then')
def then_does_not_backfill(context, run, worker):
    earmarks = context.pipeline.context.earmarks
    assert not earmarks.admits(worker, 'other', run, context.now)


@then('only gang "{name}" has earmarked workers')
def then_only_gang(context, name):
    assert set(context.pipeline.context.earmarks.by_class) == {name}


@then('a document with the scorer "{name}" is refused and "{known}" suggested')
def then_unknown(context, name, known):
    section = default_policy()
    section.scorers = (name,)
    refused = Pipeline.from_options(section)
    assert isinstance(refused, UnknownName)
    assert refused.fields['nearest'] == known


def earmark_for_other(context, worker):
    other = demand('other', shape=WORKER)
    context.queue.put(other, context.now)
    pending = context.queue.classes.pop('other')
    context.queue.heap.clear()
    context.pipeline.context.earmarks.reserve(
        pending, [context.ledger.workers[worker]], context.now
    )


def move_to_zone(context, worker):
    context.constraints = Constraints(zone='z1')


def avoid(context, worker):
    context.constraints = Constraints(avoid_workers=(worker,))


SET_STATE = {
    'drains': lambda context, worker: context.ledger.add_barrier(
        worker, Barrier.draining
    ),
    'is in quarantine': lambda context, worker: context.ledger.add_barrier(
        worker, Barrier.quarantined
    ),
    'has not reported': lambda context, worker: context.ledger.add_barrier(
        worker, Barrier.unknown
    ),
    'is avoided by the job': avoid,
    'is in another zone': move_to_zone,
    'is earmarked for other work': earmark_for_other,
    'is full': lambda context, worker: book_tasks(context, worker, 1, 32),
}
