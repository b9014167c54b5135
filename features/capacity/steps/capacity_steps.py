"""Steps that count what the design size takes."""

import contextlib
import io
import json
from typing import Any

import msgspec
from behave import given, then, when
from behave.runner import Context

from bench.capacity import samples, sizes
from bench.capacity.assembly import Assembly
from bench.capacity.page import DESIGNED
from bench.capacity.processor import decisions, snapshot_bytes
from berylspread.capacity import (
    USABLE_CORE_SHARE,
    Estimate,
    estimate,
    load_coefficients,
)
from berylspread.log import ConfigApplied
from berylspread.log.appender import MAX_BATCH_BYTES
from berylspread.partition.worker_link import LinkTiming
from berylspread_cli.main import main
from features.support.virtual_time import run_virtual

LEASE_S = 15.0
HEAD_BYTES = 200
SPAN_S = 10


@when('a worker with {tasks:d} tasks renews its leases')
def step_renew(context: Context, tasks: int) -> None:
    exchanged = sum(
        len(msgspec.json.encode(body))
        for body in (samples.renewal(tasks), samples.reply(tasks))
    )
    period_s = LinkTiming(LEASE_S).wait_s
    context.rate = (exchanged + HEAD_BYTES) / period_s


@then('the exchanges take at most {budget:d} bytes a second at the worker')
def step_rate(context: Context, budget: int) -> None:
    assert 0 < context.rate <= budget, context.rate


@when('200 tasks are placed on {workers:d} workers')
def step_place(context: Context, workers: int) -> None:
    context.examined = decisions(workers, 200).examined


@then('at most 16 candidates are examined for each')
def step_examined(context: Context) -> None:
    assert 200 <= context.examined <= 16 * 200, context.examined


@when('a document of {teams:d} teams is written')
def step_document(context: Context, teams: int) -> None:
    text = samples.document(teams)
    context.size = sizes.record_bytes(ConfigApplied('production', 0, text))


@then('its record fits into one append')
def step_fits(context: Context) -> None:
    assert 10_000 < context.size <= MAX_BATCH_BYTES, context.size


@when('{count:d} records of {kind} are encoded')
def step_records(context: Context, count: int, kind: str) -> None:
    name = f'log_bytes_per_{kind.replace(" ", "_")}'
    context.line = sizes.measure()[name]
    assert max(context.line.sizes) == count


@then('each takes at most {budget:d} bytes')
def step_record_size(context: Context, budget: int) -> None:
    assert 0 < context.line.slope <= budget, context.line


@when('a snapshot of {jobs:d} queued jobs is taken')
def step_snapshot(context: Context, jobs: int) -> None:
    context.size = snapshot_bytes(jobs) / jobs


@then('each job takes at most {budget:d} bytes of it')
def step_snapshot_size(context: Context, budget: int) -> None:
    assert 0 < context.size <= budget, context.size


@given('an assembly of {nodes:d} nodes and {workers:d} workers')
def step_assembly(context: Context, nodes: int, workers: int) -> None:
    context.layout = {
        'nodes': nodes,
        'workers': workers,
        'racks': 1,
        'teams': 8,
    }


@when('{rate:d} tasks a second are started for 10 seconds')
def step_start(context: Context, rate: int) -> None:
    context.found = _run(context.layout, rate)


@when('nothing is started for 10 seconds')
def step_idle(context: Context) -> None:
    context.found = _run(context.layout, 0)


def _run(layout: dict[str, int], rate: int) -> dict[str, Any]:
    async def run() -> dict[str, Any]:
        return await Assembly(**layout).measure(
            services=0,
            starts_per_s=rate,
            jobs_per_s=0,
            calls_per_s=0,
            run_s=2.0,
            span_s=SPAN_S,
        )

    found = run_virtual(run())
    assert found['sync:starts'] >= 0.9 * rate, found['sync:starts']
    return found


def _messages(found: dict[str, Any], names: tuple[str, ...]) -> float:
    return sum(found.get(f'msg:{name}', 0) for name in names)


