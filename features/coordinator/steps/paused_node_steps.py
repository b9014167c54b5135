"""Steps for nodes that stand still."""

import asyncio

from behave import given, then, when

from berylspread.kernel.clock import now
from berylspread_standins.virtual_time import process_context
from features.coordinator.cell import find_coordinator, runs_of

NOTED_AT_S = {'a': (1, 2, 3), 'b': (1.1, 2.1, 3.1)}


@given('processes "a" and "b" that note their name each second')
def step_processes(context):
    context.notes = []


@when('process "{name}" is paused from {since:g} s to {until:g} s')
def step_pause_process(context, name, since, until):
    async def note(process, seconds):
        await asyncio.sleep(seconds)
        context.notes.append(f'{process} at {now():g}')

    async def run():
        loop = asyncio.get_running_loop()
        notes = [
            loop.create_task(
                note(process, seconds), context=process_context(process)
            )
            for process, times in NOTED_AT_S.items()
            for seconds in times
        ]
        await asyncio.sleep(since)
        loop.pause(name)
        await asyncio.sleep(until - since)
        loop.resume(name)
        await asyncio.gather(*notes)

    context.run(run())


@then('the notes are "{notes}"')
def step_notes(context, notes):
    assert ', '.join(context.notes) == notes, context.notes


@given('orders are {seconds:g} s on their way')
def step_order_way(context, seconds):
    for worker in context.cell.workers.values():
        worker.orders.way_s = seconds


def count_calls(node):
    return node.view.appends.total(), node.view.reads.total()


@when('the coordinator is paused')
def step_pause(context):
    async def pause():
        name = find_coordinator(context)
        context.cell.pause(name)
        context.paused = context.cell.nodes[name]
        context.calls = count_calls(context.paused)
        context.tokens = {
            name: worker.token for name, worker in context.cell.workers.items()
        }

    context.run(pause())


@when('the paused node is resumed')
def step_resume(context):
    async def resume():
        context.cell.resume(context.paused.name)

    context.run(resume())


@then('the paused node has called neither the store nor a worker')
def step_silent(context):
    assert count_calls(context.paused) == context.calls
    assert all(
        worker.token > context.tokens[name]
        for name, worker in context.cell.workers.items()
    ), 'the successor has not reached all workers'


@then('a node that is not paused coordinates')
def step_other(context):
    context.other = next(
        node
        for node in context.cell.nodes.values()
        if node is not context.paused and node.node.service is not None
    )


@then('only the other node coordinates')
def step_only_other(context):
    assert find_coordinator(context) == context.other.name


@then('job "{job_id}" has begun {count:d} times')
@then('job "{job_id}" has begun {count:d} time')
def step_begun(context, job_id, count):
    assert len(runs_of(context, job_id)) == count
