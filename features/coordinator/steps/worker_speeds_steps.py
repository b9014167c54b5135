"""Steps for workers of different speeds."""

import asyncio
import math
import random
import re
from types import SimpleNamespace

import msgspec
from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.durations import DurationEstimator
from berylspread.coordinator.fleet import Run, Stage
from berylspread.coordinator.health_monitor import WorkerHealthMonitor
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import MS_PER_S, Job, Queue, StepSpec
from berylspread.coordinator.planner import StepPlacer
from berylspread.coordinator.speed_choice import (
    ANY_SPEED,
    FAST_FIRST,
    SLOW_FIRST,
    choose_preference,
)
from berylspread.coordinator.worker_speeds import WorkerSpeeds, tier
from berylspread.kernel.clock import now
from berylspread.model import ZERO
from berylspread_standins.coordinated.fleet import TASK, WALL_MS, job
from features.coordinator.cell import (
    find_coordinator,
    make_worker,
    submit_spec,
)

RACK = 'r1'
#: The tasks of a step differ by about this share.
SPREAD = 0.3
#: Each step of this many takes TAIL times as long.
TAIL_EACH = 8
TAIL = 7.0
STEP_GAP_S = 0.1
ALIKE_STEPS = tuple(1.0 for _ in range(15))
TOLERANCE = 0.08
FAST, SLOW, ODD = 0.7, 1.7, 3.0
ALIKE_CASES = strategies.tuples(
    strategies.lists(strategies.integers(0, 8), min_size=3, max_size=6),
    strategies.integers(-5, 5),
    strategies.sampled_from((FAST_FIRST, ANY_SPEED, SLOW_FIRST)),
)
PAUSE_S = 1.0
#: When a step starts that takes 1 s on a typical worker and must end at 2.5 s.
WALL_MS_BY_NEED = {
    'has time for any worker': 0.0,
    'is late on any worker': 2000.0,
    'is long late': 60000.0,
}
URGENT = Queue('q', 'desk', max_attempts=2)
BATCH = Queue('nightly', 'desk', priority=2, max_attempts=2, stretch=9.0)


class Trial:
    """Workers whose tasks take known times, and what is learned of them."""

    def __init__(self):
        self.speeds = WorkerSpeeds()
        self.workers = []
        self.factors = {}
        self.moment = 0.0
        self.steps = 0

    def add_kind(self, kind, count, factor):
        for number in range(count):
            worker = make_worker(
                f'{kind}{number}', labels=(kind, RACK), rack=RACK
            )
            self.workers.append(worker)
            self.factors[worker.name] = factor

    def find(self, name):
        return next(each for each in self.workers if each.name == name)

    def end_step(self, takes_s, ended=10, count=10):
        """Let ``ended`` tasks of a step end, the fastest first."""
        spec = StepSpec(count, TASK, estimate_ms=1000)
        step = Job(job(f'job-{self.steps}', spec)).steps[0, 0]
        self.steps += 1
        measured = []
        for task in step.tasks:
            worker = random.choice(self.workers)
            spread = math.exp(random.gauss(0, SPREAD))
            took_s = takes_s * spread * self.factors[worker.name]
            measured.append((took_s, worker, task))
        for took_s, worker, task in sorted(measured, key=lambda row: row[0])[
            :ended
        ]:
            run = Run(task, worker, Stage.running, 0.0)
            self.speeds.record_task(run, took_s, self.moment)
        if ended == count:
            self.speeds.finish_step(step, self.moment)
        self.moment += STEP_GAP_S
        self.update()

    def update(self):
        self.speeds.update(self.workers, self.moment)

    def end_steps(self, count, takes_s=None, **fields):
        for number in range(count):
            usual = TAIL if number % TAIL_EACH == 0 else 1.0
            self.end_step(takes_s[number] if takes_s else usual, **fields)
        self.moment += PAUSE_S
        self.update()


def _trial(context):
    if not hasattr(context, 'trial'):
        context.trial = Trial()
    return context.trial


