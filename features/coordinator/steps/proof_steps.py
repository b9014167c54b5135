"""Steps for the proofs that a run is over or has never started."""

import asyncio

from behave import given, then, when

from berylspread.coordinator.authority import AUTHORITY_GRACE_S
from berylspread.coordinator.leader_record import (
    LeaderRecord,
    decode_record,
)
from berylspread.coordinator.messages import CancelJob, JobAccepted, SubmitJob
from berylspread.coordinator.model import StepSpec
from berylspread.coordinator.records import STEP_PREFIX
from berylspread.coordinator.service import NoSuchJob
from berylspread.kernel.clock import now
from berylspread.kernel.errors import WorkerUnreachable
from berylspread.model import Resources
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import TOPICS, job
from berylspread_standins.exchange import detach
from features.coordinator.cell import (
    cut_off_node,
    find_coordinator,
    submit_spec,
)

SMALL_TASK = Resources(5, 5)
ENDLESS_S = 1000.0
MS_PER_S = 1000
POLL_S = 0.002
FIRST_CONTACT_LIMIT_S = 5.0
MANY = 1000


class FaultyCalls:
    """One node's calls to the workers.

    While ``may_go_on`` is not set, calls wait, as in a process that stands
    still.  The next renewal is carried out ``late_s`` late without a reply; if
    ``is_for_ends`` the next one that acknowledges ends.
    """

    def __init__(self, pool):
        self.pool = pool
        self.late_s = 0.0
        self.is_for_ends = False
        self.may_go_on = asyncio.Event()
        self.may_go_on.set()

    async def start(self, entry, order):
        await self.may_go_on.wait()
        return await self.pool.start(entry, order)

    async def stop(self, entry, task, run, token):
        await self.may_go_on.wait()
        return await self.pool.stop(entry, task, run, token)

    async def set_pace(self, entry, task, run, percent, token):
        await self.may_go_on.wait()
        return await self.pool.set_pace(entry, task, run, percent, token)

    async def renew(self, entry, renewal):
        await self.may_go_on.wait()
        if not self.late_s or (self.is_for_ends and not renewal.acked):
            return await self.pool.renew(entry, renewal)
        late_s, self.late_s = self.late_s, 0.0
        detach(self._renew_late(entry, renewal, late_s))
        await asyncio.sleep(renewal.wait_ms / MS_PER_S + renewal.patience_s)
        return WorkerUnreachable('no answer', sent=True)

    async def _renew_late(self, entry, renewal, late_s):
        await asyncio.sleep(late_s)
        await self.pool.renew(entry, renewal)


class FaultyReplies:
    """One node's calls to the store; replies about steps wait likewise."""

    def __init__(self, view):
        self.view = view
        self.may_go_on = asyncio.Event()
        self.may_go_on.set()

    async def append(self, topic, records, **options):
        reply = await self.view.append(topic, records, **options)
        if any(key.startswith(STEP_PREFIX) for key, _ in records):
            await self.may_go_on.wait()
        return reply

    async def read_newest(self, topic, **options):
        return await self.view.read_newest(topic, **options)

    async def read_from(self, topic, offset, **options):
        return await self.view.read_from(topic, offset, **options)


def _start_cell(context, nodes, workers, hold_max_s=None):
    async def start():
        context.cell = CoordinatedFleet(workers)
        context.queue = job('any').queue
        context.calls, context.replies_of = {}, {}
        for worker in context.cell.workers.values():
            if hold_max_s is not None:
                worker.lease.hold_max_ms = int(hold_max_s * MS_PER_S)
        for index in range(nodes):
            _start_node(context, f'n{index}')

    context.run(start())


def _start_node(context, name):
    def wrap_workers(pool):
        context.calls[name] = FaultyCalls(pool)
        return context.calls[name]

    def wrap_store(view):
        context.replies_of[name] = FaultyReplies(view)
        return context.replies_of[name]

    context.cell.start_node(
        name, wrap_workers=wrap_workers, wrap_store=wrap_store
    )


@given('a cell of {nodes:d} nodes and {workers:d} workers with faulty calls')
def step_faulty_cell(context, nodes, workers):
    _start_cell(context, nodes, workers)


@given(
    'a cell of {nodes:d} nodes and {workers:d} worker that grants leases of '
    '{longest:g} s'
)
def step_longest_lease(context, nodes, workers, longest):
    _start_cell(context, nodes, workers, longest)


def _small_tasks(context, job_id, count):
    for index in range(count):
        context.cell.work[f'{job_id}.0.0.{index}'] = (ENDLESS_S, 'done')
    return job(job_id, StepSpec(count, SMALL_TASK, estimate_ms=1000))


@when('a job "{job_id}" of {count:d} small endless tasks is submitted')
def step_small_tasks(context, job_id, count):
    spec = _small_tasks(context, job_id, count)
    assert isinstance(submit_spec(context, spec), JobAccepted)


@when('a job "{job_id}" of {count:d} small endless tasks is handed in')
def step_hand_in(context, job_id, count):
    spec = _small_tasks(context, job_id, count)
    service = context.cell.nodes[find_coordinator(context)].node.service

    async def hand_in():
        detach(service.submit(SubmitJob(spec)))

    context.run(hand_in())


@when('worker "{name}" is out of touch')
def step_cut(context, name):
    context.cell.workers[name].is_cut = True


