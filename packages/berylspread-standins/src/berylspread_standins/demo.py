"""A day in miniature over real sockets: what ran where, and how it waited.

Three entry nodes in two regions serve callers over HTTP; the log service, the
VM list and 24 workers are stand-ins of the same process.
"""

import asyncio
import collections
import json
import logging as std_logging
import math
import pathlib
import sys
from collections.abc import Sequence
from typing import Any, Final, final

import fire
import uvloop
from absl import logging

from berylspread.config import Document, parse_document
from berylspread.kernel import Failure, invariants, now
from berylspread_standins.local_fleet import LocalFleet
from berylspread_standins.workload import Workload, dump_workload

DOCUMENT: Final = 'examples/suryadi.ini'
WORKERS: Final = 24
HEADS: Final = 24
CALLS: Final = 120
CALL_RUN_S: Final = 0.05
CALLS_AT_ONCE: Final = 4
BATCHES: Final = (
    ('pattern-run', 24),
    ('inspect', 12),
    ('label-print', 12),
    ('ledger', 6),
)
GANGS: Final = (('pattern-proof', 6), ('pattern-proof', 10))
BATCH_RUN_S: Final = 1.0
GANG_RUN_S: Final = 1.5
FINISH_LIMIT_S: Final = 30.0
POLL_S: Final = 0.2
MEDIAN: Final = 0.5
TAIL: Final = 0.99
CALL_QUEUES: Final = ('proof', 'proof', 'quote', 'order-status')


@final
class Tally:
    """Counts and waiting times of one kind of work."""

    __slots__ = ('completed', 'refused', 'submitted', 'waits')

    def __init__(self) -> None:
        """Start at zero."""
        self.submitted = 0
        self.completed = 0
        self.refused = 0
        self.waits: list[float] = []

    def summary(self) -> dict[str, float]:
        """Return counts, and waiting times in seconds."""
        return {
            'submitted': self.submitted,
            'completed': self.completed,
            'refused': self.refused,
            'waiting_p50_s': round(quantile(self.waits, MEDIAN), 4),
            'waiting_p99_s': round(quantile(self.waits, TAIL), 4),
        }


def quantile(values: Sequence[float], share: float) -> float:
    """Return the smallest value that a share of all does not exceed."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[max(math.ceil(share * len(ordered)), 1) - 1]


@final
class Demo:
    """Submits the day through HTTP and gathers what came of it."""

    __slots__ = ('document', 'fleet', 'jobs', 'tallies')

    def __init__(self, fleet: LocalFleet, document: Document) -> None:
        """Start without work."""
        self.fleet = fleet
        self.document = document
        self.tallies = {
            kind: Tally()
            for kind in ('interactive', 'batch', 'gang', 'watchers')
        }
        self.jobs: dict[str, tuple[str, int, float]] = {}

    async def run(self) -> None:
        """Submit everything and wait for its end."""
        await self.fleet.make_keys(list(self.document.teams))
        for _ in range(HEADS):
            await self._submit('watchers', 'loom-watcher', 1, None)
        for queue, tasks in BATCHES:
            await self._submit('batch', queue, tasks, BATCH_RUN_S)
        for queue, tasks in GANGS:
            await self._submit('gang', queue, tasks, GANG_RUN_S)
        gate = asyncio.Semaphore(CALLS_AT_ONCE)
        await asyncio.gather(
            *(self._call(number, gate) for number in range(CALLS))
        )
        await self._finish()

    async def _call(self, number: int, gate: asyncio.Semaphore) -> None:
        queue = CALL_QUEUES[number % len(CALL_QUEUES)]
        tally = self.tallies['interactive']
        tally.submitted += 1
        body = dump_workload(
            Workload(run_s=CALL_RUN_S, output=f'answer {number}')
        )
        async with gate:
            started = now()
            reply = await self.fleet.client.post(
                f'{self._url(number)}/v1/queues/{queue}/call',
                content=body,
                headers=self._headers(queue),
            )
            waited_s = now() - started - CALL_RUN_S
        if reply.is_success and reply.content.startswith(body.encode()):
            tally.completed += 1
            tally.waits.append(max(waited_s, 0.0))
        else:
            tally.refused += 1
            logging.warning('call refused: %s', reply.text)

    async def _submit(
        self, kind: str, queue: str, tasks: int, run_s: float | None
    ) -> None:
        tally = self.tallies[kind]
        tally.submitted += tasks
        workload = Workload(run_s=run_s, checkpointable=True)
        reply = await self.fleet.client.post(
            f'{self._url(len(self.jobs))}/v1/jobs',
            json={
                'queue': queue,
                'tasks': tasks,
                'payload': dump_workload(workload),
            },
            headers=self._headers(queue),
        )
        if reply.is_success:
            self.jobs[reply.json()['job_id']] = (kind, tasks, now())
        else:
            tally.refused += tasks
            logging.warning('job refused: %s', reply.text)

    async def _finish(self) -> None:
        """Wait until batches and gangs have ended and each head is watched."""
        ends_at = now() + FINISH_LIMIT_S
        while not await self._is_finished():
            await asyncio.sleep(POLL_S)
            if now() > ends_at:
                break
        for job_id, (kind, tasks, submitted_at) in self.jobs.items():
            tally = self.tallies[kind]
            for index in range(tasks):
                started = self._executed.get(f'{job_id}/{index}')
                if started is not None:
                    tally.completed += 1
                    tally.waits.append(max(started - submitted_at, 0.0))

    async def _is_finished(self) -> bool:
        for job_id, (kind, _tasks, _at) in self.jobs.items():
            if kind == 'watchers':
                if f'{job_id}/0' not in self._executed:
                    return False
            elif not await self._has_succeeded(job_id):
                return False
        return True

    async def _has_succeeded(self, job_id: str) -> bool:
        reply = await self.fleet.client.get(
            f'{self._url(0)}/v1/jobs/{job_id}',
            headers={'Authorization': f'Bearer {self.fleet.token}'},
        )
        return reply.is_success and reply.json()['state'] == 'succeeded'

    @property
    def _executed(self) -> dict[str, float]:
        return self.fleet.servers.observer.executed

    def _headers(self, queue: str) -> dict[str, str]:
        section = self.document.queues[queue]
        key = self.fleet.keys.get(section.team)
        return {'Authorization': f'Bearer {key}'} if key else {}

    def _url(self, number: int) -> str:
        return self.fleet.url(number % len(self.fleet.daemons))


def ran_where(fleet: LocalFleet) -> dict[str, int]:
    """Return how many tasks and calls each rack's workers ran."""
    racks: collections.Counter[str] = collections.Counter()
    by_worker = fleet.servers.observer.ran_at
    for vm in fleet.servers.listed():
        if vm.rack:
            racks[f'{vm.zone}/{vm.rack}'] += by_worker[vm.vm_id]
    return dict(sorted(racks.items()))


