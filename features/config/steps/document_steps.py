"""Steps for documents."""

import math

from behave import given, then, when
from behave.runner import Context
from hypothesis import given as property_given
from hypothesis import strategies as st

from berylspread.config import (
    Document,
    InvalidDocument,
    OrganisationSection,
    check_usage,
    diff,
    find_warnings,
    parse_document,
    plugin_registries,
    read_limits,
)
from berylspread.kernel import Plugin, Registry, Section
from berylspread.kernel.options import number
from berylspread.model import Resources
from features.config.editor import EXAMPLES, Editor

MEASURES = ('waiting', 'packing', 'control_cost', 'nearness')


@given('the example "{name}"')
def step_example(context: Context, name: str):
    text = (EXAMPLES / f'{name}.ini').read_text(encoding='utf-8')
    context.editor = Editor(text)


@given('the document "{text}"')
def step_text(context: Context, text: str):
    context.found = parse_document('document', text.replace('/', '\n'))


@when('in [{section}] the option "{option}" is set to "{value}"')
def step_set(context: Context, section: str, option: str, value: str):
    context.editor.parser[section][option] = value


@when('in [{section}] the option "{option}" is left out')
def step_leave_out(context: Context, section: str, option: str):
    del context.editor.parser[section][option]


@when('the section [{section}] is added')
def step_add(context: Context, section: str):
    context.editor.parser.add_section(section)


@when('the section [{section}] is added with "{option}" as "{value}"')
def step_add_with(context: Context, section: str, option: str, value: str):
    context.editor.parser[section] = {option: value}


@then('it has no errors and no warnings')
def step_valid(context: Context):
    document = parse_document('document', context.editor.original)
    assert isinstance(document, Document), document
    assert not find_warnings(document)


@then('it has {organisations:d} organisations and {regions:d} regions')
def step_counts(context: Context, organisations: int, regions: int):
    document = context.editor.parse()
    assert len(document.sections_by_label(OrganisationSection)) == organisations
    assert len(document.regions) == regions


@then('"{team}" is entitled to {share:g} of the fleet')
def step_share(context: Context, team: str, share: float):
    document = context.editor.parse()
    assert isinstance(document, Document), document
    assert math.isclose(document.entitled_share(team), share)


@then('its policy weighs "{measure}" most')
def step_weights(context: Context, measure: str):
    policy = context.editor.parse().policy
    assert max(MEASURES, key=lambda name: getattr(policy, name)) == measure


def only_error(context: Context) -> dict:
    errors = context.editor.errors()
    assert len(errors) == 1, errors
    return errors[0]


@then('the only error is in [{section}] {option} with {field} "{expected}"')
def step_error(
    context: Context, section: str, option: str, field: str, expected: str
):
    error = only_error(context)
    assert error['source'] == 'document'
    assert (error['section'], error['option']) == (section, option), error
    assert error[field] == expected, error
    assert f'document: [{section}] {option}: ' in error['reason'], error


@then('the only error is in [{section}] with {field} "{expected}"')
def step_section_error(
    context: Context, section: str, field: str, expected: str
):
    error = only_error(context)
    assert (error['section'], error[field]) == (section, expected), error


@then('there are errors in [{first}] {option} and [{second}] {other}')
def step_errors_in(
    context: Context, first: str, option: str, second: str, other: str
):
    found = {
        (error['section'], error['option']) for error in context.editor.errors()
    }
    assert found == {(first, option), (second, other)}, found


@then('there are {count:d} errors')
def step_error_count(context: Context, count: int):
    errors = context.editor.errors()
    assert len(errors) == count, errors


@then('there is 1 error that names the document')
def step_one_error(context: Context):
    assert isinstance(context.found, InvalidDocument), context.found
    assert len(context.found.fields['errors']) == 1, context.found
    assert 'document' in context.found.reason


@given('a registry of scorers with "{name}" that has the option "{option}"')
def step_registry(context: Context, name: str, option: str):
    section = type('Options', (Section,), {option: number(0, 10, default=1.0)})
    plugin = type('Scorer', (Plugin,), {'name': name, 'section': section})
    registry = Registry('scorer')
    registry.register(plugin)
    before = plugin_registries.copy()

    def restore():
        plugin_registries.clear()
        plugin_registries.update(before)

    context.add_cleanup(restore)
    plugin_registries.clear()
    plugin_registries['scorers'] = registry


@then('it has a warning for [{section}] that names "{dimension}"')
def step_warning(context: Context, section: str, dimension: str):
    document = context.editor.parse()
    assert isinstance(document, Document), document
    assert len(find_warnings(document)) == 1
    found = find_warnings(document)[0]
    assert found.section == section
    assert dimension in found.reason


@then('{tasks:d} tasks of "{team}" running is an error in [{section}] {option}')
def step_usage(
    context: Context, tasks: int, team: str, section: str, option: str
):
    document = context.editor.parse()
    errors = check_usage(document, {team: Resources(slots=tasks)})
    assert len(errors) == 1
    error = errors[0]
    assert error.fields['section'] == section
    assert error.fields['option'] == option


@then('{tasks:d} tasks of "{team}" running is no error')
def step_no_usage(context: Context, tasks: int, team: str):
    document = context.editor.parse()
    assert not check_usage(document, {team: Resources(slots=tasks)})


@then('the changes are')
def step_changes(context: Context):
    changes = diff(context.editor.original, context.editor.text())
    found = [
        [
            change.section,
            change.option,
            change.before or '-',
            change.after or '-',
        ]
        for change in changes
    ]
    assert found == [list(row.cells) for row in context.table], found


@when('random texts are parsed')
def step_random(context: Context):
    context.parsed = 0
    words = st.sampled_from(
        (
            '[team a]',
            '[queue q]',
            '[region r]',
            '[organisation o]',
            '[environment]',
            '[]',
            '[DEFAULT]',
            'share = 5',
            'share = -1',
            'parent = o',
            'organisation = o',
            'limit_cpu = 1e400',
            'limit_tasks = 9' * 9,
            'name = trial',
            'weight = 0',
            '= x',
            ' continued',
            '%(x)s',
            '\0',
        )
    )

    @property_given(st.lists(words | st.text(max_size=9), max_size=12))
    def check(lines: list[str]) -> None:
        text = '\n'.join(lines)
        found = parse_document('document', text)
        assert isinstance(found, Document | InvalidDocument)
        read_limits(text)
        context.parsed += 1

    check()


@then('each gives a document or errors')
def step_parsed(context: Context):
    assert context.parsed >= 100, context.parsed
