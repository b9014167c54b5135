"""Steps for runs that move to faster workers."""

import asyncio
import math
from types import SimpleNamespace

import msgspec
from behave import given, then, when

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.durations import DurationEstimator
from berylspread.coordinator.fleet import Run, Stage
from berylspread.coordinator.health_monitor import WorkerHealthMonitor
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.model import (
    MS_PER_S,
    Job,
    PermissionTerms,
    Phase,
    Queue,
    StepSpec,
    StepTickets,
)
from berylspread.coordinator.moves import MoveFinder
from berylspread.kernel.clock import now
from berylspread.model import ZERO
from berylspread_standins.coordinated.fleet import TASK, WALL_MS, job
from features.coordinator.cell import make_worker

#: Fields of the step by the kind of its run.
SAVED = {'checkpoints': True}
KINDS = {
    'unsaved': {},
    'gang': {'checkpoints': True, 'gang': True},
    'stopping': SAVED,
    'not permitted': SAVED,
}
TICKET_S = 2000.0


def _start(context, count, factor, **fields):
    queue = Queue('nightly', 'desk', priority=2)
    spec = StepSpec(count, TASK, **fields)
    context.job = Job(job('a', spec, queue=queue))
    context.step = context.job.steps[0, 0]
    context.step.waiting_tasks.clear()
    here = make_worker('here')
    here.health.slowness = factor
    context.workers = {here.name: here}
    context.holds = Holds()
    context.stopped = []
    context.runs_here = [
        Run(task, here, Stage.running, 0.0) for task in context.step.tasks
    ]
    for run in context.runs_here:
        here.add_run(run)


@given('a run that saves its progress, on a worker with factor {factor:g}')
def step_saved(context, factor):
    _start(context, 1, factor, **SAVED)


@given(
    '{count:d} runs of a step that save their progress, on a worker with '
    'factor {factor:g}'
)
def step_many(context, count, factor):
    _start(context, count, factor, **SAVED)


@given('a {kind} run, on a worker with factor {factor:g}')
def step_kind(context, kind, factor):
    _start(context, 1, factor, **KINDS[kind])
    if kind == 'stopping':
        context.runs_here[0].stop_reason = 'preempted'
    if kind == 'not permitted':
        context.step.tickets = StepTickets()


@given(
    'runs of one step that save their progress, on {count:d} worker with '
    'factor {factor:g}'
)
@given(
    'runs of one step that save their progress, on {count:d} workers with '
    'factor {factor:g}'
)
def step_spread(context, count, factor):
    _start(context, count, factor, **SAVED)
    here = context.workers.pop('here')
    for run in context.runs_here:
        worker = make_worker(f'w{run.task.index}', 0)
        worker.health.slowness = factor
        context.workers[worker.name] = worker
        here.remove_run(run)
        run.worker = worker
        worker.add_run(run)
        run.task.worker = worker.name
        run.task.phase = Phase.placed


@given('its data is in rack "{rack}"')
def step_data_rack(context, rack):
    context.step.spec = msgspec.structs.replace(
        context.step.spec, data_rack=rack
    )


@given('the room on that worker is kept for an urgent step')
def step_kept_for_urgent(context):
    queue = Queue('q', 'desk')
    context.urgent = Job(job('urgent', StepSpec(1, TASK), queue=queue))
    context.holds.hold_room(context.urgent.steps[0, 0], ['there'], 0.0)
    context.holds.room['there'].until = math.inf


@given('its permission requests take {seconds:g} s')
def step_permissions(context, seconds):
    terms = PermissionTerms(seconds * MS_PER_S, 0.0, TICKET_S)
    spec = context.job.spec
    context.job.spec = msgspec.structs.replace(
        spec, queue=msgspec.structs.replace(spec.queue, permission_terms=terms)
    )
    context.step.tickets = StepTickets()
    context.step.tickets.by_worker['there'] = ('ticket', TICKET_S)


