"""Steps about the adapter to the platform."""

import asyncio
import copy
import json
import math
import tomllib

from behave import given, then, when

from berylspread.coordinator.interface import (
    KeyedItem,
    Renewal,
    StartOrder,
    WorkerEntry,
)
from berylspread.coordinator.measures import ProcessMetrics
from berylspread.coordinator.messages import (
    CancelJob,
    JobAccepted,
    JobCancelled,
    JobStatusReply,
    SubmitJob,
)
from berylspread.coordinator.model import PermissionTerms
from berylspread.coordinator.outcomes import find_handler
from berylspread.coordinator.policy import (
    Configuration,
    PolicyCache,
    ZoneChange,
)
from berylspread.coordinator.service import NoSuchJob
from berylspread.kernel.clock import WallClock, now
from berylspread.kernel.errors import (
    Failure,
    NotRun,
    OutcomeUnknown,
    Overloaded,
)
from berylspread.model import Resources
from berylspread_platform.documents import (
    decode_config,
    decode_entry,
    decode_zone_change,
)
from berylspread_platform.http_calls import HttpResponse, NoResponse
from berylspread_platform.ingress import Ingress
from berylspread_platform.settings import load_settings, parse_settings
from berylspread_platform.store import StoreClient, decode_batch, encode_record
from berylspread_platform.workers import FinishedRow, WorkerClient
from features.support import run_virtual

SETTINGS = """
nodeName = "entry-1"
ip = "10.1.0.17"
zone = "z1"
region = "r1"
portRange = [7420,7435]
newField = "ignored"
[listenAddrs]
front = "10.1.0.17:8183"
readyAddr = "10.1.0.17:8184"
[bounds]
revokeMs = 5000
configApplyMs = 2500
[platform]
address = "10.200.1.7:8182"
"""
SETTINGS_EDITS = {
    'without a node name': ('nodeName = "entry-1"', ''),
    'with ports as text': ('[7420,7435]', '"7420"'),
    'that is not TOML': ('nodeName =', 'nodeName'),
    'without a store address': ('address = "10.200.1.7:8182"', ''),
    'with an unknown policy': (
        '[bounds]',
        '[policies]\ncontention = "lottery"\n[bounds]',
    ),
}
CONFIG = {
    'version': 7,
    'routes': [
        {
            'name': 'r-1',
            'host': 'host.example',
            'pathPrefix': '/q/',
            'service': 'desk',
            'priority': 2,
            'maxAttempts': 3,
            'deadlineFactor': 1.5,
            'targetLatencyMs': 500,
            'advice': {'decideMs': 688.0, 'eachMs': 6.1, 'validMs': 2500},
        }
    ],
    'limits': {
        'maxBodyBytes': 5000,
        'maxHeaderBytes': 9000,
        'headerTimeoutMs': 1500,
    },
    'tenants': [
        {
            'name': 'acme',
            'apiKeys': ['k1'],
            'weight': 7,
            'cap': {'cpu': 4000, 'memMb': 0, 'gpu': 0},
        }
    ],
}
ENTRY = {
    'service': 'desk',
    'address': '10.128.0.9:8080',
    'zone': 'z1',
    'state': 'ready',
    'capacity': {'cpu': 16000, 'memMb': 32768, 'gpu': 0},
    'labels': ['a', 'r1-3'],
    'seq': 4,
}
JOB = {
    'spec': 'text',
    'steps': [
        {'count': 4, 'cpu': 500, 'memMb': 256},
        {'count': 20, 'cpu': 2000, 'dependsOn': [0], 'checkpointing': True},
    ],
}
JOBS = {
    'a valid job': JOB,
    'no steps': {'spec': 'text', 'steps': []},
    'a step without tasks': {'spec': 'text', 'steps': [{'count': 0}]},
    'a step that depends on itself': {
        'spec': 'text',
        'steps': [{'count': 1, 'dependsOn': [0]}],
    },
    'a step that depends on a later one': {
        'spec': 'text',
        'steps': [{'count': 1, 'dependsOn': [1]}, {'count': 1}],
    },
    'a step that depends on a negative number': {
        'spec': 'text',
        'steps': [{'count': 1}, {'count': 1, 'dependsOn': [-1]}],
    },
    'a spec that is too long': {'spec': 'x' * 4001, 'steps': [{'count': 1}]},
    'a body that is too large': {'spec': 'x' * 6000, 'steps': [{'count': 1}]},
}
REPLIES = {
    'succeeded': JobStatusReply('succeeded'),
    'cancelled': JobCancelled(),
    'no such job': NoSuchJob('no such job'),
    'not run': NotRun('no coordinator'),
    'outcome unknown': OutcomeUnknown('no reply'),
    'too late': Overloaded('the job would end too late', retry_after_s=17),
}
CONFIG_VALIDITY_S = 4.0
DISCONNECT = {'type': 'http.disconnect'}
WORKER = WorkerEntry(
    worker='i-1',
    service='desk',
    address='10.128.0.9:8080',
    zone='z1',
    is_ready=True,
    capacity=Resources(),
)


