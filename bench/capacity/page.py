"""Writes the tables of docs/CAPACITY.md between its markers."""

import pathlib
from collections.abc import Callable, Iterable

import msgspec

from berylspread.capacity import (
    USABLE_CORE_SHARE,
    Coefficients,
    Estimate,
    Fleet,
    estimate,
    load_coefficients,
)
from berylspread.capacity.roles import exchanges_per_s, log_bytes_per_s
from berylspread.log.appender import MAX_BATCH_BYTES
from berylspread.placement.policy import DEFAULT_CANDIDATES

PAGE = pathlib.Path(__file__).resolve().parents[2] / 'docs/CAPACITY.md'
MIB = 1024 * 1024
#: The size to design for.
DESIGNED = Fleet(
    workers=2300,
    tasks=27_000,
    jobs_per_day=9700,
    starts_per_s=1600,
    teams=340,
    nodes=9,
    regions=3,
    config_changes_per_day=3500,
    keys=680,
    queued_jobs=1000,
)
#: The budgets for control, and the settings' defaults.
CONTROL_CORES = 0.012
CONTROL_MB = 32
CONTROL_KB_S = 8
RELAY_KIB_S = 256
NODE_COUNTS = (9, 12, 18, 24, 36, 48)
#: What the size asks of each measured count.
REACH = {
    'worker': DESIGNED.workers,
    'task': DESIGNED.tasks,
    'start': DESIGNED.starts_per_s,
    'team': DESIGNED.teams,
}


def write_tables() -> None:
    """Replace every table of the page."""
    known = load_coefficients()
    found = estimate(DESIGNED, known)
    text = PAGE.read_text(encoding='utf-8')
    for name, lines in _TABLES.items():
        text = _replaced(text, name, '\n'.join(lines(found, known)))
    PAGE.write_text(text, encoding='utf-8')


def _replaced(text: str, name: str, block: str) -> str:
    head, start, rest = text.partition(f'<!-- {name} -->\n')
    _, end, tail = rest.partition(f'<!-- end {name} -->')
    return f'{head}{start}\n{block}\n\n{end}{tail}'


def _table(header: Iterable[str], rows: Iterable[Iterable[str]]) -> list[str]:
    names = list(header)
    lines = [names, ['---' for _ in names], *rows]
    return [f'| {" | ".join(line)} |' for line in lines]


def _roles(found: Estimate, known: Coefficients) -> list[str]:
    return _table(
        ('role', 'messages/s', 'KB/s', 'cores', 'memory, MiB'),
        (
            (
                cost.role,
                f'{cost.messages_per_s:.0f}',
                f'{cost.bytes_per_s / 1000:.1f}',
                f'{cost.cores:.3f}',
                f'{cost.memory_bytes / MIB:.1f}',
            )
            for cost in found.roles
        ),
    )


def _nodes(found: Estimate, known: Coefficients) -> list[str]:
    rows = []
    for nodes in NODE_COUNTS:
        sized = estimate(msgspec.structs.replace(DESIGNED, nodes=nodes), known)
        rows.append(
            (
                str(nodes),
                f'{sized.cores:.2f}',
                f'{sized.cores_per_node:.3f}',
                f'{sized.control_cores_per_node:.3%}',
                f'{sized.control_bytes_per_s_per_node / 1000:.0f}',
                f'{sized.memory_bytes_per_node / MIB:.0f}',
            )
        )
    return _table(
        (
            'entry VMs',
            'cores in all',
            'cores a VM at the peak',
            'control a VM, of a core',
            'control KB/s a VM',
            'MiB a VM',
        ),
        rows,
    )


def _totals(found: Estimate, known: Coefficients) -> list[str]:
    log_rate = log_bytes_per_s(DESIGNED, known)
    rows = (
        ('entry VMs needed', str(found.nodes_needed)),
        (
            'exchanges with workers a second',
            f'{exchanges_per_s(DESIGNED, known):.0f}',
        ),
        (
            'KB/s of exchanges at one worker',
            f'{found.sync_bytes_per_s_per_worker / 1000:.2f}',
        ),
        ('log, KB/s at the peak', f'{log_rate / 1000:.1f}'),
        (
            'bytes of one configuration',
            f'{DESIGNED.teams * known.slope("config_bytes_per_team"):.0f}',
        ),
        (
            'seconds of a core to take in one configuration, a node',
            f'{DESIGNED.teams * known.slope("cpu_s_config_fold_per_team"):.3f}',
        ),
        (
            'candidates examined per start',
            f'{known.slope("candidates_per_start"):.1f}',
        ),
    )
    return _table(('figure', 'value'), rows)


