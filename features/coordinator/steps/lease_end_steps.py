"""Steps about workers that need time to kill what runs."""

from behave import given

from berylspread_standins.coordinated import CoordinatedFleet

MS_PER_S = 1000


@given(
    'a cell of {nodes:d} nodes and {workers:d} workers that need {seconds:g} s '
    'to kill a run'
)
def step_cell(context, nodes, workers, seconds):
    async def start():
        context.cell = CoordinatedFleet(workers)
        context.cell.max_stop_ms = round(seconds * MS_PER_S)
        for worker in context.cell.workers.values():
            worker.lease.kill_s = seconds
        for index in range(nodes):
            context.cell.start_node(f'n{index}')

    context.run(start())


@given('calls to workers that are cut off fail after {seconds:g} s')
def step_loss_time(context, seconds):
    for worker in context.cell.workers.values():
        worker.loss_s = seconds


@given('the clocks of workers run at {rate:g} of the usual rate')
def step_clock_rate(context, rate):
    for worker in context.cell.workers.values():
        worker.lease.clock.rate = rate
