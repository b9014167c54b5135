"""Steps about gangs on workers that run them only together."""

import asyncio

from behave import given, then, when

from berylspread_standins.coordinated.gangs import Gangs
from features.coordinator.cell import runs_of


@given('the tasks of job "{job_id}" work only as a gang of {size:d}')
def step_gangs(context, job_id, size):
    gangs = Gangs()
    gangs.sizes[f'{job_id}.0.0'] = size
    for worker in context.cell.workers.values():
        worker.gangs = gangs


@when('worker "{name}" refuses orders as "{cause}"')
def step_refuse(context, name, cause):
    context.cell.workers[name].orders.refuse_as = cause


@when('a worker of the gang restarts')
def step_restart_member(context):
    async def restart():
        await asyncio.sleep(0)
        worker = next(
            each for each in context.cell.workers.values() if each.running
        )
        worker.restart()

    context.run(restart())


@then('the runs of the gang ended as')
def step_ended(context):
    outcomes = {}
    for log in runs_of(context, 'a'):
        outcomes.setdefault(str(log.run), []).append(log.outcome)
    found = {run: ', '.join(sorted(ended)) for run, ended in outcomes.items()}
    expected = {row['run']: row['outcomes'] for row in context.table}
    assert found == expected, found