class FakeGateway:
    """Records requests and returns the reply that a test has set."""

    def __init__(self):
        self.requests = []
        self.reply = JobAccepted()

    async def send_request(self, body, _reply_type, *, request, timeout_s):
        self.requests.append(body)
        return self.reply


class FakeNode:
    """A node with a fake gateway to the coordinator."""

    def __init__(self):
        self.gateway = FakeGateway()


class FakeLog:
    """A log that only checks that its fields can be encoded."""

    def __init__(self):
        self.metrics = ProcessMetrics()

    def write(self, event, **fields):
        json.dumps(fields, default=repr)


class FakeHttp:
    """Returns the given responses in turn."""

    def __init__(self, *responses):
        self.responses = list(responses)

    async def request(self, method, url, **_rest):
        return self.responses.pop(0)


def _item(document):
    return KeyedItem('key', document, 3)


def _response(text):
    if text == 'no response':
        return NoResponse('timeout', sent=True)
    if text == 'no connection':
        return NoResponse('refused', sent=False)
    status, _, body = text.partition(' ')
    return HttpResponse(int(status), body.encode())


def _send(context, method, path, body=b'', key='k1', events=None):
    sent = []
    queue = events or [{'type': 'http.request', 'body': body}]

    async def receive():
        return queue.pop(0)

    async def send(event):
        sent.append(event)

    scope = {
        'type': 'http',
        'method': method,
        'path': path,
        'headers': [
            (b'host', b'host.example'),
            (b'x-api-key', key.encode()),
            (b'deadline-ms', b'3000'),
        ],
    }
    run_virtual(_serve(context, scope, receive, send))
    context.sent = sent


async def _serve(context, scope, receive, send):
    if context.arrives_s is not None:
        asyncio.get_running_loop().call_later(
            context.arrives_s, configure, context.ingress.policies
        )
    began = now()
    await context.ingress(scope, receive, send)
    context.took_s = now() - began


def configure(policies):
    policies.apply(decode_config(_item(json.dumps(CONFIG).encode())))
    policies.confirm(0.0)


@given(
    'a settings file with node "{node}" at "{ip}" and ports {first:d} to '
    '{last:d}'
)
def step_settings(context, node, ip, first, last):
    context.settings_text = SETTINGS
    raw = tomllib.loads(SETTINGS)
    assert (raw['nodeName'], raw['ip']) == (node, ip)
    assert raw['portRange'] == [first, last]


@given('a settings file {fault}')
def step_bad_settings(context, fault):
    before, after = SETTINGS_EDITS[fault]
    assert before in SETTINGS
    context.settings_text = SETTINGS.replace(before, after)


@given('settings with the policy "{name}"')
def step_policy_named(context, name):
    context.settings_text = f'{SETTINGS}[policies]\ncontention = "{name}"\n'


@given('settings with the policy ""')
def step_policy_unnamed(context):
    context.settings_text = SETTINGS


@then('the policy for too little room is "{name}"')
def step_policy_in_force(context, name):
    assert context.result.policies.contention == name


@when('the settings are read')
def step_read_settings(context):
    context.result = parse_settings(context.settings_text, 'local.toml')


@when('the settings are read without a file')
def step_read_missing(context):
    context.result = load_settings('')


