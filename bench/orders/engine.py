"""Plays a pattern: arrivals, passes of the placement, stops and ends."""

import functools
import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from typing import Final, final

from bench.orders.baselines import Order
from bench.orders.patterns import (
    CAP_SHARE,
    TENANTS,
    Arrival,
    Site,
)
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.fleet import Run, Stage, Worker
from berylspread.coordinator.holds import Holds
from berylspread.coordinator.interface import WorkerEntry
from berylspread.coordinator.model import (
    MS_PER_S,
    WHOLE_PERCENT,
    JobStatus,
    Phase,
    Queue,
    Step,
    Task,
)
from berylspread.coordinator.planner import (
    StepPlacer,
    TenantUsage,
    find_candidates,
)
from berylspread.coordinator.preemption import (
    PREEMPTION_PAUSE_S,
    choose_victims,
)
from berylspread.coordinator.table import JobTable
from berylspread.coordinator.urgency import USELESS_FACTOR
from berylspread.model import Resources

PASS_S: Final = 0.02
#: Between an end and the next start: reports, the store, the order.
TURN_S: Final = 0.05
MIN_STOP_S: Final = 0.2
MAX_STOP_S: Final = 0.4
#: Passes between two looks at what has been learned of the durations.
REASSESS_EVERY: Final = 10
RESUME_S: Final = 0.1
#: Jobs still open this long after the last arrival are not waited for.
DRAIN_S: Final = 60.0
#: Jobs a second that all organisations together are owed: ten times the usual.
WEIGHT_PER_S: Final = 100.0


@final
class SharedPolicies:
    """The caps and weights of the organisations."""

    __slots__ = ('limit', 'queues', 'version')

    def __init__(self, total: Resources) -> None:
        """Take what the whole fleet has."""
        self.version = 1
        self.queues: dict[str, Queue] = {}
        self.limit = Resources(int(total.cpu_milli * CAP_SHARE), 0)

    def is_outdated(self) -> bool:
        """Return ``False``: the configuration never changes."""
        return False

    def find_queue(self, name: str) -> Queue | None:
        """Return ``None``: the jobs bring their queues."""
        return self.queues.get(name)

    def cap(self, tenant: str) -> Resources | None:
        """Return what an organisation may have running."""
        return self.limit

    def weight(self, tenant: str) -> float:
        """Return the jobs a second that an organisation is owed."""
        return WEIGHT_PER_S * TENANTS[tenant]


