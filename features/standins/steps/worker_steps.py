"""Steps for worker stand-ins, seen by one partition owner."""

import asyncio
import math
import random
from typing import Any

import msgspec
from behave import given, then, when
from behave.runner import Context

from berylspread.backend import (
    CallReply,
    CallRequest,
    SyncReply,
    SyncRequest,
    TaskReport,
    TaskStart,
    TaskStop,
)
from berylspread.kernel import Failure, now
from berylspread.model import Resources, TaskState, Vm, VmRole
from berylspread_standins import (
    Checks,
    LocalWorkers,
    Observer,
    Worker,
    Workload,
    dump_workload,
)
from features.support import run_virtual

VM = Vm('worker-1', VmRole.worker, '127.0.0.1:1', 'south', 'south-a')
CAPACITY = Resources(4000, 8192, 0, 2)
SHAPE = Resources(2000, 1024)
LEASE_S = 10.0
TASK = 'job/0'
WORKLOADS = {
    'runs for 30 s': Workload(run_s=30),
    'fails after 30 s': Workload(run_s=30, exit_code=3),
    'runs until stopped': Workload(run_s=None),
    'can be checkpointed': Workload(run_s=30, checkpointable=True),
    'uses 3 cores': Workload(run_s=60, used=Resources(3000, 0)),
}


class Bench:
    """A worker, an observer and a node's connection; steps run in order.

    The steps of a scenario are collected and run in one virtual run by the
    first step that looks at the result.
    """

    def __init__(self) -> None:
        """Build the parts; a running loop is not needed yet."""
        self.observer = Observer()
        self.worker = Worker(VM, capacity=CAPACITY, observer=self.observer)
        self.node = LocalWorkers({VM.address: self.worker}, random.Random(1))
        self.steps: list[Any] = []
        self.answers: list[Any] = []
        self.has_run = False

    def run(self) -> None:
        """Run the collected steps once."""
        if not self.has_run:
            self.has_run = True
            run_virtual(self._run())

    async def sync(self, **fields: Any) -> SyncReply | Failure:
        """Exchange with the worker as epoch 2 of a unit."""
        fields = {'epoch': 2, 'lease_s': LEASE_S} | fields
        return await self.node.sync(VM, SyncRequest('unit', **fields))

    async def renew_for(self, seconds: float) -> None:
        """Renew the lease once a second."""
        until = now() + seconds
        while now() < until - 1e-6:
            await self.sync(renew=[TASK])
            await asyncio.sleep(min(1.0, until - now()))

    async def _run(self) -> None:
        for step in self.steps:
            await step(self)
        # Reports of what has ended need the loop.
        self.reports = self.worker.report().tasks


def task_start(worker: Worker, **fields: Any) -> TaskStart:
    """Return the start of a task with the defaults of these features."""
    defaults = {
        'task': TASK,
        'attempt': 0,
        'team': 'team',
        'job_class': '',
        'shape': SHAPE,
        'payload': dump_workload(Workload(run_s=30)),
        'lease_s': LEASE_S,
        'not_after': worker.wall.time() + 1,
    }
    return TaskStart(**(defaults | fields))


@given('a worker with 4 cores, 8 GB and 2 slots')
def given_worker(context: Context) -> None:
    context.bench = Bench()


@given("the worker's clock runs at {rate:g} times the true rate")
def given_rate(context: Context, rate: float) -> None:
    context.bench.worker.clock_rate = rate


@given('the worker checks {checks}')
def given_checks(context: Context, checks: str) -> None:
    context.bench.worker.checks = Checks[checks]


def _pause_worker(bench: Bench) -> None:
    bench.worker.pause()
    asyncio.get_running_loop().call_later(5, bench.worker.resume)


FAULTS = {
    'none': lambda bench: None,
    'fails everything': lambda bench: setattr(
        bench.worker.faults, 'fails_all', True
    ),
    'unreachable': lambda bench: setattr(
        bench.worker.faults, 'is_unreachable', True
    ),
    'paused': _pause_worker,
    'slow': lambda bench: setattr(bench.worker.faults, 'slow_s', 5.0),
    'answer lost': lambda bench: setattr(
        bench.worker.faults, 'lose_answer', 1.0
    ),
    'request lost': lambda bench: setattr(
        bench.node.faults, 'drop_before', 1.0
    ),
    'reply lost': lambda bench: setattr(bench.node.faults, 'drop_after', 1.0),
    'cut from the node': lambda bench: bench.node.faults.cut_workers.add(
        VM.address
    ),
}