@then('the other nodes reach it at "{address}"')
def step_peer_address(context, address):
    assert context.result.peer_address == address


@given(
    'bounds in the settings of {revoke:d} ms for keys and {apply:d} ms '
    'for the rest'
)
def step_bounds(context, revoke, apply):
    context.settings_text = SETTINGS.replace(
        'revokeMs = 5000', f'revokeMs = {revoke}'
    ).replace('configApplyMs = 2500', f'configApplyMs = {apply}')


@given('bounds in the settings of {bound:d} ms for evacuations')
def step_evacuation_bound(context, bound):
    context.settings_text = SETTINGS.replace(
        'revokeMs = 5000', f'revokeMs = 5000\nevacuateMs = {bound}'
    )


@then('tasks start for {seconds:g} s without news of the evacuated zones')
def step_zones_validity(context, seconds):
    assert math.isclose(context.result.zones_validity_s, seconds)


@then('tasks start without news of the evacuated zones')
def step_zones_always_valid(context):
    assert math.isinf(context.result.zones_validity_s)


@given('a record with key "{key}" and value "{value}"')
def step_record(context, key, value):
    context.record = KeyedItem(key, value.encode(), 3)


@given('a record with key "{key}" and value ""')
def step_empty_record(context, key):
    context.record = KeyedItem(key, b'', 3)


@when('the record is decoded')
def step_decode_record(context):
    context.result = decode_zone_change(context.record)


@then('it closes zone "{zone}"')
def step_closes(context, zone):
    assert context.result == ZoneChange(zone, is_closed=True), context.result


@then('it opens zone "{zone}"')
def step_opens(context, zone):
    assert context.result == ZoneChange(zone, is_closed=False), context.result


@then('it changes nothing')
def step_changes_nothing(context):
    assert context.result is None, context.result


@then('the configuration stays valid for {seconds:g} s')
def step_config_validity(context, seconds):
    assert math.isclose(context.result.config_validity_s, seconds)


@then('they are refused as "{name}" naming "{named}"')
def step_refused_naming(context, name, named):
    assert isinstance(context.result, Failure)
    assert context.result.name == name
    assert named in context.result.reason, context.result.reason


@given('a configuration document')
def step_config(context):
    context.document = json.dumps(CONFIG).encode()


@given('a configuration document {fault}')
def step_bad_config(context, fault):
    route = dict(CONFIG['routes'][0])
    del route['host']
    without_version = dict(CONFIG)
    del without_version['version']
    context.document = {
        'that is not JSON': b'{"version":',
        'without a version': json.dumps(without_version).encode(),
        'whose routes are a number': json.dumps(
            CONFIG | {'routes': 3}
        ).encode(),
        'whose route lacks a host': json.dumps(
            CONFIG | {'routes': [route]}
        ).encode(),
    }[fault]


@when('the document is decoded')
def step_decode(context):
    context.result = decode_config(_item(context.document))


@then(
    'queue "{name}" is served by "{service}" with priority {priority:d} and '
    '{attempts:d} attempts'
)
def step_queue(context, name, service, priority, attempts):
    queue = context.result.routes[0].queue
    assert queue.name == name
    assert queue.service == service
    assert queue.priority == priority
    assert queue.max_attempts == attempts


@then('its permission requests take {base:g} ms and {each:g} ms a worker')
def step_advice(context, base, each):
    advice = context.result.routes[0].queue.permission_terms
    assert advice == PermissionTerms(base, each, 2500.0)


@then('team "{team}" has key "{key}" and may run {cpu:d} thousandths of a core')
def step_team(context, team, key, cpu):
    tenant = context.result.tenants[0]
    assert tenant.name == team
    assert tenant.keys == (key,)
    assert tenant.cap == Resources(cpu)


@then(
    'a head may have {head:d} bytes and take {limit:d} ms, and a body '
    '{body:d} bytes'
)
def step_request_limits(context, head, limit, body):
    assert context.result.max_head_bytes == head
    assert context.result.head_timeout_ms == limit
    assert context.result.max_body_bytes == body


