"""Steps for the check of a document before it is sent."""

import json

from behave import then, when
from behave.runner import Context

from features.cli.steps.command_steps import (
    FleetTransport,
    run_command,
    write_document,
)
from features.support.fleet_steps import token, world


@when('the operator checks the document with "{before}" as "{after}"')
def step_check(context: Context, before: str, after: str) -> None:
    context.checked = edited(context, before, after)
    check_document(context, 'current')


@when(
    'the operator checks the document against one with "{before}" as "{after}"'
)
def step_check_against(context: Context, before: str, after: str) -> None:
    context.checked = world(context).text
    check_document(
        context, write_document(context, edited(context, before, after))
    )


def edited(context: Context, before: str, after: str) -> str:
    """Return the document in force with an edit.

    A step is one line, so ``/`` in it stands for a newline.
    """
    text = world(context).text
    assert before in text, text
    return text.replace(before, after.replace('/', '\n'), 1)


def check_document(context: Context, base: str) -> None:
    """Check the edited document against a base."""
    run_command(
        context,
        [
            'check',
            write_document(context, context.checked),
            f'--against={base}',
            '--json',
            f'--key={token(context, "the operator")}',
        ],
        FleetTransport(context),
    )


@then('the check reports {errors:d} errors and {warnings:d} warnings')
def step_counts(context: Context, errors: int, warnings: int) -> None:
    review = json.loads(context.out)
    found = len(review['errors']), len(review['warnings'])
    assert found == (errors, warnings), review


@then('an error is on the line of "{text}"')
def step_line(context: Context, text: str) -> None:
    line = context.checked.splitlines().index(text) + 1
    review = json.loads(context.out)
    assert line in [error['line'] for error in review['errors']], review


@then(
    'the check says that [{section}] {option} changes from {before} to'
    ' {after}: {effect}'
)
def step_change(
    context: Context,
    section: str,
    option: str,
    before: str,
    after: str,
    effect: str,
) -> None:
    review = json.loads(context.out)
    wanted = {
        'section': section,
        'option': option,
        'before': before,
        'after': after,
        'effect': effect,
    }
    assert wanted in review['changes'], review['changes']


@then('a warning says "{reason}"')
def step_warning(context: Context, reason: str) -> None:
    review = json.loads(context.out)
    assert any(reason in found['reason'] for found in review['warnings']), (
        review
    )


@then('the check reports no changes')
def step_no_changes(context: Context) -> None:
    review = json.loads(context.out)
    assert not review['changes'], review


@then('the only effect on [{section}] is "{effect}"')
def step_only_effect(context: Context, section: str, effect: str) -> None:
    assert effects(context, section) == [effect], context.out


@then('nothing has an effect on [{section}]')
def step_no_effect(context: Context, section: str) -> None:
    assert not effects(context, section), context.out


def effects(context: Context, section: str) -> list[str]:
    """Return the effects of the changes of a section, without empty ones."""
    changes = json.loads(context.out)['changes']
    assert any(change['section'] == section for change in changes), changes
    return [
        change['effect']
        for change in changes
        if change['section'] == section and change['effect']
    ]
