"""Steps for the tasks that were lost on silent workers."""

from behave import given, then, when

from berylspread.coordinator.interface import WorkerEntry
from berylspread.coordinator.loss_index import LossIndex
from berylspread.coordinator.model import Job, SilentLoss, StepSpec
from berylspread.model import Resources
from berylspread_standins.coordinated.fleet import TASK, job

BORN_MS = 1


@given(
    'task "{task}" was lost on silent worker "{worker}" at address "{address}"'
)
def step_lost(context, task, worker, address):
    if 'losses' not in context:
        context.losses = LossIndex()
        context.lost_tasks = {}
    lost = Job(job(task, StepSpec(1, TASK))).steps[0, 0].tasks[0]
    context.lost_tasks[task] = lost
    lost.silent_losses.append(SilentLoss(worker, address, BORN_MS, 1, 0, 0.0))
    context.losses.add(lost.silent_losses[0], lost)


@when('worker "{worker}" at address "{address}" writes its entry')
def step_entry(context, worker, address):
    entry = WorkerEntry(worker, 'desk', address, 'z1', True, Resources())
    found = context.losses.tasks_of_entry(entry)
    context.examined = sorted(task.step.job.spec.job_id for task in found)


@then('the tasks examined are "{tasks}"')
def step_examined(context, tasks):
    assert context.examined == tasks.split(), context.examined


@then('the tasks examined are ""')
def step_none_examined(context):
    step_examined(context, '')


@when('the losses of task "{task}" are settled')
def step_settled(context, task):
    context.lost_tasks[task].silent_losses.clear()
    context.losses.forget_settled()


@then('no address is kept')
def step_no_address(context):
    assert not context.losses.workers_by_address
    assert not context.losses.tasks_by_worker