@given(
    '{count:d} workers of kind "{kind}" on which a task takes {factor:g} times '
    'as long'
)
def step_kind(context, count, kind, factor):
    _trial(context).add_kind(kind, count, factor)


@given('worker "{name}" is {factor:g} times slower than its kind')
def step_odd(context, name, factor):
    context.trial.factors[name] *= factor


@given('worker "{name}" is marked as unhealthy')
def step_unhealthy(context, name):
    context.trial.find(name).health.unhealthy_until = math.inf


@when(
    '{count:d} steps of 10 tasks end, some of which take 7 times as long as '
    'others'
)
def step_end(context, count):
    context.trial.end_steps(count)


@when('{count:d} steps of 10 tasks go on after {ended:d} tasks have ended')
def step_at_work(context, count, ended):
    context.trial.end_steps(count, ended=ended)


@when('{seconds:g} s pass without a task on worker "{name}"')
def step_idle(context, seconds, name):
    context.trial.moment += seconds
    context.trial.update()


@when('{seconds:g} s pass without a task')
def step_all_idle(context, seconds):
    context.trial.moment += seconds
    context.trial.update()


@when('worker "{name}" begins another life')
def step_reborn(context, name):
    context.trial.find(name).born_ms += 1
    context.trial.moment += PAUSE_S
    context.trial.update()


@then('the factors of the kinds are about {learned}')
def step_learned(context, learned):
    found = context.trial.speeds.factors
    for each in learned.split():
        kind, factor = each.split(':')
        ratio = found[kind,] / float(factor)
        assert abs(ratio - 1) < TOLERANCE, found


def _ratings(workers):
    return [
        (worker.slowness, worker.health.kind_tier, worker.health.own_tier)
        for worker in workers
    ]


@then('every worker counts as typical')
def step_typical(context):
    ratings = set(_ratings(context.trial.workers))
    assert ratings == {(1.0, 0, 0)}, ratings


@then('all other workers count as typical')
def step_others(context):
    workers = [each for each in context.trial.workers if each.name != 'a3']
    assert set(_ratings(workers)) == {(1.0, 0, 0)}, _ratings(workers)


@then('worker "{name}" is slower than its kind')
def step_slower(context, name):
    worker = context.trial.find(name)
    assert worker.health.own_tier > 0, worker.health.own_tier
    assert worker.slowness > 2, worker.slowness


@then('worker "{name}" counts as one of its kind')
def step_of_kind(context, name):
    found, other = context.trial.find(name), context.trial.find('a0')
    assert _ratings([found]) == _ratings([other]), _ratings([found])
    assert found.slowness < 1, found.slowness


def _learn(takes_s, counts=(12, 6)):
    random.seed(1)
    trial = Trial()
    trial.add_kind('a', counts[0], FAST)
    trial.add_kind('b', counts[1], SLOW)
    trial.end_steps(len(takes_s), takes_s)
    return trial


@then('the factors are the same however long each step takes')
def step_invariant(context):
    usual = _learn(ALIKE_STEPS).speeds.factors
    assert len(usual) == 2, usual

    @for_all(
        strategies.lists(strategies.floats(0.01, 100), min_size=15, max_size=15)
    )
    def check(takes_s):
        found = _learn(takes_s).speeds.factors
        for kind, factor in usual.items():
            assert math.isclose(found[kind], factor, rel_tol=1e-6), found

    check()


@then('the factors of any fleet have a mean of 1')
def step_mean(context):
    @for_all(strategies.integers(1, 12), strategies.integers(1, 12))
    def check(first, second):
        workers = _learn(ALIKE_STEPS, (first, second)).workers
        factors = [worker.slowness for worker in workers]
        kinds = [
            factor
            for worker, factor in zip(workers, factors, strict=True)
            if not worker.health.own_tier
        ]
        if len(kinds) == len(factors):
            assert math.isclose(sum(factors) / len(factors), 1), factors

    check()


