"""Steps for the coordinator's calls to the store."""

import asyncio

from behave import then, when

from berylspread_standins.coordinated.fleet import TOPICS

GAP_S = 0.04


def _views(context):
    return [node.view for node in context.cell.nodes.values()]


@when('the calls to the store are counted from now on')
def step_count(context):
    for view in _views(context):
        view.reads.clear()
        view.appends.clear()


@when('{count:d} entries of workers are written in 2 s')
def step_write(context, count):
    worker = next(iter(context.cell.workers.values()))
    for _ in range(count):
        context.cell.publish(worker.entry)
        context.run(asyncio.sleep(GAP_S))


@then("the workers' entries were read at most {count:d} times")
def step_reads(context, count):
    reads = sum(view.reads[TOPICS.workers] for view in _views(context))
    assert 0 < reads <= count, reads


@then("the jobs' records were appended to at most {count:d} times")
def step_appends(context, count):
    appends = sum(view.appends[TOPICS.jobs] for view in _views(context))
    assert 0 < appends <= count, appends


@then('the coordinator knows {count:d} workers')
def step_known(context, count):
    node = context.cell.nodes[context.cell.leader()].node
    assert len(node.service.coordinator.workers) == count