@then('callers may be idle for {limit:d} ms')
def step_idle_limit(context, limit):
    assert context.result.idle_timeout_ms == limit


@then('it is refused as "{name}"')
def step_refused(context, name):
    assert isinstance(context.result, Failure), context.result
    assert context.result.name == name


@given('configuration version {version:d} is in force')
def step_given_version(context, version):
    context.policies = PolicyCache(float, CONFIG_VALIDITY_S)
    assert context.policies.apply(Configuration(version, (), ()))


@when('configuration version {version:d} arrives')
def step_arrives(context, version):
    context.policies.apply(Configuration(version, (), ()))


@then('configuration version {version:d} is in force')
def step_in_force(context, version):
    assert context.policies.version == version


@given('the entry of a worker')
def step_entry_document(context):
    context.worker_id = 'i-1'
    context.document = json.dumps(ENTRY).encode()


def _nested(document, depth):
    text = json.dumps(document | {'more': None})
    return text.replace('null', '[' * depth + ']' * depth).encode()


@given('the entry of a worker {fault}')
def step_bad_entry(context, fault):
    context.worker_id = {
        'under an id with a line break': 'i-1\r\nX: y',
        'under an empty id': '',
    }.get(fault, 'i-1')
    changes = {
        'with an unknown state': {'state': 'x'},
        'with an address of a wrong type': {'address': 5},
        'with a capacity beyond 2^53': {'capacity': {'cpu': 2**53 + 1}},
        'with a negative capacity': {'capacity': {'cpu': -1}},
        'with a start time beyond 2^53': {'born': 10**30},
        'with a port out of range': {'address': '10.128.0.9:65536'},
        'without a port': {'address': '10.128.0.9'},
        'with a host that is no address': {'address': 'a b:8080'},
    }
    without_capacity = dict(ENTRY)
    del without_capacity['capacity']
    context.document = {
        'that is not JSON': b'\xff\xfe',
        'without capacity': json.dumps(without_capacity).encode(),
        'that is very deeply nested': _nested(ENTRY, 100_000),
    }.get(fault) or json.dumps(ENTRY | changes.get(fault, {})).encode()


@when('the entry is decoded')
def step_decode_entry(context):
    context.result = decode_entry(
        KeyedItem(context.worker_id, context.document, 3)
    )


@then('the worker has {cpu:d} thousandths of a core in rack "{rack}"')
def step_worker(context, cpu, rack):
    assert context.result.capacity.cpu_milli == cpu
    assert context.result.rack == rack


@then('the worker is ready')
def step_ready(context):
    assert context.result.is_ready


@given(
    'an entry node with queue "{queue}" at "{host}" under "{prefix}" with '
    'key "{key}"'
)
def step_entry(context, queue, host, prefix, key):
    context.time = 0.0
    policies = PolicyCache(lambda: context.time, CONFIG_VALIDITY_S)
    configure(policies)
    context.node = FakeNode()
    context.arrives_s = None
    context.ingress = Ingress(policies, context.node, WallClock(0.0), FakeLog())
    found = policies.find_route(host, prefix)
    assert (found.host, found.path_prefix) == (host, prefix)
    assert key in policies.by_key


@given('the queue is open to all')
def step_open_queue(context):
    document = copy.deepcopy(CONFIG)
    document['version'] += 1
    document['routes'][0]['public'] = True
    policies = context.ingress.policies
    assert policies.apply(decode_config(_item(json.dumps(document).encode())))


@given('an entry node without a configuration')
def step_entry_empty(context):
    context.node = FakeNode()
    context.arrives_s = None
    policies = PolicyCache(float, CONFIG_VALIDITY_S)
    context.ingress = Ingress(policies, context.node, WallClock(0.0), FakeLog())


@given('a configuration that arrives {seconds:g} s after a request')
def step_arrives(context, seconds):
    context.arrives_s = seconds


@given('a configuration that is overdue')
def step_overdue(context):
    context.ingress.config_due_at = 0.0


@then('the response came after {seconds:g} s')
def step_response_time(context, seconds):
    assert round(context.took_s - seconds, 2) == 0, context.took_s


@given('the coordinator replies with {reply}')
def step_coordinator_replies(context, reply):
    context.node.gateway.reply = REPLIES[reply]


