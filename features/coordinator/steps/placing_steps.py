"""Steps for the pacing of fillers and the choice of workers."""

import collections

from behave import given, then, when

from berylspread.coordinator.fleet import Run, Stage
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.model import Job, StepSpec
from berylspread.coordinator.pacing import next_percent, pace_fillers
from berylspread.coordinator.planner import StepPlacer, find_candidates
from berylspread.model import Resources
from berylspread_standins.coordinated.fleet import CAPACITY, TASK, job
from features.coordinator.cell import make_worker

SERVING = StepSpec(1, TASK, long_running=True, latency_target_ms=100)
FILLER = StepSpec(1, TASK, is_filler=True)
ACCELERATORS = 8


def _step(spec, job_id='a'):
    return Job(job(job_id, spec)).steps[0, 0]


def _run(worker, spec, job_id):
    run = Run(_step(spec, job_id).tasks[0], worker, Stage.running, 0.0)
    worker.add_run(run)
    return run


def _place(context, spec):
    step = _step(spec)
    choices = find_candidates(
        step, {worker.name: worker for worker in context.workers}, 1.0
    )
    context.placed = StepPlacer(step, choices, Holds(), 1.0).place_tasks(
        spec.count
    )


@given('a filler at {percent:d} percent')
def step_filler(context, percent):
    context.percent = percent


@given('the worst serving task is at {pressure:g} of its latency target')
def step_pressure(context, pressure):
    context.pressure = pressure


@then("the filler's next speed is {percent:d} percent")
def step_next(context, percent):
    assert next_percent(context.percent, context.pressure) == percent


@given(
    'a worker with a serving task at {latency_ms:d} of {target_ms:d} ms and a '
    'filler'
)
def step_beside(context, latency_ms, target_ms):
    context.worker = make_worker('w1')
    assert target_ms == SERVING.latency_target_ms
    _run(context.worker, SERVING, 'serving').latency_or_cpu = latency_ms
    _run(context.worker, StepSpec(1, TASK), 'other')
    context.filler = _run(context.worker, FILLER, 'filler')
    context.paced = pace_fillers(context.worker)


@then('the filler is slowed to {percent:d} percent')
def step_slowed(context, percent):
    assert (context.filler, percent) in context.paced


@then("no other task's speed changes")
def step_no_other(context):
    assert len(context.paced) == 1


@given('workers "{serves}" with a serving task and "{other}" with less room')
def step_serving_worker(context, serves, other):
    context.workers = [
        make_worker(serves),
        make_worker(other, capacity=TASK * 2),
    ]
    _run(context.workers[0], SERVING, 'serving')
    _run(context.workers[1], StepSpec(1, TASK), 'other')


@given('workers "{first}" with label "{a}" and "{second}" with label "{b}"')
def step_labelled(context, first, a, second, b):
    context.workers = [
        make_worker(first, labels=(a,)),
        make_worker(second, labels=(b,)),
    ]


@given(
    'a worker "{first}" with {free:d} free accelerators and "{second}" with '
    '{other:d}'
)
def step_accelerated(context, first, free, second, other):
    whole = CAPACITY + Resources(accelerators=ACCELERATORS)
    context.workers = []
    for name, count in ((first, free), (second, other)):
        worker = make_worker(name, capacity=whole)
        in_use = Resources(accelerators=ACCELERATORS - count)
        # Processor and memory in use speak for the worker with fewer
        # accelerators in use.
        worker.free = whole - in_use
        if in_use.accelerators:
            worker.free -= TASK
        context.workers.append(worker)


@when('a filler is placed')
def step_place_filler(context):
    _place(context, FILLER)


@when('a task that requires "{label}" is placed')
def step_place_label(context, label):
    _place(context, StepSpec(1, TASK, label=label))


@when('a task that needs {count:d} accelerators is placed')
def step_place_accelerated(context, count):
    _place(context, StepSpec(1, TASK + Resources(accelerators=count)))


@when('{count:d} tasks of a step that allows {limit:d} on a worker are placed')
def step_place_spread(context, count, limit):
    _place(context, StepSpec(count, TASK, max_per_worker=limit))


@then('it is placed on "{worker}"')
def step_placed_on(context, worker):
    assert [each.worker.name for each in context.placed] == [worker]


@then('{count:d} of them are placed, {each:d} on each worker')
def step_placed_spread(context, count, each):
    found = collections.Counter(
        placement.worker.name for placement in context.placed
    )
    assert found.total() == count
    assert set(found.values()) == {each}, found