@given('the worker fault "{fault}"')
def given_fault(context: Context, fault: str) -> None:
    async def step(bench: Bench) -> None:
        FAULTS[fault](bench)

    context.bench.steps.append(step)


@when('{count:d} tasks of 2 cores are started')
def when_tasks(context: Context, count: int) -> None:
    async def step(bench: Bench) -> None:
        starts = [
            task_start(bench.worker, task=f'job/{index}')
            for index in range(count)
        ]
        await bench.sync(starts=starts)

    context.bench.steps.append(step)


@when('a task that {payload} is started')
def when_started(context: Context, payload: str) -> None:
    async def step(bench: Bench) -> None:
        text = dump_workload(WORKLOADS[payload])
        await bench.sync(starts=[task_start(bench.worker, payload=text)])

    context.bench.steps.append(step)


@when('a task that runs for 30 s is resumed from checkpoint "{checkpoint}"')
def when_resumed(context: Context, checkpoint: str) -> None:
    async def step(bench: Bench) -> None:
        start = task_start(bench.worker, resume_from=checkpoint)
        await bench.sync(starts=[start])

    context.bench.steps.append(step)


@when('nothing but renewals is sent for {seconds:g} seconds')
def when_renewed(context: Context, seconds: float) -> None:
    context.bench.steps.append(lambda bench: bench.renew_for(seconds))


@when('nothing is sent for {seconds:g} seconds')
def when_silent(context: Context, seconds: float) -> None:
    context.bench.steps.append(lambda bench: asyncio.sleep(seconds))


@when('it is told to {mode} after 10 seconds')
def when_told(context: Context, mode: str) -> None:
    async def step(bench: Bench) -> None:
        await bench.renew_for(10)
        await bench.sync(stops=[TaskStop(TASK, mode)])

    context.bench.steps.append(step)


@when('the worker is paused for {seconds:d} seconds')
def when_paused(context: Context, seconds: int) -> None:
    async def step(bench: Bench) -> None:
        bench.worker.pause()
        await asyncio.sleep(seconds)
        bench.worker.resume()

    context.bench.steps.append(step)


@when('epoch 2 of a unit starts one task')
def when_epoch(context: Context) -> None:
    async def step(bench: Bench) -> None:
        await bench.sync(starts=[task_start(bench.worker)])

    context.bench.steps.append(step)


@when('a start of epoch {epoch:d} arrives {late:d} seconds after its time')
def when_late(context: Context, epoch: int, late: int) -> None:
    async def step(bench: Bench) -> None:
        start = task_start(
            bench.worker,
            task='job/1',
            not_after=bench.worker.wall.time() - late,
        )
        bench.answers.append(await bench.sync(epoch=epoch, starts=[start]))

    context.bench.steps.append(step)


@when('a node starts a task on it')
def when_node_starts(context: Context) -> None:
    async def step(bench: Bench) -> None:
        start = task_start(
            bench.worker, not_after=bench.worker.wall.time() + 60
        )
        bench.answers.append(await bench.sync(starts=[start]))
        await asyncio.sleep(5)

    context.bench.steps.append(step)


@when('the same start arrives twice')
def when_twice(context: Context) -> None:
    async def step(bench: Bench) -> None:
        start = task_start(bench.worker)
        await bench.sync(starts=[start])
        await bench.sync(starts=[start])

    context.bench.steps.append(step)


@when('the same start arrives again after its task was forgotten')
def when_again(context: Context) -> None:
    async def step(bench: Bench) -> None:
        start = task_start(
            bench.worker, not_after=bench.worker.wall.time() + 600
        )
        await bench.sync(starts=[start])
        await bench.renew_for(31)
        await bench.sync(acknowledged=[TASK])
        await bench.sync(starts=[start])

    context.bench.steps.append(step)


@when('a sync waits up to {wait_s:d} seconds for a change')
def when_waits(context: Context, wait_s: int) -> None:
    async def step(bench: Bench) -> None:
        bench.steps_started_at = now()
        seen = bench.worker.sequence
        renewal = asyncio.create_task(bench.renew_for(wait_s))
        await bench.sync(seen=seen, wait_s=wait_s)
        bench.answers.append(now())
        renewal.cancel()

    context.bench.steps.append(step)


def call(number: int, body: bytes) -> CallRequest:
    """Return a call with an id of its own."""
    return CallRequest(
        f'request-{number}', 1, 'team', 'queue', 'unit', 2, 30.0, body
    )


@when('65 calls arrive at once')
def when_calls(context: Context) -> None:
    async def step(bench: Bench) -> None:
        pending = [
            asyncio.create_task(bench.node.call(VM, call(number, b'')))
            for number in range(65)
        ]
        # Each is sent before the next looks at the connections.
        bench.answers.extend(await asyncio.gather(*pending))

    context.bench.steps.append(step)


