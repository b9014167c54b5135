"""Steps for a machine that is suspended; its steady clock does not count it."""

import asyncio

from behave import given, when

from berylspread.coordinator.messages import JobAccepted
from berylspread.coordinator.model import StepSpec
from berylspread.kernel.clock import now
from berylspread.kernel.errors import WorkerUnreachable
from berylspread_standins.coordinated import CoordinatedFleet
from berylspread_standins.coordinated.fleet import TASK, job
from features.coordinator.cell import submit_spec

ORDER_TIMEOUT_S = 0.8
#: When the machine is suspended, after a report has arrived there.
SUSPENDED_AFTER_S = {'before': 0.0, 'after': 0.02}
#: How long the report is on its way in the process.
READ_S = 0.002


class SuspendedMachine:
    """One node's calls; after a report of some ends its machine is suspended.

    In the meantime the worker starts again, and an order of this node is
    carried out there.  The loop's time does not count the suspension.
    """

    def __init__(self, pool, worker, suspended_s, after_s, ends):
        self.pool = pool
        self.worker = worker
        self.suspended_s = suspended_s
        self.after_s = after_s
        self.ends = ends
        self.counted_s = 0.0
        self.late_order = None
        self.carrying_out = None

    def seconds_since_boot(self):
        return now() + self.counted_s

    async def start(self, entry, order):
        if order.task.startswith('b.') and self.late_order is None:
            self.late_order = order
            await asyncio.sleep(ORDER_TIMEOUT_S)
            return WorkerUnreachable('no answer', sent=True)
        return await self.pool.start(entry, order)

    async def stop(self, *arguments):
        return await self.pool.stop(*arguments)

    async def set_pace(self, *arguments):
        return await self.pool.set_pace(*arguments)

    async def renew(self, entry, renewal):
        report = await self.pool.renew(entry, renewal)
        rows = getattr(report, 'ended', [])
        if self.late_order and not self.counted_s and len(rows) >= self.ends:
            loop = asyncio.get_running_loop()
            loop.call_later(self.after_s, self._suspend)
            await asyncio.sleep(READ_S)
        return report

    def _suspend(self):
        self.counted_s = self.suspended_s
        self.worker.restart()
        self.carrying_out = asyncio.create_task(
            self.worker.start(self.late_order)
        )


@given(
    'a cell of 1 node whose machine is suspended for {seconds:g} s {moment} it '
    'reads a report of {ends:d} ends'
)
def step_cell(context, seconds, moment, ends):
    def wrap_workers(pool):
        worker = context.cell.workers['w0']
        context.machine = SuspendedMachine(
            pool, worker, seconds, SUSPENDED_AFTER_S[moment], ends
        )
        return context.machine

    async def start():
        context.cell = CoordinatedFleet(1)
        context.queue = job('any').queue
        node = context.cell.start_node('n0', wrap_workers=wrap_workers).node
        clock = context.machine.seconds_since_boot
        node.leadership.authority.clock = clock
        node.leadership.writer.claims.clock = clock

    context.run(start())


@when(
    'a job "{job_id}" whose order reaches the worker\'s next life meanwhile '
    'is submitted'
)
def step_submit(context, job_id):
    context.cell.work[f'{job_id}.0.0.0'] = (0.0, 'done')
    spec = job(job_id, StepSpec(1, TASK))
    assert isinstance(submit_spec(context, spec), JobAccepted)