@when('worker "{name}" is in touch again')
def step_mend(context, name):
    context.cell.workers[name].is_cut = False


@when('worker "{name}" loses its life and begins another')
def step_reborn(context, name):
    async def restart():
        context.cell.workers[name].restart()

    context.run(restart())


@when('worker "{name}" is out of touch once the next coordinator reaches it')
def step_cut_after_contact(context, name):
    async def watch():
        ends_at = now() + FIRST_CONTACT_LIMIT_S
        while not _is_reached(context, name):
            assert now() < ends_at, 'the worker is not reached'
            await asyncio.sleep(POLL_S)
        context.cell.workers[name].is_cut = True

    context.run(watch())


def _is_reached(context, name):
    leader = context.cell.leader()
    if leader in {None, context.former}:
        return False
    service = context.cell.nodes[leader].node.service
    worker = service.coordinator.workers.get(name)
    return worker is not None and worker.is_reachable


@when('the coordinator leaves its successor to reach the worker')
def step_leave_reachable(context):
    context.former = find_coordinator(context)
    context.run(context.cell.nodes[context.former].node.leave())


@when("the coordinator's calls to workers stand still")
def step_stand_still(context):
    context.former = find_coordinator(context)
    context.calls[context.former].may_go_on.clear()


@when("the store's replies to the coordinator's placements stand still")
def step_replies_stand_still(context):
    context.former = find_coordinator(context)
    context.replies_of[context.former].may_go_on.clear()


@when('the coordinator is unreachable for all but "{name}"')
def step_unreachable(context, name):
    for node in context.cell.nodes.values():
        if node.name != context.former:
            node.pool.by_name = {
                key: worker
                for key, worker in node.pool.by_name.items()
                if key != name
            }
    cut_off_node(context, context.cell.nodes[context.former])


@when('worker "{name}" joins, which all nodes reach')
def step_join(context, name):
    async def join():
        context.cell.add_worker(name)
        for node in context.cell.nodes.values():
            node.pool.by_name[name] = context.cell.workers[name]

    context.run(join())


@when('the coordinator goes on')
def step_go_on(context):
    context.calls[context.former].may_go_on.set()
    context.replies_of[context.former].may_go_on.set()


@when('the next renewal is carried out {late:g} s late without a reply')
def step_late_renewal(context, late):
    context.calls[find_coordinator(context)].late_s = late


@when('the next acknowledgement is carried out {late:g} s late without a reply')
def step_late_acknowledgement(context, late):
    calls = context.calls[find_coordinator(context)]
    calls.late_s, calls.is_for_ends = late, True


@when('a successor accepts job "{job_id}" while the coordinator is cut off')
def step_accepted_by_successor(context, job_id):
    async def accept():
        former = context.cell.nodes[find_coordinator(context)]
        context.service = former.node.service
        cut_off_node(context, former)
        while context.cell.events('claim')[-1]['epoch'] == 1 or not (
            successor := _find_successor(context, former)
        ):
            await asyncio.sleep(POLL_S)
        return await successor.submit(SubmitJob(job(job_id)))

    assert isinstance(context.run(accept()), JobAccepted)


def _find_successor(context, former):
    services = [
        node.node.service
        for node in context.cell.nodes.values()
        if node is not former and node.node.service is not None
    ]
    return next((each for each in services if each.coordinator.is_loaded), None)


@then('the former coordinator does not answer that job "{job_id}" is unknown')
def step_not_unknown(context, job_id):
    reply = context.run(context.service.cancel(CancelJob(job_id, 'q', 'acme')))
    assert not isinstance(reply, NoSuchJob), reply


@when('the coordinator is cut off until its authority is over')
def step_lose_authority(context):
    former = context.cell.nodes[find_coordinator(context)]
    context.former = former.name
    context.service = former.node.service
    former.view.lose_changes[TOPICS.leader] = MANY
    for source, target in ((former.name, '*'), ('*', former.name)):
        context.cell.peers.network.cut(source, target)
    context.run(asyncio.sleep(AUTHORITY_GRACE_S + 1))
    step_no_authority(context)


@when('its node claims a later epoch')
def step_claim_later(context):
    node = context.cell.nodes[context.former]
    node.view.lose_changes[TOPICS.leader] = 0

    async def claim():
        newest = decode_record(
            context.cell.store.newest(TOPICS.leader).items[0].blob
        )
        return await node.node.leadership.take_over(newest.epoch)

    context.claimed = context.run(claim())
    assert isinstance(context.claimed, LeaderRecord), context.claimed


@then('the former coordinator of that node has no authority')
def step_no_authority(context):
    async def find():
        return context.service.coordinator.authority.is_confirmed(
            AUTHORITY_GRACE_S
        )

    assert not context.run(find())


@then('job "{job_id}" has run on {count:d} workers')
def step_moved(context, job_id, count):
    logs = context.cell.runs()
    workers = {log.worker for log in logs if log.task.startswith(f'{job_id}.')}
    assert len(workers) == count, workers


@when('all workers are in touch again')
def step_mend_all(context):
    for worker in context.cell.workers.values():
        worker.is_cut = False


@when('the worker drains')
def step_drain(context):
    async def drain():
        context.cell.drain('w0')

    context.run(drain())


@then('job "{job_id}" has run on worker "{name}"')
def step_ran_on(context, job_id, name):
    assert any(
        log.worker == name and log.task.startswith(f'{job_id}.')
        for log in context.cell.runs()
    )
