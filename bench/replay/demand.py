"""Seeded demand of published shapes.

Run times are heavy-tailed (lognormal), arrivals follow a compressed day with
bursts, job sizes are heavy-tailed, declared sizes and run times are wrong by up
to ten times, some jobs are gangs, and a fifth of what runs is services.
"""

import itertools
import math
import random
from typing import Final, final

from berylspread.model import URGENT_PRIORITY, JobKind, Resources

QUICK: Final = 'quick'
BATCH: Final = 'batch'
URGENT: Final = 'urgent'
GANG: Final = 'gang'
SERVICE: Final = 'service'
KINDS: Final = (QUICK, BATCH, URGENT, GANG, SERVICE)

MEDIAN_RUN_S: Final = {QUICK: 5.0, BATCH: 30.0, URGENT: 3.0, GANG: 20.0}
SPREAD_OF_RUN: Final = {QUICK: 0.6, BATCH: 1.1, URGENT: 0.6, GANG: 0.6}
#: Parts of the job classes by kind.
MIX: Final = {QUICK: 0.4, BATCH: 0.5, GANG: 0.1}
CPU_MILLI: Final = (500, 1000, 2000, 4000, 8000)
CPU_WEIGHTS: Final = (20, 30, 28, 16, 6)
MIB_PER_CORE: Final = (1024, 2048, 4096, 8192)
ACCELERATED_PART: Final = 0.08
MAX_ERROR: Final = 10.0
DAY_S: Final = 120.0
URGENT_PART: Final = 0.05
BURST_PART: Final = 0.2
CORES: Final = 32
#: The largest gang's part of the fleet.
GANG_PART: Final = 0.08


@final
class JobClass:
    """Tasks alike: what they declare, and what they really do."""

    __slots__ = (
        'declared',
        'declared_run_s',
        'kind',
        'median_run_s',
        'name',
        'real',
        'team',
    )

    def __init__(self, team: str, name: str, kind: str) -> None:
        """Start without sizes."""
        self.team = team
        self.name = name
        self.kind = kind
        self.declared = Resources()
        self.real = Resources()
        self.median_run_s = MEDIAN_RUN_S.get(kind, math.inf)
        self.declared_run_s: float = 0

    @property
    def priority(self) -> int:
        """Return the priority of the class's jobs."""
        return URGENT_PRIORITY if self.kind == URGENT else 0

    @property
    def job_kind(self) -> JobKind:
        """Return the kind as the scheduler knows it."""
        return {GANG: JobKind.gang, SERVICE: JobKind.service}.get(
            self.kind, JobKind.batch
        )


@final
class Job:
    """One arrival: tasks with their run times in seconds."""

    __slots__ = ('arrives_at', 'job_class', 'job_id', 'runs_s')

    def __init__(
        self,
        job_id: str,
        job_class: JobClass,
        arrives_at: float,
        runs_s: list[float],
    ) -> None:
        """Describe an arrival."""
        self.job_id = job_id
        self.job_class = job_class
        self.arrives_at = arrives_at
        self.runs_s = runs_s


