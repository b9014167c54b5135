"""Steps for the daemon's settings."""

import configparser
import contextlib
import io

from behave import then, when
from behave.runner import Context

from berylspread.kernel.errors import Failure
from berylspread_daemon.main import run
from berylspread_daemon.settings import parse_settings

FILE = 'node.ini'
SECTIONS = {
    'node': {
        'name': 'entry-1',
        'region': 'central-java',
        'zone': 'batang',
        'http': '127.0.0.1:8080',
        'peer': '127.0.0.1:7000',
    },
    'log': {'address': 'http://10.0.0.1:80', 'region': 'central-java'},
    'vms': {'address': 'http://10.0.0.2:80'},
}


def text_with(section: str = '', line: str = '') -> str:
    """Return the text of valid settings with one line added or replaced."""
    sections = {name: dict(options) for name, options in SECTIONS.items()}
    if section:
        key, _, value = line.partition('=')
        sections.setdefault(section, {})[key.strip()] = value.strip()
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_dict(sections)
    written = io.StringIO()
    parser.write(written)
    return written.getvalue()


@when('the settings are read')
def step_read(context: Context) -> None:
    context.settings = parse_settings(FILE, text_with())


@when('the settings are empty')
def step_empty(context: Context) -> None:
    context.settings = parse_settings(FILE, '')


@when('the settings have the line {line} in the section {section:w}')
def step_line(context: Context, line: str, section: str) -> None:
    context.settings = parse_settings(FILE, text_with(section, line))


@then('the body timeout is {seconds:g} seconds')
def step_timeout(context: Context, seconds: float) -> None:
    assert not isinstance(context.settings, Failure), context.settings
    assert context.settings.service.body_timeout_s == seconds


@then('the error names {option} and allows {allowed}')
def step_allowed(context: Context, option: str, allowed: str) -> None:
    errors = context.settings.fields['errors']
    assert len(errors) == 1, errors
    error = errors[0]
    assert error['source'] == FILE
    assert f'[{error["section"]}] {error["option"]}' == option, error
    assert error['allowed'] == allowed, error
    assert error['reason'].startswith(f'{FILE}: {option}'), error


@then('the error suggests {nearest}')
def step_nearest(context: Context, nearest: str) -> None:
    assert nearest in {
        error.get('nearest') for error in context.settings.fields['errors']
    }, context.settings


@then('{count:d} errors are reported')
def step_count(context: Context, count: int) -> None:
    assert len(context.settings.fields['errors']) == count, context.settings


@when('the daemon starts with a file that is missing')
def step_missing(context: Context) -> None:
    context.stderr = io.StringIO()
    with contextlib.redirect_stderr(context.stderr):
        try:
            run('/nonexistent/node.ini')
        except SystemExit as ended:
            context.code = ended.code


@then('it ends with exit code {code:d} and names the file')
def step_code(context: Context, code: int) -> None:
    assert context.code == code
    assert '/nonexistent/node.ini' in context.stderr.getvalue()
