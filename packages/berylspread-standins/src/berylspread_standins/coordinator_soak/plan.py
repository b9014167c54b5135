"""What happens in a run: the cell, the jobs and the faults, from a seed."""

import asyncio
import random
from typing import Final, final

import msgspec

#: The node that coordinates when a fault begins.
COORDINATOR: Final = 'coordinator'
ANY: Final = '*'
CUT_WORKER: Final = 'cut_worker'
#: Faults of a storm begin within this time of each other, in seconds.
STORM_S: Final = 8.0
#: Seconds between the storms of a run.
STORM_GAPS_S: Final = (14.0, 24.0)
FIRST_STORM_S: Final = 8.0
#: The calm time at the end of a run.
CALM_S: Final = 12.0
FAULTS_PER_STORM: Final = (2, 7)
#: The shares of faults that concern the coordinator, and a storm's worker.
COORDINATOR_SHARE: Final = 0.7
FOCUS_SHARE: Final = 0.7
JOB_GAPS_S: Final = (0.2, 2.5)
MIN_RATE: Final = 0.98
SLOW_RESTART_SHARE: Final = 0.5
RUN_S: Final = (60.0, 120.0)
FIRST_JOB_S: Final = 2.0
ENDLESS_S: Final = 1000.0
SHORT_SHARE: Final = 0.6
SHORT_WORK_S: Final = (0.1, 1.5)
LONG_WORK_S: Final = (2.0, 15.0)
GANG_SHARE: Final = 0.2

#: The shortest and the longest duration of each kind of fault, in seconds.
DURATIONS_S: Final[dict[str, tuple[float, float]]] = {
    'pause': (0.2, 14.0),
    'pause_after_append': (0.2, 14.0),
    'pause_after_order': (0.2, 14.0),
    'cut_store': (0.5, 10.0),
    'cut_peers': (0.5, 10.0),
    'cut_node_from_worker': (0.5, 14.0),
    'cut_node_from_workers': (0.5, 12.0),
    CUT_WORKER: (0.3, 14.0),
    'restart_worker': (0.0, 5.0),
    'lose_orders': (0.5, 4.0),
    'delay_orders': (0.5, 5.0),
    'delay_renewals': (0.5, 5.0),
    'stop_store': (0.5, 8.0),
    'slow_store': (1.0, 8.0),
    'lapse_entry': (0.5, 5.0),
    'hand_over': (0.1, 1.0),
    'kill_node': (0.1, 5.0),
}
#: How often each kind is drawn, where that is not once.
WEIGHTS: Final = {
    'pause': 2,
    'pause_after_append': 2,
    'pause_after_order': 2,
    'cut_node_from_worker': 3,
    CUT_WORKER: 3,
    'restart_worker': 3,
}


@final
class Fault(msgspec.Struct, frozen=True):
    """A fault; ``node`` and ``worker`` say what it concerns."""

    number: int
    kind: str
    at_s: float
    lasts_s: float
    node: str
    worker: str
    #: A share or a delay; its meaning depends on the kind.
    extent: float

    async def last(self) -> None:
        """Wait as long as the fault lasts."""
        await asyncio.sleep(self.lasts_s)

    def is_slow(self) -> bool:
        """Return whether a worker that restarts takes long."""
        return self.extent < SLOW_RESTART_SHARE

    def describe(self) -> str:
        """Return the fault as text."""
        return (
            f'#{self.number} {self.at_s:.2f} s: {self.kind} for '
            f'{self.lasts_s:.2f} s, node {self.node}, worker {self.worker}, '
            f'extent {self.extent:.2f}'
        )


@final
class Part(msgspec.Struct, frozen=True):
    """A part of a sequence: one of some kinds of fault, within some bounds."""

    kinds: tuple[str, ...]
    after_s: tuple[float, float]
    lasts_s: tuple[float, float]
    extent: tuple[float, float] = (0.0, 1.0)
    share: float = 1.0