@then('its task is projected to take {seconds:g} s')
def step_projected(context, seconds):
    found = context.checked_run.progress.projected_duration_s(context.moment)
    assert math.isclose(found, seconds), found


# Placement.


def _worker(name, factor, room=None, own=1.0):
    worker = make_worker(name, room)
    worker.health.slowness = factor * own
    worker.health.kind_tier = tier(factor)
    worker.health.own_tier = tier(own)
    return worker


def _step(needs, count=1, *, is_fast_scarce=True, **fields):
    last = {'lasts': True}.get(needs, False)
    spec = StepSpec(count, TASK, long_running=last, **fields)
    queue = URGENT if needs == 'is urgent' else BATCH
    found = Job(job('a', spec, queue=queue))
    found.critical_paths_ms = [1000.0]
    found.task_durations_ms = [1000.0]
    wall_ms = WALL_MS_BY_NEED.get(needs, 1500.0)
    found.deadline_ms = 2500.0
    step = found.steps[0, 0]
    step.speed_preference = choose_preference(
        step, (FAST, SLOW), wall_ms, is_fast_scarce=is_fast_scarce
    )
    return step


def _place(context, step):
    choices = [(worker, '') for worker in context.workers]
    placer = StepPlacer(step, choices, Holds(), 0.0)
    return placer.place_tasks(len(step.tasks))


@given(
    'a fast worker "f", a slow worker "s" and one "x" that is slow for its kind'
)
def step_three(context):
    context.workers = [
        _worker('x', SLOW, own=ODD),
        _worker('s', SLOW),
        _worker('f', FAST),
    ]


@given('a fast worker "f" without room and a slow worker "s"')
def step_full(context):
    context.workers = [_worker('f', FAST, 0), _worker('s', SLOW)]


@given(
    'two fast workers with room for {first:d} and {second:d} tasks and a slow '
    'worker'
)
def step_two(context, first, second):
    context.workers = [
        _worker('s', SLOW),
        _worker('f1', FAST, first),
        _worker('f2', FAST, second),
    ]


@given(
    'a fast worker "f" with room for {first:d} and a slow one "s" with room '
    'for {second:d}'
)
def step_rooms(context, first, second):
    context.workers = [_worker('f', FAST, first), _worker('s', SLOW, second)]


@when('a task of a step that {needs} is placed')
def step_place(context, needs):
    context.placed = _place(context, _step(needs))


@when('a task of a step with time is placed while fast workers have room')
def step_place_early(context):
    step = _step('has time for any worker', is_fast_scarce=False)
    context.placed = _place(context, step)


@when('{count:d} tasks of a step that {needs} are placed')
def step_place_many(context, count, needs):
    context.placed = _place(context, _step(needs, count))


@when('a gang of {count:d} tasks that {needs} is placed')
def step_place_gang(context, count, needs):
    context.placed = _place(context, _step(needs, count, gang=True))


@then(
    'the fast workers get {first:d} and {second:d} of them and the slow worker '
    'none'
)
def step_spread(context, first, second):
    names = [placement.worker.name for placement in context.placed]
    found = [names.count(name) for name in ('f1', 'f2', 's')]
    assert found == [first, second, 0], found


@then('all of it is placed on "{name}"')
def step_all_on(context, name):
    names = {placement.worker.name for placement in context.placed}
    assert names == {name}, names


@then('all {count:d} tasks are placed')
def step_all_placed(context, count):
    assert len(context.placed) == count, context.placed


@then('tasks are placed alike whatever speed all workers share')
def step_alike(context):
    def place(rooms, factor, preference):
        context.workers = [
            _worker(f'w{number}', factor, room)
            for number, room in enumerate(rooms)
        ]
        step = _step('is urgent', 8)
        step.speed_preference = preference
        return [each.worker.name for each in _place(context, step)]

    @for_all(ALIKE_CASES)
    def check(case):
        rooms, power, preference = case
        usual = place(rooms, 1.0, ANY_SPEED)
        assert place(rooms, 1.3**power, preference) == usual

    check()


