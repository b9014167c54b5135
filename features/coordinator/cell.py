"""Helpers of the steps that use a cell of nodes and workers."""

from berylspread.coordinator.fleet import Worker
from berylspread.coordinator.interface import WorkerEntry
from berylspread.coordinator.messages import (
    AskJobStatus,
    JobAccepted,
    JobStatusReply,
    SubmitJob,
)
from berylspread.coordinator.model import PermissionTerms, Queue
from berylspread.kernel.clock import now
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import (
    CAPACITY,
    QUEUE,
    TASK,
    job,
)

TIMEOUT_S = 2.5
REQUEST_INTERVAL_S = 0.05
PERMITTED = Queue(
    'q',
    'desk',
    max_attempts=2,
    permission_terms=PermissionTerms(30.0, 1.0, 2000.0),
)


def make_worker(name, room=None, closed=(), **fields):
    """Return a reachable worker; nothing starts in the ``closed`` zones.

    It has room for ``room`` tasks, or all of its capacity if that is ``None``.
    """
    worker = Worker(
        WorkerEntry(
            worker=name,
            service='desk',
            address=name,
            is_ready=True,
            **{'zone': 'z', 'capacity': CAPACITY, **fields},
        ),
        closed,
    )
    worker.is_reachable = True
    if room is not None:
        worker.free = TASK * room
    return worker


def start_cell(context, nodes, workers, far=0, queue=QUEUE):
    async def start():
        context.cell = CoordinatedFleet(workers)
        context.queue = queue
        for index in range(nodes):
            context.cell.start_node(f'n{index}', queue=queue)
        for index in range(far):
            context.cell.start_node(f'far{index}', is_far=True, queue=queue)

    context.run(start())


async def loop_time():
    return now()


def gateway_of(context):
    return next(iter(context.cell.nodes.values())).node.gateway


def submit_spec(context, spec, timeout_s=TIMEOUT_S):
    async def submit():
        return await gateway_of(context).send_request(
            SubmitJob(spec),
            JobAccepted,
            request=spec.job_id,
            timeout_s=timeout_s,
        )

    return context.run(submit())


def status_of(context, job_id):
    return request_status(context, job_id).status


def request_status(context, job_id):
    async def ask():
        return await gateway_of(context).send_request(
            AskJobStatus(job_id, 'q', ''),
            JobStatusReply,
            request=job_id,
            timeout_s=TIMEOUT_S,
        )

    return context.run(ask())


def find_coordinator(context):
    name = context.cell.leader()
    assert name is not None, 'no single coordinator'
    return name


def find_other_node(context):
    """Return a node that is not the coordinator."""
    return next(
        node
        for node in context.cell.nodes.values()
        if node.node.service is None
    )


def runs_of(context, job_id):
    return [
        log for log in context.cell.runs() if log.task.startswith(f'{job_id}.')
    ]


def worker_of(context, job_id):
    return context.cell.workers[runs_of(context, job_id)[-1].worker]


def submit_batch_job(context, job_id, step, tenant='acme'):
    spec = job(
        job_id, step, queue=Queue('batch', 'desk', priority=2), tenant=tenant
    )
    assert isinstance(submit_spec(context, spec), JobAccepted)


def cut_off_node(context, node):
    node.view.is_cut = True
    for source, target in ((node.name, '*'), ('*', node.name)):
        context.cell.peers.network.cut(source, target)


def reach_worker_alone(context, node, worker):
    """Cut a worker off from all nodes but one."""
    for each in context.cell.nodes.values():
        if each.name != node:
            each.pool.by_name = {
                key: standin
                for key, standin in each.pool.by_name.items()
                if key != worker
            }
