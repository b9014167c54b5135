"""Steps about appends of one epoch that overtake each other."""

import asyncio

from behave import given, then, when

from berylspread.coordinator.committer import BATCH_DELAY_S, Committer
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.fenced_log import FencedLog
from berylspread.coordinator.model import Job, JobStatus, StepSpec
from berylspread.kernel.clock import WallClock, now
from berylspread.kernel.errors import LogUnavailable
from berylspread_standins.coordinated.fleet import TASK, job
from berylspread_standins.coordinated.store import StoreStandin

TOPIC = 'jobs'
EPOCH = 1
REPLY_S = 0.004


class UnevenView:
    """A view of a store that single appends reach late, or not at all."""

    def __init__(self):
        self.store = StoreStandin()
        #: The records of all appends, in their order.
        self.stored = []
        self.late_s = {}
        self.lost = set()
        self.second_s = 0.0

    async def append(self, topic, records, *, producer, timeout_s):
        if producer.seq in self.lost:
            self.lost.remove(producer.seq)
            await asyncio.sleep(timeout_s)
            return LogUnavailable('no answer')
        uneven_s = self.second_s if producer.seq % 2 else 0.0
        late_s = self.late_s.pop(producer.seq, 0.0)
        await asyncio.sleep(REPLY_S / 2 + uneven_s + late_s)
        reply = self.store.append(topic, records, producer)
        self.stored.extend(records)
        await asyncio.sleep(REPLY_S / 2)
        return reply


@given(
    'a store that takes 4 ms to reply, and {more:d} ms more to every second '
    'append'
)
def step_store(context, more):
    context.view = UnevenView()
    context.view.second_s = more / 1000


@given('append {seq:d} takes {seconds:g} s to arrive')
def step_late(context, seq, seconds):
    context.view.late_s[seq] = seconds


@given('append {seq:d} is lost')
def step_lost(context, seq):
    context.view.lost.add(seq)


@when('{count:d} appends are started as soon as the log takes them')
def step_append(context, count):
    context.took_s = {}

    async def append_all():
        log = FencedLog(context.view, TOPIC, EPOCH, DecisionLog('n0', len))
        for number in range(1, count + 1):
            await log.wait_for_slot()
            _start(context, log, number)
            # Changes arrive all the time.
            await asyncio.sleep(0.01)
        while log.pending:
            await asyncio.sleep(0.01)

    context.run(append_all())


def _start(context, log, number):
    stored = asyncio.get_running_loop().create_future()
    began = now()
    stored.add_done_callback(
        lambda _: context.took_s.update({number: now() - began})
    )
    log.start_append([(str(number), b'x')], stored)


@then('appends {first:d} to {last:d} are stored within {seconds:g} s each')
def step_fast(context, first, last, seconds):
    slow = {
        number: round(took_s, 3)
        for number, took_s in context.took_s.items()
        if first <= number <= last and took_s > seconds
    }
    assert not slow, slow


@then('the store has the records of {count:d} appends in order')
def step_in_order(context, count):
    records = context.view.store.topic(TOPIC).records
    assert [key for key, _ in records] == [
        str(number) for number in range(1, count + 1)
    ]


@when(
    'a job of {count:d} steps ends while the records of its steps are encoded'
)
def step_end_while_encoding(context, count):
    async def store():
        log = FencedLog(context.view, TOPIC, EPOCH, DecisionLog('n0', len))
        committer = Committer(log, WallClock())
        ending = Job(job('a', *(StepSpec(1, TASK) for _ in range(count))))
        for step in ending.steps.values():
            committer.store_tasks(step, step.tasks)
        running = asyncio.create_task(committer.run())
        await asyncio.sleep(BATCH_DELAY_S)
        while not committer.open_changes:
            await asyncio.sleep(0)
        ending.status = JobStatus.succeeded
        ending.release()
        committer.store_job(ending)
        while committer.has_pending_changes():
            await asyncio.sleep(0.01)
        running.cancel()

    context.run(store())


@then('the store gets the end of the job before the removal of any step')
def step_end_first(context):
    keys = [
        key for key, blob in context.view.stored if not blob or key == 'j/a'
    ]
    assert keys[0] == 'j/a', keys[0]
    assert len(keys) > 1, 'no step was removed'