@final
class Replay:
    """One pattern under one order."""

    __slots__ = (
        'arrivals',
        'counter',
        'done_at',
        'events',
        'holds',
        'left_s',
        'now',
        'order',
        'rng',
        'stopped_s',
        'table',
        'usage',
        'workers',
    )

    def __init__(
        self, site: Site, arrivals: Iterable[Arrival], order: Order
    ) -> None:
        """Start with an empty fleet."""
        self.arrivals = {each.spec.job_id: each for each in arrivals}
        self.order = order
        self.workers = {}
        for number in range(site.workers):
            worker = _worker(number, site)
            self.workers[worker.name] = worker
        total = sum(
            (worker.entry.capacity for worker in self.workers.values()),
            start=Resources(),
        )
        policies = SharedPolicies(total)
        log = DecisionLog('replay', lambda line: None)
        self.table = JobTable(policies, log)
        self.usage = TenantUsage(policies)
        self.holds = Holds()
        self.rng = random.Random(len(self.arrivals))
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.counter = itertools.count()
        #: Seconds of work that a task still needs, by name.
        self.left_s: dict[str, float] = {}
        self.done_at: dict[str, float] = {}
        #: Core-seconds that were worked and not kept.
        self.stopped_s = 0.0

    def play(self) -> None:
        """Play until all jobs have ended or time is up."""
        for arrival in self.arrivals.values():
            self._at(arrival.at_s, functools.partial(self._accept, arrival))
        ends_at = max(each.at_s for each in self.arrivals.values()) + DRAIN_S
        while self.now < ends_at and len(self.done_at) < len(self.arrivals):
            self.now += PASS_S
            while self.events and self.events[0][0] <= self.now:
                heapq.heappop(self.events)[2]()
            if round(self.now / PASS_S) % REASSESS_EVERY == 0:
                self.table.update_estimates()
            self._pass()

    def credit(self) -> dict[str, tuple[int, int, int, float]]:
        """Return jobs, on time, late, and the share of worth, by queue."""
        found: dict[str, list[float]] = {}
        for job_id, arrival in self.arrivals.items():
            row = found.setdefault(arrival.spec.queue.name, [0, 0, 0, 0.0, 0.0])
            took_s = self.done_at.get(job_id, float('inf')) - arrival.at_s
            objective_s = _objective_s(arrival)
            row[0] += 1
            row[1] += took_s <= objective_s
            row[2] += objective_s < took_s <= USELESS_FACTOR * objective_s
            size = sum(arrival.takes_s.values())
            worth = arrival.kind.worth * min(
                0.3 + 0.7 * size / _usual_size(arrival), 4
            )
            late = arrival.kind.late_worth / arrival.kind.worth
            row[3] += worth
            if took_s <= objective_s:
                row[4] += worth
            elif took_s <= USELESS_FACTOR * objective_s:
                row[4] += worth * late
        return {
            name: (int(row[0]), int(row[1]), int(row[2]), row[4] / row[3])
            for name, row in found.items()
        }

    def _at(self, moment: float, act: Callable[[], None]) -> None:
        heapq.heappush(self.events, (moment, next(self.counter), act))

    def _accept(self, arrival: Arrival) -> None:
        job = self.table.add_job(arrival.spec, self.now * MS_PER_S)
        for step in job.steps.values():
            for task in step.tasks:
                self.left_s[task.name] = arrival.takes_s[
                    step.number, task.index
                ]

    def _pass(self) -> None:
        ready = self.table.ready_steps
        by_order = functools.partial(self.order, wall_ms=self.now * MS_PER_S)
        for step in sorted(ready.values(), key=by_order):
            if not step.waiting_tasks:
                ready.pop(step.name)
                continue
            choices = self._candidates(step)
            limit = self.usage.allowed_tasks(
                step, self.holds.kept_quota(step, self.now)
            )
            placer = StepPlacer(step, choices, self.holds, self.now)
            for placement in placer.place_tasks(limit):
                self._start(placement.task, placement.worker)
            if step.waiting_tasks and self.now >= step.preempt_after:
                self._preempt(step, choices)

    def _candidates(self, step: Step) -> list[tuple[Worker, str]]:
        arrival = self.arrivals[step.job.spec.job_id]
        permitted = arrival.permitted[step.number]
        return [
            choice
            for choice in find_candidates(step, self.workers, self.now)
            if _number(choice[0]) in permitted
        ]

    def _preempt(self, step: Step, choices: list[tuple[Worker, str]]) -> None:
        wanted = len(step.waiting_tasks)
        room = self.usage.allowed_tasks(step)
        victims = choose_victims(
            step,
            room,
            [worker for worker, _ in choices],
            self.workers.values(),
            self.now,
        )
        if victims:
            step.preempt_after = self.now + PREEMPTION_PAUSE_S
            if room < wanted:
                self.holds.hold_quota(step, wanted - room, self.now)
            else:
                workers = {run.worker.name for run in victims}
                self.holds.hold_room(step, workers, self.now)
        for run in victims:
            run.stop_reason = 'preempted'
            stop_s = self.rng.uniform(MIN_STOP_S, MAX_STOP_S)
            self._at(self.now + stop_s, functools.partial(self._stopped, run))

    def _start(self, task: Task, worker: Worker) -> None:
        task.step.waiting_tasks.remove(task)
        task.phase = Phase.placed
        task.run_number += 1
        task.worker = worker.name
        run = Run(task, worker, Stage.running, self.now)
        run.record_running()
        worker.add_run(run)
        self.usage.add_task(task)
        self.holds.release(task.step, worker.name)
        resume_s = RESUME_S if task.run_number > 1 else 0.0
        self._at(
            self.now + TURN_S + resume_s + self.left_s[task.name],
            functools.partial(self._ended, run),
        )

    def _stopped(self, run: Run) -> None:
        task = run.task
        if run.worker.runs.get(task.name) is not run:
            return
        self._leave(run)
        worked_s = self.now - run.since
        if task.step.spec.checkpoints:
            whole_s = self._takes_s(task)
            left_s = self.left_s[task.name] - worked_s + MAX_STOP_S + TURN_S
            self.left_s[task.name] = min(max(left_s, 0.0), whole_s)
            task.progress_percent = int(
                WHOLE_PERCENT * (1 - self.left_s[task.name] / whole_s)
            )
        else:
            self.stopped_s += worked_s * run.reserved.cpu_milli / MS_PER_S
        task.step.requeue(task)
        self.table.ready_steps[task.step.name] = task.step

    def _ended(self, run: Run) -> None:
        task, step, job = run.task, run.task.step, run.task.step.job
        if run.worker.runs.get(task.name) is not run:
            return
        self._leave(run)
        task.phase = Phase.done
        # The bench knows what it takes, however often it was stopped.
        self.table.durations.record_task(step.spec, self._takes_s(task))
        step.unfinished_tasks -= 1
        if step.is_done():
            self.table.update_ready(job, self.now * MS_PER_S)
        if all(other.is_done() for other in job.steps.values()):
            self.done_at[job.spec.job_id] = self.now
            self.table.end_job(
                job, JobStatus.succeeded, int(self.now * MS_PER_S)
            )

    def _takes_s(self, task: Task) -> float:
        step = task.step
        arrival = self.arrivals[step.job.spec.job_id]
        return arrival.takes_s[step.number, task.index]

    def _leave(self, run: Run) -> None:
        run.worker.remove_run(run)
        self.usage.remove_task(run.task)


def _worker(number: int, site: Site) -> Worker:
    size = site.sizes[number % len(site.sizes)]
    name = f'w{number}'
    worker = Worker(
        WorkerEntry(
            worker=name,
            service='desk',
            address=name,
            zone='z',
            is_ready=True,
            capacity=Resources(
                int(site.capacity.cpu_milli * size),
                int(site.capacity.memory_mib * size),
                site.capacity.accelerators,
            ),
        )
    )
    worker.is_reachable = True
    return worker


def _number(worker: Worker) -> int:
    return int(worker.name.removeprefix('w'))


def _objective_s(arrival: Arrival) -> float:
    """Return the time that a job may take, by what its tasks really take."""
    queue = arrival.spec.queue
    chain_s = sum(
        max(
            takes_s
            for (number, _), takes_s in arrival.takes_s.items()
            if number == step
        )
        for step in range(len(arrival.spec.steps))
    )
    return queue.stretch * chain_s + queue.target_ms / MS_PER_S


def _usual_size(arrival: Arrival) -> float:
    kind = arrival.kind
    return kind.steps * kind.width * kind.work_s
