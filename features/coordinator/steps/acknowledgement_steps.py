"""Steps for the acknowledgement of ends, with a session alone."""

import asyncio

from behave import given, then, when

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.fleet import Run, Stage
from berylspread.coordinator.interface import EndedRow, Outcome, WorkerReport
from berylspread.coordinator.model import Job, StepSpec
from berylspread.coordinator.session import Session
from berylspread.coordinator.worker_bounds import WorkerBounds
from berylspread_standins.coordinated.fleet import TASK, job
from features.coordinator.cell import make_worker

REPLY_S = 0.005
MOST_ENDS = 500
WAITS = 10


class FakeWorkerApi:
    """Lists ends until they are acknowledged, and notes what was."""

    def __init__(self):
        self.acked = []
        self.waits_ms = []
        self.listed = []
        self.next_life = []
        self.born_ms = 1
        self.adds_end = None

    async def renew(self, entry, renewal):
        self.acked.append(renewal.acked)
        self.waits_ms.append(renewal.wait_ms)
        self.listed = [row for row in self.listed if row.seq > renewal.acked]
        if self.adds_end is not None:
            self.listed.append(self.adds_end())
        await asyncio.sleep(REPLY_S)
        report = WorkerReport(1, self.born_ms, [], list(self.listed))
        if self.next_life:
            self.born_ms, self.listed = 2, self.next_life
            self.next_life = []
        return report


class FakeSilentLosses:
    """Keeps nothing."""

    def record(self, worker):
        """Keep nothing."""

    def apply_report(self, worker):
        """Settle nothing."""


class FakeAuthority:
    """Is always confirmed."""

    def is_confirmed(self, grace_s):
        return True


class FakeCoordinator:
    """Stores outcomes after a while."""

    token = 1
    worker_bounds = WorkerBounds(max_lease_ms=6000, max_stop_ms=0)

    def __init__(self):
        self.log = DecisionLog('n', emit=lambda line: None)
        self.store_s = 0.0
        self.silent_losses = FakeSilentLosses()
        self.authority = FakeAuthority()

    def expected_s(self, run):
        return 1.0

    def record_outcome(self, run, outcome, checkpoint):
        run.worker.remove_run(run)
        return asyncio.ensure_future(asyncio.sleep(self.store_s))

    def record_lost_run(self, run, reason):
        run.worker.remove_run(run)

    def record_contact(self, worker):
        return asyncio.ensure_future(asyncio.sleep(0))

    def on_report(self, worker):
        """Decide nothing."""


def _begin(context, ends):
    context.worker = make_worker('w')
    step = Job(job('a', StepSpec(MOST_ENDS, TASK))).steps[0, 0]
    for task in step.tasks:
        context.worker.add_run(Run(task, context.worker, Stage.running, 0.0))
    context.names = iter([task.name for task in step.tasks])
    context.api = FakeWorkerApi()
    context.coordinator = FakeCoordinator()
    context.api.listed = _rows(context, ends)


def _rows(context, count, first=1):
    return [
        EndedRow(seq, next(context.names), 0, Outcome.succeeded, '')
        for seq in range(first, first + count)
    ]


@given('a worker that lists the ends of {count:d} runs')
def step_ends(context, count):
    _begin(context, count)


@given('a worker that lists one more end with each report')
def step_going_on(context):
    _begin(context, 0)
    numbers = iter(range(1, MOST_ENDS))
    context.api.adds_end = lambda: _rows(context, 1, next(numbers))[0]


@given('outcomes take {seconds:g} s to be stored')
def step_store(context, seconds):
    context.coordinator.store_s = seconds


@given(
    'the worker is restarted after its first report, and lists {count:d} '
    'other ends'
)
def step_restarted(context, count):
    context.api.next_life = _rows(context, count)


@when('the session with the worker goes on for {seconds:g} s')
def step_run(context, seconds):
    async def run():
        session = Session(context.worker, context.api, context.coordinator)
        running = asyncio.create_task(session.run())
        await asyncio.sleep(seconds)
        running.cancel()

    context.run(run())


@then('its first renewals acknowledge {numbers}')
def step_acked(context, numbers):
    expected = [int(each) for each in numbers.split(', ')]
    assert context.api.acked[: len(expected)] == expected, context.api.acked


@then('of these {numbers} wait for a further end, and no other')
def step_waiting(context, numbers):
    waiting = [
        number
        for number, wait_ms in enumerate(context.api.waits_ms[:WAITS], 1)
        if wait_ms
    ]
    expected = [int(each) for each in numbers.split(', ')]
    count = max(expected)
    assert [each for each in waiting if each <= count] == expected, waiting


@then('all but the last {count:d} ends have been acknowledged')
def step_all(context, count):
    newest = context.api.listed[-1].seq
    assert newest > count, newest
    assert newest - max(context.api.acked) <= count, context.api.acked
