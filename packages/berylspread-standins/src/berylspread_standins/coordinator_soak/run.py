"""Runs a seed, and shrinks the faults of one that violates a check."""

import asyncio
import collections
import logging as std_logging
import random
from typing import Any, Final, cast, final

import msgspec

from berylspread_standins.coordinator_soak.cell import Cell
from berylspread_standins.coordinator_soak.checks import (
    describe,
    find_violations,
)
from berylspread_standins.coordinator_soak.faults import inject_fault
from berylspread_standins.coordinator_soak.plan import Fault, make_plan
from berylspread_standins.virtual_time import run_virtual

#: After the nodes have ended, their tasks still have to.
WIND_UP_S: Final = 0.1
#: Lines of these events name what a trace of a task needs.
TRACED_EVENTS: Final = frozenset(
    (
        'claim',
        'coordinating',
        'leader-lost',
        'loop-delayed',
    )
)
WORKER_EVENTS: Final = frozenset(
    (
        'worker-unreachable',
        'worker-reachable',
        'worker-restarted',
        'worker-silent',
        'worker-entry-gone',
        'worker-lost',
        'fenced',
    )
)


@final
class Options(msgspec.Struct, frozen=True):
    """What a run may contain.

    ``crosses_lives`` lets a late order be carried out by the next life of the
    worker to which it was sent.  With a ``sequence``, faults follow each other
    on one worker and its coordinator; without, they are random.  Workers that
    have ``late_kills`` need a while to kill what runs when a lease expires.
    """

    crosses_lives: bool = False
    late_kills: bool = False
    sequence: str = ''


@final
class Result(msgspec.Struct, frozen=True):
    """What a run showed."""

    seed: int
    faults: tuple[Fault, ...]
    violations: tuple[str, ...]
    starts: int
    claims: int
    trace: tuple[str, ...]

    def kinds(self) -> set[str]:
        """Return the rules that the run violates."""
        return {text.partition(':')[0] for text in self.violations}


def run_seed(
    seed: int,
    options: Options,
    faults: tuple[Fault, ...] | None = None,
) -> Result:
    """Run a seed, with other faults if they are given."""
    std_logging.disable(std_logging.CRITICAL)
    random.seed(seed)
    plan = make_plan(seed, options.sequence)
    if faults is not None:
        plan = msgspec.structs.replace(plan, faults=faults)

    async def run() -> Result:
        cell = Cell(plan, seed, crosses_lives=options.crosses_lives)
        if options.late_kills:
            cell.let_kill_late(random.Random(f'kills {seed}'))
        work = [asyncio.create_task(cell.submit_all())]
        work.extend(
            asyncio.create_task(inject_fault(cell, fault))
            for fault in plan.faults
        )
        await asyncio.sleep(plan.lasts_s)
        violations = find_violations(cell)
        failed = [
            repr(task.exception())
            for task in work
            if task.done() and task.exception() is not None
        ]
        for task in work:
            task.cancel()
        cell.stop()
        await asyncio.sleep(WIND_UP_S)
        claims = sum(bool(line['won']) for line in cell.fleet.events('claim'))
        violations.extend(f'SOAK: {error}' for error in failed)
        return Result(
            seed,
            plan.faults,
            tuple(violations),
            len(cell.fleet.runs()),
            claims,
            tuple(trace(cell, violations)),
        )

    return run_virtual(run())


def trace(cell: Cell, violations: list[str]) -> list[str]:
    """Return the runs and the lines that concern the first violation."""
    if not violations or not violations[0].startswith('TWICE'):
        return []
    task = violations[0].partition('[')[2].partition(' ')[0]
    runs = [log for log in cell.fleet.runs() if log.task == task]
    workers = {log.worker for log in runs}
    moments = [log.started_at for log in runs]
    lines = [
        line
        for line in cell.fleet.lines
        if min(moments) - 1 <= cast('float', line['at']) <= max(moments) + 1
        and _concerns(line, task, workers)
    ]
    return [describe(log) for log in runs] + [_format(line) for line in lines]


def _concerns(line: dict[str, Any], task: str, workers: set[str]) -> bool:
    if line['event'] in WORKER_EVENTS:
        return line.get('worker') in workers
    return line['event'] in TRACED_EVENTS or line.get('task') == task


def _format(line: dict[str, Any]) -> str:
    return ' '.join(f'{key}={value}' for key, value in line.items())


def shrink(result: Result, options: Options) -> Result:
    """Leave out faults as long as a run violates the same rule."""
    wanted = result.violations[0].partition(':')[0]
    for fault in reversed(result.faults):
        fewer = tuple(each for each in result.faults if each is not fault)
        smaller = run_seed(result.seed, options, fewer)
        if wanted in smaller.kinds():
            result = smaller
    return result


def count_kinds(results: list[Result]) -> dict[str, int]:
    """Return the number of runs by the rule that they violate."""
    return dict(
        collections.Counter(
            kind for result in results for kind in result.kinds()
        )
    )
