"""Steps for calls that are not idempotent."""

import asyncio

from behave import then, when
from behave.runner import Context

from berylspread.calls.request_id import new_request_id
from features.support.entry_world import CENTRAL, EAST
from features.support.fleet_steps import expect_problem, token, world

BODY = b'{"run_s": 0.01, "idempotent": false}'


async def send_call(
    context: Context, team: str, queue: str, request: str, node: str
):
    """Send a call from within the event loop."""
    return await world(context).send(
        'POST',
        f'/v1/queues/{queue}/call',
        key=context.key,
        node=node,
        content=BODY,
        headers={'X-Request-Id': request},
    )


def make_request_id(context: Context, number: int = 0) -> str:
    """Return a request id that is the same in each run.

    Its time of issue is the virtual time, and its random part is ``number``.
    """

    async def make() -> str:
        return new_request_id(world(context).cluster.wall.time())

    stamp = world(context).run(make())[:15]
    return f'{stamp}000-8000-{number:012x}'


@when('the team {team} sends the same call to {queue} at each node in turn')
def step_in_turn(context: Context, team: str, queue: str) -> None:
    context.key = token(context, team)
    request = make_request_id(context)
    context.answers = [
        world(context).run(send_call(context, team, queue, request, node))
        for node in world(context).entries
    ]


@when('the team {team} sends the same call to {queue} at all nodes at once')
def step_at_once(context: Context, team: str, queue: str) -> None:
    context.key = token(context, team)
    request = make_request_id(context)

    async def call_all() -> list:
        return await asyncio.gather(
            *(
                send_call(context, team, queue, request, node)
                for node in world(context).entries
            )
        )

    answers = world(context).run(call_all())
    context.answers = sorted(answers, key=lambda answer: answer.status_code)


@then('the first is answered')
@then('one is answered')
def step_first(context: Context) -> None:
    assert context.answers[0].status_code == 200, context.answers[0].text
    assert context.answers[0].content == BODY


@then('the others are refused with {status:d} as {name}, {run_state}')
def step_others(
    context: Context, status: int, name: str, run_state: str
) -> None:
    assert len(context.answers) == len(world(context).entries)
    for answer in context.answers[1:]:
        expect_problem(answer, status, name, run_state)


@when('the network between the regions is cut')
def step_cut(context: Context) -> None:
    token(context, 'quotes')
    network = world(context).cluster.network
    for node in world(context).entries:
        if node != EAST:
            network.cut(node, EAST)
            network.cut(EAST, node)


@when('the team {team} sends {count:d} calls to {queue} at central')
def step_many(context: Context, team: str, count: int, queue: str) -> None:
    context.key = token(context, team)
    context.answers = [
        world(context).run(
            send_call(context, team, queue, make_request_id(context), CENTRAL)
        )
        for _ in range(count)
    ]


@then('some are answered and the others are refused as not run')
def step_outcomes(context: Context) -> None:
    states = {
        answer.headers.get('X-Run-State') or answer.json()['run_state']
        for answer in context.answers
    }
    assert states == {'ran', 'not-run'}, states
