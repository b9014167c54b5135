"""Steps about workers that are sick and say that they are well."""

import asyncio
from types import SimpleNamespace

from behave import given, then, when

from berylspread.coordinator.blame import WorkerHealth
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.durations import DurationEstimator
from berylspread.coordinator.fleet import Run, Stage
from berylspread.coordinator.health_monitor import WorkerHealthMonitor
from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import Job, Queue, StepSpec
from berylspread.coordinator.slow_runs import (
    find_slow_or_stalled,
    is_worth_moving,
    may_mark_unhealthy,
)
from berylspread_standins.coordinated.fleet import TASK, job
from features.coordinator.cell import make_worker, submit_spec

#: What makes a run's progress say nothing about its worker, or worth moving.
KINDS = {
    'plain': {},
    'saving': {'checkpoints': True},
    'gang': {'gang': True},
    'filling': {'is_filler': True},
    'lasting': {'long_running': True},
}
LOG = 'worker-sick'


def _begin(context, takes_s, kind='plain', checkpoint=''):
    spec = StepSpec(2, TASK, estimate_ms=30_000, image='image', **KINDS[kind])
    task = Job(job('a', spec)).steps[0, 0].tasks[0]
    task.checkpoint = checkpoint
    worker = make_worker('w0')
    context.takes_s = takes_s
    context.run_judged = Run(task, worker, Stage.ordered, 0.0)
    worker.add_run(context.run_judged)
    context.run_judged.record_order(0.0)
    context.run_judged.record_running()


@given('a run of an image whose tasks take {seconds:g} s')
def step_run(context, seconds):
    _begin(context, seconds)


@given(
    'a run of an image whose tasks take {seconds:g} s that goes on from a '
    'checkpoint'
)
def step_resumed(context, seconds):
    _begin(context, seconds, checkpoint='saved')


@given('a run of an image of which no task has ended')
def step_unknown(context):
    _begin(context, None)


@given('a {kind} run of an image whose tasks take {seconds:g} s')
def step_kind(context, kind, seconds):
    _begin(context, seconds, kind)


@when('reports give its progress as "{reports}"')
def step_reports(context, reports):
    run = context.run_judged
    for report in reports.split():
        moment, percent = map(float, report.split(':'))
        run.progress.record_report(int(percent), moment)
    context.moment = moment


@when('it ends at {moment:g} s')
def step_ends(context, moment):
    context.full_duration_s = context.run_judged.full_duration_s(moment)


@then('its whole task is taken to last {seconds:g} s')
def step_whole(context, seconds):
    assert round(context.full_duration_s, 2) == seconds, context.full_duration_s


@then('its whole task is taken to last unknown')
def step_whole_unknown(context):
    assert context.full_duration_s is None, context.full_duration_s


def _crawls(context):
    return context.run_judged in find_slow_or_stalled(
        context.run_judged.worker, lambda run: context.takes_s, context.moment
    )


@then('it is found to crawl')
def step_crawls(context):
    assert _crawls(context)


@then('it is not found to crawl')
def step_crawls_not(context):
    assert not _crawls(context)


def _moves(context):
    return is_worth_moving(context.run_judged, context.takes_s, context.moment)


@then('it is worth moving')
def step_moves(context):
    assert _moves(context)


@then('it is not worth moving')
def step_moves_not(context):
    assert not _moves(context)


@given('a run stands still whose step requires the label "{label}"')
def step_labelled(context, label):
    spec = StepSpec(1, TASK, estimate_ms=1000, label=label)
    worker = make_worker('w0', labels=(label,))
    context.workers = {'w0': worker}
    context.run_judged = Run(
        Job(job('a', spec)).steps[0, 0].tasks[0], worker, Stage.running, 0.0
    )
    worker.add_run(context.run_judged)


@given('another worker with room has the label "{label}"')
def step_other_label(context, label):
    context.workers['w1'] = make_worker('w1', labels=(label,))


