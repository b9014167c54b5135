"""Steps that count the costs of the design fleet."""

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
HTTP_HEAD_BYTES = 200
SPAN_S = 10


@when('a worker with {tasks:d} tasks renews its leases')
def step_renew_leases(context: Context, tasks: int) -> None:
    exchanged = sum(
        len(msgspec.json.encode(body))
        for body in (samples.renewal(tasks), samples.reply(tasks))
    )
    period_s = LinkTiming(LEASE_S).wait_s
    context.rate = (exchanged + HTTP_HEAD_BYTES) / period_s


@then('the worker exchanges at most {budget:d} bytes a second')
def step_renewal_rate(context: Context, budget: int) -> None:
    assert 0 < context.rate <= budget, context.rate


@when('200 tasks are placed on {workers:d} workers')
def step_place_tasks(context: Context, workers: int) -> None:
    context.examined = decisions(workers, 200).examined


@then('at most 16 candidates are examined for each task')
def step_candidates_per_task(context: Context) -> None:
    assert 200 <= context.examined <= 16 * 200, context.examined


@when('a document of {teams:d} teams is written')
def step_write_document(context: Context, teams: int) -> None:
    text = samples.document(teams)
    context.size = sizes.record_bytes(ConfigApplied('production', 0, text))


@then('its record fits into one append')
def step_fits_into_append(context: Context) -> None:
    assert 10_000 < context.size <= MAX_BATCH_BYTES, context.size


@when('{count:d} records of {kind} are encoded')
def step_encode_records(context: Context, count: int, kind: str) -> None:
    name = f'log_bytes_per_{kind.replace(" ", "_")}'
    context.line = sizes.measure()[name]
    assert max(context.line.sizes) == count


@then('each record takes at most {budget:d} bytes')
def step_record_size(context: Context, budget: int) -> None:
    assert 0 < context.line.slope <= budget, context.line


@when('a snapshot of {jobs:d} queued jobs is taken')
def step_take_snapshot(context: Context, jobs: int) -> None:
    context.size = snapshot_bytes(jobs) / jobs


@then('each job takes at most {budget:d} bytes of the snapshot')
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
def step_start_tasks(context: Context, rate: int) -> None:
    context.measured = _measure(context.layout, rate)


@when('nothing is started for 10 seconds')
def step_start_nothing(context: Context) -> None:
    context.measured = _measure(context.layout, 0)


def _measure(layout: dict[str, int], rate: int) -> dict[str, Any]:
    async def run() -> dict[str, Any]:
        return await Assembly(**layout).measure(
            services=0,
            starts_per_s=rate,
            jobs_per_s=0,
            calls_per_s=0,
            run_s=2.0,
            span_s=SPAN_S,
        )

    measured = run_virtual(run())
    assert measured['sync:starts'] >= 0.9 * rate, measured['sync:starts']
    return measured


def _message_count(measured: dict[str, Any], names: tuple[str, ...]) -> float:
    return sum(measured.get(f'msg:{name}', 0) for name in names)


@then('at most {maximum:g} messages between nodes are sent for each start')
def step_messages_per_start(context: Context, maximum: float) -> None:
    names = ('PullAsk', 'PullReply', 'TaskEvents', 'EventsTaken')
    sent = _message_count(context.measured, names)
    per_start = sent / context.measured['sync:starts']
    assert 0 < per_start <= maximum, per_start


@then('the log takes at most {maximum:d} appends a second')
def step_appends_per_s(context: Context, maximum: int) -> None:
    assert 0 < context.measured['log:appends'] <= maximum, context.measured


@then('at most {maximum:d} candidates are examined for each start')
def step_candidates_per_start(context: Context, maximum: int) -> None:
    measured = context.measured
    per_start = measured['place:examined'] / measured['sync:starts']
    assert 1 <= per_start <= maximum, per_start


@then('each pair of nodes exchanges at most {maximum:d} messages a second')
def step_messages_per_pair(context: Context, maximum: int) -> None:
    nodes = context.layout['nodes']
    names = tuple(
        name.removeprefix('msg:')
        for name in context.measured
        if name.startswith('msg:') and name[4].isupper()
    )
    per_pair = _message_count(context.measured, names) / (
        nodes * (nodes - 1) / 2
    )
    assert 0 < per_pair <= 2 * maximum, per_pair


@then('nothing is appended to the log')
def step_no_appends(context: Context) -> None:
    assert context.measured['log:appends'] == 0, context.measured


def _estimate(**changes: float) -> Estimate:
    fleet = msgspec.structs.replace(DESIGNED, **changes)
    return estimate(fleet, load_coefficients())


@when('the fleet has twice as many {quantity}')
def step_double_quantity(context: Context, quantity: str) -> None:
    context.before = _estimate()
    context.after = _estimate(**{quantity: 2 * getattr(DESIGNED, quantity)})


@then("the estimate's {figure:w} grows by a factor from {lower:g} to {upper:g}")
def step_figure_grows(
    context: Context, figure: str, lower: float, upper: float
) -> None:
    factor = getattr(context.after, figure) / getattr(context.before, figure)
    assert lower < factor < upper, factor


@then("the estimate's peers grow by a factor from {lower:g} to {upper:g}")
def step_peers_grow(context: Context, lower: float, upper: float) -> None:
    before, after = (
        next(cost for cost in estimated.roles if cost.role == 'peers')
        for estimated in (context.before, context.after)
    )
    for name in ('messages_per_s', 'bytes_per_s', 'cores'):
        factor = getattr(after, name) / getattr(before, name)
        assert lower <= factor <= upper, (name, factor)


def _run_command(context: Context, arguments: list[str]) -> None:
    context.output = io.StringIO()
    context.exit_code = 0
    with (
        contextlib.redirect_stdout(context.output),
        contextlib.redirect_stderr(io.StringIO()),
    ):
        try:
            main(['capacity', *arguments])
        except SystemExit as system_exit:
            context.exit_code = system_exit.code


@when('an operator runs the capacity command for the design fleet')
def step_run_command(context: Context) -> None:
    quantities = msgspec.structs.asdict(DESIGNED)
    arguments = [
        f'--{name.replace("_", "-")}={quantity}'
        for name, quantity in quantities.items()
    ]
    _run_command(context, [*arguments, '--json'])


@then("it prints the library's estimate of the same fleet")
def step_prints_estimate(context: Context) -> None:
    assert context.exit_code == 0
    printed = json.loads(context.output.getvalue())
    assert printed == msgspec.to_builtins(_estimate()), printed


@then('each of the needed nodes stays within the usable share of a core')
def step_nodes_needed(context: Context) -> None:
    needed = _estimate().nodes_needed
    assert needed > 0
    assert _estimate(nodes=needed).cores_per_node <= USABLE_CORE_SHARE
    assert _estimate(nodes=needed - 1).cores_per_node > USABLE_CORE_SHARE


@when('an operator runs the capacity command with {argument}')
def step_run_with_argument(context: Context, argument: str) -> None:
    _run_command(context, [argument])


@then('it ends with exit code {code:d}')
def step_exit_code(context: Context, code: int) -> None:
    assert context.exit_code == code, context.exit_code
