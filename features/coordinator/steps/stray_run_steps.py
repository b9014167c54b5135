"""Steps for runs that a worker lists and that are not booked there."""

import asyncio

from behave import when

from berylspread.kernel.clock import now
from features.coordinator.cell import find_coordinator

SAMPLE_S = 0.001
LIMIT_S = 5.0


@when(
    '{count:d} orders to worker "{name}" are carried out {late:g} s late '
    'without a reply'
)
def step_late_orders(context, count, name, late):
    orders = context.cell.workers[name].orders
    orders.mute, orders.delay_s = count, late


@when('a stray run on worker "{name}" is listed')
def step_listed(context, name):
    service = context.cell.nodes[find_coordinator(context)].node.service

    async def wait():
        ends_at = now() + LIMIT_S
        while not service.coordinator.workers[name].stray_tasks:
            assert now() < ends_at, 'no report lists a stray run'
            await asyncio.sleep(SAMPLE_S)

    context.run(wait())
