"""The home of a shard of teams in a region: it hands out their tasks.

One ``JobHome`` lives for one tenure of a ``teams/...`` unit.
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
    """A partition's last question; ``answer`` ends once it is durable."""

    __slots__ = ('epoch', 'reply', 'sequence')

    def __init__(
        self, ask: PullAsk, reply: 'asyncio.Task[PullReply | Failure]'
    ) -> None:
        """Keep the answer that is on its way."""
        self.epoch = ask.partition.epoch
        self.sequence = ask.sequence
        self.reply = reply


@final
class JobHome:  # noqa: WPS230
    """Hands out pending tasks to partition owners and records their ends."""

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
        """Rebuild the book from the log; ``start`` begins the work."""
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
        """Load the jobs, subscribe to the log and start the periodic work."""
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
        """Stop the periodic work; the unit has another owner."""
        for task in self.periodic_tasks:
            task.cancel()
        self.periodic_tasks.clear()

    def on_job_accepted(self, spec: JobSpec) -> None:
        """Take up a job from the log that names this unit as its home."""
        if spec.home == self.unit.unit:
            self.job_table.add_job(
                JobProgress(spec, self._submission_time(spec))
            )

    def on_job_cancelled(self, record: JobCancelled) -> None:
        """Cancel a job of this home."""
        self.stopper.stop_tasks(
            self.job_table.cancel_job(record.job_id, record.reason)
        )

    def on_allotments_changed(self) -> None:
        """Take over the teams' allotments after a change in the log."""
        self._load_allotments()

    async def handle_pull(self, ask: PullAsk) -> PullReply | Failure:
        """Hand out tasks; the same question gets the same reply."""
        refusal = self._check_home(ask.home)
        if refusal is not None:
            return refusal
        if not self.reconciler.is_reconciled(ask.partition):
            return StaleEpoch(
                'the home has not read this epoch of the partition',
                unit=ask.partition.unit,
            )
        known = self.last_pulls.get(ask.partition.unit)
        if known is None or known.epoch != ask.partition.epoch:
            return await asyncio.shield(self._hand_out_tasks(ask))
        if known.sequence == ask.sequence:
            # A repeat waits, as the first did, until the starts are logged.
            return await asyncio.shield(known.reply)
        if ask.sequence < known.sequence:
            return StaleEpoch('an old question', unit=ask.partition.unit)
        return await asyncio.shield(self._hand_out_tasks(ask))

    async def handle_events(self, message: TaskEvents) -> EventsTaken | Failure:
        """Apply events; reply only once the ends among them are durable."""
        refusal = self._check_home(message.home)
        if refusal is not None:
            return refusal
        if not self.reconciler.is_reconciled(message.partition):
            return StaleEpoch(
                'the home has not read this epoch of the partition',
                unit=message.partition.unit,
            )
        for event in message.events:
            if self.job_table.apply_event(event):
                self.stopper.on_attempt_ended(event.task)
                self.gang_starter.on_attempt_ended(event)
        if not await self.outcome_writer.wait_until_durable():
            return LogUnavailable('the outcomes are not durable yet')
        return EventsTaken(len(message.events))

    def team_usages(self) -> list[TeamUsage]:
        """Return what each team uses here against its entitled share."""
        return self.usage_tracker.team_usages(self.quota)

    def demand_receivers(self, classes: list[DemandClass]) -> dict[str, bool]:
        """Return the nodes to publish to, and whether they are local."""
        spills = any(demand.oldest_age_s > SPILL_AFTER_S for demand in classes)
        owners: dict[str, bool] = {}
        found = self.context.owners(PARTITION_PREFIX)
        for unit, (owner, _epoch) in found.items():
            local = unit_region(unit) == self.region
            if local or spills:
                owners[owner.node] = owners.get(owner.node, False) or local
        return owners

    def _hand_out_tasks(
        self, ask: PullAsk
    ) -> 'asyncio.Task[PullReply | Failure]':
        """Hand out at once; the answer outlives the question's timeout."""
        grants = [
            self.job_table.hand_out(
                line.class_id,
                line.count,
                ask.partition.unit,
                ask.partition.epoch,
            )
            for line in ask.lines
        ]
        self.demand_sequence += 1
        owner = self.context.owner(ask.partition.unit)
        node = owner[0].node if owner else ''
        for line, granted in zip(ask.lines, grants, strict=True):
            self.division.record_handed_out(node, line.class_id, len(granted))
        reply = PullReply(
            sequence=ask.sequence,
            grants=grants,
            classes=self.division.demand_for(node, self._pending_demand()),
            uses=self.team_usages(),
            demand_sequence=self.demand_sequence,
        )
        answer = asyncio.create_task(self._reply_when_logged(ask, reply))
        self.last_pulls[ask.partition.unit] = LastPull(ask, answer)
        return answer

    async def _reply_when_logged(
        self, ask: PullAsk, reply: PullReply
    ) -> PullReply | Failure:
        failed = await self.log_starts(
            [task for line in reply.grants for task in line]
        )
        if failed is None:
            return reply
        pull = self.last_pulls.get(ask.partition.unit)
        if pull is not None and pull.sequence == ask.sequence:
            self.last_pulls.pop(ask.partition.unit)
        return failed

    async def log_starts(self, grants: list[TaskGrant]) -> Failure | None:
        """Log that tasks of non-idempotent jobs may start from now on.

        If the log fails, all the grants are taken back.
        """
        once: dict[str, list[int]] = {}
        for grant in grants:
            if not self.job_table.jobs[grant.task.job_id].spec.idempotent:
                once.setdefault(grant.task.job_id, []).append(grant.task.index)
        if not once:
            return None
        appended = await self.context.appender.append(
            *(
                TasksStarted(job_id, tuple(indexes))
                for job_id, indexes in once.items()
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
        uses = self.team_usages()
        self.division.divide(demand, self._free_by_node(owners))
        for node in owners:
            shown = self.division.demand_for(node, demand)
            self.context.peers.send(
                node, DemandUpdate(self.unit, self.demand_sequence, shown, uses)
            )

    def _free_by_node(self, owners: dict[str, bool]) -> dict[str, Resources]:
        """Return what each node of the region has free."""
        free: dict[str, Resources] = {}
        for known in self.context.capacities.reports_of(self.region):
            if owners.get(known.node):
                before = free.get(known.node, ZERO)
                free[known.node] = before + known.report.free
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
            return NotOwner('the authority has lapsed', unit=self.unit.unit)
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
            'home %s has %d jobs under epoch %d',
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
