"""Steps about the choice of the runs that leave a closed zone."""

import itertools
import math

from behave import given, then, when

from berylspread.coordinator.fleet import Run, Stage
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.model import MS_PER_S, Job, StepSpec
from berylspread.coordinator.planner import TenantUsage
from berylspread.coordinator.policy import PolicyCache
from berylspread.coordinator.zone_moves import (
    MAX_STOPPING,
    Contention,
    MovePlanner,
    find_movable,
)
from berylspread.kernel.clock import now
from berylspread.model import ZERO
from berylspread_standins.coordinated.fleet import TASK, job
from features.coordinator.cell import make_worker

RACK = 'r1-1'
#: Fields of the step of a run, by the kind of the run.
KINDS = {
    'plain': {},
    'checkpointing': {'checkpoints': True},
    'contended': {'checkpoints': True},
    'quota-waiting': {'checkpoints': True},
    'stopping': {'checkpoints': True},
    'unreachable': {'checkpoints': True},
    'gang': {'checkpoints': True, 'gang': True},
    'data-bound': {'checkpoints': True, 'data_rack': RACK},
    'long-running': {'long_running': True},
}


class CountingHolds:
    """Keeps no room, and counts the workers about which it is asked."""

    def __init__(self):
        self.asked = 0

    def kept_quota(self, step, moment):
        return ZERO

    def is_held(self, worker, moment):
        self.asked += 1
        return False


def _add_runs(context, kind, count, left_s):
    spec = StepSpec(
        count, TASK, estimate_ms=round(left_s * MS_PER_S), **KINDS[kind]
    )
    _add_runs_of(context, kind, spec)


def _add_runs_of(context, kind, *specs):
    steps = Job(job('a', *specs)).steps.values()
    tasks = itertools.chain.from_iterable(step.tasks for step in steps)
    context.fruitless = set()
    closed = make_worker('closed', zone='east', rack=RACK, closed={'east'})
    context.workers = {'closed': closed}
    services = {'desk'} if kind == 'contended' else set()
    tenants = {'acme'} if kind == 'quota-waiting' else set()
    context.contention = Contention(services, tenants)
    context.usage = TenantUsage(PolicyCache(now, math.inf))
    closed.is_reachable = kind != 'unreachable'

    async def add():
        for task in tasks:
            task.worker = closed.name
            task.step.waiting_tasks.remove(task)
            run = Run(task, closed, Stage.running, now())
            is_lasting = task.step.spec.long_running
            run.progress.percent = 100 if is_lasting else 0
            run.stop_reason = 'preempted' if kind == 'stopping' else ''
            closed.add_run(run)

    context.run(add())


@given('a {kind} run in a closed zone that has {left:g} s left')
def step_run(context, kind, left):
    _add_runs(context, kind, 1, left)


@given(
    '{count:d} checkpointing runs in a closed zone that have {left:g} s left'
)
def step_runs(context, count, left):
    _add_runs(context, 'checkpointing', count, left)


@given('{count:d} checkpointing runs of {sizes:d} sizes in a closed zone')
def step_sizes(context, count, sizes):
    # The largest have the most left; the smallest is an ordinary task.
    specs = [
        StepSpec(
            count // sizes,
            TASK * size,
            estimate_ms=(size + 5) * MS_PER_S,
            checkpoints=True,
        )
        for size in range(sizes, 0, -1)
    ]
    _add_runs_of(context, 'checkpointing', *specs)


@given('a worker in an open zone with room for {room:d} tasks')
def step_open_worker(context, room):
    context.workers['open'] = make_worker('open', room, zone='west')
    context.holds = Holds()


@given('{count:d} workers in an open zone with room for {room:d} task each')
def step_open_workers(context, count, room):
    context.holds = CountingHolds()
    for index in range(count):
        name = f'open-{index}'
        context.workers[name] = make_worker(name, room, zone='west')


@given('the room of that worker is kept for another step')
def step_hold(context):
    async def hold():
        holder = Job(job('b')).steps[0, 0]
        context.holds.hold_room(holder, ('open',), now())

    context.run(hold())


@when('the runs to move are chosen')
def step_choose(context):
    step_choose_times(context, 1)


@when('the runs to move are chosen {times:d} times')
def step_choose_times(context, times):
    async def choose():
        for _ in range(times):
            movable = find_movable(context.workers.values(), context.contention)
            planner = MovePlanner(
                context.workers,
                context.holds,
                context.usage,
                context.fruitless,
                now(),
            )
            context.moves = planner.choose(movable, MAX_STOPPING)

    context.run(choose())


@then('the run is moved')
def step_moved(context):
    assert [move.target.name for move in context.moves] == ['open']


@then('the run is not moved')
def step_not_moved(context):
    assert not context.moves, context.moves


@then('{count:d} runs are moved')
def step_count(context, count):
    assert len(context.moves) == count, context.moves


@then('{count:d} workers were looked at')
def step_looked_at(context, count):
    assert context.holds.asked == count, context.holds.asked
