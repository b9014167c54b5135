"""Steps on a small fleet with its HTTP interface, for several folders."""

from typing import Any

from behave import given, then, when
from behave.runner import Context

from features.support.entry_world import (
    CENTRAL,
    EAST,
    EXAMPLE,
    OPERATOR,
    SHARED,
    EntryWorld,
)

NODES = {'central': CENTRAL, 'east': EAST}


def world(context: Context) -> EntryWorld:
    """Return the scenario's world, or the shared one."""
    return getattr(context, 'world', None) or SHARED.get()


def token(context: Context, kind: str) -> str:
    """Return a bearer token by a description of it."""
    if kind in {'no', ''}:
        return ''
    if kind == 'the operator':
        return OPERATOR
    if kind == 'a wrong':
        return f'{world(context).key("proofs")[:-1]}x'
    if kind == 'a withdrawn':
        return withdrawn_key(context)
    return world(context).key(kind)


def withdrawn_key(context: Context) -> str:
    """Make a key and withdraw it."""
    made = (
        world(context)
        .operate('POST', '/v1/admin/keys', json={'team': 'proofs'})
        .json()
    )
    gone = world(context).operate('DELETE', f'/v1/admin/keys/{made["key_id"]}')
    assert gone.status_code == 200, gone.text
    return made['secret']


@given('the running fleet')
def step_shared(context: Context) -> None:
    SHARED.get()


@given('a fleet of its own')
def step_own(context: Context) -> None:
    context.world = EntryWorld()
    context.add_cleanup(context.world.close)


@when('{seconds:g} seconds pass')
def step_pass(context: Context, seconds: float) -> None:
    world(context).sleep(seconds)


@then('the answer is {status:d}')
def step_status(context: Context, status: int) -> None:
    assert context.answer.status_code == status, context.answer.text


@then('it is refused with {status:d} as {name}, {run_state}')
def step_refused(
    context: Context, status: int, name: str, run_state: str
) -> None:
    expect_problem(context.answer, status, name, run_state)


@then('its field {field} is {value}')
def step_field(context: Context, field: str, value: str) -> None:
    fields = context.answer.json()['fields']
    assert str(fields.get(field)) == value, fields


def expect_problem(answer: Any, status: int, name: str, run_state: str) -> None:
    """Check a refusal's status, type and run state."""
    kind = answer.headers['Content-Type']
    assert kind.startswith('application/problem+json'), answer.text
    body = answer.json()
    found = (answer.status_code, body['type'], body['run_state'])
    assert found == (
        status,
        f'urn:berylspread:problem:{name}',
        run_state,
    ), body
    assert body['status'] == status


@given('a fleet with the open queue {queue} of kind {kind}')
def step_open_queue(context: Context, queue: str, kind: str) -> None:
    text = EXAMPLE.read_text(encoding='utf-8')
    section = f'\n[queue {queue}]\nopen = yes\nkind = {kind}\n'
    context.world = EntryWorld(text + section)
    context.add_cleanup(context.world.close)
