"""The replay: arrivals, owners' rounds and ends of tasks as events."""

import heapq
import itertools
import math
import random
import time
from collections.abc import Callable
from typing import Any, Final, final

import xxhash

from bench.replay.demand import GANG, SERVICE, Scenario
from bench.replay.fleet import Fleet, Owner
from bench.replay.home import Home, Task
from bench.replay.policies import Policy
from bench.replay.results import Results
from berylspread.limits import BookedWork, CapacityLedger
from berylspread.limits.vectors import elementwise_max
from berylspread.model import Resources
from berylspread.placement import Decision, DemandClass, Rejection
from berylspread.placement.gang import HOLD_TTL_S, GangAttempt, GangRetry

TICK_S: Final = 0.1
SHARES_EVERY_TICKS: Final = 3
SAMPLE_S: Final = 1.0
FAIL_AFTER_S: Final = 0.5
CHECKPOINT_S: Final = 0.5
OUTGROWN_AFTER_S: Final = 2.0
HOMES: Final = 8


@final
class Replay:
    """One policy over one scenario."""

    def __init__(self, scenario: Scenario, policy: Policy) -> None:
        """Build the fleet, the homes and the owners."""
        self.scenario = scenario
        self.policy = policy
        self.now = 0.0
        self.version = 0
        self.events: list[tuple[float, int, Callable[..., None], Any]] = []
        self.numbers = itertools.count()
        self.rng = random.Random(7)
        self.results = Results(policy.name)
        self.running: dict[str, Task] = {}
        self.stopping: set[str] = set()
        self.fleet = Fleet(scenario, policy)
        self.total = self.fleet.total
        self.owners = self.fleet.owners
        self.homes = [
            Home(
                f'teams/r/{number}',
                self.total,
                is_omniscient=policy.is_pooled,
            )
            for number in range(HOMES)
        ]
        for team, share in scenario.shares.items():
            self.home_of(team).add_team(team, share)

    def home_of(self, team: str) -> Home:
        """Return the home of a team's shard."""
        return self.homes[xxhash.xxh64_intdigest(team.encode()) % HOMES]

    def at(self, when: float, action: Callable[..., None], item: Any) -> None:
        """Plan an event."""
        heapq.heappush(self.events, (when, next(self.numbers), action, item))

    def run(self) -> Results:
        """Play all events of the scenario's time."""
        for job in self.scenario.jobs:
            self.at(job.arrives_at, self.on_arrival, job)
        for number, owner in enumerate(self.owners):
            phase_s = TICK_S * (number + 1) / len(self.owners)
            self.at(phase_s, self.on_tick, owner)
        self.at(SAMPLE_S, self.on_sample, None)
        while self.events and self.events[0][0] <= self.scenario.seconds:
            self.now, _, action, item = heapq.heappop(self.events)
            action(item)
        self._count_pending()
        return self.results

    def on_arrival(self, job: Any) -> None:
        """Let the tasks of a job wait at their home."""
        self.version += 1
        home = self.home_of(job.job_class.team)
        tasks = [
            Task(f'{job.job_id}/{index}', job.job_class, self.now, run_s)
            for index, run_s in enumerate(job.runs_s)
        ]
        for task in tasks:
            task.gang = job.job_id
            if job.job_class.kind != GANG:
                home.put(task, self.version)
        if job.job_class.kind == GANG:
            home.add_gang(job.job_id, tasks)
            retry = GangRetry(self.now, self.rng)
            self.at(self.now, self.on_gang, (home, job.job_id, retry))

    def on_gang(self, item: Any) -> None:
        """Reserve for a gang on one owner after the other, or retry."""
        home, gang_id, retry = item
        tasks = home.gangs[gang_id]
        team = tasks[0].job_class.team
        shape = home.shape(tasks[0].job_class)
        if not home.quota.acquire_all(team, shape, len(tasks)):
            self.at(retry.schedule_retry(self.now), self.on_gang, item)
            return
        demand = home.gang_demand(gang_id, self.now, len(self.owners))
        holds, attempt = self._reserve(demand)
        if not attempt.is_complete:
            for ledger, key in holds:
                ledger.release(key)
            home.quota.release(team, shape, len(tasks))
            starving = self._publish_gang(demand)
            retry_at = retry.schedule_retry(self.now, starving=starving)
            self.at(retry_at, self.on_gang, item)
            return
        tasks = home.gang_started(gang_id)
        for owner in self.owners:
            owner.queue.remove(gang_id)
            owner.pipeline.context.earmarks.remove_class(gang_id)
        for task, (ledger, key) in zip(tasks, holds, strict=True):
            booking = ledger.commit(key, self.now, as_key=task.key)
            assert booking
            booking.work = self._occupant(task)
            self._start(task, shape, booking.worker)

    def _publish_gang(self, demand: DemandClass) -> bool:
        starving = demand.oldest_age_s >= self.policy.section.starving_s
        if starving:
            for owner in self.owners:
                owner.queue.put(demand, self.now)
            self.results.messages += len(self.owners)
        return starving

    def _reserve(self, demand: DemandClass) -> Any:
        units = [str(owner.number) for owner in self.owners]
        attempt = GangAttempt(demand.count, units)
        holds = []
        while (ask := attempt.next_request()) is not None:
            unit, wanted = ask
            owner = self.owners[int(unit)]
            held = 0
            plan = owner.pipeline.plan_gang(demand, owner.index, wanted)
            for view, taken in plan:
                ledger = owner.ledgers[view.unit]
                for _ in range(taken):
                    key = f'{demand.class_id}:{len(holds)}'
                    booked = ledger.book(
                        view.worker,
                        key,
                        demand.shape,
                        expires_at=self.now + HOLD_TTL_S,
                    )
                    assert booked
                    holds.append((ledger, key))
                    held += 1
            attempt.apply_reply(unit, held)
            self.results.messages += 2
        return holds, attempt

    def on_tick(self, owner: Owner) -> None:
        """Receive the homes' news, then decide until nothing fits."""
        self.at(self.now + TICK_S, self.on_tick, owner)
        started_at = time.process_time()
        self._receive(owner)
        starts, homes = 0, set()
        while True:
            before = owner.index.examined
            decided_at = time.process_time()
            outcome = owner.pipeline.next_decision(
                owner.queue, owner.pool, self.now
            )
            if outcome is None:
                break
            self.results.decided(
                time.process_time() - decided_at,
                owner.index.examined - before,
                placed=isinstance(outcome, Decision),
            )
            if isinstance(outcome, Rejection):
                self._preempt(owner, outcome.class_id)
                continue
            started = self._serve(owner, outcome)
            starts += started
            homes.add(outcome.home)
        self.results.ticked(
            time.process_time() - started_at, starts, 2 * len(homes)
        )

    def _receive(self, owner: Owner) -> None:
        owner.ticks += 1
        context = owner.pipeline.context
        for home in self.homes:
            seen = owner.seen[home.unit]
            news = [
                name for name, version in home.changed.items() if version > seen
            ]
            for name in news:
                owner.queue.put(home.demand(name, self.now), self.now)
            self.results.messages += bool(news)
            owner.seen[home.unit] = self.version
            if owner.ticks % SHARES_EVERY_TICKS == 1:
                for use in home.team_uses(self.now):
                    context.shares.update_team(use)
        if owner.ticks % 10 == 1:
            context.update_capacity(owner.views())
        context.shares.region_capacity = self.total
        self.version += 1

    def _serve(self, owner: Owner, decision: Decision) -> int:
        home = self.homes[int(decision.home.rsplit('/', 1)[1])]
        task = home.pull(decision.class_id, decision.shape, self.version)
        if task is None:
            self.results.counts['refused'] += 1
            owner.queue.remove(decision.class_id)
            return 0
        ledger = owner.ledgers[decision.unit]
        booking = ledger.book(
            decision.worker, task.key, decision.shape, self._occupant(task)
        )
        assert booking, booking
        self._start(task, decision.shape, decision.worker)
        return 1

    def _occupant(self, task: Task) -> BookedWork:
        job_class = task.job_class
        home = self.home_of(job_class.team)
        run_s = home.learned.expected_run_s(
            job_class.name, job_class.declared_run_s
        )
        return BookedWork(
            job_class.team,
            job_class.name,
            kind=job_class.job_kind,
            priority=job_class.priority,
            preemptible=job_class.job_kind.value == 'batch',
            started_at=self.now,
            expected_end=self.now + run_s if run_s else None,
        )

    def _start(self, task: Task, shape: Resources, worker: str) -> None:
        task.worker = worker
        task.granted = shape
        task.started_at = self.now
        task.version += 1
        self.running[task.key] = task
        self.results.starts += 1
        if worker in self.fleet.failing and task.job_class.kind != SERVICE:
            self._plan_end(task, FAIL_AFTER_S, 'failed')
        elif (
            not self.policy.is_pooled
            and task.job_class.real.memory_mib > shape.memory_mib * 1.1
        ):
            self._plan_end(task, min(OUTGROWN_AFTER_S, task.run_s), 'outgrew')
        elif math.isfinite(task.run_s):
            self._plan_end(task, task.run_s, 'succeeded')

    def _plan_end(self, task: Task, after_s: float, how: str) -> None:
        self.at(self.now + after_s, self.on_end, (task, task.version, how))

    def on_end(self, item: Any) -> None:
        """Free what a task had; a task that did not succeed waits again."""
        task, version, how = item
        if task.version != version:
            return
        self.version += 1
        home = self.home_of(task.job_class.team)
        self.running.pop(task.key)
        self._ledger(task.worker).release(task.key)
        home.give_back(task, self.version)
        owner = self._owner(task.worker)
        if owner.health is not None and how != 'checkpointed':
            failed = how == 'failed'
            owner.health.record_task(
                task.worker, task.job_class.name, self.now, failed=failed
            )
        real = task.job_class.real
        if how == 'succeeded':
            home.learned.record_task(
                task.job_class.name, real, task.run_s, self.now
            )
            waited_s = task.started_at - task.arrived_at
            self.results.waited(task.job_class.kind, waited_s)
            return
        if how == 'outgrew':
            home.learned.record_overuse(task.job_class.name, real, self.now)
            self.results.counts['outgrown'] += 1
            task.job_class.declared = elementwise_max(
                task.job_class.declared, real
            )
        self.results.counts['failed'] += how == 'failed'
        home.put(task, self.version, first=True)

    def _preempt(self, owner: Owner, class_id: str) -> None:
        pending = owner.queue.classes.get(class_id)
        if pending is None or not pending.demand.is_urgent:
            return
        demand = pending.demand
        workers = owner.pool.sample(demand.shape, 16)
        for booking in owner.pipeline.victims(demand, workers):
            task = self.running.get(booking.key)
            if task is None or booking.key in self.stopping:
                continue
            self.results.counts['preempted'] += 1
            done_s = self.now - task.started_at
            task.run_s = max(task.run_s - done_s, 0.1)
            task.version += 1
            self._plan_end(task, CHECKPOINT_S, 'checkpointed')
            booking.work.preemptible = False

    def on_sample(self, _: Any) -> None:
        """Measure packing and nearness to share."""
        self.at(self.now + SAMPLE_S, self.on_sample, None)
        waiting = {
            team: home.waiting[team]
            for home in self.homes
            for team in home.shares
        }
        used = {
            team: quota.used
            for home in self.homes
            for team, quota in home.quota.teams.items()
        }
        # What runs at a failing worker is no use to anybody.
        healthy = self.total
        for worker in self.fleet.failing:
            view = self._ledger(worker).workers[worker]
            healthy -= view.capacity
            for booking in view.bookings.values():
                used[booking.work.team] -= booking.shape
        self.results.sample(
            healthy, used, waiting, self.scenario.shares, self.now
        )

    def _count_pending(self) -> None:
        for home in self.homes:
            lines = [*home.pending.values(), *home.gangs.values()]
            for task in itertools.chain.from_iterable(lines):
                if task.job_class.kind != SERVICE:
                    self.results.counts['pending'] += 1
                    self.results.waited(
                        task.job_class.kind, self.now - task.arrived_at
                    )

    def _ledger(self, worker: str) -> CapacityLedger:
        return self.fleet.by_worker[worker][1]

    def _owner(self, worker: str) -> Owner:
        return self.fleet.by_worker[worker][0]
