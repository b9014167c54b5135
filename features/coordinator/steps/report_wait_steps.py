"""Steps for the time that workers wait before they report."""

from behave import given, then

from berylspread.coordinator.fleet import Run, Stage, Worker
from berylspread.coordinator.interface import WorkerEntry
from berylspread.coordinator.model import Job, Queue
from berylspread.coordinator.report_waits import report_wait_s
from berylspread_standins.coordinated.fleet import CAPACITY, job

TOLERANCE_S = 1e-6
EXPECTED_S = 1.0
MOMENT = 10.0


@given('a worker that runs {runs}')
def step_worker(context, runs):
    entry = WorkerEntry('w1', 'desk', 'w1', 'z', True, CAPACITY)
    context.worker = Worker(entry)
    rows = [] if runs == 'nothing' else runs.split(', ')
    for index, row in enumerate(rows):
        priority, remaining_s = row.split(' in ')
        queue = Queue('q', 'desk', priority=int(priority))
        task = Job(job(f'j{index}', queue=queue)).steps[0, 0].tasks[0]
        since = MOMENT + float(remaining_s) - EXPECTED_S
        context.worker.add_run(Run(task, context.worker, Stage.running, since))


@then('its next report waits at most {seconds:g} s')
def step_wait(context, seconds):
    wait_s = report_wait_s(context.worker, lambda run: EXPECTED_S, MOMENT)
    assert abs(wait_s - seconds) < TOLERANCE_S, wait_s
