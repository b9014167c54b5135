"""Steps for workers that start again under their ids."""

import asyncio

import msgspec
from behave import given, then, when

from berylspread.coordinator.contacts import (
    Contact,
    decode_contact,
    encode_contact,
)
from berylspread.coordinator.interface import OTHER_INSTANCE, OrderRefused
from berylspread_standins.coordinated import CoordinatedFleet

MS_PER_S = 1000
SAMPLE_S = 0.001
#: How long a reply of a worker is on its way.
REPLY_S = 0.002


@given('workers grant leases of up to {seconds:d} s')
def step_longest_lease(context, seconds):
    for worker in context.cell.workers.values():
        worker.lease.hold_max_ms = seconds * MS_PER_S


@when('all workers are restarted and write their entries')
def step_restart_all(context):
    async def restart():
        for worker in context.cell.workers.values():
            worker.restart()
            context.cell.publish(worker.entry)

    context.run(restart())


@when('the order to stop the run of job "{job_id}" is confirmed')
def step_stop_confirmed(context, job_id):
    async def confirm():
        while not any(
            f'{job_id}.0.0.0' in worker.poisoned
            for worker in context.cell.workers.values()
        ):
            await asyncio.sleep(SAMPLE_S)
        await asyncio.sleep(REPLY_S)

    context.run(confirm())


class FormerAddress:
    """Passes calls to workers on, but for one that goes to a former address."""

    def __init__(self, pool):
        self.pool = pool
        self.redirected = ''
        self.answered = asyncio.Event()

    async def start(self, entry, order):
        if self.redirected == 'order':
            return await self._refuse()
        return await self.pool.start(entry, order)

    async def stop(self, *arguments):
        return await self.pool.stop(*arguments)

    async def set_pace(self, *arguments):
        return await self.pool.set_pace(*arguments)

    async def renew(self, entry, renewal):
        if self.redirected == 'renewal':
            return await self._refuse()
        return await self.pool.renew(entry, renewal)

    async def _refuse(self):
        self.redirected = ''
        await self.answered.wait()
        return OrderRefused('another instance', cause=OTHER_INSTANCE)


@given('a worker whose calls may go to a former address')
def step_former_address(context):
    def wrap(pool):
        context.calls = FormerAddress(pool)
        return context.calls

    async def start():
        context.cell = CoordinatedFleet(1)
        context.cell.start_node('n0', wrap_workers=wrap)

    context.run(start())


@when('the next {call} goes to the former address of the worker')
def step_redirect(context, call):
    context.calls.redirected = call


@when('the worker starts again at another address')
def step_other_address(context):
    async def restart():
        worker = context.cell.workers['w0']
        worker.restart()
        worker.entry = msgspec.structs.replace(worker.entry, address='new')
        context.cell.publish(worker.entry)

    context.run(restart())


@when('another instance refuses that call')
def step_refuse(context):
    context.calls.answered.set()


@when('worker "{name}" announces that it leaves')
def step_announce(context, name):
    async def announce():
        context.cell.drain(name)

    context.run(announce())


@when('worker "{name}" is restarted')
def step_restart(context, name):
    async def restart():
        worker = context.cell.workers[name]
        worker.restart()
        context.cell.publish(worker.entry)

    context.run(restart())


@given('the record "{record}" of a contact')
def step_contact(context, record):
    context.contact = decode_contact(record.encode())


@then('it is of epoch {epoch:d} and its settled life began at {born:d}')
def step_contact_read(context, epoch, born):
    assert context.contact == Contact(epoch, born), context.contact


@then('it is stored as "{record}"')
def step_contact_stored(context, record):
    assert encode_contact(context.contact) == record.encode()
