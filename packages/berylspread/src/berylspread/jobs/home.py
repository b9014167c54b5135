"""The home of a shard of teams in a region, which hands out their tasks.

A ``JobHome`` serves one tenure of a ``teams/...`` unit.
"""

import asyncio
from typing import Final, final

from absl import logging

from berylspread.jobs.division import Division
from berylspread.jobs.gangs import GangStarter
from berylspread.jobs.job_table import JobTable
from berylspread.jobs.outcomes import FLUSH_INTERVAL_S, OutcomeWriter
from berylspread.jobs.progress import JobProgress
from berylspread.jobs.reconcile import Reconciler
from berylspread.jobs.shares import TeamUsageTracker
from berylspread.jobs.stops import TaskStopper
from berylspread.kernel import Failure, now
from berylspread.kernel.errors import LogUnavailable, NotOwner, StaleEpoch
from berylspread.limits import QuotaLedger
from berylspread.log import (
    JobCancelled,
    TasksStarted,
)
from berylspread.model import (
    PARTITION_PREFIX,
    ZERO,
    JobSpec,
    Resources,
    unit_region,
)
from berylspread.ownership import Tenure
from berylspread.partition.messages import (
    DemandUpdate,
    EventsTaken,
    PullAsk,
    PullReply,
    TaskEvents,
    TaskGrant,
    UnitEpoch,
)
from berylspread.placement.demand import DemandClass, TeamUsage
from berylspread.runtime import NodeContext, run_periodically

PUBLISH_INTERVAL_S: Final = 0.2
REPUBLISH_INTERVAL_S: Final = 2.0
RECONCILE_INTERVAL_S: Final = 0.5
SPILL_AFTER_S: Final = 2.0


@final
class LastPull:
    """The last pull request of a partition.

    The task ``reply`` is done once the starts in the reply are in the log.
    """

    __slots__ = ('epoch', 'reply', 'sequence')

    def __init__(
        self, request: PullAsk, reply: 'asyncio.Task[PullReply | Failure]'
    ) -> None:
        self.epoch = request.partition.epoch
        self.sequence = request.sequence
        self.reply = reply


