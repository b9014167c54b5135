"""Steps for permission requests: their nodes and their workers."""

import asyncio
import collections
import math

import msgspec
from behave import given, then, when

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.fleet import Run, Stage
from berylspread.coordinator.interface import Permissions
from berylspread.coordinator.lookahead import find_upcoming_steps
from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import (
    Job,
    PermissionTerms,
    Phase,
    Queue,
    StepSpec,
    StepTickets,
)
from berylspread.coordinator.permit_choice import (
    DEFAULT_PERMITTED_SHARE,
    FleetView,
    PermittedShares,
    choose_requests,
)
from berylspread.coordinator.permits import PermissionRequester, RequestingNodes
from berylspread.kernel.clock import now
from berylspread.kernel.turns import complete
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.advisor import PermissionServiceStandin
from berylspread_standins.coordinated.fleet import CAPACITY, TASK, WALL_MS, job
from features.coordinator.cell import make_worker, runs_of, submit_spec

NAMES = ('w1', 'w2', 'w3')
VALID_MS = 2000.0
SETTLE_S = 3.0
WATCH_S = 0.01
LONGEST_WATCH_S = 60.0
#: When other jobs were accepted, relative to the job of a scenario.
ACCEPTED_MS = {'older': -1000, 'later': 1000}


@given('nodes "a", "b" and "c" that send requests')
def step_nodes(context):
    context.nodes = RequestingNodes()
    for name in ('a', 'b', 'c'):
        context.nodes.record_presence(name, 0.0)


@given('replies through "{node}" take {seconds:g} s longer')
def step_longer(context, node, seconds):
    for _ in range(20):
        context.nodes.record_delay(node, seconds / 5)


@given('"{node}" was last heard of {seconds:g} s ago')
def step_heard(context, node, seconds):
    context.nodes.record_presence(node, -seconds)


@when('{count:d} requests of {cost:g} s are sent')
def step_send(context, count, cost):
    for _ in range(count):
        context.chosen = context.nodes.choose_node(cost, 0.0)
        assert context.chosen is not None


@then('a request of {cost:g} s is answered within {seconds:g} s')
def step_answered(context, cost, seconds):
    _, done_at = context.nodes.choose_node(cost, 0.0)
    assert done_at <= seconds, done_at


@then('a request of {cost:g} s has to wait')
def step_waits(context, cost):
    assert context.nodes.choose_node(cost, 0.0) is None


@then('the chosen node is not "{node}"')
def step_not(context, node):
    assert context.chosen[0] != node


@then('no node is chosen')
def step_none(context):
    assert context.nodes.choose_node(0.04, 0.0) is None


def _step(count, terms, **fields):
    queue = Queue('q', 'desk', permission_terms=terms)
    spec = StepSpec(count, TASK, estimate_ms=1000, **fields)
    step = Job(job('a', spec, queue=queue)).steps[0, 0]
    step.tickets = StepTickets()
    return step


def _fleet(context, moment):
    return FleetView(
        {worker.name: worker for worker in context.workers}, moment
    )


def _send_requests(context, moment, *, is_first=False, is_scarce=False):
    context.requests = []
    tickets = context.step.tickets
    for names in choose_requests(
        context.step,
        _fleet(context, moment),
        DEFAULT_PERMITTED_SHARE,
        is_first=is_first,
        is_scarce=is_scarce,
    ):
        tickets.begin_request(names)
        context.requests.append(names)


@given(
    'a step of {tasks:d} tasks with tickets for "w1" until {first:g} s and '
    '"w2" until {second:g} s'
)
def step_tickets(context, tasks, first, second):
    context.step = _step(tasks, PermissionTerms(30.0, 1.0, 2000.0))
    context.step.tickets.by_worker = {'w1': ('t', first), 'w2': ('t', second)}


@given(
    'it has a ticket for "w1" until {until:g} s and all workers without room'
)
def step_ticket_without_room(context, until):
    context.step.tickets.by_worker = {'w1': ('t', until)}
    context.step.tickets.answered_workers = set(NAMES)
    context.workers = [make_worker(name, 0) for name in NAMES]


@given('workers "w1" and "w2" cannot be reached')
def step_unreachable(context):
    for worker in context.workers[:2]:
        worker.is_reachable = False