PAUSES: Final = ('pause', 'pause_after_append', 'pause_after_order')
ENDS_OF_TERM: Final = (*PAUSES, 'kill_node', 'cut_store', 'hand_over')
#: The share of a part that some runs of a sequence lack.
OFTEN: Final = 0.7
#: Extents of cuts of a worker from all nodes, and from all but one.
FROM_ALL: Final = (0.0, 0.32)
FROM_OTHERS: Final = (0.34, 0.65)
#: The extent of a restart that is not behind a cut.
IN_REACH: Final = (0.0, 0.39)
SEQUENCE_GAPS_S: Final = (18.0, 26.0)

#: Faults that follow each other; the coordinator is that of their beginning.
SEQUENCES: Final[dict[str, tuple[Part, ...]]] = {
    'wake': (
        Part(PAUSES, (0.0, 1.0), (8.0, 14.0)),
        Part((CUT_WORKER,), (0.0, 1.0), (12.0, 16.0), FROM_OTHERS),
    ),
    'next-life': (
        Part(('restart_worker',), (0.0, 0.3), (0.0, 0.4), IN_REACH),
        Part(ENDS_OF_TERM, (0.4, 2.5), (1.0, 14.0), share=OFTEN),
        Part((CUT_WORKER,), (0.4, 2.8), (10.0, 14.0), FROM_ALL),
    ),
    'restart-in-pause': (
        Part(PAUSES, (0.0, 1.0), (2.0, 14.0)),
        Part(('restart_worker',), (1.0, 6.0), (0.0, 3.0), IN_REACH),
        Part((CUT_WORKER,), (1.0, 6.0), (6.0, 14.0), FROM_OTHERS),
    ),
    'late': (
        Part(('delay_orders', 'delay_renewals'), (0.0, 1.0), (1.0, 4.0)),
        Part(('delay_orders', 'lose_orders'), (0.0, 1.0), (1.0, 4.0)),
        Part(('restart_worker',), (0.5, 5.0), (0.0, 3.0), share=0.5),
        Part(ENDS_OF_TERM, (0.4, 4.0), (1.0, 14.0), share=OFTEN),
        Part((CUT_WORKER,), (0.4, 6.0), (4.0, 14.0), share=OFTEN),
    ),
    'terms': (
        Part(ENDS_OF_TERM, (0.0, 1.0), (0.5, 9.0)),
        Part(ENDS_OF_TERM, (1.0, 4.0), (0.5, 9.0)),
        Part(ENDS_OF_TERM, (3.0, 8.0), (0.5, 9.0)),
        Part((CUT_WORKER,), (0.0, 8.0), (4.0, 14.0)),
        Part(('cut_node_from_workers',), (0.0, 8.0), (4.0, 12.0)),
    ),
    'entries': (
        Part(('stop_store', 'lapse_entry'), (0.0, 1.0), (1.0, 8.0)),
        Part(ENDS_OF_TERM, (0.0, 6.0), (0.5, 9.0), share=OFTEN),
        Part((CUT_WORKER,), (0.0, 6.0), (4.0, 14.0)),
        Part(('restart_worker',), (0.0, 8.0), (0.0, 5.0), share=0.5),
    ),
    'unnoticed-restart': (
        Part(('restart_worker',), (0.0, 0.1), (0.0, 0.1), IN_REACH),
        Part((CUT_WORKER,), (0.2, 0.9), (9.0, 13.0), FROM_ALL),
    ),
}
#: Stands for any of the sequences below.
MIXED: Final = 'mixed'
DRAWN: Final = (
    'wake',
    'next-life',
    'restart-in-pause',
    'late',
    'terms',
    'entries',
)


@final
class PlannedJob(msgspec.Struct, frozen=True):
    """A job of one step; tasks without an end are long-running."""

    name: str
    at_s: float
    tasks: int
    work_s: float
    gang: bool = False
    long_running: bool = False


@final
class Plan(msgspec.Struct, frozen=True):
    """A run."""

    nodes: int
    worker_rates: tuple[float, ...]
    lasts_s: float
    jobs: tuple[PlannedJob, ...]
    faults: tuple[Fault, ...]