# Runs and permissions.


@given('its worker takes {factor:g} times as long as a typical one')
def step_slow_worker(context, factor):
    worker = context.checked_run.worker
    worker.health.slowness = factor
    context.mean_s *= factor


@given('that other worker takes {factor:g} times as long as a typical one')
def step_slow_other(context, factor):
    context.workers['w1'].health.slowness = factor


@when(
    'the health of the worker is reviewed as the run, of an image whose tasks '
    'take {seconds:g} s, has done {percent:d} percent in {ran_s:g} s'
)
def step_review_slow(context, seconds, percent, ran_s):
    run = context.checked_run
    run.task.step.spec = msgspec.structs.replace(
        run.task.step.spec, image='image'
    )
    durations = DurationEstimator()
    durations.record_task(run.task.step.spec, seconds)
    _review(context, durations, percent, ran_s)


def _review(context, durations, percent, ran_s):
    run = context.checked_run
    name = run.worker.name
    context.stopped = []
    orders = SimpleNamespace(
        stop=lambda stopped, reason: context.stopped.append(stopped)
    )
    coordinator = SimpleNamespace(
        workers=context.workers,
        sessions={name: SimpleNamespace(orders=orders)},
        table=SimpleNamespace(durations=durations),
        dispatcher=SimpleNamespace(holds=Holds()),
        wall_ms=lambda: WALL_MS,
        log=DecisionLog('n', lambda line: None),
    )

    async def review():
        await asyncio.sleep(ran_s)
        run.progress.record_report(percent, now())
        WorkerHealthMonitor(coordinator).review_worker(context.workers[name])

    context.run(review())


@given('a step of {count:d} tasks without an image on {workers:d} workers')
def step_no_image(context, count, workers):
    context.step = _step('is urgent', count)
    context.workers = {
        f'w{number}': make_worker(f'w{number}') for number in range(workers)
    }
    context.durations = DurationEstimator()
    context.durations.speeds.slowest = SLOW


@given('all kinds of workers are equally fast')
def step_equally_fast(context):
    context.durations.speeds.slowest = 1.0


@when(
    '{count:d} of its tasks have ended in {seconds:g} s each on a worker with '
    'factor {factor:g}'
)
def step_some_ended(context, count, seconds, factor):
    worker = context.workers['w0']
    worker.health.slowness = factor
    for task in context.step.tasks[:count]:
        run = Run(task, worker, Stage.running, 0.0)
        context.durations.speeds.record_task(run, seconds, seconds)


@when(
    'a run of it on a worker with factor {factor:g} has done {percent:d} '
    'percent in {ran_s:g} s'
)
def step_one_runs(context, factor, percent, ran_s):
    worker = context.workers['w1']
    worker.health.slowness = factor
    context.checked_run = Run(
        context.step.tasks[-1], worker, Stage.running, 0.0
    )
    worker.add_run(context.checked_run)
    _review(context, context.durations, percent, ran_s)


@when('its next run has done {percent:d} percent in {ran_s:g} s')
def step_runs_again(context, percent, ran_s):
    context.workers['w1'].health.unhealthy_until = 0.0
    _run_again(context, percent, ran_s)


@when(
    'its next run, on an unhealthy worker, has done {percent:d} percent in '
    '{ran_s:g} s'
)
def step_runs_on_unhealthy(context, percent, ran_s):
    context.workers['w1'].health.unhealthy_until = math.inf
    _run_again(context, percent, ran_s)


def _run_again(context, percent, ran_s):
    worker = context.workers['w1']
    worker.remove_run(context.checked_run)
    task = context.checked_run.task
    context.checked_run = Run(task, worker, Stage.running, context.run(_now()))
    worker.add_run(context.checked_run)
    _review(context, context.durations, percent, ran_s)


async def _now():
    return now()


@given('{count:d} workers with room for 1 task, of which each third is fast')
def step_thirds(context, count):
    context.step.speed_preference = FAST_FIRST
    context.workers = [
        _worker(f'w{number}', SLOW if number % 3 else FAST, 1)
        for number in range(count)
    ]


