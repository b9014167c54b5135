"""Steps for decisions when room is short."""

import asyncio
import random

import msgspec
from behave import given, then, when
from hypothesis import given as for_any
from hypothesis import strategies as st

from berylspread.coordinator.contention import (
    Action,
    Admission,
    Ordering,
    find_policy,
)
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.interface import KeyedItem, Snapshot
from berylspread.coordinator.messages import JobAccepted, SubmitJob
from berylspread.coordinator.model import JobStatus, Queue, StepSpec
from berylspread.coordinator.planner import StepPlacer
from berylspread.coordinator.policy import Configuration, PolicyCache, Tenant
from berylspread.coordinator.records import (
    DEFAULT_RECORD_BYTES,
    encode_job,
)
from berylspread.coordinator.restoring import restore_table
from berylspread.coordinator.shares import BURST_S
from berylspread.coordinator.table import JobTable
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Overloaded
from berylspread.kernel.turns import complete
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import (
    EPOCH_S,
    HOT_PER_S,
    TASK,
    WALL_MS,
    job,
)
from features.coordinator.cell import find_coordinator, loop_time, make_worker

TIMEOUT_S = 2.5
OBJECTIVE_S = 2.0
#: How long a task takes, and the most for its report, the store and an order.
TASK_S = 1.0
ORDER_S = 0.25
#: What the cell's worker runs.
JOBS_PER_S = 8
#: Newer than the cell's, so that its policy of the queue does not replace this.
VERSION = 2
WORK_MS = 1000
#: When jobs with the objective of 2 s were accepted, by their state.
AGES_MS = {
    'on time': 0,
    'late': 1500,
    'useless': 5500,
    'overdue': 21_000,
    'long overdue': 40_000,
}


def _table(*tenants):
    policies = PolicyCache(float, 1.0)
    policies.apply(Configuration(1, (), tenants))
    return JobTable(policies, DecisionLog('n', lambda line: None))


def _spec(job_id, tasks=1, priority=0, age_ms=0, tenant=''):
    queue = Queue(
        f'q{priority}', 'desk', priority=priority, stretch=1.5, target_ms=500
    )
    return job(
        job_id,
        StepSpec(tasks, TASK, estimate_ms=WORK_MS, checkpoints=True),
        queue=queue,
        tenant=tenant,
        accepted_ms=WALL_MS - age_ms,
    )


def _add(table, job_id, share_step=0, **fields):
    found = table.add_job(_spec(job_id, **fields), WALL_MS)
    found.share_step = share_step
    # The objective does not grow with the number of tasks here.
    found.deadline_ms = found.spec.accepted_ms + OBJECTIVE_S * 1000
    found.critical_paths_ms = [WORK_MS]
    found.task_durations_ms = [WORK_MS]
    return found


@given('the policy "{name}"')
def step_policy(context, name):
    context.policy = find_policy(name)
    context.job_table = _table()


@given(
    'a waiting job "{job_id}" of {tasks:d} tasks, priority {priority:d}, that '
    'is {state}, at share step {step:d}'
)
def step_waiting(context, job_id, tasks, priority, state, step):
    _add(
        context.job_table,
        job_id,
        share_step=step,
        tasks=tasks,
        priority=priority,
        age_ms=AGES_MS[state],
    )


@given(
    'a waiting job "{job_id}" of priority {priority:d} that was handed in '
    '{age:d} s ago and is due now'
)
def step_due_now(context, job_id, priority, age):
    spec = msgspec.structs.replace(
        _spec(job_id, priority=priority, age_ms=age * 1000),
        first_ms=WALL_MS - 1,
        interval_ms=60_000,
        repeat=100,
    )
    context.job_table.add_job(spec, WALL_MS)


@given('"{job_id}" waits for {obstacle}')
def step_obstacle(context, job_id, obstacle):
    _steps(context)[job_id].blocked_by = obstacle


def _steps(context):
    return {
        each.spec.job_id: each.steps[0, 0]
        for each in context.job_table.jobs.values()
    }


@then('"{first}" is placed {place} "{second}"')
def step_place(context, first, place, second):
    steps = _steps(context)
    names = [
        step.job.spec.job_id
        for step in Ordering(context.policy, WALL_MS).arrange(steps.values())
    ]
    found = 'before' if names.index(first) < names.index(second) else 'after'
    assert found == place, names


