"""Steps for the first reports of workers that start again under their ids."""

import asyncio

from behave import when


@when('all workers are restarted, which ends the calls that wait there')
def step_restart_all(context):
    async def restart():
        for worker in context.cell.workers.values():
            worker.restart()
            worker.has_ended.set()
            context.cell.publish(worker.entry)
        await asyncio.sleep(0)
        for worker in context.cell.workers.values():
            worker.has_ended.clear()

    context.run(restart())
