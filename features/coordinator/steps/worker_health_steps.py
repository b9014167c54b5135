"""Steps for unhealthy workers that report that they are healthy."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from berylspread.coordinator.blame import WorkerHealth
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.durations import DurationEstimator
from berylspread.coordinator.fleet import Run, Stage
from berylspread.coordinator.health_monitor import WorkerHealthMonitor
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import Job, Queue, StepSpec
from berylspread.coordinator.slow_runs import (
    find_slow_or_stalled,
    is_worth_moving,
    may_mark_unhealthy,
)
from berylspread_standins.coordinated.fleet import TASK, job
from features.coordinator.cell import make_worker, submit_spec

#: Fields of the step of a run, by the kind of the run.
KINDS = {
    'plain': {},
    'checkpointing': {'checkpoints': True},
    'gang': {'gang': True},
    'filler': {'is_filler': True},
    'long-running': {'long_running': True},
}
UNHEALTHY_EVENT = 'worker-sick'


def _start(context, mean_s, kind='plain', checkpoint=''):
    spec = StepSpec(2, TASK, estimate_ms=30_000, image='image', **KINDS[kind])
    task = Job(job('a', spec)).steps[0, 0].tasks[0]
    task.checkpoint = checkpoint
    worker = make_worker('w0')
    context.mean_s = mean_s
    context.checked_run = Run(task, worker, Stage.ordered, 0.0)
    worker.add_run(context.checked_run)
    context.checked_run.record_order(0.0)
    context.checked_run.record_running()


@given('a run of an image whose tasks take {seconds:g} s')
def step_run(context, seconds):
    _start(context, seconds)


@given(
    'a run of an image whose tasks take {seconds:g} s that resumes from a '
    'checkpoint'
)
def step_resumed(context, seconds):
    _start(context, seconds, checkpoint='saved')


@given('a run of an image of which no task has ended')
def step_unknown(context):
    _start(context, None)


@given('a {kind} run of an image whose tasks take {seconds:g} s')
def step_kind(context, kind, seconds):
    _start(context, seconds, kind)


@when('reports give its progress as "{reports}"')
def step_reports(context, reports):
    run = context.checked_run
    for report in reports.split():
        moment, percent = map(float, report.split(':'))
        run.progress.record_report(int(percent), moment)
    context.moment = moment


@when('it ends at {moment:g} s')
def step_ends(context, moment):
    context.full_duration_s = context.checked_run.full_duration_s(moment)


@then('the estimated duration of the whole task is {seconds:g} s')
def step_whole(context, seconds):
    assert round(context.full_duration_s, 2) == seconds, context.full_duration_s


@then('the estimated duration of the whole task is unknown')
def step_whole_unknown(context):
    assert context.full_duration_s is None, context.full_duration_s


def _is_slow(context):
    return context.checked_run in find_slow_or_stalled(
        context.checked_run.worker, lambda run: context.mean_s, context.moment
    )


@then('it is slow or stalled')
def step_is_slow(context):
    assert _is_slow(context)


@then('it is not slow or stalled')
def step_not_slow(context):
    assert not _is_slow(context)


def _is_worth_moving(context):
    return is_worth_moving(context.checked_run, context.mean_s, context.moment)


@then('it is worth moving')
def step_is_worth_moving(context):
    assert _is_worth_moving(context)


@then('it is not worth moving')
def step_moves_not(context):
    assert not _is_worth_moving(context)


@given('a stalled run whose step requires the label "{label}"')
def step_labelled(context, label):
    spec = StepSpec(1, TASK, estimate_ms=1000, label=label)
    worker = make_worker('w0', labels=(label,))
    context.workers = {'w0': worker}
    context.checked_run = Run(
        Job(job('a', spec)).steps[0, 0].tasks[0], worker, Stage.running, 0.0
    )
    worker.add_run(context.checked_run)


@given('another worker with room has the label "{label}"')
def step_other_label(context, label):
    context.workers['w1'] = make_worker('w1', labels=(label,))


@given('a stalled run of a step of 2 tasks, at most {limit:d} on a worker')
def step_limited(context, limit):
    spec = StepSpec(2, TASK, estimate_ms=1000, max_per_worker=limit)
    context.workers = {name: make_worker(name) for name in ('w0', 'w1')}
    tasks = Job(job('a', spec)).steps[0, 0].tasks
    context.checked_run, context.other_run = (
        Run(task, worker, Stage.running, 0.0)
        for task, worker in zip(tasks, context.workers.values(), strict=True)
    )
    context.workers['w0'].add_run(context.checked_run)


@given('the only other worker with room runs the other task')
def step_sibling(context):
    context.workers['w1'].add_run(context.other_run)


@when('the health of the worker is reviewed')
def step_review(context):
    context.stopped = []

    def stop(run, reason):
        context.stopped.append(run)

    coordinator = SimpleNamespace(
        workers=context.workers,
        sessions={'w0': SimpleNamespace(orders=SimpleNamespace(stop=stop))},
        table=SimpleNamespace(durations=DurationEstimator()),
        dispatcher=SimpleNamespace(holds=Holds()),
        log=DecisionLog('n', lambda line: None),
    )

    async def review():
        await asyncio.sleep(2)
        WorkerHealthMonitor(coordinator).review_worker(context.workers['w0'])

    context.run(review())


@then('the run is stopped')
def step_stopped(context):
    assert context.stopped == [context.checked_run], context.stopped


@then('the run continues')
def step_continues(context):
    assert not context.stopped, context.stopped


@given('a worker on which {count:d} tasks in a row have failed')
def step_failures(context, count):
    context.failures = count
    context.health = WorkerHealth()


@given('tasks of the same step have failed on {count:d} workers')
def step_failing_workers(context, count):
    for _ in range(context.failures):
        context.is_unhealthy = context.health.record_failure(count, 0.0)


@when('another task fails on it {seconds:g} s later')
def step_fails_later(context, seconds):
    context.is_unhealthy = context.health.record_failure(1, seconds)


@when('a task succeeds on it and another fails')
def step_success(context):
    context.health.record_success()
    context.is_unhealthy = context.health.record_failure(1, 0.0)


@then('the worker is unhealthy')
def step_unhealthy(context):
    assert context.is_unhealthy


@then('the worker is not unhealthy')
def step_not_unhealthy(context):
    assert not context.is_unhealthy


def _seconds(words):
    return [float(word) for word in words.replace(' s', '').split()]


@given('a worker that was marked as unhealthy at {moments}')
def step_marked_at(context, moments):
    health = WorkerHealth()
    context.until = []
    for moment in _seconds(moments.replace(',', '').replace('and', '')):
        assert health.mark_unhealthy(moment)
        context.until.append(health.unhealthy_until)


@then('it gets no new runs until {moments}')
def step_until(context, moments):
    expected = _seconds(moments.replace(',', '').replace('and', ''))
    assert context.until == expected, context.until


@given('{count:d} workers of which {unhealthy:d} are unhealthy')
def step_unhealthy_workers(context, count, unhealthy):
    context.workers = [make_worker(f'w{number}') for number in range(count)]
    for worker in context.workers[:unhealthy]:
        worker.health.mark_unhealthy(0.0)


@then('no other worker may be marked as unhealthy')
def step_none_more(context):
    assert not may_mark_unhealthy(context.workers, 1.0)


@then('another worker may be marked as unhealthy')
def step_one_more(context):
    assert may_mark_unhealthy(context.workers, 1.0)


def _submit(context, job_id, count, **fields):
    spec = job(
        job_id,
        StepSpec(count, TASK, estimate_ms=1000, image='image', **fields),
        queue=Queue('q', 'desk', max_attempts=4),
    )
    assert isinstance(submit_spec(context, spec), JobAccepted)


@when('the mean duration of the image of job "{job_id}" is known')
def step_learned(context, job_id):
    _submit(context, job_id, 1)
    context.run(asyncio.sleep(2))


@given('all {count:d} tasks of job "{job_id}" fail as they begin')
def step_fail_at_once(context, count, job_id):
    for index in range(count):
        context.cell.work[f'{job_id}.0.0.{index}'] = (0.0, 'failed')


@when('tasks on worker "{name}" stall')
def step_stall(context, name):
    context.cell.workers[name].is_still = True


@when('worker "{name}" fails every task that it starts')
def step_fails_all(context, name):
    context.cell.workers[name].fails_all = True


@when('a job "{job_id}" with {count:d} tasks of that image is submitted')
def step_submit_image(context, job_id, count):
    _submit(context, job_id, count)


@when('a job "{job_id}" with a gang of {count:d} such tasks is submitted')
def step_submit_gang(context, job_id, count):
    _submit(context, job_id, count, gang=True)


@when('{jobs:d} jobs of {count:d} tasks each are submitted {gap:g} s apart')
def step_submit_many(context, jobs, count, gap):
    for number in range(jobs):
        _submit(context, f'many-{number}', count)
        context.run(asyncio.sleep(gap))


@then('at most {count:d} runs have failed')
def step_failed_runs(context, count):
    failed = [log for log in context.cell.runs() if log.outcome == 'failed']
    assert 0 < len(failed) <= count, len(failed)


@then('run {run:d} has failed on {count:d} workers')
def step_run_failed(context, run, count):
    workers = {
        log.worker
        for log in context.cell.runs()
        if log.run == run and log.outcome == 'failed'
    }
    assert len(workers) == count, workers


@then('no worker was marked as unhealthy')
def step_none_marked(context):
    found = context.cell.events(UNHEALTHY_EVENT)
    assert not found, found


@then('worker "{name}" was marked as unhealthy')
def step_marked(context, name):
    found = [line['worker'] for line in context.cell.events(UNHEALTHY_EVENT)]
    assert name in found, found
