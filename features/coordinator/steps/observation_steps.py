"""Steps for the decision log and the metrics."""

import asyncio
import json
import time
from unittest import mock

from behave import given, then, when

from berylspread.coordinator import DecisionLog


class Pipe:
    """Keeps lines, or raises as a full pipe does."""

    def __init__(self):
        self.lines = []
        self.is_full = False

    def emit(self, line):
        if self.is_full:
            raise BlockingIOError
        self.lines.append(json.loads(line))


def _write(context, event, count, at):
    with mock.patch.object(time, 'time', return_value=at):
        for index in range(count):
            context.log.write(event, task=f'{index}')


@given('a decision log of node "{node}"')
def step_log(context, node):
    context.pipe = Pipe()
    context.log = DecisionLog(node, context.pipe.emit)


@given('a decision log of node "{node}" whose pipe is full')
def step_log_full(context, node):
    step_log(context, node)
    context.pipe.is_full = True


@when('the event "{event}" is written with task "{task}"')
def step_write(context, event, task):
    context.log.write(event, task=task)


@when('{count:d} events "{event}" are written within a second')
def step_write_many(context, count, event):
    _write(context, event, count, 100.0)


@when('another event is written more than a second later')
def step_write_later(context):
    _write(context, 'start', 1, 101.5)


@when('the pipe is read and another event is written')
def step_pipe_read(context):
    context.pipe.is_full = False
    _write(context, 'start', 1, 100.1)


@when('durations of {first:g} s and {second:g} s are observed for "{name}"')
def step_observe(context, first, second, name):
    context.log.metrics.observe(name, first)
    context.log.metrics.observe(name, second)


@then('the last line has node "{node}", event "{event}" and task "{task}"')
def step_line(context, node, event, task):
    line = context.pipe.lines[-1]
    assert line['node'] == node
    assert line['event'] == event
    assert line['task'] == task


@then('{count:d} lines were written')
def step_count(context, count):
    assert len(context.pipe.lines) == count


@then('the last line says that {count:d} lines were dropped')
def step_dropped(context, count):
    assert context.pipe.lines[-1]['dropped'] == count


@then('the metrics count {count:d} events "{event}"')
def step_counted(context, count, event):
    text = context.log.metrics.render().decode()
    wanted = f'berylspread_events_total{{event="{event}"}} {float(count)}'
    assert wanted in text


@then(
    'the metrics have {below:d} duration of "{name}" up to {bound:g} s and '
    '{total:d} in total'
)
def step_buckets(context, below, name, bound, total):
    text = context.log.metrics.render().decode()
    base = 'berylspread_duration_seconds'
    assert f'{base}_bucket{{le="{bound}",of="{name}"}} {float(below)}' in text
    assert f'{base}_count{{of="{name}"}} {float(total)}' in text


@when('the event loop is held up for {seconds:g} s')
def step_hold_up(context, seconds):
    async def hold_up():
        asyncio.get_running_loop().virtual_selector.advance(seconds)

    context.run(hold_up())


@then('no delay of the event loop is logged')
def step_no_delay(context):
    assert not context.cell.events('loop-delayed')


@then('a delay of the event loop of {seconds:g} s or more is logged')
def step_delay(context, seconds):
    delays = [line['delay_s'] for line in context.cell.events('loop-delayed')]
    assert delays, 'no delay is logged'
    assert all(delay >= seconds for delay in delays), delays


@then('the metrics of each node count a "{name}" of {seconds:g} s or more')
def step_delay_counted(context, name, seconds):
    for standin in context.cell.nodes.values():
        log = standin.node.log
        rows = log.metrics.histograms[name].buckets()
        below = max(count for bound, count in rows if float(bound) <= seconds)
        total = rows[-1][1]
        assert total > below, rows
