"""Runs seeds: ``python -m berylspread_standins.process_soak``."""

import asyncio
import collections
import functools
import json
import random
import shutil
import signal
import sys
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Final, final

from berylspread.kernel.clock import now
from berylspread_standins.coordinated.lease import WorkerClock, draw_kill_s
from berylspread_standins.process_soak.callers import Callers
from berylspread_standins.process_soak.faults import (
    ProcessFault,
    ZoneClosed,
    faults,
)
from berylspread_standins.process_soak.fleet import ProcessFleet
from berylspread_standins.process_soak.programs import Programs
from berylspread_standins.process_soak.promises import broken_promises
from berylspread_standins.process_soak.severe_faults import (
    LongPause,
    draw_clock,
    severe_faults,
)

NODES: Final = 3
WORKERS: Final = 6
SECONDS: Final = 20.0
#: Longest wait until a program is ready, on a machine that is busy.
START_LIMIT_S: Final = 30.0
POLL_S: Final = 0.1
#: After the last fault until all must have ended: a lost worker's leases, a
#: takeover, and the work itself.
SETTLE_S: Final = 30.0
#: The most tasks of a usual step in a severe run: orders that leave together
#: take a while, in which a program may be suspended.
WIDEST_SEVERE: Final = 20
#: Series of faults that run beside each other.
SERIES: Final = 2
GAP_S: Final = 2.0
#: A run in which less is accepted, of what came while it could be, proves
#: nothing.
LEAST_ACCEPTED: Final = 0.3


@final
class SoakReport:
    """What one seed showed."""

    __slots__ = (
        'accepted',
        'handed',
        'injected',
        'is_severe',
        'lapsed',
        'logs',
        'problems',
        'seed',
        'stall_s',
        'starts',
    )

    def __init__(self, seed: int) -> None:
        """Start without anything seen."""
        self.seed = seed
        self.is_severe = False
        #: How late the loop of the stand-ins was at most.
        self.stall_s = 0.0
        self.handed = 0
        self.accepted = 0
        #: The runs that workers have killed since their lease had expired.
        self.lapsed = 0
        self.injected: list[str] = []
        #: How often nodes were started from each source tree.
        self.starts: dict[str, int] = {}
        self.problems: list[str] = []
        #: Where the logs of a failed run are kept.
        self.logs = ''

    def line(self) -> str:
        """Return the report as one JSON line."""
        return json.dumps(
            {name: getattr(self, name) for name in self.__slots__}
        )


async def run_seed(
    seed: int,
    *,
    seconds: float = SECONDS,
    nodes: int = NODES,
    workers: int = WORKERS,
    is_severe: bool = False,
    has_late_orders: bool = False,
    has_late_kills: bool = False,
    programs: Programs | None = None,
) -> SoakReport:
    """Run one seed; logs are kept only if a promise was broken.

    Severe faults are in series of their own, so that a seed's others stay.
    Orders that are carried out late may reach a worker's next life if the run
    ``has_late_orders``, and workers need a while to kill what runs when a lease
    expires if it ``has_late_kills``.  The nodes run ``programs``, or the
    present one.
    """
    report = SoakReport(seed)
    report.is_severe = is_severe
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    rng = random.Random(seed)
    fleet = ProcessFleet(folder, rng)
    if is_severe:
        fleet.options.widest_step = WIDEST_SEVERE
    fleet.options.late_orders_reach_next_life = has_late_orders
    fleet.options.programs = programs or Programs()
    fleet.options.draw_clock = _clocks(report)
    if has_late_kills:
        fleet.options.draw_kill_s = _kill_times(seed)
    callers = Callers(fleet, rng)
    try:
        await fleet.start(nodes, workers)
        await _play(fleet, callers, rng, seconds, report)
        await callers.settle(SETTLE_S)
        report.problems = broken_promises(fleet, callers.jobs)
    finally:
        await callers.close()
        await fleet.stop()
    report.starts = collections.Counter(
        tree or 'present' for node in fleet.nodes for tree in node.starts
    )
    report.lapsed = sum(
        log.outcome == 'lapsed'
        for worker in fleet.workers.values()
        for log in worker.history
    )
    _count(callers, report)
    if report.problems:
        report.logs = str(folder)
    else:
        shutil.rmtree(folder)
    return report