@given('workers "w1", "w2" and "w3" of which "{unknown}" are new')
def step_workers(context, unknown):
    context.step.tickets.answered_workers = set(NAMES) - set(unknown.split())
    context.workers = [make_worker(name) for name in NAMES]
    for task in context.step.tasks:
        if task.phase is Phase.placed:
            worker = context.workers[NAMES.index(task.worker)]
            worker.add_run(Run(task, worker, Stage.running, 0.0))


@given('workers "w1", "w2" and "w3" of which "" are new')
def step_workers_known(context):
    step_workers(context, '')


@given(
    'a step of {tasks:d} tasks whose requests take {base:g} ms and {each:g} ms '
    'a worker'
)
def step_terms(context, tasks, base, each):
    context.step = _step(tasks, PermissionTerms(base, each, 2000.0))


@given(
    'a gang of {tasks:d} tasks for one rack whose requests take {base:g} ms '
    'and {each:g} ms a worker'
)
def step_gang(context, tasks, base, each):
    terms = PermissionTerms(base, each, 2000.0)
    context.step = _step(tasks, terms, gang=True, same_rack=True)


@given('{count:d} workers of which each has room for {room:d} task')
@given('{count:d} workers of which each has room for {room:d} tasks')
def step_fleet(context, count, room):
    context.workers = [
        make_worker(f'w{number}', room) for number in range(count)
    ]


@given(
    '{count:d} workers in racks of {size:d} of which each has room for '
    '{room:d} tasks'
)
def step_racks(context, count, size, room):
    context.workers = [
        make_worker(f'w{number}', room, rack=f'r{number % (count // size)}')
        for number in range(count)
    ]


@given('worker "{name}" has room for {room:d} tasks')
def step_room(context, name, room):
    for worker in context.workers:
        if worker.name == name:
            worker.free = TASK * room


@when('the workers are replaced by "w4", "w5" and "w6"')
def step_replace(context):
    context.workers = [make_worker(name) for name in ('w4', 'w5', 'w6')]


@when('the step, which is {place} in its queue, sends requests at {moment:g} s')
def step_send_in_turn(context, place, moment):
    _send_requests(context, moment, is_first=place == 'first')


@when('the step sends requests at {moment:g} s while the service is scarce')
def step_send_scarce(context, moment):
    _send_requests(context, moment, is_scarce=True)


@then('the permission service is {state}')
def step_scarce(context, state):
    assert context.nodes.is_scarce(0.1) == (state == 'scarce')


@when('{count:d} such steps send requests through nodes "a", "b" and "c"')
def step_send_in_burst(context, count):
    context.requests = []

    async def ask(node, step, workers, timeout_s):
        context.requests.append(workers)
        return Permissions({}, 2.0)

    async def send():
        requester = PermissionRequester(
            ask, int, DecisionLog('n', lambda line: None)
        )
        for node in ('a', 'b', 'c'):
            requester.nodes.record_presence(node, 0.0)
        by_name = _fleet(context, 0.0).by_name
        fleet = FleetView(by_name, 0.0, requester.promises)
        terms = context.step.job.spec.queue.permission_terms
        for _ in range(count):
            requester.request_if_needed(
                _step(len(context.step.tasks), terms), fleet
            )
        assert requester.promises.milli_by_worker
        await asyncio.sleep(0.1)
        context.promises = requester.promises

    context.run(send())


@then('no worker is named twice')
def step_named_once(context):
    names = [name for names in context.requests for name in names]
    assert len(context.requests) > 1
    assert len(names) == len(set(names)), names


@then('nothing is promised once they have replies')
def step_no_promises(context):
    assert not context.promises.milli_by_worker


@when('the step sends requests at {moment:g} s')
def step_send_requests(context, moment):
    _send_requests(context, moment)


@when(
    'the step sends requests at {moment:g} s and only "{good}" is still '
    'permitted'
)
def step_send_again(context, moment, good):
    async def request_permissions_via(node, step, workers, timeout_s):
        return Permissions({good: 'u'}, 2.0)

    async def request():
        requester = PermissionRequester(
            request_permissions_via, list, DecisionLog('n', lambda line: None)
        )
        requester.nodes.record_presence('a', moment)
        requester.request_if_needed(context.step, _fleet(context, moment))
        await asyncio.gather(*requester.tasks)

    context.run(request())


