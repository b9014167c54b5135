"""What the log costs a node: time for each entry, snapshot and document.

Run with ``python -m bench.log_state``.  The sizes are those of
the size designed for; a figure is the best of several rounds in one process.
"""

import asyncio
import itertools
import random
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

from berylspread.config import parse_document
from berylspread.config.keys import check_key, make_key
from berylspread.log import (
    Appender,
    AppenderSettings,
    Batch,
    Claim,
    ClusterState,
    ConfigApplied,
    Entry,
    JobAccepted,
    JobCancelled,
    JobEnded,
    Page,
    Record,
    TasksEnded,
    decode_state,
    encode_batch,
    encode_state,
)
from berylspread.log.folds import Context
from berylspread.log.snapshot import compress_state
from berylspread.model import (
    JobKind,
    JobSpec,
    NodeRef,
    Resources,
    TaskEnd,
    TaskState,
)

TEAMS = 340
UNITS = 240
ACTIVE_JOBS = 2_000
TASKS = 14
ENDED_JOBS = 2_000
ROUNDS = 7
MS = 1000
_rng = random.Random(1)


def document(teams: int) -> str:
    """Return a document with three regions and a queue for each team."""
    lines = ['[environment]', 'name = production']
    lines += [f'[region r{number}]' for number in range(3)]
    lines += ['[organisation o]', 'share = 100']
    for number in range(teams):
        lines.extend(
            [
                f'[team t{number}]',
                'organisation = o',
                'share = 0.25',
                'limit_cpu = 400',
                'limit_tasks = 160',
                f'[queue q{number}]',
                f'team = t{number}',
                'kind = batch',
                'cpu = 2',
            ]
        )
    return '\n'.join(lines)


def job(number: int, tasks: int) -> JobSpec:
    """Return a job with a payload of usual size."""
    return JobSpec(
        job_id=f'job-{number:08}',
        team=f't{number % TEAMS}',
        queue=f'q{number % TEAMS}',
        kind=JobKind.batch,
        tasks=tasks,
        shape=Resources(2000, 4096, 0, 1),
        home=f'teams/r{number % 3}/{number % 4}',
        submitted_at=1.7e9 + number,
        payload=_rng.randbytes(128).hex(),
        request_id=f'request-{number:08}',
    )


def entries(records: list[list[Record]], start: int = 1) -> list[Entry]:
    """Return one entry for each list of records."""
    return [
        Entry(offset, encode_batch(Batch('writer', offset, batch)), 1.7e9)
        for offset, batch in enumerate(records, start)
    ]


def lifetime(number: int) -> list[list[Record]]:
    """Return the records of a job that is accepted and ends."""
    spec = job(number, TASKS)
    ends = tuple(TaskEnd(index, TaskState.succeeded) for index in range(TASKS))
    return [
        [JobAccepted(spec)],
        [
            TasksEnded(spec.job_id, ends),
            JobEnded(spec.job_id, TaskState.succeeded),
        ],
    ]


def best_s(action: Callable[[], Any]) -> float:
    """Return the least processor time of an action in seconds."""
    times = []
    for _ in range(ROUNDS):
        began = time.process_time()
        action()
        times.append(time.process_time() - began)
    return min(times)


def full_log() -> list[Entry]:
    """Return a log that leads to the state of the designed size."""
    records: list[list[Record]] = [
        [ConfigApplied('production', 0, document(TEAMS))]
    ]
    records += [
        [Claim(f'workers/r0/{unit}', 1, NodeRef(f'n{unit % 9}', 1), 1)]
        for unit in range(UNITS)
    ]
    for number in range(ENDED_JOBS):
        records.extend(lifetime(number))
    records += [
        [JobAccepted(job(ENDED_JOBS + number, TASKS))]
        for number in range(ACTIVE_JOBS)
    ]
    return entries(records)