@then('at most {most:g} messages between nodes go with each start')
def step_messages(context: Context, most: float) -> None:
    names = ('PullAsk', 'PullReply', 'TaskEvents', 'EventsTaken')
    sent = _messages(context.found, names)
    per_start = sent / context.found['sync:starts']
    assert 0 < per_start <= most, per_start


@then('the log takes at most {most:d} appends a second')
def step_appends(context: Context, most: int) -> None:
    assert 0 < context.found['log:appends'] <= most, context.found


@then('each start takes at most {most:d} examined candidates')
def step_candidates(context: Context, most: int) -> None:
    found = context.found
    per_start = found['place:examined'] / found['sync:starts']
    assert 1 <= per_start <= most, per_start


@then('each pair of nodes exchanges at most {most:d} messages a second')
def step_pairs(context: Context, most: int) -> None:
    nodes = context.layout['nodes']
    names = tuple(
        name.removeprefix('msg:')
        for name in context.found
        if name.startswith('msg:') and name[4].isupper()
    )
    per_pair = _messages(context.found, names) / (nodes * (nodes - 1) / 2)
    assert 0 < per_pair <= 2 * most, per_pair


@then('nothing is appended to the log')
def step_no_append(context: Context) -> None:
    assert context.found['log:appends'] == 0, context.found


def _estimate(**changes: float) -> Estimate:
    fleet = msgspec.structs.replace(DESIGNED, **changes)
    return estimate(fleet, load_coefficients())


@when('the fleet has twice as many {quantity}')
def step_twice(context: Context, quantity: str) -> None:
    context.before = _estimate()
    context.after = _estimate(**{quantity: 2 * getattr(DESIGNED, quantity)})


@then("the estimate's {figure:w} grows by a factor from {least:g} to {most:g}")
def step_grows(
    context: Context, figure: str, least: float, most: float
) -> None:
    factor = getattr(context.after, figure) / getattr(context.before, figure)
    assert least < factor < most, factor


@then("the estimate's peers grow by a factor from {least:g} to {most:g}")
def step_peers(context: Context, least: float, most: float) -> None:
    before, after = (
        next(cost for cost in found.roles if cost.role == 'peers')
        for found in (context.before, context.after)
    )
    for name in ('messages_per_s', 'bytes_per_s', 'cores'):
        factor = getattr(after, name) / getattr(before, name)
        assert least <= factor <= most, (name, factor)


def _command(context: Context, arguments: list[str]) -> None:
    context.output = io.StringIO()
    context.exit_code = 0
    with (
        contextlib.redirect_stdout(context.output),
        contextlib.redirect_stderr(io.StringIO()),
    ):
        try:
            main(['capacity', *arguments])
        except SystemExit as ended:
            context.exit_code = ended.code


@when('an operator asks the command for the capacity of the fleet designed for')
def step_command(context: Context) -> None:
    numbers = msgspec.structs.asdict(DESIGNED)
    arguments = [
        f'--{name.replace("_", "-")}={number}'
        for name, number in numbers.items()
    ]
    _command(context, [*arguments, '--json'])


@then("it prints the library's estimate of the same fleet")
def step_same(context: Context) -> None:
    assert context.exit_code == 0
    printed = json.loads(context.output.getvalue())
    assert printed == msgspec.to_builtins(_estimate()), printed


@then('the number of nodes needed keeps each below the usable share of a core')
def step_needed(context: Context) -> None:
    needed = _estimate().nodes_needed
    assert needed > 0
    assert _estimate(nodes=needed).cores_per_node <= USABLE_CORE_SHARE
    assert _estimate(nodes=needed - 1).cores_per_node > USABLE_CORE_SHARE


@when('an operator asks the command for {argument}')
def step_wrong(context: Context, argument: str) -> None:
    _command(context, [argument])


@then('it ends with exit code {code:d}')
def step_code(context: Context, code: int) -> None:
    assert context.exit_code == code, context.exit_code
