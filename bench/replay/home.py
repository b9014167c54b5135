"""A job home in the replay: pending tasks, quota, and learned use."""

import collections
import math
from typing import Final, final

from bench.replay.demand import BATCH, JobClass
from berylspread.limits import QuotaLedger
from berylspread.model import Resources
from berylspread.placement import DecayedUsage, DemandClass, GangInfo, TeamUsage
from berylspread.placement.learned import UsageEstimator

USE_HALF_LIFE_S: Final = 20.0
#: A team's upper limit as a part of the fleet.
LIMIT: Final = 0.8


@final
class Task:
    """One task; times are simulated seconds."""

    __slots__ = (
        'arrived_at',
        'gang',
        'granted',
        'job_class',
        'key',
        'run_s',
        'started_at',
        'version',
        'worker',
    )

    def __init__(
        self, key: str, job_class: JobClass, arrived_at: float, run_s: float
    ) -> None:
        """Start pending."""
        self.key = key
        self.job_class = job_class
        self.arrived_at = arrived_at
        self.run_s = run_s
        self.granted = Resources()
        self.started_at = math.nan
        self.worker = ''
        self.version = 0
        self.gang = ''


@final
class Home:
    """Pending tasks by class, in order of arrival."""

    __slots__ = (
        'changed',
        'classes',
        'gangs',
        'is_omniscient',
        'learned',
        'pending',
        'quota',
        'shares',
        'starving',
        'total',
        'unit',
        'use',
        'waiting',
    )

    def __init__(
        self, unit: str, total: Resources, *, is_omniscient: bool
    ) -> None:
        """Start without work."""
        self.unit = unit
        self.total = total
        self.is_omniscient = is_omniscient
        self.quota = QuotaLedger()
        self.learned = UsageEstimator()
        self.classes: dict[str, JobClass] = {}
        self.pending: dict[str, collections.deque[Task]] = {}
        self.gangs: dict[str, list[Task]] = {}
        self.starving: dict[str, DemandClass] = {}
        self.changed: dict[str, int] = {}
        self.shares: dict[str, float] = {}
        self.use: dict[str, DecayedUsage] = {}
        #: What the pending tasks would use, by team.  Work for accelerators
        #: waits for these alone, and is no claim on what the teams share.
        self.waiting: dict[str, Resources] = {}

    def add_team(self, team: str, share: float) -> None:
        """Take a team with four fifths of the fleet as its limit."""
        limit = Resources(
            int(self.total.cpu_milli * LIMIT),
            int(self.total.memory_mib * LIMIT),
        )
        self.quota.set_allotment(team, limit)
        self.shares[team] = share
        self.waiting[team] = Resources()
        self.use[team] = DecayedUsage(0, USE_HALF_LIFE_S)

    def put(self, task: Task, version: int, *, first: bool = False) -> None:
        """Let a task wait; a preempted one goes to the front."""
        job_class = task.job_class
        self.classes[job_class.name] = job_class
        line = self.pending.setdefault(job_class.name, collections.deque())
        if first:
            line.appendleft(task)
        else:
            line.append(task)
        self._wait(job_class, 1)
        self.changed[job_class.name] = version

    def shape(self, job_class: JobClass) -> Resources:
        """Return what to grant a task of a class."""
        if self.is_omniscient:
            return job_class.real
        return self.learned.estimate_grant(job_class.name, job_class.declared)

    def demand(self, name: str, now: float) -> DemandClass:
        """Return a class as it is published."""
        job_class = self.classes[name]
        line = self.pending[name]
        run_s = (
            job_class.median_run_s
            if math.isfinite(job_class.median_run_s)
            else 0
        )
        if not self.is_omniscient:
            run_s = self.learned.expected_run_s(name, job_class.declared_run_s)
        shape = self.shape(job_class)
        room = self.quota.teams[job_class.team].room(shape)
        return DemandClass(
            class_id=name,
            home=self.unit,
            home_epoch=1,
            team=job_class.team,
            queue='',
            job_class=name,
            kind=job_class.job_kind,
            shape=shape,
            count=len(line) if room is None else min(room, len(line)),
            priority=job_class.priority,
            oldest_age_s=now - line[0].arrived_at if line else 0,
            expected_run_s=run_s,
            preemptible=job_class.kind == BATCH,
        )

    def pull(self, name: str, shape: Resources, version: int) -> Task | None:
        """Hand out one task, if there is one and the team's limit allows."""
        line = self.pending[name]
        team = self.classes[name].team
        if not line or not self.quota.acquire(team, shape, 1):
            return None
        task = line.popleft()
        self._wait(task.job_class, -1)
        self.changed[name] = version
        return task

    def add_gang(self, gang_id: str, tasks: list[Task]) -> None:
        """Let a gang wait."""
        self.gangs[gang_id] = tasks
        job_class = tasks[0].job_class
        self._wait(job_class, len(tasks))

    def gang_started(self, gang_id: str) -> list[Task]:
        """Return the tasks of a gang that has its capacity."""
        tasks = self.gangs.pop(gang_id)
        job_class = tasks[0].job_class
        self._wait(job_class, -len(tasks))
        return tasks

    def gang_demand(self, gang_id: str, now: float, owners: int) -> DemandClass:
        """Return a gang as it is published, with an owner's part of it."""
        tasks = self.gangs[gang_id]
        job_class = tasks[0].job_class
        return DemandClass(
            class_id=gang_id,
            home=self.unit,
            home_epoch=1,
            team=job_class.team,
            queue='',
            job_class=job_class.name,
            kind=job_class.job_kind,
            shape=self.shape(job_class),
            count=len(tasks),
            oldest_age_s=now - tasks[0].arrived_at,
            expected_run_s=job_class.declared_run_s,
            gang=GangInfo(gang_id, -(-len(tasks) // owners)),
        )

    def _wait(self, job_class: JobClass, tasks: int) -> None:
        if not job_class.real.accelerators:
            self.waiting[job_class.team] += job_class.real * tasks

    def give_back(self, task: Task, version: int) -> None:
        """Free a task's quota; a team at its limit may go on."""
        team = task.job_class.team
        quota = self.quota.teams[team]
        was_full = quota.room(task.granted) == 0
        self.quota.release(team, task.granted)
        if was_full:
            for name, line in self.pending.items():
                if line and self.classes[name].team == team:
                    self.changed[name] = version

    def team_uses(self, now: float) -> list[TeamUsage]:
        """Return the teams' shares as they are published."""
        uses = []
        for team, quota in self.quota.teams.items():
            current = quota.used.dominant_share(self.total)
            decayed = self.use[team].observe(current, now)
            uses.append(TeamUsage(team, self.shares[team], decayed, current))
        return uses
