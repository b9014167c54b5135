"""Steps about loading the records while the topic is being fenced."""

from behave import given, then, when

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.fenced_log import PRODUCER_NAME, FencedLog
from berylspread.coordinator.interface import Producer
from berylspread.coordinator.loading import fence_and_read
from berylspread.kernel.errors import Failure
from berylspread_standins.coordinated.store import StoreStandin, StoreView

TOPIC = 'jobs'
FORMER = Producer(PRODUCER_NAME, 1, 1)
EPOCH = 2


def _records(text):
    pairs = (pair.split('=') for pair in text.split())
    return [(key, value.encode()) for key, value in pairs]


class RacingView:
    """A view of a store in which other calls land before the first append."""

    def __init__(self, store):
        self.view = StoreView(store)
        self.read_newest = self.view.read_newest
        self.read_from = self.view.read_from
        self.before_append = []

    async def append(self, topic, records, **options):
        while self.before_append:
            # After the read, which takes as long.
            await self.view.read_newest(topic, timeout_s=1)
            self.before_append.pop(0)()
        return await self.view.append(topic, records, **options)


@given('the records "{text}"')
def step_records(context, text):
    context.store = StoreStandin()
    context.store.append(TOPIC, _records(text))
    context.view = RacingView(context.store)


@given('the change "{text}" of the former epoch lands before the fence')
def step_late_change(context, text):
    context.view.before_append.append(
        lambda: context.store.append(TOPIC, _records(text), FORMER)
    )


@given('the history is dropped before the fence')
def step_drop_history(context):
    context.view.before_append.append(lambda: context.store.forget(TOPIC))


@given('the first reply to the fence is lost')
def step_lose_reply(context):
    context.view.view.lose_answers = 1


@given('the topic is fenced by epoch {epoch:d}')
def step_fenced(context, epoch):
    context.store.append(
        TOPIC, _records('x=1'), Producer(PRODUCER_NAME, epoch, 1)
    )


@when('a successor loads the records')
def step_load(context):
    async def load():
        log = FencedLog(context.view, TOPIC, EPOCH, DecisionLog('n0'))
        return await fence_and_read(log, 'workers')

    context.loaded = context.run(load())


@then('it has loaded "{text}"')
def step_loaded(context, text):
    loaded = {
        item.key: item.blob
        for item in context.loaded.jobs.items
        if item.key != 'epoch'
    }
    assert loaded == dict(_records(text)), loaded


@then('the load has failed')
def step_failed(context):
    assert isinstance(context.loaded, Failure), context.loaded