def shares(
    fleet: LocalFleet, document: Document
) -> dict[str, dict[str, float]]:
    """Return each team's entitled share and its share of the work."""
    ran = fleet.servers.observer.ran_by
    total = max(sum(ran.values()), 1)
    return {
        team: {
            'entitled': round(document.entitled_share(team), 3),
            'of_starts': round(ran[team] / total, 3),
        }
        for team in document.teams
    }


async def gather(text: str, document: Document) -> dict[str, Any]:
    """Run the day and return the figures."""
    fleet = LocalFleet(workers=WORKERS)
    demo = Demo(fleet, document)
    try:
        await fleet.start(text)
        await demo.run()
    finally:
        found = {kind: tally.summary() for kind, tally in demo.tallies.items()}
        result = {
            **found,
            'ran_where': ran_where(fleet),
            'shares': shares(fleet, document),
            'appends': fleet.servers.service.end - 1,
            'nodes': len(fleet.daemons),
            'workers': WORKERS,
            'observed_violations': len(fleet.servers.observer.violations),
            'invariant_violations': sum(invariants.violations.values())
            + len(fleet.servers.observer.violations),
        }
        await fleet.stop()
    return result


def print_table(found: dict[str, Any]) -> None:
    """Print the figures for people."""
    print(f'{found["nodes"]} entry nodes, {found["workers"]} workers')
    head = ('submitted', 'completed', 'refused', 'p50 wait', 'p99 wait')
    print('{:<12}{:>10}{:>10}{:>9}{:>11}{:>11}'.format('kind', *head))
    for kind in ('interactive', 'batch', 'gang', 'watchers'):
        row = found[kind]
        print(
            f'{kind:<12}{row["submitted"]:>10}{row["completed"]:>10}'
            f'{row["refused"]:>9}{row["waiting_p50_s"]:>9.3f} s'
            f'{row["waiting_p99_s"]:>9.3f} s'
        )
    print('\nran where')
    for rack, count in found['ran_where'].items():
        print(f'  {rack:<24}{count:>6}')
    print('\nteam          entitled  of starts')
    for team, row in found['shares'].items():
        print(f'  {team:<12}{row["entitled"]:>8.3f}{row["of_starts"]:>11.3f}')
    print(f'\nappends to the log: {found["appends"]}')
    print(f'invariant violations: {found["invariant_violations"]}')


def is_whole(found: dict[str, Any]) -> bool:
    """Return whether everything was done and every invariant held."""
    kinds = ('interactive', 'batch', 'gang', 'watchers')
    done = all(
        found[kind]['completed'] == found[kind]['submitted'] for kind in kinds
    )
    return done and not found['invariant_violations']


def demo(json_line: bool = False, document: str = DOCUMENT) -> None:
    """Run a day in miniature; exit 1 unless all of it was served rightly.

    ``json_line`` ends the output with one line of JSON.
    """
    logging.set_verbosity(logging.WARNING)
    std_logging.getLogger('httpx').setLevel(std_logging.WARNING)
    text = pathlib.Path(document).read_text(encoding='utf-8')
    parsed = parse_document(document, text)
    if isinstance(parsed, Failure):
        sys.exit(parsed.reason)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        found = runner.run(gather(text, parsed))
    print_table(found)
    if json_line:
        print(json.dumps(found))
    sys.exit(0 if is_whole(found) else 1)


if __name__ == '__main__':
    logging.use_absl_handler()
    fire.Fire(demo)