@given('the first of the fast workers has no room')
def step_first_full(context):
    context.workers[0].free = ZERO


@then('its first request names the fast workers first, but for that one')
def step_fast_first(context):
    named = context.requests[0]
    fast = [
        worker.name for worker in context.workers if worker.slowness == FAST
    ]
    assert set(named[: len(fast) - 1]) == set(fast) - {'w0'}, named


# A cell.


@given(
    'workers "{first}", "{second}" and "{third}" are of a kind on which tasks '
    'take {factor:g} times as long'
)
def step_slow_kind(context, first, second, third, factor):
    slow = {first, second, third}
    for name, worker in context.cell.workers.items():
        kind = 'b' if name in slow else 'a'
        worker.orders.slowness = factor if name in slow else 1.0
        worker.entry = msgspec.structs.replace(
            worker.entry, labels=(kind, worker.entry.rack)
        )
        context.cell.publish(worker.entry)


async def _wall_ms(context):
    return int(context.cell.wall.time() * MS_PER_S)


def _submit(context, job_id, count, queue, seconds):
    spec = job(
        job_id,
        StepSpec(count, TASK, estimate_ms=int(seconds * 1000)),
        queue=queue,
        accepted_ms=context.run(_wall_ms(context)),
    )
    for index in range(count):
        context.cell.work[f'{job_id}.0.0.{index}'] = (seconds, 'done')
    assert isinstance(submit_spec(context, spec), JobAccepted)


@when(
    '{jobs:d} jobs of {count:d} urgent tasks that take {seconds:g} s are '
    'submitted {gap:g} s apart'
)
def step_urgent_jobs(context, jobs, count, seconds, gap):
    first = getattr(context, 'early_jobs', 0)
    context.early_jobs = first + jobs
    for number in range(first, first + jobs):
        _submit(context, f'early-{number}', count, URGENT, seconds)
        context.run(asyncio.sleep(gap))


@when(
    'a job "{job_id}" with {count:d} urgent tasks that take {seconds:g} s is '
    'submitted'
)
def step_urgent_job(context, job_id, count, seconds):
    _submit(context, job_id, count, URGENT, seconds)


@when(
    'a job "{job_id}" with {count:d} batch tasks that take {seconds:g} s is '
    'submitted'
)
def step_batch_job(context, job_id, count, seconds):
    _submit(context, job_id, count, BATCH, seconds)


@then('all tasks of job "{job_id}" ran on "{first}", "{second}" and "{third}"')
def step_ran_on(context, job_id, first, second, third):
    prefix = f'{job_id}.'
    found = {
        log.worker for log in context.cell.runs() if log.task.startswith(prefix)
    }
    assert found and found <= {first, second, third}, found


@then('the factors of the two kinds were logged by {count:d} node')
@then('the factors of the two kinds were logged by {count:d} nodes')
def step_logged(context, count):
    lines = context.cell.events('worker-speeds')
    assert len({line['node'] for line in lines}) == count, lines
    found = lines[-1]['slowness']
    assert 2 < found['b'] / found['a'] < 3, found


def _slowness(context):
    """Return the speeds in the metrics of the node, by kind."""
    log = context.cell.nodes[context.observed].node.log
    text = log.metrics.render().decode()
    rows = re.findall(
        r'^berylspread_worker_slowness{kind="(.*)"} (.*)$', text, re.MULTILINE
    )
    return {kind: float(factor) for kind, factor in rows}


@then(
    'the metrics of the coordinator show that kind "{slow}" is slower than '
    'kind "{fast}"'
)
def step_metrics(context, slow, fast):
    context.observed = find_coordinator(context)
    found = _slowness(context)
    assert found[slow] > 2 * found[fast], found


@then('the metrics of the former coordinator show no speeds')
def step_no_metrics(context):
    assert find_coordinator(context) != context.observed
    assert not _slowness(context), _slowness(context)