class CountedWorkers(collections.UserDict):
    """Workers by name; counts the iterations over them and the reads."""

    iterations = 0
    reads = 0

    def values(self):
        self.iterations += 1
        return super().values()

    def __getitem__(self, name):
        self.reads += 1
        return super().__getitem__(name)


@given('every node is busy')
def step_busy(context):
    context.busy_until = 10.0


@given('all workers were named in earlier requests')
def step_all_named(context):
    context.step.tickets.answered_workers = {
        worker.name for worker in context.workers
    }


@when('the step is examined {times:d} times at once')
def step_examine_often(context, times):
    context.counted = CountedWorkers(_fleet(context, 0.0).by_name)

    async def request_permissions_via(node, step, workers, timeout_s):
        return Permissions({}, 2.0)

    async def request():
        requester = PermissionRequester(
            request_permissions_via, list, DecisionLog('n', lambda _: None)
        )
        requester.nodes.record_presence('a', 0.0)
        requester.nodes.busy_until['a'] = getattr(context, 'busy_until', 0.0)
        for _ in range(times):
            # Each pass of the placement has a view of its own.
            requester.request_if_needed(
                context.step, FleetView(context.counted, 0.0)
            )

    context.run(request())


@then('no worker was examined')
def step_not_examined(context):
    assert not context.counted.iterations, context.counted.iterations
    assert not context.counted.reads, context.counted.reads


@then('the workers were examined once')
def step_examined_once(context):
    assert context.counted.iterations <= 1, context.counted.iterations


@then('"{name}" has no ticket')
def step_no_ticket(context, name):
    held = context.step.tickets.by_worker
    assert set(held) == set(NAMES) - {name, 'w3'}, held


@then('the requests name "{named}"')
def step_names(context, named):
    names = [name for request in context.requests for name in request]
    assert names == named.split(), names


@then('the requests name ""')
def step_names_none(context):
    assert not context.requests, context.requests


@then('it sends {count:d} request about {workers:d} workers')
@then('it sends {count:d} requests about {workers:d} workers')
def step_sends(context, count, workers):
    assert len(context.requests) == count, context.requests
    names = {name for request in context.requests for name in request}
    assert len(names) == workers, len(names)


@then('"{name}" is in the first request')
def step_first(context, name):
    assert name in context.requests[0], context.requests


@then('the first request names {count:d} racks completely')
def step_whole_racks(context, count):
    named = set(context.requests[0])
    racks = {}
    for worker in context.workers:
        racks.setdefault(worker.entry.rack, set()).add(worker.name)
    whole = [rack for rack, names in racks.items() if names <= named]
    assert len(whole) == count, whole


@given(
    'a queue that permits {good:d} of {count:d} workers in {times:d} replies'
)
def step_learn(context, good, count, times):
    context.permitted_shares = PermittedShares()
    for _ in range(times):
        context.permitted_shares.record_reply('q', count, good)


@then(
    'the expected share of permitted workers is between {least:g} and {most:g}'
)
def step_share(context, least, most):
    assert least <= context.permitted_shares.expected_share('q') <= most, (
        context.permitted_shares.expected_share('q')
    )


@given(
    'a job of two steps whose requests take {base:g} ms and {each:g} ms a '
    'worker'
)
def step_two_steps(context, base, each):
    queue = Queue(
        'q', 'desk', permission_terms=PermissionTerms(base, each, 2000.0)
    )
    first = StepSpec(2, TASK, estimate_ms=4000)
    second = StepSpec(2, TASK, estimate_ms=4000, after=(0,))
    context.job = Job(job('a', first, second, queue=queue))
    context.runs = {}


@given('the tasks of its first step are {stage} and take {seconds:g} s')
def step_first_runs(context, stage, seconds):
    context.expected_s = seconds
    if stage == 'waiting':
        return
    step = context.job.steps[0, 0]
    for task in step.tasks:
        step.waiting_tasks.remove(task)
        task.phase = Phase.placed
        worker = make_worker('w1')
        context.runs[task.name] = Run(task, worker, Stage(stage), 0.0)


@when('{seconds:g} s of them have passed')
def step_passed(context, seconds):
    context.upcoming = complete(
        find_upcoming_steps(
            context.job,
            lambda task: context.runs.get(task.name),
            lambda run: context.expected_s,
            seconds,
        )
    )