def fold(log: list[Entry]) -> ClusterState:
    """Fold a log from its beginning."""
    state = ClusterState()
    for entry in log:
        state.apply_entry(entry)
    return state


def edited(number: int) -> str:
    """Return the document with one team's limit changed."""
    return document(TEAMS).replace(
        'limit_tasks = 160', f'limit_tasks = {number}', 1
    )


def fold_edit_s(state: ClusterState, texts: Iterator[str]) -> float:
    """Return the least processor time of folding an edit and looking it up."""
    times = []
    for _ in range(ROUNDS):
        base, offset = state.config_version, state.offset + 1
        record = ConfigApplied('production', base, next(texts))
        blob = encode_batch(Batch('editor', offset, [record]))
        began = time.process_time()
        state.apply_entry(Entry(offset, blob, 1.7e9))
        assert state.document.team('t1')
        times.append(time.process_time() - began)
    return min(times)


class FastStore:
    """A store that takes every append at once."""

    def __init__(self) -> None:
        self.end = 1

    async def append(self, blob: bytes) -> int:
        """Return the next offset."""
        await asyncio.sleep(0)
        self.end += 1
        return self.end - 1

    async def read(self, offset: int, *, limit: int, wait_s: float) -> Page:
        """Return an empty page."""
        return Page(1, self.end, [])


async def append_all(calls: int) -> int:
    """Append one record for each of many callers; return the appends."""
    store = FastStore()
    limits = AppenderSettings(min_interval_s=0.0, max_waiting_calls=calls)
    appender = Appender(store, 'writer', limits)
    running = asyncio.create_task(appender.run())
    await asyncio.gather(
        *(
            appender.append(JobCancelled(f'job-{number:08}'))
            for number in range(calls)
        )
    )
    running.cancel()
    return appender.counts.appends


def report(name: str, figure: float, unit: str) -> None:
    """Print one figure."""
    print(f'{name:<44} {figure:10.2f} {unit}')


def main() -> None:
    """Measure and print."""
    log = full_log()
    state = fold(log)
    jobs_log = log[1 + UNITS :]
    report('entries in the log', len(log), '')
    report(
        'fold one entry of a job',
        best_s(lambda: fold(log)) / len(jobs_log) * MS * MS,
        'us',
    )
    blob = encode_state(state.to_wire())
    packed = compress_state(state.to_wire())
    report('snapshot', len(blob) / 1024, 'KiB')
    report('snapshot compressed', len(packed) / 1024, 'KiB')
    report('to_wire', best_s(state.to_wire) * MS, 'ms')
    wire = state.to_wire()
    report('encode', best_s(lambda: encode_state(wire)) * MS, 'ms')
    report('compress', best_s(lambda: compress_state(wire)) * MS, 'ms')
    report(
        'restore',
        best_s(lambda: ClusterState().restore(decode_state(blob))) * MS,
        'ms',
    )
    text = document(TEAMS)
    report('document', len(text) / 1024, 'KiB')
    texts = (edited(number) for number in itertools.count(1))
    report(
        'check a document',
        best_s(lambda: parse_document('d', next(texts))) * MS,
        'ms',
    )
    report('fold an edited document', fold_edit_s(state, texts) * MS, 'ms')
    made = make_key('t1', '', 0.0)
    state.keys.on_created(Context(0, 0.0), made.record)
    checks = 10_000
    report(
        'check a key',
        best_s(
            lambda: [check_key(state.keys, made.text) for _ in range(checks)]
        )
        / checks
        * MS
        * MS,
        'us',
    )
    calls = 10_000
    report(
        'append one record',
        best_s(lambda: asyncio.run(append_all(calls))) / calls * MS * MS,
        'us',
    )
    tracemalloc.start()
    kept = fold(full_log())
    size, _peak = tracemalloc.get_traced_memory()
    report('memory of the state', size / 1024**2, 'MiB')
    assert kept.offset == len(log)


if __name__ == '__main__':
    main()
