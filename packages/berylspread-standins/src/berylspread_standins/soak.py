"""Long randomised runs of the whole assembly in virtual time.

Each seed starts nine nodes over three availability zones, offers a day in
miniature, and brings about random faults, two at a time.  Invariants are
asserted inside the program; an observer sees only what the workers really ran.
"""

import asyncio
import itertools
import json
import logging as std_logging
import pathlib
import random
import sys
from collections.abc import Iterator
from concurrent.futures import ProcessPoolExecutor
from typing import Any, Final, final

import fire
from absl import logging

from berylspread.kernel import Failure, RunState, invariants, now
from berylspread.model import JobKind
from berylspread_standins.cluster import Cluster
from berylspread_standins.faults import Fault, faults
from berylspread_standins.load import Load
from berylspread_standins.virtual_time import run_virtual

DOCUMENT: Final = 'examples/suryadi.ini'
MINUTES: Final = 10.0
SETTLE_S: Final = 60.0
CALM_S: Final = 240.0
GAP_S: Final = 8.0
FAULTS_AT_ONCE: Final = 2
POLL_S: Final = 1.0
SECONDS: Final = 60.0
PROCESSES: Final = 8
#: Share of the run's end in which a fault may still be under way.
LIMIT_FACTOR: Final = 4.0
LARGE_SEED: Final = 1_000_000_000


@final
class SoakRun:
    """One seed: cluster, load, faults and the checks at the end."""

    __slots__ = (
        'cluster',
        'injected',
        'kinds',
        'load',
        'minutes',
        'problems',
        'rng',
    )

    def __init__(self, seed: int, minutes: float, only: str = '') -> None:
        """Lay out the assembly; ``only`` names faults to choose from."""
        self.rng = random.Random(seed)
        self.minutes = minutes
        text = pathlib.Path(DOCUMENT).read_text(encoding='utf-8')
        self.cluster = Cluster(text, seed=self.rng.randrange(LARGE_SEED))
        self.load = Load(self.cluster, random.Random(self.rng.random()))
        self.injected: list[str] = []
        self.problems: list[str] = []
        chosen = only.split(',') if only else []
        self.kinds = [
            kind for kind in faults if not chosen or kind.name in chosen
        ]

    async def run(self) -> dict[str, Any]:
        """Run the seed and return what was seen."""
        await self.cluster.start()
        await self.cluster.until_ready()
        await self.load.start_watchers()
        duration_s = self.minutes * SECONDS
        await asyncio.gather(
            self.load.run(duration_s),
            *(self._inject(duration_s) for _ in range(FAULTS_AT_ONCE)),
        )
        await self.load.finish()
        await self._calm()
        self._check_calls()
        self._check_jobs()
        self._check_observer()
        await self.cluster.close()
        return self._summary()

    async def _inject(self, duration_s: float) -> None:
        ends_at = now() + duration_s
        while now() < ends_at:
            await asyncio.sleep(self.rng.expovariate(1 / GAP_S))
            fault: Fault = self.rng.choice(self.kinds)()
            self.injected.append(fault.name)
            await fault.inject(self.cluster, self.rng)

    async def _calm(self) -> None:
        """Wait until all that was accepted has ended, or time is up."""
        ends_at = now() + CALM_S
        await asyncio.sleep(SETTLE_S)
        while self._open_jobs():
            await asyncio.sleep(POLL_S)
            if now() > ends_at:
                return

    def _open_jobs(self) -> list[str]:
        active = self.cluster.node().state.jobs.active
        return [spec.job_id for spec in self.load.jobs if spec.job_id in active]

    def _check_calls(self) -> None:
        executed = self.cluster.observer.executed
        for record in self.load.calls:
            outcome = record.outcome
            if isinstance(outcome, Failure):
                is_refused = outcome.run_state is RunState.not_run
                if is_refused and record.request_id in executed:
                    self.problems.append(
                        f'refused as not run, but ran: {record.request_id}'
                    )
            elif outcome.request_id != record.request_id:
                self.problems.append(
                    f'answer of another call: {record.request_id}'
                )

    def _check_jobs(self) -> None:
        self.problems.extend(
            f'lost or stuck job: {job_id}' for job_id in self._open_jobs()
        )
        running = self.cluster.observer.running
        for spec in self.load.watchers:
            runs = running.get(f'{spec.job_id}/0', [])
            if len(runs) != 1:
                self.problems.append(
                    f'watcher {spec.job_id} runs {len(runs)} times'
                )

    def _check_observer(self) -> None:
        self.problems.extend(
            f'{violation.kind}: {violation.subject} at {violation.at:.3f}:'
            f' {violation.evidence}'
            for violation in self.cluster.observer.violations
        )
        self.problems.extend(
            f'invariant violated: {name} ({count})'
            for name, count in invariants.violations.items()
        )

    def _summary(self) -> dict[str, Any]:
        ended = self.cluster.observer.counts
        return {
            'problems': self.problems,
            'calls': dict(sorted(self.load.counts.items())),
            'executions': dict(sorted(ended.items())),
            'faults': len(self.injected),
            'jobs': len(self.load.jobs),
            'entries': self.cluster.log.end - 1,
            'watchers': sum(
                spec.kind is JobKind.service for spec in self.load.watchers
            ),
        }


async def _run(seed: int, minutes: float, only: str) -> dict[str, Any]:
    return await SoakRun(seed, minutes, only).run()


def run_seed(
    seed: int, minutes: float = MINUTES, only: str = ''
) -> dict[str, Any]:
    """Run one seed in a fresh loop of virtual time."""
    std_logging.disable(std_logging.CRITICAL)
    invariants.violations.clear()
    limit_s = minutes * SECONDS * LIMIT_FACTOR + CALM_S + SETTLE_S
    try:
        found = run_virtual(_run(seed, minutes, only), limit_s=limit_s)
    except TimeoutError:
        found = {'problems': ['the run did not end in time']}
    return {'seed': seed, **found}


def run_seeds(
    seeds: list[int], minutes: float, only: str, processes: int
) -> Iterator[dict[str, Any]]:
    """Run seeds in parallel processes, in order."""
    with ProcessPoolExecutor(processes) as pool:
        yield from pool.map(
            run_seed, seeds, itertools.repeat(minutes), itertools.repeat(only)
        )


def soak(
    first: int = 1,
    count: int = 20,
    minutes: float = MINUTES,
    only: str = '',
    processes: int = PROCESSES,
) -> None:
    """Run ``count`` seeds from ``first`` on; exit 1 if any has a problem.

    ``only`` limits the faults to a comma-separated list of their names.
    """
    failed = 0
    seeds = list(range(first, first + count))
    for found in run_seeds(seeds, minutes, only, processes):
        failed += bool(found['problems'])
        print(json.dumps(found), flush=True)
    print(f'{count - failed} passed, {failed} failed')
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    logging.set_verbosity(logging.FATAL)
    fire.Fire(soak)
