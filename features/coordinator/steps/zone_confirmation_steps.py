"""Steps about how long a confirmation of the closed zones is trusted."""

from behave import given

from berylspread_platform.settings import PlatformBounds, Settings
from features.coordinator.steps.order_sending_steps import ListedCalls


@given('nodes that start later trust the zones as with a bound of {ms:d} ms')
def step_trust(context, ms):
    bounds = PlatformBounds(evacuate_ms=ms)
    settings = Settings('n', '127.0.0.1', (1, 2), None, None, bounds=bounds)
    context.cell.zones_trust_s = settings.zones_validity_s


@given('a node with listed calls joins')
def step_join(context):
    def wrap_workers(pool):
        context.listed['n0'] = ListedCalls(pool)
        return context.listed['n0']

    async def start():
        context.cell.start_node('n0', wrap_workers=wrap_workers)

    context.run(start())