def make_plan(seed: int, sequence: str = '') -> Plan:
    """Return the run of a seed, with faults at random or in a sequence."""
    rng = random.Random(seed)
    nodes = rng.randint(3, 5)
    rates = tuple(
        rng.choice((1.0, rng.uniform(MIN_RATE, 1.0), MIN_RATE))
        for _ in range(rng.randint(6, 10))
    )
    lasts_s = rng.uniform(*RUN_S)
    jobs = _make_jobs(rng, lasts_s - CALM_S)
    faults = (
        _make_sequences(rng, sequence, len(rates), lasts_s - CALM_S)
        if sequence
        else _make_faults(rng, nodes, len(rates), lasts_s - CALM_S)
    )
    return Plan(nodes, rates, lasts_s, jobs, faults)


def _make_jobs(rng: random.Random, lasts_s: float) -> tuple[PlannedJob, ...]:
    jobs = [
        PlannedJob(
            f'e{index}',
            FIRST_JOB_S + index,
            rng.randint(1, 4),
            ENDLESS_S,
            long_running=True,
        )
        for index in range(rng.randint(1, 3))
    ]
    at_s = FIRST_JOB_S
    while at_s < lasts_s:
        jobs.append(_make_job(rng, f'j{len(jobs)}', at_s))
        at_s += rng.uniform(*JOB_GAPS_S)
    return tuple(jobs)


def _make_job(rng: random.Random, name: str, at_s: float) -> PlannedJob:
    is_short = rng.random() < SHORT_SHARE
    work_s = rng.uniform(*(SHORT_WORK_S if is_short else LONG_WORK_S))
    is_gang = rng.random() < GANG_SHARE
    tasks = rng.randint(2, 4) if is_gang else rng.randint(1, 6)
    return PlannedJob(name, at_s, tasks, work_s, gang=is_gang)


def _make_faults(
    rng: random.Random, nodes: int, workers: int, lasts_s: float
) -> tuple[Fault, ...]:
    faults: list[Fault] = []
    kinds = [kind for kind in DURATIONS_S for _ in range(WEIGHTS.get(kind, 1))]
    storm_at = FIRST_STORM_S
    while storm_at + STORM_S < lasts_s:
        focus = rng.randrange(workers)
        for _ in range(rng.randint(*FAULTS_PER_STORM)):
            is_focused = rng.random() < FOCUS_SHARE
            worker = focus if is_focused else rng.randrange(workers)
            is_leading = rng.random() < COORDINATOR_SHARE
            kind = rng.choice(kinds)
            faults.append(
                Fault(
                    len(faults),
                    kind,
                    storm_at + rng.uniform(0, STORM_S),
                    rng.uniform(*DURATIONS_S[kind]),
                    COORDINATOR if is_leading else f'n{rng.randrange(nodes)}',
                    f'w{worker}',
                    rng.random(),
                )
            )
        storm_at += rng.uniform(*STORM_GAPS_S)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))


def _make_sequences(
    rng: random.Random, sequence: str, workers: int, lasts_s: float
) -> tuple[Fault, ...]:
    """Return faults that follow each other on a worker and its coordinator."""
    faults: list[Fault] = []
    storm_at = FIRST_STORM_S
    while storm_at + STORM_S < lasts_s:
        worker = f'w{rng.randrange(workers)}'
        name = rng.choice(DRAWN) if sequence == MIXED else sequence
        for part in SEQUENCES[name]:
            if rng.random() < part.share:
                faults.append(
                    Fault(
                        len(faults),
                        rng.choice(part.kinds),
                        storm_at + rng.uniform(*part.after_s),
                        rng.uniform(*part.lasts_s),
                        COORDINATOR,
                        worker,
                        rng.uniform(*part.extent),
                    )
                )
        storm_at += rng.uniform(*SEQUENCE_GAPS_S)
    return tuple(sorted(faults, key=lambda fault: fault.at_s))
