"""Steps for operators who change documents."""

import asyncio
import math
import re

from behave import given, then, when
from behave.runner import Context

from features.support.entry_world import CENTRAL, EAST, OPERATOR
from features.support.fleet_steps import expect_problem, world

FAULTS = {
    'a cycle': ('share = 35', 'share = 35\nparent = sales'),
    'a share over 100%': ('share = 35', 'share = 36'),
    'an unknown option': (
        'organisation = sales\nshare = 80',
        'organisation = sales\nsahre = 80',
    ),
    'an unknown section': ('[team proofs]', '[tream proofs]'),
    'a queue without its team': ('team = proofs\nkind', 'team = profs\nkind'),
    'a value out of range': ('lease_s = 15', 'lease_s = 0'),
    'text that is no INI': ('[environment]', '[environment'),
    "the other environment's name": ('name = production', 'name = trial'),
}


def current_document(context: Context, environment: str = 'production') -> dict:
    """Return the document in force."""
    return (
        world(context).operate('GET', f'/v1/admin/config/{environment}').json()
    )


def config_input(context: Context, text: str, **fields: object) -> dict:
    """Return the input of a request to apply a text to the version in force."""
    base = current_document(context)['version']
    return {'text': text, 'base': base, 'author': 'test', **fields}


def apply_document(
    context: Context, body: dict, environment: str = 'production'
) -> None:
    """Apply a document and keep the response in the context."""
    context.body = body
    context.answer = world(context).operate(
        'POST', f'/v1/admin/config/{environment}/apply', json=body
    )


def document_with_limit(context: Context, team: str, cores: int) -> str:
    """Return the document with a CPU limit of ``cores`` for a team."""
    return re.sub(
        rf'(\[team {team}\][^\[]*limit_cpu = )\d+',
        rf'\g<1>{cores}',
        world(context).text,
    )


def refusal_errors(context: Context) -> list[dict]:
    """Return the errors in the response of a refusal."""
    return context.answer.json()['fields']['errors']


@when('an operator applies a document with {fault}')
def step_faulty(context: Context, fault: str) -> None:
    good, faulty = FAULTS[fault]
    text = world(context).text
    assert good in text
    apply_document(
        context, config_input(context, text.replace(good, faulty, 1))
    )


@then('an error names the section {section} and the option {option}')
def step_error(context: Context, section: str, option: str) -> None:
    wanted = tuple(None if name == '-' else name for name in (section, option))
    found = [
        (error.get('section'), error.get('option'))
        for error in refusal_errors(context)
    ]
    assert wanted in found, refusal_errors(context)


@then('an error suggests {name}')
def step_suggests(context: Context, name: str) -> None:
    found = [error.get('nearest') for error in refusal_errors(context)]
    assert name in found, refusal_errors(context)


@given('the team {team} runs {tasks:d} tasks of 8 cores')
def step_running(context: Context, team: str, tasks: int) -> None:
    answer = world(context).request(
        'POST',
        '/v1/jobs',
        key=world(context).key(team),
        json={
            'queue': 'pattern-run',
            'tasks': tasks,
            'payload': '{"run_s": 600}',
        },
    )
    assert answer.status_code == 202, answer.text
    world(context).sleep(5.0)


@when('an operator lowers the limit of {team} to {cores:d} cores')
def step_lower(context: Context, team: str, cores: int) -> None:
    text = document_with_limit(context, team, cores)
    apply_document(context, config_input(context, text))


@when('an operator forces the limit of {team} to {cores:d} cores')
def step_force(context: Context, team: str, cores: int) -> None:
    text = document_with_limit(context, team, cores)
    apply_document(context, config_input(context, text, force=True))


@when('two operators apply different documents from the same version at once')
def step_race(context: Context) -> None:
    bodies = [
        config_input(
            context,
            document_with_limit(context, 'patterns', cores),
            author=name,
        )
        for cores, name in ((300, 'one'), (200, 'two'))
    ]

    async def race() -> list:
        return await asyncio.gather(
            *(
                world(context).send(
                    'POST',
                    '/v1/admin/config/production/apply',
                    key=OPERATOR,
                    node=node,
                    json=body,
                )
                for node, body in zip((CENTRAL, EAST), bodies, strict=True)
            )
        )

    context.answers = world(context).run(race())


@then('one document is in force on every node')
def step_in_force(context: Context) -> None:
    world(context).sleep(5.0)
    nodes = (
        world(context)
        .operate('GET', '/v1/admin/config/production/status')
        .json()
    )
    assert len(nodes) == len(world(context).entries)
    assert {node['version'] for node in nodes} == {
        current_document(context)['version']
    }, nodes
    context.version = nodes[0]['version']


@then('the other operator gets a conflict that names the version in force')
def step_conflict(context: Context) -> None:
    by_status = {answer.status_code: answer for answer in context.answers}
    assert by_status.keys() == {200, 409}, by_status
    expect_problem(by_status[409], 409, 'conflict', 'not-run')
    assert by_status[200].json()['version'] == context.version
    assert by_status[409].json()['fields']['version'] == context.version


@when(
    'the document is applied to trial with a share of {share:d} for team proofs'
)
def step_trial(context: Context, share: int) -> None:
    context.before = current_document(context)['version']
    text = world(context).text
    text = text.replace('name = production', 'name = trial')
    text = text.replace('share = 80', f'share = {share}')
    apply_document(
        context, {'text': text, 'base': 0, 'author': 'test'}, 'trial'
    )
    assert context.answer.status_code == 200, context.answer.text
    context.trial = context.answer.json()['version']


@then('production keeps its version')
def step_kept(context: Context) -> None:
    assert current_document(context)['version'] == context.before


@when('the trial is promoted')
def step_promote(context: Context) -> None:
    context.answer = world(context).operate(
        'POST',
        '/v1/admin/promote',
        json={'trial_version': context.trial, 'base': context.before},
    )
    assert context.answer.status_code == 200, context.answer.text


@then('the share of team {team} in force is {share:g}')
def step_share(context: Context, team: str, share: float) -> None:
    teams = world(context).operate('GET', '/v1/admin/teams').json()
    found = {view['team']: view['share'] for view in teams}
    assert math.isclose(found[team], share), found


@given('the store is down')
@when('the store is down')
def step_down(context: Context) -> None:
    world(context).cluster.log.is_down = True


@when('the store is back')
def step_back(context: Context) -> None:
    world(context).cluster.log.is_down = False


@then('a repeat is refused with {status:d} as {name}, {run_state}')
def step_repeat(
    context: Context, status: int, name: str, run_state: str
) -> None:
    apply_document(context, context.body)
    expect_problem(context.answer, status, name, run_state)
