"""Steps about the soak of processes and what it checks."""

import asyncio
import random
from pathlib import Path

from behave import given, then, when

from berylspread.coordinator.interface import WorkerEntry
from berylspread.model import Resources
from berylspread_standins.coordinated import WorkerStandin
from berylspread_standins.coordinated.closures import Closure
from berylspread_standins.coordinated.worker import RunLog
from berylspread_standins.process_soak import (
    ProcessFleet,
    broken_promises,
    run_seed,
)
from berylspread_standins.process_soak.callers import ACCEPTED, Handed

REFUSED = 503


@when(
    'seed {seed:d} runs for {seconds:g} s with {nodes:d} nodes and '
    '{workers:d} workers'
)
def step_run(context, seed, seconds, nodes, workers):
    context.report = asyncio.run(
        run_seed(seed, seconds=seconds, nodes=nodes, workers=workers)
    )


@when(
    'seed {seed:d} runs for {seconds:g} s with {nodes:d} nodes and '
    '{workers:d} workers and severe faults'
)
def step_run_severe(context, seed, seconds, nodes, workers):
    context.report = asyncio.run(
        run_seed(
            seed,
            seconds=seconds,
            nodes=nodes,
            workers=workers,
            is_severe=True,
        )
    )


@when(
    'seed {seed:d} runs for {seconds:g} s with {nodes:d} nodes and '
    '{workers:d} workers that kill late'
)
def step_run_late_kills(context, seed, seconds, nodes, workers):
    context.report = asyncio.run(
        run_seed(
            seed,
            seconds=seconds,
            nodes=nodes,
            workers=workers,
            has_late_kills=True,
        )
    )


@then('no promise was broken')
def step_kept(context):
    assert not context.report.problems, context.report.line()
    assert context.report.injected, 'no fault was injected'


def _fleet(context):
    context.fleet = ProcessFleet(Path(), random.Random(1))
    for name in ('w1', 'w2'):
        entry = WorkerEntry(name, 'desk', '', 'z', True, Resources())
        context.fleet.workers[name] = WorkerStandin(entry, lambda task: None)


def _job(context, first, second, answer):
    _fleet(context)
    context.job = Handed('a', [first, second])
    context.job.answers.append(answer)


@given(
    'job "a" of steps {first:d} and {second:d} that was accepted and is '
    '"{state}"'
)
def step_accepted(context, first, second, state):
    _job(context, first, second, ACCEPTED)
    context.job.accepted_at = 0.0
    context.job.state = state


@given('job "a" of steps {first:d} and {second:d} that was refused')
def step_refused(context, first, second):
    _job(context, first, second, REFUSED)


@given('gang "a" of {count:d} tasks that was accepted and is "{state}"')
def step_gang(context, count, state):
    step_accepted(context, count, 0, state)
    context.job.steps = [count]
    context.job.is_gang = True


async def _log(fleet, task, row, run=1):
    worker, begin, end, outcome = row
    log = RunLog(worker, f'a.0.{task}', run)
    log.started_at, log.ended_at = float(begin), float(end)
    log.outcome = outcome
    fleet.workers[worker].history.append(log)


@given('its runs were {runs}')
def step_runs(context, runs):
    for row in runs.split(', '):
        task, *rest = row.split()
        asyncio.run(_log(context.fleet, task, rest))


@given('the runs of its members were {rows}')
def step_member_runs(context, rows):
    for row in rows.split(', '):
        index, run, *rest = row.split()
        asyncio.run(_log(context.fleet, f'0.{index}', rest, int(run)))


@given('the end of run {run:d} of "{task}" on "{worker}" was {noted}')
def step_noted(context, run, task, worker, noted):
    for log in context.fleet.workers[worker].history:
        if (log.task, log.run) == (f'a.0.{task}', run):
            is_noted = noted == 'acknowledged'
            log.noted_at = log.ended_at if is_noted else None


@given('task "{task}" crashes its workers')
def step_crashing(context, task):
    context.fleet.crashing.add(f'a.0.{task}')


@given('its {count:d} tasks ran on one worker at a time')
def step_crowd(context, count):
    rows = [f'0.{index} w1 0 1 done' for index in range(count)]
    step_runs(context, ', '.join([*rows, '1.0 w1 2 3 done']))


@given('worker "{worker}" restarted at {at:g}')
def step_restarted(context, worker, at):
    context.fleet.restarts.append((worker, at))


@given('a lease of worker "{worker}" lapsed at {at:g}')
def step_lapsed(context, worker, at):
    context.fleet.workers[worker].lapses.append(at)


@then('the promises broken are "{broken}"')
@then('the promises broken are ""')
def step_broken(context, broken=''):
    found = broken_promises(context.fleet, [context.job])
    kinds = {line.split(':')[0] for line in found}
    assert kinds == set(filter(None, broken.split(', '))), found


@given(
    'the zone of worker "{name}" was closed at {closed:g} and opened at '
    '{opened:g}'
)
def step_closed(context, name, closed, opened):
    zone = context.fleet.workers[name].entry.zone
    closure = Closure(zone, closed, opened)
    context.fleet.closures.closures.append(closure)


@given(
    'the queue was sent to service "{service}" at {moved:g} and back at '
    '{back:g}'
)
def step_moved(context, service, moved, back):
    home = context.fleet.services[0][0]
    context.fleet.services.extend([(service, moved), (home, back)])
