"""Lines from runs of the whole assembly, one quantity varied at a time."""

from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from bench.capacity.fit import Line, fit
from bench.capacity.subprocesses import PROCESSES, run_module

Found = dict[str, float]
NODES = 9
WORKERS = 48
SPAN_S = 20.0
#: Those of the region in which the tasks start; each rack has its own owner.
ZONES_OF_REGION = 2

#: The varied argument with its values, and the others.
RUNS: dict[str, tuple[str, tuple[int, ...], dict[str, Any]]] = {
    'worker': ('workers', (24, 96, 192, 384), {}),
    'task': ('services', (400, 1600, 4800), {'workers': 192}),
    'start': ('starts_per_s', (20, 60, 120), {'workers': 192}),
    'job': ('jobs_per_s', (5, 20, 40), {'workers': 192}),
    'call': ('calls_per_s', (10, 40, 80), {'workers': WORKERS}),
    'owner': ('racks', (1, 2, 3), {'workers': 144, 'starts_per_s': 60}),
    'node': ('nodes', (9, 18, 27), {}),
    'team': ('teams', (8, 80, 340), {}),
}
IDLE_PEERS = (
    'Heartbeat',
    'HeartbeatReply',
    'CapacityReport',
    'DemandUpdate',
)


def measure() -> dict[str, Line]:
    """Run every point and return the lines by name."""
    wanted = [
        (kind, size, {argument: size, 'span_s': SPAN_S} | rest)
        for kind, (argument, sizes, rest) in RUNS.items()
        for size in sizes
    ]
    with ThreadPoolExecutor(PROCESSES) as pool:
        found = list(
            pool.map(lambda one: run_module('assembly', one[2]), wanted)
        )
    runs: dict[str, list[tuple[float, Found]]] = {}
    for (kind, size, _), counted in zip(wanted, found, strict=True):
        runs.setdefault(kind, []).append((size, counted))
    return {
        name: fit(
            [(_size(kind, size, run), of(run)) for size, run in runs[kind]]
        )
        for name, (kind, of) in _LINES.items()
    }


def _size(kind: str, size: float, run: Found) -> float:
    """Return what a line runs over: loads count as they really came."""
    if kind in {'start', 'job'}:
        return run['sync:starts']
    if kind == 'call':
        return run['calls']
    if kind == 'owner':
        return size * ZONES_OF_REGION
    if kind == 'node':
        return size * (size - 1)
    return size


def _value(name: str) -> Callable[[Found], float]:
    return lambda run: run.get(name, 0)


def _sum(prefix: str, names: Iterable[str] = ()) -> Callable[[Found], float]:
    chosen = {f'{prefix}:{name}' for name in names}

    def is_counted(name: str) -> bool:
        return name in chosen if chosen else _is_peer(prefix, name)

    def total(run: Found) -> float:
        return sum(run[name] for name in run if is_counted(name))

    return total


def _is_peer(prefix: str, name: str) -> bool:
    head, _, purpose = name.partition(':')
    return head == prefix and purpose[:1].isupper()


def _per_start(name: str) -> Callable[[Found], float]:
    return lambda run: run[name] / run['sync:starts']


def _vm_list(run: Found) -> float:
    return run['bytes:vm-list'] / NODES


_LINES: dict[str, tuple[str, Callable[[Found], float]]] = {
    'cpu_s_per_s_per_idle_worker': ('worker', _value('cpu_per_s')),
    'exchanges_per_s_per_idle_worker': ('worker', _value('sync:exchanges')),
    'sync_bytes_per_s_per_idle_worker': ('worker', _value('sync:bytes')),
    'vm_list_bytes_per_s_per_vm_and_node': ('worker', _vm_list),
    'cpu_s_per_s_per_running_task': ('task', _value('cpu_per_s')),
    'sync_bytes_per_s_per_running_task': ('task', _value('sync:bytes')),
    'peer_bytes_per_s_per_running_task': ('task', _sum('bytes')),
    'cpu_s_per_start': ('start', _value('cpu_per_s')),
    'candidates_per_start': ('start', _value('place:examined')),
    'candidates_per_start_per_owner_node': (
        'owner',
        _per_start('place:examined'),
    ),
    'cpu_s_per_start_per_owner_node': ('owner', _per_start('cpu_per_s')),
    'peer_messages_per_start': ('start', _sum('msg')),
    'peer_bytes_per_start': ('start', _sum('bytes')),
    'sync_bytes_per_start': ('start', _value('sync:bytes')),
    'exchanges_per_start': ('start', _value('sync:exchanges')),
    'log_bytes_per_start': ('start', _value('log:bytes')),
    'log_appends_per_start': ('start', _value('log:appends')),
    'cpu_s_per_single_job': ('job', _value('cpu_per_s')),
    'peer_messages_per_single_job': ('job', _sum('msg')),
    'exchanges_per_single_job': ('job', _value('sync:exchanges')),
    'log_appends_per_single_job': ('job', _value('log:appends')),
    'log_bytes_per_single_job': ('job', _value('log:bytes')),
    'cpu_s_per_call': ('call', _value('cpu_per_s')),
    'peer_messages_per_call': ('call', _sum('msg')),
    'peer_bytes_per_call': ('call', _sum('bytes')),
    'cpu_s_per_s_per_node_pair': ('node', _value('cpu_per_s')),
    'peer_messages_per_s_per_node_pair': ('node', _sum('msg', IDLE_PEERS)),
    'peer_bytes_per_s_per_node_pair': ('node', _sum('bytes', IDLE_PEERS)),
    'cpu_s_per_s_per_team': ('team', _value('cpu_per_s')),
    'peer_bytes_per_s_per_team': ('team', _sum('bytes')),
    'rss_bytes_of_assembly_per_worker': ('worker', _value('rss')),
}