@given('the node is leaving')
def step_leaving(context):
    context.ingress.is_leaving = True


@when('a caller sends POST "{path}" with {job}')
def step_post(context, path, job):
    key = 'k1'
    body = json.dumps(JOBS.get(job, JOB)).encode()
    if job.startswith('key '):
        key = job.removeprefix('key ').strip('"')
    elif job == 'a body that is not JSON':
        body = b'{"spec":'
    elif job == 'a body that is deeply nested':
        body = _nested(JOB, 2000)
    _send(context, 'POST', path, body, key=key)


@when('a caller sends half a job and disconnects')
def step_half_body(context):
    half = {'type': 'http.request', 'body': b'{"sp', 'more_body': True}
    _send(
        context,
        'POST',
        '/q/5c0e7a21d94b36f8',
        events=[half, DISCONNECT],
    )
    assert not context.sent


@when('a caller sends GET "{path}" with key "{key}"')
def step_get(context, path, key):
    _send(context, 'GET', path, key=key)


@when('a caller sends DELETE "{path}" with key "{key}"')
def step_delete(context, path, key):
    _send(context, 'DELETE', path, key=key)


@when('a caller sends PUT "{path}" with key "{key}"')
def step_put(context, path, key):
    _send(context, 'PUT', path, key=key)


@when('a caller sends GET "{path}" with key ""')
def step_get_no_key(context, path):
    _send(context, 'GET', path, key='')


@when('{seconds:g} s pass without confirmation from the store')
def step_no_confirmation(context, seconds):
    context.time += seconds


@then('the response status is {status:d}')
def step_status(context, status):
    assert context.sent[0]['status'] == status, context.sent


@then('the response status is {status:d} with a Retry-After header')
def step_status_retry(context, status):
    assert context.sent[0]['status'] == status, context.sent
    assert 'retry-after' in {
        name.decode() for name, _ in context.sent[0]['headers']
    }


@then('the caller is asked to return after {seconds:d} s')
def step_return_after(context, seconds):
    headers = dict(context.sent[0]['headers'])
    assert headers[b'retry-after'] == str(seconds).encode(), headers


@then('the coordinator received no request')
def step_no_request(context):
    assert not context.node.gateway.requests


@then('the coordinator received a job of {steps:d} steps for "{team}"')
def step_submitted(context, steps, team):
    assert len(context.node.gateway.requests) == 1
    request = context.node.gateway.requests[0]
    assert isinstance(request, SubmitJob)
    assert not isinstance(request, CancelJob)
    assert len(request.spec.steps) == steps
    assert request.spec.steps[1].after == (0,)
    assert request.spec.tenant == team


@then('the body has "{field}" "{value}"')
def step_body(context, field, value):
    assert json.loads(context.sent[1]['body'])[field] == value


@then('the response closes the connection')
def step_closed(context):
    assert (b'connection', b'close') in context.sent[0]['headers']


@given('the records "{first}" and "{second}"')
def step_records(context, first, second):
    context.records = [each.split('=') for each in (first, second)]


@when('they are encoded as the reply to a read from offset {offset:d}')
def step_frame(context, offset):
    body = b''.join(
        encode_record(key, value.encode()) for key, value in context.records
    )
    head = (offset + 2).to_bytes(8, 'big') + bytes(8)
    context.batch = decode_batch(head + body, offset)


@then('the reply has "{first}" at {at:d} and "{second}" at {then:d}')
def step_batch(context, first, at, second, then):
    found = [
        (f'{item.key}={item.blob.decode()}', item.offset)
        for item in context.batch.items
    ]
    assert found == [(first, at), (second, then)]


@given('the platform responds to an append with {response}')
@given('the platform responds to an order with {response}')
def step_platform_responds(context, response):
    context.http = FakeHttp(_response(response))


@given('the platform responds with two pages of newest records')
def step_pages(context):
    context.http = FakeHttp(
        _response(
            '200 {"items":[{"key":"a","value":"MQ==","offset":3}],'
            '"hasMore":true,"end":5}'
        ),
        _response(
            '200 {"items":[{"key":"b","value":"Mg==","offset":5}],'
            '"hasMore":false,"end":6}'
        ),
    )