@given(
    'its tasks take {seconds:g} s on a typical worker, and {percent:d} percent '
    'are done in {ran_s:g} s'
)
def step_progress(context, seconds, percent, ran_s):
    context.ran_s = ran_s
    takes_ms = seconds * MS_PER_S
    context.step.spec = msgspec.structs.replace(
        context.step.spec, estimate_ms=int(takes_ms)
    )
    context.job.critical_paths_ms = [takes_ms]
    context.job.task_durations_ms = [takes_ms]
    for run in context.runs_here:
        run.progress.record_report(percent, ran_s)


@given('its job has to end within {left_s:g} s')
def step_deadline(context, left_s):
    context.job.deadline_ms = WALL_MS + left_s * MS_PER_S


@given('a worker with factor {factor:g} that has room for {room:d} tasks')
def step_other(context, factor, room):
    there = make_worker('there', room)
    there.health.slowness = factor
    context.workers[there.name] = there


@when('the runs to move are looked for')
def step_find(context):
    finder = MoveFinder(
        DurationEstimator(),
        context.workers,
        context.holds,
        context.ran_s,
        WALL_MS,
    )
    context.moves = finder.find(context.workers['here'])


@then('the run moves')
def step_moves(context):
    found = [(run, target.name) for run, target in context.moves]
    assert found == [(context.runs_here[0], 'there')], found


@then('no run moves')
def step_moves_not(context):
    assert not context.moves, context.moves


@then('{count:d} run moves')
def step_moves_count(context, count):
    assert len(context.moves) == count, context.moves


@when('the worker of the run reports')
def step_report(context):
    context.checked_run = context.runs_here[0]
    _report(context, 'here')


@when('all workers report')
def step_all_report(context):
    _report(context, *context.workers)


@when('the stopped run goes on elsewhere and all workers report')
def step_moved(context):
    _go_on(context, make_worker('there-too'))
    _report(context, *context.workers)


@when('the stopped run goes on where it was and all workers report')
def step_moved_back(context):
    _go_on(context, context.stopped[-1].worker)
    _report(context, *context.workers)


def _go_on(context, worker):
    stopped = context.stopped[-1]
    stopped.worker.remove_run(stopped)
    stopped.task.run_number += 1
    stopped.task.worker = worker.name
    run = Run(stopped.task, worker, Stage.running, 0.0)
    run.progress.record_report(20, context.ran_s)
    worker.add_run(run)


def _stop(context, run, reason):
    run.stop_reason = reason
    context.stopped.append(run)


def _report(context, *names):
    orders = SimpleNamespace(
        stop=lambda run, reason: _stop(context, run, reason)
    )
    coordinator = SimpleNamespace(
        workers=context.workers,
        sessions=dict.fromkeys(names, SimpleNamespace(orders=orders)),
        table=SimpleNamespace(durations=DurationEstimator()),
        dispatcher=SimpleNamespace(holds=context.holds),
        log=DecisionLog('n', lambda line: None),
        wall_ms=lambda: WALL_MS,
    )

    async def review():
        await asyncio.sleep(max(context.ran_s - now(), 0))
        monitor = WorkerHealthMonitor(coordinator)
        for name in names:
            monitor.review_worker(context.workers[name])

    context.run(review())


@then('the room on the other worker is kept for it')
def step_kept(context):
    context.step.add_waiting(context.step.tasks[0], is_held=False)
    other = Job(job('b', StepSpec(1, TASK), queue=context.job.spec.queue))
    free = context.holds.free_room(
        context.workers['there'], other.steps[0, 0], context.ran_s
    )
    assert free == ZERO, free


@then('the room on the other worker is still kept for the urgent step')
def step_still_kept(context):
    holder = context.holds.room['there'].step
    assert holder.job is context.urgent, holder.name


@then('{count:d} run is stopped for a faster worker')
@then('{count:d} runs are stopped for a faster worker')
def step_stopped_count(context, count):
    names = [(run.task.name, run.stop_reason) for run in context.stopped]
    assert len(names) == count, names
    assert {reason for _, reason in names} == {'faster-elsewhere'}, names
