"""State in bytes, by tracemalloc, of one kind of thing at several counts.

Run as ``python -m bench.capacity.memory '{"kind": ..., "count": ...}'``.
"""

import asyncio
import json
import sys
import tracemalloc
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from bench.capacity import samples
from bench.capacity.fit import Line, fit
from bench.capacity.subprocesses import PROCESSES, run_module
from berylspread.jobs.job_table import JobTable
from berylspread.jobs.progress import JobProgress
from berylspread.kernel import WallClock, now
from berylspread.limits import BookedWork, CapacityLedger, QuotaLedger
from berylspread.log import (
    ConfigApplied,
    JobAccepted,
    JobEnded,
    KeyCreated,
)
from berylspread.log.folds import ConfigFold, Context
from berylspread.log.interface import Entry
from berylspread.log.records import Batch, Record, encode_batch
from berylspread.log.state import ClusterState
from berylspread.model import TaskState
from berylspread.ownership import Tenure
from berylspread.partition.attempts import Attempt
from berylspread.partition.messages import PullReply
from berylspread.partition.worker_link import LinkTiming, WorkerLink
from berylspread.peers import Codec

CLASS_COUNTS = (250, 500, 1000)
TEAMS = 340


def measure() -> dict[str, Line]:
    """Return the memory lines by name."""
    with ThreadPoolExecutor(PROCESSES) as pool:
        lines = pool.map(lambda kind: _line(kind, _COUNTS[kind]), _COUNTS)
        names = (f'memory_bytes_per_{kind}' for kind in _COUNTS)
        return dict(zip(names, lines, strict=True))


def _line(kind: str, counts: tuple[int, ...]) -> Line:
    return fit(
        [
            (
                count,
                run_module('memory', {'kind': kind, 'count': count})['bytes'],
            )
            for count in counts
        ]
    )


def _workers(count: int) -> object:
    ledger = CapacityLedger(samples.PARTITION.unit)
    links = []
    for index in range(count):
        vm = samples.vm(index)
        ledger.add_worker(vm)
        ledger.apply_report(vm.vm_id, samples.WORKER_CAPACITY)
        tenure = Tenure(samples.PARTITION.unit, 9, now())
        link = WorkerLink(vm, tenure, _NoWorkers(), WallClock(), LinkTiming(15))
        link.open()
        links.append(link)
    return ledger, links


def _held_tasks(count: int) -> object:
    """Attempts with their bookings, as pulled over the wire."""
    codec = Codec()
    ledger = CapacityLedger(samples.PARTITION.unit)
    vm = samples.vm(1)
    ledger.add_worker(vm)
    ledger.apply_report(vm.vm_id, samples.SHAPE * count)
    reply = PullReply(1, [[samples.grant(n) for n in range(count)]], [], [], 1)
    taken: PullReply = codec.decode(*codec.encode(reply))
    attempts: dict[str, Attempt] = {}
    for grant in taken.grants[0]:
        key = str(grant.task)
        ledger.book(
            vm.vm_id, key, grant.shape, BookedWork(grant.team, grant.job_class)
        )
        attempts[key] = Attempt(grant, samples.HOME.unit, vm.vm_id)
    return ledger, attempts


def _home_tasks(count: int) -> object:
    """Tasks of one job that are handed out."""
    job_table = JobTable(QuotaLedger(), WallClock())
    progress = JobProgress(samples.spec(1, count), 0)
    job_table.add_job(progress)
    for _ in range(count):
        progress.hand_out(samples.PARTITION.unit, 9)
    return job_table


def _state(records: list[Record]) -> ClusterState:
    state = ClusterState()
    for index, record in enumerate(records, start=1):
        blob = encode_batch(Batch('writer', index, [record]))
        state.apply_entry(Entry(index, blob, float(index)))
    return state


def _jobs(count: int) -> object:
    """Queued jobs of a task each, in the state and at their home."""
    state = _state([JobAccepted(samples.spec(index)) for index in range(count)])
    job_table = JobTable(QuotaLedger(), WallClock())
    for job in state.jobs.active.values():
        job_table.add_job(JobProgress(job.spec, 0))
    return state, job_table


def _ended(count: int) -> object:
    records: list[Record] = []
    for index in range(count):
        records.append(JobAccepted(samples.spec(index)))
        records.append(JobEnded(samples.job_id(index), TaskState.succeeded))
    return _state(records)


def _keys(count: int) -> object:
    return _state(
        [
            KeyCreated(f'key-{n:08x}', f'team-{n}', bytes(32), 'desk')
            for n in range(count)
        ]
    )


def _teams(count: int) -> object:
    """A document's teams and queues, parsed, and the allotments."""
    state = _state([ConfigApplied('production', 0, samples.document(count))])
    quota = QuotaLedger()
    for index in range(count):
        quota.restore(f'team-{index}', samples.SHAPE)
    return state, state.document, quota


def _versions(count: int) -> object:
    text = samples.document(TEAMS)
    fold = ConfigFold()
    apply = getattr(fold, fold.handlers[ConfigApplied])
    for base in range(count):
        changed = f'{text}\n# {base}\n'
        apply(
            Context(base + 1, float(base)),
            ConfigApplied('production', base, changed),
        )
    return fold


class _NoWorkers:
    async def sync(self, vm: object, request: object) -> object:
        return await asyncio.get_running_loop().create_future()


_KINDS: dict[str, Callable[[int], object]] = {
    'worker': _workers,
    'held_task': _held_tasks,
    'home_task': _home_tasks,
    'queued_job': _jobs,
    'ended_job': _ended,
    'key': _keys,
    'team': _teams,
    'config_version': _versions,
}
_COUNTS = dict.fromkeys(_KINDS, CLASS_COUNTS) | {
    'ended_job': (250, 500, 1000),
    'team': (85, 170, 340),
    'config_version': (1, 2, 3),
}


async def _main() -> None:
    given = json.loads(sys.argv[1])
    build = _KINDS[given['kind']]
    build(2)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = build(given['count'])
    for _ in range(3):
        await asyncio.sleep(0)
    after, _ = tracemalloc.get_traced_memory()
    assert kept is not None
    print(json.dumps({'bytes': after - before}))


if __name__ == '__main__':
    asyncio.run(_main())
