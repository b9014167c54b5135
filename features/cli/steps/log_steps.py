"""Steps about the commands that read the logs of nodes."""

import io
import json
import re
import tempfile
from pathlib import Path
from unittest import mock

from behave import given, then, when

from features.cli.steps.command_steps import FleetTransport, run_command

#: A page must not load scripts, styles or pictures from another host.
FOREIGN = re.compile(r'<(?:script|link|img)[^>]+(?:src|href)=.?https?:')


def _run(context, *arguments):
    run_command(context, list(arguments), FleetTransport(context))


def _folder(context):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    return Path(folder.name)


@given('the log of a day')
def step_log(context):
    context.log = _folder(context) / 'day.log'
    context.log.write_text(context.text)


@when('the trail of "{item}" is read')
def step_trail(context, item):
    _run(context, 'trace', item, str(context.log))


@when('the trail of "{item}" is read as JSON')
def step_trail_json(context, item):
    _run(context, 'trace', item, str(context.log), '--json')


@when('the trail of "{item}" is read from "{name}"')
def step_trail_file(context, item, name):
    _run(context, 'trace', item, name)


@when('the trail of "{item}" is read from standard input')
def step_trail_input(context, item):
    with mock.patch('sys.stdin', io.StringIO(context.log.read_text())):
        _run(context, 'trace', item)


@when('the report of the day is written as JSON')
def step_report(context):
    context.page = _folder(context) / 'day.html'
    _run(
        context,
        'report',
        str(context.log),
        '-o',
        str(context.page),
        '--json',
    )


@when('the report of an empty log is written')
def step_report_empty(context):
    empty = _folder(context) / 'empty.log'
    empty.write_text('')
    _run(context, 'report', str(empty))


@then('the output has "{text}"')
def step_output(context, text):
    assert text in context.out, context.out


@then('its events are "{events}"')
def step_events(context, events):
    found = [line['event'] for line in json.loads(context.out)['lines']]
    assert found == events.split(', '), found


@then('the event "{event}" is repeated {count:d} times')
def step_repeated(context, event, count):
    found = [
        line['repeated']
        for line in json.loads(context.out)['lines']
        if line['event'] == event
    ]
    assert found == [count], found


@then('the page has the charts')
def step_charts(context):
    page = context.page.read_text()
    missing = [
        row['chart'] for row in context.table if row['chart'] not in page
    ]
    assert not missing, missing


@then('the page loads nothing from elsewhere')
def step_alone(context):
    assert not FOREIGN.search(context.page.read_text())


@then('the takeovers are')
def step_takeovers(context):
    found = json.loads(context.out)['takeovers']
    names = context.table.headings
    shown = [
        ['' if row[name] is None else str(row[name]) for name in names]
        for row in found
    ]
    assert shown == [list(row.cells) for row in context.table], shown