@final
class JobHome:  # noqa: WPS230
    """Hands out pending tasks to partition owners and records outcomes."""

    __slots__ = (
        'context',
        'demand_sequence',
        'division',
        'gang_starter',
        'job_table',
        'last_published_at',
        'last_pulls',
        'last_signature',
        'outcome_writer',
        'periodic_tasks',
        'quota',
        'reconciler',
        'region',
        'stopper',
        'tenure',
        'unit',
        'usage_tracker',
    )

    def __init__(self, context: NodeContext, tenure: Tenure) -> None:
        self.context = context
        self.tenure = tenure
        self.unit = UnitEpoch(tenure.unit, tenure.epoch)
        self.region = unit_region(tenure.unit)
        self.quota = QuotaLedger()
        self.job_table = JobTable(self.quota, context.wall)
        self.reconciler = Reconciler(context, self.job_table, self.unit)
        self.usage_tracker = TeamUsageTracker(context, self.region)
        self.division = Division()
        self.outcome_writer = OutcomeWriter(context, self.job_table)
        self.stopper = TaskStopper(context, self.job_table, self.unit)
        self.gang_starter = GangStarter(self)
        self.last_pulls: dict[str, LastPull] = {}
        self.demand_sequence = 0
        self.last_published_at = float('-inf')
        self.last_signature: list[object] = []
        self.periodic_tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Load the allotments and the jobs, then start the periodic tasks."""
        self._load_allotments()
        self._load_jobs()
        loops = (
            (RECONCILE_INTERVAL_S, self._reconcile, 'reconciliation'),
            (PUBLISH_INTERVAL_S, self._publish_demand, 'demand'),
            (FLUSH_INTERVAL_S, self.outcome_writer.flush, 'outcomes'),
            (RECONCILE_INTERVAL_S, self.stopper.run_round, 'stops'),
            (PUBLISH_INTERVAL_S, self.gang_starter.run_round, 'gangs'),
        )
        self.periodic_tasks = [
            asyncio.create_task(
                run_periodically(period_s, step, f'{self.unit.unit} {name}')
            )
            for period_s, step, name in loops
        ]

    def close(self) -> None:
        """Stop the periodic tasks, when the unit gets another owner."""
        for task in self.periodic_tasks:
            task.cancel()
        self.periodic_tasks.clear()

    def on_job_accepted(self, spec: JobSpec) -> None:
        """Add an accepted job if this unit is its home."""
        if spec.home == self.unit.unit:
            self.job_table.add_job(
                JobProgress(spec, self._submission_time(spec))
            )

    def on_job_cancelled(self, record: JobCancelled) -> None:
        """Cancel a job if this unit is its home."""
        self.stopper.stop_tasks(
            self.job_table.cancel_job(record.job_id, record.reason)
        )

    def on_allotments_changed(self) -> None:
        """Load the teams' allotments again after a change in the log."""
        self._load_allotments()

    async def handle_pull(self, request: PullAsk) -> PullReply | Failure:
        """Hand out tasks; a repeated request gets the same reply."""
        refusal = self._check_home(request.home)
        if refusal is not None:
            return refusal
        if not self.reconciler.is_reconciled(request.partition):
            return StaleEpoch(
                'the home has not applied an inventory of this epoch',
                unit=request.partition.unit,
            )
        last = self.last_pulls.get(request.partition.unit)
        if last is None or last.epoch != request.partition.epoch:
            return await asyncio.shield(self._hand_out_tasks(request))
        if last.sequence == request.sequence:
            # A repeated request also waits until the starts are in the log.
            return await asyncio.shield(last.reply)
        if request.sequence < last.sequence:
            return StaleEpoch(
                'a later pull request has arrived', unit=request.partition.unit
            )
        return await asyncio.shield(self._hand_out_tasks(request))

    async def handle_events(self, message: TaskEvents) -> EventsTaken | Failure:
        """Apply events and reply once the outcomes among them are durable."""
        refusal = self._check_home(message.home)
        if refusal is not None:
            return refusal
        if not self.reconciler.is_reconciled(message.partition):
            return StaleEpoch(
                'the home has not applied an inventory of this epoch',
                unit=message.partition.unit,
            )
        for event in message.events:
            if self.job_table.apply_event(event):
                self.stopper.on_attempt_ended(event.task)
                self.gang_starter.on_attempt_ended(event)
        if not await self.outcome_writer.wait_until_durable():
            return LogUnavailable('the outcomes are not in the log yet')
        return EventsTaken(len(message.events))

    def team_usages(self) -> list[TeamUsage]:
        """Return the usage and the entitled share of each team at this home."""
        return self.usage_tracker.team_usages(self.quota)

    def demand_receivers(self, classes: list[DemandClass]) -> dict[str, bool]:
        """Return the nodes that get the demand, and whether they are local.

        Nodes of other regions get it once a class waits longer than
        ``SPILL_AFTER_S``.
        """
        spills = any(demand.oldest_age_s > SPILL_AFTER_S for demand in classes)
        owners: dict[str, bool] = {}
        found = self.context.owners(PARTITION_PREFIX)
        for unit, (owner, _epoch) in found.items():
            local = unit_region(unit) == self.region
            if local or spills:
                owners[owner.node] = owners.get(owner.node, False) or local
        return owners

    def _hand_out_tasks(
        self, request: PullAsk
    ) -> 'asyncio.Task[PullReply | Failure]':
        """Hand out tasks and return the task that waits for the log.

        It continues after the request has timed out.
        """
        grants = [
            self.job_table.hand_out(
                line.class_id,
                line.count,
                request.partition.unit,
                request.partition.epoch,
            )
            for line in request.lines
        ]
        self.demand_sequence += 1
        owner = self.context.owner(request.partition.unit)
        node = owner[0].node if owner else ''
        for line, granted in zip(request.lines, grants, strict=True):
            self.division.record_handed_out(node, line.class_id, len(granted))
        reply = PullReply(
            sequence=request.sequence,
            grants=grants,
            classes=self.division.demand_for(node, self._pending_demand()),
            uses=self.team_usages(),
            demand_sequence=self.demand_sequence,
        )
        reply_task = asyncio.create_task(
            self._reply_when_logged(request, reply)
        )
        self.last_pulls[request.partition.unit] = LastPull(request, reply_task)
        return reply_task

    async def _reply_when_logged(
        self, request: PullAsk, reply: PullReply
    ) -> PullReply | Failure:
        failure = await self.log_starts(
            [task for line in reply.grants for task in line]
        )
        if failure is None:
            return reply
        last = self.last_pulls.get(request.partition.unit)
        if last is not None and last.sequence == request.sequence:
            self.last_pulls.pop(request.partition.unit)
        return failure

    async def log_starts(self, grants: list[TaskGrant]) -> Failure | None:
        """Append the starts of tasks of non-idempotent jobs to the log.

        If that fails, all granted tasks become pending again.
        """
        indexes_by_job: dict[str, list[int]] = {}
        for grant in grants:
            if not self.job_table.jobs[grant.task.job_id].spec.idempotent:
                indexes_by_job.setdefault(grant.task.job_id, []).append(
                    grant.task.index
                )
        if not indexes_by_job:
            return None
        appended = await self.context.appender.append(
            *(
                TasksStarted(job_id, tuple(indexes))
                for job_id, indexes in indexes_by_job.items()
            )
        )
        if not isinstance(appended, Failure):
            return None
        for grant in grants:
            self.job_table.return_unstarted(grant.task, grant.attempt)
        return appended

    async def _publish_demand(self) -> None:
        if not self.tenure.is_valid(now()):
            return
        demand = self._pending_demand()
        due = now() - self.last_published_at >= REPUBLISH_INTERVAL_S
        signature = self.division.signature(demand)
        if not due and signature == self.last_signature:
            return
        self.last_signature = signature
        self.last_published_at = now()
        self.demand_sequence += 1
        owners = self.demand_receivers(demand)
        usages = self.team_usages()
        self.division.divide(demand, self._free_by_node(owners))
        for node in owners:
            offered = self.division.demand_for(node, demand)
            self.context.peers.send(
                node,
                DemandUpdate(self.unit, self.demand_sequence, offered, usages),
            )

    def _free_by_node(self, owners: dict[str, bool]) -> dict[str, Resources]:
        """Return the free capacity of each node of the region."""
        free: dict[str, Resources] = {}
        for partition in self.context.capacities.reports_of(self.region):
            if owners.get(partition.node):
                before = free.get(partition.node, ZERO)
                free[partition.node] = before + partition.report.free
        return free

    def _pending_demand(self) -> list[DemandClass]:
        return self.job_table.pending_demand(self.unit.unit, self.unit.epoch)

    async def _reconcile(self) -> None:
        if not self.tenure.is_valid(now()):
            return
        self.quota.expire_all(now())
        await self.reconciler.run_round()
        self.stopper.stop_strays(self.reconciler.stray_tasks)
        self.stopper.preempt_excess(self.quota)

    def _check_home(self, home: UnitEpoch) -> Failure | None:
        if home.epoch != self.unit.epoch:
            return StaleEpoch(
                'the home has another epoch',
                unit=self.unit.unit,
                epoch=self.unit.epoch,
            )
        if not self.tenure.is_valid(now()):
            return NotOwner(
                'the authority of the home has expired', unit=self.unit.unit
            )
        return None

    def _load_jobs(self) -> None:
        for job in self.context.state.jobs.active_jobs_of(self.unit.unit):
            self.job_table.add_job(
                JobProgress.from_log(
                    job.spec,
                    self._submission_time(job.spec),
                    set(job.started),
                    job.terminal_states,
                )
            )
            if job.cancel_reason is not None:
                self.stopper.stop_tasks(
                    self.job_table.cancel_job(
                        job.spec.job_id, job.cancel_reason
                    )
                )
        logging.info(
            'home %s starts with %d jobs under epoch %d',
            self.unit.unit,
            len(self.job_table.jobs),
            self.unit.epoch,
        )

    def _load_allotments(self) -> None:
        allotments = self.context.state.allotments
        for team in self.context.document.teams:
            allotment = allotments.team_allotment(team)
            if allotment is None:
                self.quota.set_allotment(team, ZERO)
            else:
                self.quota.set_allotment(
                    team, allotment.part(self.region), allotment.limit
                )

    def _submission_time(self, spec: JobSpec) -> float:
        return now() - (self.context.wall.time() - spec.submitted_at)