@final
class Scenario:
    """The fleet, the teams and the arrivals of one replay."""

    __slots__ = (
        'failing',
        'jobs',
        'owners',
        'racks',
        'seconds',
        'shares',
        'workers',
    )

    def __init__(self, workers: int, owners: int, seconds: float) -> None:
        """Size the fleet; ``build`` fills the rest."""
        self.workers = workers
        self.owners = owners
        self.seconds = seconds
        self.racks = workers // 8
        self.failing = max(workers // 100, 1)
        self.shares: dict[str, float] = {}
        self.jobs: list[Job] = []


def capacity_of(number: int) -> Resources:
    """Return what a worker holds; every seventh has eight accelerators."""
    accelerators = 8 if number % 7 == 3 else 0
    return Resources(32_000, 131_072, accelerators, 0)


def build(
    workers: int, owners: int, teams: int, seconds: float, load: float
) -> Scenario:
    """Return the scenario of a seed that is fixed per size."""
    rng = random.Random(workers)
    scenario = Scenario(workers, owners, seconds)
    weights = [1 / (rank + 1) ** 0.7 for rank in range(teams)]
    names = [f'team-{rank}' for rank in range(teams)]
    scenario.shares = {
        name: weight / sum(weights)
        for name, weight in zip(names, weights, strict=True)
    }
    # Demand does not follow the shares: a small team may ask for much.
    demands = {
        name: weight * rng.lognormvariate(0, 1)
        for name, weight in zip(names, weights, strict=True)
    }
    classes = {name: _classes(rng, name) for name in names}
    scenario.jobs = [
        *_services(rng, classes, workers),
        *_arrivals(rng, scenario, classes, demands, load),
    ]
    scenario.jobs.sort(key=lambda job: job.arrives_at)
    return scenario


def _classes(rng: random.Random, team: str) -> list[JobClass]:
    kinds = rng.choices(list(MIX), weights=list(MIX.values()), k=5)
    classes = [
        JobClass(team, f'{team}-{number}', kind)
        for number, kind in enumerate([*kinds, URGENT, SERVICE])
    ]
    for job_class in classes:
        _size(rng, job_class)
    return classes


def _size(rng: random.Random, job_class: JobClass) -> None:
    cpu = rng.choices(CPU_MILLI, weights=CPU_WEIGHTS)[0]
    if job_class.kind in {URGENT, SERVICE}:
        cpu = min(cpu, 2000)
    memory = cpu * rng.choice(MIB_PER_CORE) // 1000
    accelerated = (
        job_class.kind in {BATCH, GANG} and rng.random() < ACCELERATED_PART
    )
    accelerators = rng.choice((1, 2)) if accelerated else 0
    job_class.real = Resources(cpu, memory, accelerators, 0)
    error = _error(rng)
    job_class.declared = Resources(
        min(int(cpu * error), 16_000),
        min(int(memory * error), 65_536),
        accelerators,
        0,
    )
    if math.isfinite(job_class.median_run_s):
        job_class.declared_run_s = job_class.median_run_s * _error(rng)


def _error(rng: random.Random) -> float:
    return min(max(rng.lognormvariate(0, 0.7), 1 / MAX_ERROR), MAX_ERROR)


def _services(
    rng: random.Random, classes: dict[str, list[JobClass]], workers: int
) -> list[Job]:
    jobs = []
    names = list(classes)
    for number in range(workers * 2):
        job_class = classes[names[number % len(names)]][-1]
        jobs.append(Job(f's{number}', job_class, 0, [math.inf]))
    return jobs


def _arrivals(
    rng: random.Random,
    scenario: Scenario,
    classes: dict[str, list[JobClass]],
    asked: dict[str, float],
    load: float,
) -> list[Job]:
    jobs: list[Job] = []
    numbers = itertools.count()
    # Core-seconds that the fleet has beside its services.
    budget = scenario.workers * (32.0 - 2 * 1.4) * scenario.seconds * load
    total = sum(asked.values())
    for team, weight in asked.items():
        left = budget * weight / total
        while left > 0:
            job = _job(rng, scenario, classes[team], next(numbers), left)
            jobs.append(job)
            cores = job.job_class.real.cpu_milli / 1000
            left -= cores * sum(job.runs_s)
    return jobs


def _job(
    rng: random.Random,
    scenario: Scenario,
    classes: list[JobClass],
    number: int,
    budget: float,
) -> Job:
    is_urgent = rng.random() < URGENT_PART
    job_class = classes[-2] if is_urgent else rng.choice(classes[:-2])
    cores = job_class.real.cpu_milli / 1000
    fair = budget / (cores * job_class.median_run_s * 4)
    biggest = max(min(scenario.workers // 2, int(fair)), 1)
    tasks = min(int(rng.paretovariate(0.9)), biggest)
    if job_class.kind == GANG:
        room = scenario.workers * CORES * GANG_PART / cores
        tasks = min(max(tasks, 2), 16, max(int(room), 2))
    accelerators = job_class.real.accelerators
    if accelerators:
        tasks = min(tasks, max(scenario.workers // 7 * 4 // accelerators, 1))
    if is_urgent:
        tasks = min(tasks, max(scenario.workers // 100, 2))
    spread = SPREAD_OF_RUN[job_class.kind]
    runs_s = [
        min(job_class.median_run_s * rng.lognormvariate(0, spread), DAY_S)
        for _ in range(tasks)
    ]
    return Job(f'j{number}', job_class, _arrival(rng, scenario), runs_s)


def _arrival(rng: random.Random, scenario: Scenario) -> float:
    """Draw a time of a compressed day; a fifth comes in four bursts."""
    if rng.random() < BURST_PART:
        burst = rng.choice((0.15, 0.35, 0.55, 0.75))
        return scenario.seconds * burst + rng.random()
    while True:
        moment = rng.random() * scenario.seconds
        phase = moment / scenario.seconds * 2 * math.pi
        if rng.random() * 1.6 < 1 - 0.6 * math.cos(phase):
            return moment