@when('a call with a body of its own takes 2 seconds')
def when_call(context: Context) -> None:
    async def step(bench: Bench) -> None:
        body = dump_workload(Workload(run_s=2, output='own')).encode()
        bench.request = call(1, body)
        bench.answers.append(await bench.node.call(VM, bench.request))

    context.bench.steps.append(step)


def the_report(context: Context) -> TaskReport:
    """Return the worker's report of the task, after all steps."""
    context.bench.run()
    return next(
        report for report in context.bench.reports if report.task == TASK
    )


@then('{count:d} tasks run on the worker')
def then_run(context: Context, count: int) -> None:
    context.bench.run()
    running = [
        report
        for report in context.bench.reports
        if report.state is TaskState.running
    ]
    assert len(running) == count, running


@then('the observer sees "{kind}" once')
def then_reports(context: Context, kind: str) -> None:
    kinds = [violation.kind for violation in context.bench.observer.violations]
    assert kinds == [kind], kinds


@then('the observer sees no violation')
def then_reports_nothing(context: Context) -> None:
    assert not context.bench.observer.violations


@then('the observer counts {count:d} tasks')
def then_counts(context: Context, count: int) -> None:
    assert context.bench.observer.counts['tasks'] == count


@then('the most that ran at once is {cores:d} cores')
def then_high_water(context: Context, cores: int) -> None:
    high = context.bench.observer.high_water[VM.vm_id]
    assert high.cpu_milli == cores * 1000, high


@then('the worker reports it as {state} with exit code {exit_code:d}')
def then_state(context: Context, state: str, exit_code: int) -> None:
    report = the_report(context)
    assert (report.state.value, report.exit_code) == (state, exit_code), report


@then('the checkpoint is "{checkpoint}"')
@then('the checkpoint is ""')
def then_checkpoint(context: Context, checkpoint: str = '') -> None:
    assert the_report(context).checkpoint == checkpoint, the_report(context)


@then('the start is {outcome}')
def then_outcome(context: Context, outcome: str) -> None:
    context.bench.run()
    answer = context.bench.answers[-1]
    if isinstance(answer, Failure):
        found = f'refused as {answer.name}'
    elif answer.refused:
        found = f'refused as {answer.refused["job/1"]}'
    else:
        found = 'obeyed'
        assert any(report.task == 'job/1' for report in answer.tasks)
    assert found == outcome, answer


@then("the node's answer is {answer}")
def then_node_answer(context: Context, answer: str) -> None:
    context.bench.run()
    got = context.bench.answers[-1]
    if isinstance(got, Failure):
        sent = 'sent' if got.fields['sent'] else 'nothing sent'
        found = f'unreachable, {sent}'
    else:
        found = 'a reply'
    assert found == answer, got


@then('the task {ran}')
def then_ran(context: Context, ran: str) -> None:
    states = [report.state.value for report in context.bench.reports]
    expected = {
        'ran': ['running'],
        'started later': ['running'],
        'failed': ['failed'],
        'never started': [],
    }
    assert states == expected[ran], states


@then('the sync answers after about {seconds:d} seconds')
def then_sync_answers(context: Context, seconds: int) -> None:
    context.bench.run()
    found = context.bench.answers[-1]
    assert math.isclose(found, seconds, abs_tol=0.1), found


@then('its reported use is 0 cores after 4 seconds and 3 cores after 6')
def then_used(context: Context) -> None:
    async def step(bench: Bench) -> None:
        for seconds in (4, 2):
            await bench.renew_for(seconds)
            reports = bench.worker.report().tasks
            bench.answers.append(reports[0].used.cpu_milli)

    context.bench.steps.append(step)
    context.bench.run()
    assert context.bench.answers == [0, 3000], context.bench.answers


@then('64 of them are answered and 1 was not sent')
def then_calls(context: Context) -> None:
    context.bench.run()
    answers = context.bench.answers
    refused = [answer for answer in answers if isinstance(answer, Failure)]
    assert len(answers) - len(refused) == 64, len(refused)
    assert [failure.fields['sent'] for failure in refused] == [False]


@then('the answer carries the body, the id and the attempt')
def then_call_answer(context: Context) -> None:
    context.bench.run()
    request = context.bench.request
    expected = CallReply(request.request_id, request.attempt, 200, request.body)
    assert msgspec.to_builtins(context.bench.answers[-1]) == (
        msgspec.to_builtins(expected)
    )
