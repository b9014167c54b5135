"""Steps for requests that callers and operators send."""

from behave import when
from behave.runner import Context

from features.support import fleet_steps
from features.support.fleet_steps import token, world

CALL_BODY = b'{"run_s": 0.01}'


@when('a call with {key} key comes to the queue {queue}')
def step_call(context: Context, key: str, queue: str) -> None:
    context.answer = world(context).request(
        'POST',
        f'/v1/queues/{queue}/call',
        content=CALL_BODY,
        key=token(context, key),
    )


@when('a call has the header {header} of {value}')
def step_header(context: Context, header: str, value: str) -> None:
    headers = {'Authorization': f'Bearer {token(context, "proofs")}'}
    headers[header] = value
    context.answer = world(context).request(
        'POST', '/v1/queues/proof/call', content=CALL_BODY, headers=headers
    )


@when('a call of {team} on {queue} has the request id {request_id}')
def step_request_id(
    context: Context, team: str, queue: str, request_id: str
) -> None:
    context.answer = world(context).request(
        'POST',
        f'/v1/queues/{queue}/call',
        content=CALL_BODY,
        key=token(context, team),
        headers={'X-Request-Id': request_id},
    )


@when('a call has a body of {size:d} bytes')
def step_size(context: Context, size: int) -> None:
    context.answer = world(context).request(
        'POST',
        '/v1/queues/proof/call',
        content=b'x' * size,
        key=token(context, 'proofs'),
    )


@when('the team {team} submits {body}')
def step_submit(context: Context, team: str, body: str) -> None:
    context.answer = world(context).request(
        'POST',
        '/v1/jobs',
        content=body.encode(),
        key=token(context, team),
        headers={'Content-Type': 'application/json'},
    )


@when('{key} key asks for {method} {path}')
def step_ask(context: Context, key: str, method: str, path: str) -> None:
    context.answer = world(context).request(
        method, path, key=token(context, key)
    )


__all__ = ['fleet_steps']