def _lines(found: Estimate, known: Coefficients) -> list[str]:
    return _table(
        ('line', 'slope', 'intercept', 'worst residual', 'sizes'),
        (
            (
                f'`{name}`',
                f'{line.slope:.4g}',
                f'{line.intercept:.4g}',
                f'{line.residual:.1%}',
                ', '.join(f'{size:g}' for size in line.sizes),
            )
            for name, line in known.lines.items()
        ),
    )


def _reach(found: Estimate, known: Coefficients) -> list[str]:
    measured = {
        'worker': 'cpu_s_per_s_per_idle_worker',
        'task': 'cpu_s_per_s_per_running_task',
        'start': 'cpu_s_per_start',
        'team': 'cpu_s_per_s_per_team',
    }
    return _table(
        ('quantity', 'largest measured', 'design size', 'extrapolated by'),
        (
            (
                kind,
                f'{max(known.lines[name].sizes):g}',
                f'{REACH[kind]:g}',
                f'{REACH[kind] / max(known.lines[name].sizes):.1f} times',
            )
            for kind, name in measured.items()
        ),
    )


def _verdict(amount: float, budget: float) -> str:
    if amount <= budget:
        return f'met: {amount / budget:.2f} of it'
    return f'not met: {amount / budget:.1f} times it'


def _verdicts(found: Estimate, known: Coefficients) -> list[str]:
    """The lines that the estimate answers, with their budgets."""
    per_change = DESIGNED.teams * known.slope('cpu_s_config_fold_per_team')
    log_rate = log_bytes_per_s(DESIGNED, known) / 1024
    lost = msgspec.structs.replace(DESIGNED, nodes=6)
    at_worker = found.sync_bytes_per_s_per_worker / 1000
    rows = (
        (
            '1,600 starts/s: cores a VM with 9 VMs',
            found.cores_per_node,
            USABLE_CORE_SHARE,
        ),
        (
            '1,600 starts/s: cores a VM with 6 of 9 VMs',
            estimate(lost, known).cores_per_node,
            USABLE_CORE_SHARE,
        ),
        (
            '340 teams: KiB of the document in one append',
            DESIGNED.teams * known.slope('config_bytes_per_team') / 1024,
            MAX_BATCH_BYTES / 1024,
        ),
        ('3 regions: KiB/s of the log to a region', log_rate, RELAY_KIB_S),
        (
            '3,500 changes a day: cores of a node to take them in',
            DESIGNED.config_changes_per_s * per_change,
            CONTROL_CORES,
        ),
        (
            'control, entry VM: % of a core',
            found.control_cores_per_node * 100,
            CONTROL_CORES * 100,
        ),
        (
            'control, entry VM: MB',
            found.memory_bytes_per_node / 1e6,
            CONTROL_MB,
        ),
        (
            'control, entry VM: KB/s',
            found.control_bytes_per_s_per_node / 1000,
            CONTROL_KB_S,
        ),
        ('control, worker VM: KB/s', at_worker, CONTROL_KB_S),
        (
            'candidates examined per start',
            known.slope('candidates_per_start'),
            DEFAULT_CANDIDATES,
        ),
    )
    return _table(
        ('line', 'worked out', 'budget', 'verdict'),
        (
            (name, f'{amount:.3g}', f'{budget:g}', _verdict(amount, budget))
            for name, amount, budget in rows
        ),
    )


_TABLES: dict[str, Callable[[Estimate, Coefficients], list[str]]] = {
    'roles': _roles,
    'verdicts': _verdicts,
    'nodes': _nodes,
    'totals': _totals,
    'reach': _reach,
    'lines': _lines,
}


if __name__ == '__main__':
    write_tables()