@when('a record is appended')
def step_append(context):
    store = StoreClient(context.http, 'store')
    context.result = asyncio.run(
        store.append('keyed.t', [('k', b'v')], timeout_s=1.0)
    )


@when('records are read')
def step_read(context):
    store = StoreClient(context.http, 'store')
    context.result = asyncio.run(
        store.read_from('keyed.t', 0, wait_s=0.0, timeout_s=1.0)
    )


@then('outcome "{unknown}" has the effect of "{known}"')
def step_effect(context, unknown, known):
    effects = [
        find_handler(FinishedRow(1, 't', 1, how, '').to_ended_row().outcome)
        for how in (unknown, known)
    ]
    assert effects[0] is effects[1]


@then('outcome "{how}" is decoded as {outcome}')
def step_outcome(context, how, outcome):
    row = FinishedRow(1, 't', 1, how, '').to_ended_row()
    assert row.outcome.value == outcome, row


@when('the newest records are read')
def step_newest(context):
    store = StoreClient(context.http, 'store')
    context.result = asyncio.run(store.read_newest('keyed.t', timeout_s=1.0))


@then('keys "{first}" and "{second}" are read, and the end is {end:d}')
def step_newest_keys(context, first, second, end):
    assert [item.key for item in context.result.items] == [first, second]
    assert context.result.end == end


@when('a run is started')
def step_start(context):
    client = WorkerClient(context.http)
    order = StartOrder('t', 1, 'text', 9, 1)
    context.result = asyncio.run(client.start(WORKER, order))


@when('a lease is renewed')
def step_renew(context):
    client = WorkerClient(context.http)
    context.result = asyncio.run(client.renew(WORKER, Renewal(1, 0)))


@then('the result is appended up to {end:d}')
def step_appended(context, end):
    assert context.result.end == end


@then('the result is store-rejected, expecting {seq:d}')
def step_expected_seq(context, seq):
    assert context.result.name == 'store-rejected'
    assert context.result.fields['expected'] == seq


@then('the result is log-unavailable, certainly not done')
def step_nothing_done(context):
    assert context.result.name == 'log-unavailable'
    assert context.result.fields['done'] is False


@then('the result is log-unavailable, possibly done')
def step_possibly_done(context):
    assert context.result.name == 'log-unavailable'
    assert context.result.fields['done'] is None


@then('the result is clock {clock:d}')
def step_clock(context, clock):
    assert context.result == clock


@then('the result is refused as {cause}')
def step_cause(context, cause):
    assert context.result.name == 'order-refused', context.result
    assert context.result.fields['cause'] == cause


@then('the result is records-refused')
def step_records_refused(context):
    assert context.result.name == 'records-refused', context.result


@then('the result is store-rejected')
def step_store_rejected(context):
    assert context.result.name == 'store-rejected'


@then('the result is worker-unreachable')
def step_unreachable(context):
    assert context.result.name == 'worker-unreachable', context.result


@then('run {run:d} of "{task}" is at {percent:d} percent')
def step_running(context, run, task, percent):
    row = context.result.running[0]
    assert (row.task, row.run, row.percent) == (task, run, percent)


@then('row {number:d} is the end of run {run:d} of "{task}" as "{outcome}"')
def step_ended(context, number, run, task, outcome):
    row = context.result.ended[0]
    assert (row.seq, row.run) == (number, run)
    assert (row.task, row.outcome.value) == (task, outcome)


@given(
    'bounds in the settings of {lease} ms for leases and {stop} ms for stops'
)
def step_worker_bounds(context, lease, stop):
    context.settings_text = SETTINGS.replace(
        'revokeMs = 5000',
        f'revokeMs = 5000\nholdMaxMs = {lease}\nstopMs = {stop}',
    )


@then(
    'workers grant leases of up to {lease:d} ms and kill a run within '
    '{stop:d} ms'
)
def step_worker_bounds_read(context, lease, stop):
    bounds = context.result.worker_bounds
    assert (bounds.max_lease_ms, bounds.max_stop_ms) == (lease, stop)
