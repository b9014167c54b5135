"""Steps about requests of any content, without a network."""

import json
import re

import msgspec
from behave import then, when
from hypothesis import example, strategies
from hypothesis import given as given_any

from berylspread.coordinator.messages import (
    BacklogReply,
    JobAccepted,
    JobCancelled,
    JobStatusReply,
    SubmitJob,
)
from features.support import run_virtual

JOB_PATH = '/q/5c0e7a21d94b36f8'
PATHS = (JOB_PATH, f'{JOB_PATH}\n', '/q/', '/q', '/', '*', '', '/q/\x00\ud800')
METHODS = ('GET', 'POST', 'DELETE', 'PUT', 'CONNECT')
DEADLINES = (
    b'3000',
    b'0',
    b'-1',
    b'1e9',
    b'\xb2',
    b'9' * 400,
    b'9' * 5000,
    b'',
)
KEYS = (b'k1', b'', b'\xff\xfe', b'k' * 16_000)
JOB_ID = re.compile('[0-9a-f]{16}')
STATUSES = frozenset((200, 400, 401, 404, 405, 410, 413, 429, 503))
#: An hour; a request that waits longer holds its connection for nothing.
LONGEST_WAIT_S = 3600
NUMBERS = strategies.sampled_from(
    (0, 1, 2, -1, 2**31, 2**53, 2**63, 2**64, -(2**64), 10**400, 1.5, 1e308)
)
NAMES = (
    'count',
    'cpu',
    'memMb',
    'gpu',
    'estimateMs',
    'antiAffinity',
    'targetMs',
    'mayMiss',
)
STEPS = strategies.dictionaries(
    strategies.sampled_from(NAMES), NUMBERS, max_size=3
).map(lambda step: {'count': 1, **step})
JOBS = strategies.fixed_dictionaries(
    {
        'spec': strategies.text(max_size=5),
        'steps': strategies.lists(STEPS, min_size=1, max_size=3),
    },
    optional={
        'firstMs': NUMBERS,
        'intervalMs': NUMBERS,
        'repeatCount': NUMBERS,
    },
)


def _encode(document):
    return json.dumps(document).encode()


def _encode_steps(**step):
    return _encode({'spec': '', 'steps': [step]})


def _often(usual, others):
    """Return a strategy that takes the usual value half the time."""
    return strategies.just(usual) | strategies.sampled_from(others)


#: Content that was answered wrongly, or not at all.
SEEDS = (
    ('POST', JOB_PATH, b'9' * 5000, b'k1', b'{}'),
    ('POST', JOB_PATH, b'9' * 400, b'k1', b'{}'),
    ('GET', JOB_PATH, b'9' * 100, b'k1', b''),
    ('POST', JOB_PATH, b'3000', b'k1', _encode_steps(count=2, cpu=5)),
    ('POST', PATHS[1], b'', b'k1', _encode_steps(count=1)),
    ('POST', JOB_PATH, b'', b'k1', _encode_steps(count=1, cpu=-1)),
    ('POST', JOB_PATH, b'', b'k1', _encode_steps(count=2**64)),
    ('POST', JOB_PATH, b'', b'k1', _encode_steps(count=1, cpu=2**64)),
)


REPLIES = {
    JobAccepted: JobAccepted(),
    JobCancelled: JobCancelled(),
    JobStatusReply: JobStatusReply('succeeded'),
    BacklogReply: BacklogReply(1),
}


class Sink:
    """Keeps how long requests may take, and accepts all of them."""

    def __init__(self, gateway):
        self.gateway = gateway
        self.longest_s = 0.0

    async def send_request(self, body, reply_type, *, request, timeout_s):
        self.longest_s = max(self.longest_s, timeout_s)
        await self.gateway.send_request(
            body, reply_type, request=request, timeout_s=timeout_s
        )
        return REPLIES[reply_type]


async def _ask(ingress, scope, body):
    sent = []

    async def receive():
        return {'type': 'http.request', 'body': body}

    async def send(event):
        sent.append(event)

    await ingress(scope, receive, send)
    assert sent[0]['status'] in STATUSES, sent


@when('callers ask for anything, with any headers and bodies')
def step_ask(context):
    context.sink = Sink(context.node.gateway)
    context.node.gateway = context.sink
    bodies = strategies.one_of(strategies.binary(), JOBS.map(_encode))

    @given_any(
        _often('POST', METHODS),
        _often(JOB_PATH, PATHS),
        strategies.sampled_from(DEADLINES),
        _often(b'k1', KEYS),
        bodies,
    )
    def check(method, path, deadline, key, body):
        scope = {
            'type': 'http',
            'method': method,
            'path': path,
            'headers': [
                (b'host', b'host.example'),
                (b'x-api-key', key),
                (b'deadline-ms', deadline),
            ],
        }
        run_virtual(_ask(context.ingress, scope, body))

    for seed in SEEDS:
        check = example(*seed)(check)
    check()


@then('each is answered, and what the coordinator gets is sound')
def step_sound(context):
    assert context.sink.longest_s <= LONGEST_WAIT_S, context.sink.longest_s
    submitted = [
        request.spec
        for request in context.sink.gateway.requests
        if isinstance(request, SubmitJob)
    ]
    assert submitted
    for spec in submitted:
        msgspec.msgpack.encode(spec)
        assert JOB_ID.fullmatch(spec.job_id), spec.job_id
        for step in spec.steps:
            demand = step.demand
            parts = (demand.cpu_milli, demand.memory_mib, demand.accelerators)
            assert min(parts) >= 0, step