@then('the second step sends requests {when}')
def step_sends_when(context, when):
    expected = [context.job.steps[0, 1]] if when == 'at once' else []
    assert context.upcoming == expected, context.upcoming


@given(
    'a step of {count:d} tasks, at most {limit:d} on a worker, of which 2 run '
    'on "{first}" and "{second}"'
)
def step_limited(context, count, limit, first, second):
    context.step = _step(
        count, PermissionTerms(30.0, 1.0, VALID_MS), max_per_worker=limit
    )
    for worker in (first, second):
        task = context.step.waiting_tasks.popleft()
        task.phase = Phase.placed
        task.worker = worker


@given(
    'it has tickets for "w1" and "w2" until {valid:g} s and "w3" until '
    '{expired:g} s'
)
def step_three_tickets(context, valid, expired):
    context.step.tickets.by_worker = {
        'w1': ('t', valid),
        'w2': ('t', valid),
        'w3': ('t', expired),
    }


@given(
    'a cell of {nodes:d} nodes and {workers:d} workers whose permissions take '
    '{base:g} ms and {each:g} ms a worker'
)
def step_slow_permissions(context, nodes, workers, base, each):
    terms = PermissionTerms(base, each, VALID_MS)
    context.queue = Queue('q', 'desk', priority=1, permission_terms=terms)

    async def start():
        context.cell = CoordinatedFleet(workers)
        for index in range(nodes):
            # The service handles the requests of each node in turn.
            context.cell.advisor = PermissionServiceStandin(
                base_s=base / 1000, each_s=each / 1000
            )
            context.cell.start_node(f'n{index}', queue=context.queue)
        await asyncio.sleep(SETTLE_S)

    context.run(start())


@given('worker "{name}" has room for {count:d} tasks only')
def step_small_worker(context, name, count):
    entry = context.cell.workers[name].entry
    context.cell.publish(msgspec.structs.replace(entry, capacity=TASK * count))


@when(
    'a long-running job "{job_id}" is submitted with {count:d} tasks as large '
    'as {size:d} others, at most {limit:d} on a worker'
)
def step_submit_limited(context, job_id, count, size, limit):
    for index in range(count):
        name = f'{job_id}.0.0.{index}'
        context.cell.work[name] = (math.inf, 'failed')
    step = StepSpec(count, TASK * size, long_running=True, max_per_worker=limit)
    spec = job(job_id, step, queue=context.queue)
    assert isinstance(submit_spec(context, spec), JobAccepted)
    context.run(asyncio.sleep(SETTLE_S))
    assert len(context.cell.runs()) == count


@when(
    'a long-running job "{job_id}" is submitted with a task as large as '
    '{size:d} others'
)
def step_submit_large(context, job_id, size):
    step_submit_limited(context, job_id, 1, size, 0)


@when('a {age} job waits for which no worker has room')
@when('an {age} job waits for which no worker has room')
def step_wait_for_room(context, age):
    spec = job(
        age,
        StepSpec(1, CAPACITY + TASK, long_running=True),
        queue=context.queue,
        accepted_ms=WALL_MS + ACCEPTED_MS[age],
    )
    assert isinstance(submit_spec(context, spec), JobAccepted)
    context.run(asyncio.sleep(SETTLE_S))


@when('the worker of job "{job_id}" shrinks to room for {count:d} tasks')
def step_shrink(context, job_id, count):
    step_small_worker(context, runs_of(context, job_id)[-1].worker, count)
    context.run(asyncio.sleep(1))


@when('the task of job "{job_id}" on "{worker}" fails')
def step_fail_on(context, job_id, worker):
    context.failed_run = next(
        log
        for log in runs_of(context, job_id)
        if log.worker == worker and log.ended_at is None
    )
    context.failed_run.left_s = 0.0


@when('the task of job "{job_id}" fails')
def step_fail_now(context, job_id):
    step_fail_on(context, job_id, runs_of(context, job_id)[-1].worker)


@then('that task starts again within {seconds:g} s')
def step_starts_again(context, seconds):
    failed, cell = context.failed_run, context.cell

    async def wait():
        began = now()
        while cell.runs(failed.task)[-1] is failed:
            assert now() - began < LONGEST_WATCH_S, 'it did not start'
            await asyncio.sleep(WATCH_S)

    context.run(wait())
    gap_s = cell.runs(failed.task)[-1].started_at - failed.ended_at
    assert gap_s <= seconds, gap_s