def _clocks(report: SoakReport) -> Callable[[], WorkerClock]:
    """Return what draws the clocks of the workers."""
    if not report.is_severe:
        return WorkerClock
    rng = random.Random(f'clocks {report.seed}')
    return functools.partial(draw_clock, rng)


def _kill_times(seed: int) -> Callable[[], float]:
    return functools.partial(draw_kill_s, random.Random(f'kills {seed}'))


async def _play(
    fleet: ProcessFleet,
    callers: Callers,
    rng: random.Random,
    seconds: float,
    report: SoakReport,
) -> None:
    watching = asyncio.create_task(fleet.watch())
    measuring = asyncio.create_task(_measure_stalls(report))
    ends_at = now() + START_LIMIT_S
    while not fleet.is_serving and now() < ends_at:
        await asyncio.sleep(POLL_S)
    handing = asyncio.create_task(callers.run(seconds))
    series = [
        asyncio.create_task(
            _inject(fleet, random.Random(rng.random()), report, list(faults))
        )
        for _ in range(SERIES)
    ]
    closing = _inject(fleet, random.Random(report.seed), report, [ZoneClosed])
    series.append(asyncio.create_task(closing))
    if report.is_severe:
        series.extend(_severe_series(fleet, report))
    await handing
    series.extend((watching, measuring))
    for each in series:
        each.cancel()
    # A fault that is cut short takes back what it began.
    await asyncio.gather(*series, return_exceptions=True)
    for node in fleet.nodes:
        if node.process is None or node.process.returncode is not None:
            await fleet.restart(node)


def _severe_series(
    fleet: ProcessFleet, report: SoakReport
) -> list[asyncio.Task[None]]:
    rng = random.Random(f'severe {report.seed}')
    series: list[list[type[ProcessFault]]] = [
        *(list(severe_faults) for _ in range(SERIES)),
        [LongPause],
    ]
    return [
        asyncio.create_task(
            _inject(fleet, random.Random(rng.random()), report, kinds)
        )
        for kinds in series
    ]


async def _measure_stalls(report: SoakReport) -> None:
    while True:
        due_at = now() + POLL_S
        await asyncio.sleep(POLL_S)
        report.stall_s = max(report.stall_s, round(now() - due_at, 2))


async def _inject(
    fleet: ProcessFleet,
    rng: random.Random,
    report: SoakReport,
    kinds: list[type[ProcessFault]],
) -> None:
    while True:
        await asyncio.sleep(rng.uniform(0, GAP_S))
        kind = rng.choice(kinds)
        report.injected.append(kind.name)
        fleet.halts += kind.halts
        try:
            await kind().inject(fleet, rng)
        finally:
            fleet.halts -= kind.halts


def _count(callers: Callers, report: SoakReport) -> None:
    report.handed = len(callers.jobs)
    report.accepted = sum(job.accepted_at is not None for job in callers.jobs)
    taken = [job.accepted_at is not None for job in callers.jobs if job.is_due]
    if not taken or sum(taken) < LEAST_ACCEPTED * len(taken):
        report.problems.append('too little was accepted')


def main(
    first: int = 1,
    count: int = 1,
    seconds: float = SECONDS,
    nodes: int = NODES,
    workers: int = WORKERS,
    *,
    severe: bool = False,
    late_orders: bool = False,
    late_kills: bool = False,
    other_program: str = '',
    other_first: bool = False,
) -> None:
    """Run seeds one after the other; exit with 1 if a promise was broken.

    ``other_program`` is the root of another source tree: nodes that are next to
    each other start from different trees, and each start of a node is from the
    tree that its last one was not from.
    """
    programs = Programs(other_program, is_other_first=other_first)
    has_failed = False
    # Ends the programs that a run has started, too.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    for seed in range(first, first + count):
        report = asyncio.run(
            run_seed(
                seed,
                seconds=seconds,
                nodes=nodes,
                workers=workers,
                is_severe=severe,
                has_late_orders=late_orders,
                has_late_kills=late_kills,
                programs=programs,
            )
        )
        sys.stdout.write(f'{report.line()}\n')
        sys.stdout.flush()
        has_failed = has_failed or bool(report.problems)
    sys.exit(int(has_failed))