@then('runs of "{run}" {give} way to "{job_id}"')
def step_give_way(context, run, give, job_id):
    steps = _steps(context)
    found = Ordering(context.policy, WALL_MS).gives_way(
        steps[run], steps[job_id]
    )
    assert found == (give == 'do')


@given('{cores:d} used cores and accepted jobs of {backlog:d} core-seconds')
def step_backlog(context, cores, backlog):
    context.workers = {'w': make_worker('w', room=0, capacity=TASK * cores)}
    for number in range(backlog // 4):
        _add(context.job_table, f'b{number}', tasks=4)
    for each in context.job_table.jobs.values():
        each.status = JobStatus.running
        # What has begun goes first under either policy.
        each.steps[0, 0].unfinished_tasks = 4
        each.usual_size_core_s = 1000.0
        each.deadline_ms -= 1


def _wide_job(table):
    found = _add(table, 'wide', tasks=8)
    found.task_durations_ms = [60_000]
    found.critical_paths_ms = [60_000]
    found.deadline_ms = WALL_MS + 120_000
    found.status = JobStatus.running
    found.steps[0, 0].waiting_tasks.clear()


def _long_job(table):
    steps = [
        StepSpec(1, TASK, estimate_ms=10_000, after=(number - 1,))
        for number in range(1, 20)
    ]
    first = StepSpec(1, TASK, estimate_ms=10_000)
    urgent = _spec('long', priority=0).queue
    table.add_job(
        job('long', first, *steps, queue=urgent, accepted_ms=WALL_MS), WALL_MS
    )


def _capped_jobs(table):
    for number in range(40):
        capped = _add(table, f'capped-{number}', tasks=8, tenant='capped')
        capped.share_step = 0


def _timed_job(table):
    timed = msgspec.structs.replace(
        _spec('timed', tasks=4),
        first_ms=WALL_MS + 3_600_000,
        interval_ms=60_000,
        repeat=100,
    )
    table.add_job(timed, WALL_MS)


AHEAD = {
    'a wide urgent job that runs on the others': _wide_job,
    'an urgent job of 20 steps, one after the other': _long_job,
    'an organisation that waits for its quota': _capped_jobs,
    'a timed job that is due in an hour': _timed_job,
}


@given('{free:d} of {cores:d} cores free beside {ahead}')
def step_ahead(context, free, cores, ahead):
    context.job_table = _table(Tenant('capped', (), 1000.0, TASK))
    AHEAD[ahead](context.job_table)
    context.workers = {'w': make_worker('w', room=free, capacity=TASK * cores)}
    context.new_priority = 1


def _hand_in(context, count, name='new-{0}'):
    admission = Admission(context.policy)
    verdicts = []
    for number in range(count):
        admission.update(
            context.job_table,
            context.workers,
            context.job_table.policies,
            moment=0.0,
            wall_ms=WALL_MS,
        )
        priority = getattr(context, 'new_priority', 0)
        draft = context.job_table.draft_job(
            _spec(name.format(number), tasks=1, priority=priority)
        )
        verdicts.append(admission.judge(draft, 0.0, WALL_MS))
    return verdicts


@when('a job of 1 s with an objective of 2 s is handed in')
def step_hand_in(context):
    context.verdicts = _hand_in(context, 1)


@when('a job of 1 s with an objective of 2 s is handed in {count:d} times')
def step_hand_in_again(context, count):
    context.verdicts = _hand_in(context, count, name='same')


@then('it is asked to return after {after:g} s each time')
def step_return_each_time(context, after):
    times = {round(verdict.after_s, 3) for verdict in context.verdicts}
    assert times == {after}, times


@when('{count:d} jobs of 1 s with an objective of 2 s are handed in')
def step_hand_in_many(context, count):
    context.verdicts = _hand_in(context, count)


@then('it is to be {action} for want of "{reason}"')
def step_verdict(context, action, reason):
    verdict = context.verdicts[0]
    assert (verdict.action.value, verdict.reason) == (action, reason), verdict


@then('it is to be {action} for want of ""')
def step_verdict_free(context, action):
    step_verdict(context, action, '')


@then(
    'the first is asked to return after {first:g} s and the last {later:g} s '
    'later'
)
def step_returns(context, first, later):
    times = [verdict.after_s for verdict in context.verdicts]
    assert all(each.action is Action.refuse for each in context.verdicts)
    assert round(times[0], 3) == first, times[0]
    assert round(times[-1] - times[0], 3) == later, times


@given(
    'a cell of {nodes:d} nodes and {workers:d} worker with the policy "{name}"'
)
def step_cell(context, nodes, workers, name):
    async def start():
        context.cell = CoordinatedFleet(workers)
        context.cell.contention = name
        for index in range(nodes):
            context.cell.start_node(f'n{index}')

    context.submission_times = {}
    context.replies = {}
    context.specs = {}
    context.run(start())


@when('a second burst begins')
def step_second_burst(context):
    context.second_burst_at = context.run(loop_time())


@when('all jobs of "{tenant}" are handed in again')
def step_again(context, tenant):
    async def repeat():
        gateway = next(iter(context.cell.nodes.values())).node.gateway
        for job_id, spec in context.specs.items():
            if not isinstance(context.replies[job_id], JobAccepted):
                continue
            reply = await gateway.send_request(
                SubmitJob(spec), JobAccepted, request=job_id, timeout_s=2.5
            )
            assert isinstance(reply, JobAccepted), reply

    context.run(repeat())


@then('some jobs were refused with a time to return')
def step_refused(context):
    refused = [
        reply
        for reply in context.replies.values()
        if isinstance(reply, Overloaded)
    ]
    assert refused
    assert all(reply.fields['retry_after_s'] >= 1 for reply in refused)


@then('no refused job has run')
def step_not_run(context):
    ran = {log.task.split('.')[0] for log in context.cell.runs()}
    refused = {
        job_id
        for job_id, reply in context.replies.items()
        if isinstance(reply, Overloaded)
    }
    assert not ran & refused, ran & refused


@then('all accepted jobs have succeeded')
def step_accepted_done(context):
    done = {
        log.task.split('.')[0]
        for log in context.cell.runs()
        if log.outcome == 'done'
    }
    accepted = {
        job_id
        for job_id, reply in context.replies.items()
        if isinstance(reply, JobAccepted)
    }
    assert accepted
    assert accepted <= done, accepted - done


@when("the coordinator's authority is not confirmed any more")
def step_unconfirmed(context):
    context.cell.nodes[find_coordinator(context)].view.is_cut = True


@then('none of {count:d} further jobs of "{tenant}" is refused')
def step_not_refused(context, count, tenant):
    accepted_ms = _wall_ms(context)
    specs = [
        msgspec.structs.replace(
            _spec(f'further-{number}', tenant=tenant), accepted_ms=accepted_ms
        )
        for number in range(count)
    ]

    async def submit():
        service = context.cell.nodes[find_coordinator(context)].node.service
        sending = [
            asyncio.create_task(service.submit(SubmitJob(spec)))
            for spec in specs
        ]
        await asyncio.wait(sending, timeout=TIMEOUT_S)
        return [each.result() for each in sending if each.done()]

    replies = context.run(submit())
    assert not any(isinstance(reply, Overloaded) for reply in replies), replies


def _wall_ms(context):
    async def read():
        return int((EPOCH_S + now()) * 1000)

    return context.run(read())


@then(
    'no job of "{tenant}" in the second burst waited longer than for a running '
    'task and the share of "hot"'
)
def step_short_wait(context, tenant):
    started = {
        log.task.split('.')[0]: log.started_at for log in context.cell.runs()
    }
    waits_s = {
        job_id: started[job_id] - sent_at
        for job_id, sent_at in context.submission_times.items()
        if job_id.startswith(f'{tenant}-')
        and sent_at >= context.second_burst_at
    }
    assert waits_s
    share_s = HOT_PER_S * BURST_S / JOBS_PER_S
    assert max(waits_s.values()) <= TASK_S + share_s + ORDER_S, waits_s


@given(
    '{count:d} of its jobs have been accepted, of which {ended:d} have ended'
)
def step_accepted_jobs(context, count, ended):
    context.job_table = _table(Tenant('acme', (), context.rate))
    context.blobs = []
    for number in range(count):
        spec = msgspec.structs.replace(
            _spec(f'j{number}', tenant='acme'),
            accepted_ms=WALL_MS + number * 50,
        )
        found = context.job_table.add_job(spec, WALL_MS)
        if number % 2 and number // 2 < ended:
            context.job_table.end_job(found, JobStatus.succeeded, WALL_MS + 900)
        context.blobs.extend(encode_job(found, WALL_MS, DEFAULT_RECORD_BYTES))


@when('a successor reads their records')
def step_successor(context):
    context.successor = _table(Tenant('acme', (), context.rate))
    items = [
        KeyedItem(key, blob, offset)
        for offset, (key, blob) in enumerate(context.blobs)
    ]
    random.Random(1).shuffle(items)
    complete(restore_table(context.successor, Snapshot(items, 0), WALL_MS))


@then('it knows the same share steps and debts')
def step_same_debts(context):
    before, after = context.job_table, context.successor
    for job_id, found in after.jobs.items():
        assert found.share_step == before.jobs[job_id].share_step, job_id
    assert {found.share_step for found in after.jobs.values()} > {0}
    assert _tokens(before) == _tokens(after)


def _tokens(table):
    return [
        round(bucket.tokens, 6) for bucket in table.share_meter.buckets['acme']
    ]


# Properties.

crowds = st.lists(
    st.tuples(
        st.integers(1, 6),
        st.sampled_from((0, 1, 2)),
        st.sampled_from((0, 1500, 5500, 19_000, 21_000, 40_000)),
        st.integers(0, 4),
    ),
    min_size=1,
    max_size=12,
)


def _crowd(rows):
    table = _table()
    for number, (tasks, priority, age_ms, share_step) in enumerate(rows):
        _add(
            table,
            f'j{number}',
            share_step=share_step,
            tasks=tasks,
            priority=priority,
            age_ms=age_ms,
        )
    return [each.steps[0, 0] for each in table.jobs.values()]


def _check_arrival(policy, rows):
    steps = _crowd(rows)
    forward = Ordering(policy, WALL_MS).arrange(steps)
    assert forward == Ordering(policy, WALL_MS).arrange(list(reversed(steps)))


def _check_giving_way(policy, rows):
    steps = _crowd(rows)
    ordering = Ordering(policy, WALL_MS)
    for one in steps:
        for other in steps:
            both = ordering.gives_way(one, other) and ordering.gives_way(
                other, one
            )
            assert not both


def _check_agreement(policy, rows):
    ordering = Ordering(policy, WALL_MS)
    ordered = ordering.arrange(_crowd(rows))
    for number, step in enumerate(ordered):
        for later in ordered[number:]:
            assert not ordering.gives_way(step, later)


def _check_one_answer(policy, rows):
    steps = _crowd(rows)
    workers = {'w': make_worker('w')}
    draft = _table().draft_job(_spec('new', priority=1))
    answers = set()
    for _ in range(2):
        admission = Admission(policy)
        table = _table()
        table.jobs = {step.job.spec.job_id: step.job for step in steps}
        admission.update(
            table, workers, table.policies, moment=0.0, wall_ms=WALL_MS
        )
        answers.add(admission.judge(draft, 0.0, WALL_MS))
        steps.reverse()
    assert len(answers) == 1, answers


def _check_starvation(policy, rows):
    """Each job is first once it and those before it are overdue and gone."""
    steps = _crowd(rows)
    wall_ms = WALL_MS + 10 * OBJECTIVE_S * 1000 + 1
    left = list(steps)
    while left:
        first = Ordering(policy, wall_ms).arrange(left)[0]
        assert first.job.spec.accepted_ms == min(
            step.job.spec.accepted_ms for step in left
        )
        left.remove(first)


def _check_idle(policy, rows):
    steps = _crowd(rows)
    worker = make_worker('w', room=3)
    for step in Ordering(policy, WALL_MS).arrange(steps):
        placer = StepPlacer(step, [(worker, '')], Holds(), 0.0)
        for placement in placer.place_tasks(step.spec.count):
            step.waiting_tasks.remove(placement.task)
            worker.free -= step.spec.demand
    waiting = [step for step in steps if step.waiting_tasks]
    fits = [step for step in waiting if step.spec.demand.fits(worker.free)]
    assert not fits


CHECKS = {
    'the order does not depend on the order of arrival': _check_arrival,
    'no two runs give way to each other': _check_giving_way,
    'no run gives way to a step that is placed later': _check_agreement,
    'one state gives one answer': _check_one_answer,
    'every job becomes the first in a bounded time': _check_starvation,
    'no worker is idle while a task that fits waits': _check_idle,
}


@then('for any jobs under "{name}" {property_name}')
def step_property(context, name, property_name):
    policy = find_policy(name)
    check = CHECKS[property_name]

    @for_any(crowds)
    def holds(rows):
        check(policy, rows)

    holds()