@when('the worker of the run is judged')
def step_judge(context):
    context.stopped = []

    def stop(run, reason):
        context.stopped.append(run)

    coordinator = SimpleNamespace(
        workers=context.workers,
        sessions={'w0': SimpleNamespace(orders=SimpleNamespace(stop=stop))},
        table=SimpleNamespace(durations=DurationEstimator()),
        log=DecisionLog('n', lambda line: None),
    )

    async def judge():
        await asyncio.sleep(2)
        WorkerHealthMonitor(coordinator).review_worker(context.workers['w0'])

    context.run(judge())


@then('the run is stopped')
def step_is_stopped(context):
    assert context.stopped == [context.run_judged], context.stopped


@then('the run goes on')
def step_goes_on(context):
    assert not context.stopped, context.stopped


@given('a worker at which {count:d} tasks in a row have failed')
def step_failures(context, count):
    context.failures = count
    context.health = WorkerHealth()


@given('tasks of the same step have failed at {places:d} workers')
def step_places(context, places):
    for _ in range(context.failures):
        context.is_unhealthy = context.health.record_failure(places, 0.0)


@when('another task fails there {seconds:g} s later')
def step_fails_later(context, seconds):
    context.is_unhealthy = context.health.record_failure(1, seconds)


@when('a task succeeds there and another fails')
def step_success(context):
    context.health.record_success()
    context.is_unhealthy = context.health.record_failure(1, 0.0)


@then('the worker is sick')
def step_sick(context):
    assert context.is_unhealthy


@then('the worker is not sick')
def step_not_sick(context):
    assert not context.is_unhealthy


def _seconds(words):
    return [float(word) for word in words.replace(' s', '').split()]


@given('a worker that was found to be sick at {moments}')
def step_found(context, moments):
    soundness = WorkerHealth()
    context.until = []
    for moment in _seconds(moments.replace(',', '').replace('and', '')):
        assert soundness.mark_unhealthy(moment)
        context.until.append(soundness.unhealthy_until)


@then('it gets no new runs until {moments}')
def step_until(context, moments):
    expected = _seconds(moments.replace(',', '').replace('and', ''))
    assert context.until == expected, context.until


@given('{count:d} workers of which {sick:d} are sick')
def step_sick_workers(context, count, sick):
    context.workers = [make_worker(f'w{number}') for number in range(count)]
    for worker in context.workers[:sick]:
        worker.health.mark_unhealthy(0.0)


@then('no other worker is found to be sick')
def step_none_more(context):
    assert not may_mark_unhealthy(context.workers, 1.0)


@then('another worker may be found to be sick')
def step_one_more(context):
    assert may_mark_unhealthy(context.workers, 1.0)


def _submit(context, job_id, count):
    spec = job(
        job_id,
        StepSpec(count, TASK, estimate_ms=1000, image='image'),
        queue=Queue('q', 'desk', max_attempts=4),
    )
    assert isinstance(submit_spec(context, spec), JobAccepted)


@when('the image of job "{job_id}" is learned')
def step_learned(context, job_id):
    _submit(context, job_id, 1)
    context.run(asyncio.sleep(2))


@when('tasks on worker "{name}" stand still')
def step_still(context, name):
    context.cell.workers[name].is_still = True


@when('worker "{name}" fails all that it begins')
def step_fails_all(context, name):
    context.cell.workers[name].fails_all = True


@when('a job "{job_id}" with {count:d} tasks of that image is submitted')
def step_submit_image(context, job_id, count):
    _submit(context, job_id, count)


@when('{jobs:d} jobs of {count:d} tasks each are submitted {gap:g} s apart')
def step_submit_many(context, jobs, count, gap):
    for number in range(jobs):
        _submit(context, f'many-{number}', count)
        context.run(asyncio.sleep(gap))


@then('at most {count:d} runs have failed')
def step_failed_runs(context, count):
    failed = [log for log in context.cell.runs() if log.outcome == 'failed']
    assert 0 < len(failed) <= count, len(failed)


@then('worker "{name}" was found to be sick')
def step_found_sick(context, name):
    found = [line['worker'] for line in context.cell.events(LOG)]
    assert name in found, found
