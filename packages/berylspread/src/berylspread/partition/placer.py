"""The placer of one node, which places all homes' demand on its partitions."""

import asyncio
from collections.abc import Callable
from typing import Final, final

from absl import logging

from berylspread.backend import BackendClient
from berylspread.kernel import Failure, now
from berylspread.limits import FreeIndex
from berylspread.ownership import Tenure
from berylspread.partition.attempts import Attempt
from berylspread.partition.demands import DemandTable
from berylspread.partition.messages import (
    DemandUpdate,
    PullReply,
    UnitEpoch,
)
from berylspread.partition.owner import PartitionOwner, PlacerHooks
from berylspread.partition.supervisor import WorkerSupervisor
from berylspread.placement import (
    Decision,
    DemandQueue,
    Pipeline,
    Rejection,
    default_policy,
)
from berylspread.runtime import NodeContext, run_periodically

WORKER_UPDATE_INTERVAL_S: Final = 0.5
ROUND_INTERVAL_S: Final = 0.25
CAPACITY_REPORT_INTERVAL_S: Final = 1.0
MAX_DECISIONS_PER_ROUND: Final = 200


@final
class Placer(PlacerHooks):
    """The partition owners of one node and the demand queue that they share."""

    __slots__ = (
        'context',
        'demands',
        'index',
        'owners',
        'pipeline',
        'policy_version',
        'queue',
        'serve_calls',
        'supervisor',
        'tasks',
        'wake',
        'workers',
    )

    def __init__(self, context: NodeContext, workers: BackendClient) -> None:
        self.context = context
        self.workers = workers
        self.index = FreeIndex()
        self.demands = DemandTable()
        self.queue = DemandQueue()
        self.owners: dict[str, PartitionOwner] = {}
        self.supervisor = WorkerSupervisor(self.owners)
        self.wake = asyncio.Event()
        self.policy_version = 0
        self.pipeline = _build_pipeline(context)
        self.serve_calls: Callable[[], None] = _serve_no_calls
        self.tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Start the background tasks."""
        self.tasks = [
            asyncio.create_task(self._placement_loop(), name='placement'),
            asyncio.create_task(
                run_periodically(
                    WORKER_UPDATE_INTERVAL_S, self._update_workers, 'workers'
                )
            ),
            asyncio.create_task(
                run_periodically(
                    CAPACITY_REPORT_INTERVAL_S,
                    self._publish_capacity,
                    'capacity',
                )
            ),
        ]

    def close(self) -> None:
        """Close all partitions; nothing is sent to their workers."""
        for task in self.tasks:
            task.cancel()
        for owner in self.owners.values():
            owner.close()
        self.owners.clear()

    def acquire(self, tenure: Tenure) -> PartitionOwner:
        """Create the owner of a partition and open the links to its workers."""
        logging.info('took over %s with epoch %d', tenure.unit, tenure.epoch)
        owner = PartitionOwner(
            self.context, tenure, self.workers, self.demands, self
        )
        self.owners[tenure.unit] = owner
        self.supervisor.add_partition(owner.ledger)
        owner.update_links()
        return owner

    def lose(self, tenure: Tenure) -> None:
        """Close a partition, unless the node has acquired it again since."""
        owner = self.owners.get(tenure.unit)
        if owner is not None and owner.unit.epoch == tenure.epoch:
            owner.close()
            self.supervisor.remove_partition(tenure.unit)
            self.owners.pop(tenure.unit)

    def owner(self, unit: str) -> PartitionOwner | None:
        """Return the owner of a unit, or ``None`` without a valid tenure."""
        owner = self.owners.get(unit)
        if owner is None or not owner.tenure.is_valid(now()):
            return None
        return owner

    def update_demand(self, node: str, update: DemandUpdate) -> None:
        """Replace a home's demand, if the update is newer."""
        if self.demands.update(node, update):
            self._apply_demand(update.home.unit)

    def on_capacity_freed(self) -> None:
        """Wake the placement loop, as capacity may have become free."""
        self.wake.set()

    def on_attempt_changed(self, attempt: Attempt) -> None:
        """Record the outcome of an attempt, if its new state is one."""
        self.supervisor.record_attempt(attempt)

    def on_pull_reply(self, home: UnitEpoch, reply: PullReply) -> None:
        """Replace the home's demand by the one in the reply."""
        self.demands.update_from_reply(home.unit, reply)
        self._apply_demand(home.unit)

    def _apply_demand(self, home: str) -> None:
        stored = self.demands.homes[home]
        self.queue.update_home(home, stored.classes, now())
        for use in stored.uses:
            self.pipeline.context.shares.update_team(use)
        self.wake.set()

    async def _placement_loop(self) -> None:
        while True:
            try:
                async with asyncio.timeout(ROUND_INTERVAL_S):
                    await self.wake.wait()
            except TimeoutError:
                pass
            self.wake.clear()
            try:
                self._run_round()
            except Exception:  # noqa: BLE001 - the loop must go on
                logging.exception('placement round failed')
            await asyncio.sleep(0)

    def _run_round(self) -> None:
        self._refresh_policy()
        # Calls go before tasks, because a client waits for the reply to a call.
        self.serve_calls()
        booked = 0
        for _ in range(MAX_DECISIONS_PER_ROUND):
            decision = self.pipeline.next_decision(
                self.queue, self.index, now()
            )
            if decision is None:
                return
            if isinstance(decision, Rejection):
                self._preempt_for(decision)
            else:
                booked += self._book(decision)
        # Without a valid tenure no booking succeeds.  Another round at once
        # would then repeat without end.
        if booked:
            self.wake.set()

    def _preempt_for(self, rejection: Rejection) -> None:
        pending = self.queue.classes.get(rejection.class_id)
        if pending is not None and pending.demand.is_urgent:
            self.supervisor.preempt_for(pending.demand, self.pipeline)

    def _book(self, decision: Decision) -> bool:
        owner = self.owner(decision.unit)
        pending = self.queue.classes.get(decision.class_id)
        demand = None if pending is None else pending.demand
        if demand is None:
            demand = self.demands.find_class(decision.home, decision.class_id)
        if owner is None or demand is None:
            self.queue.undo_decision(decision.class_id)
            return False
        booked = owner.book(decision.worker, demand)
        if not booked:
            self.queue.undo_decision(decision.class_id)
        return booked

    def _refresh_policy(self) -> None:
        if self.context.document_follower.version == self.policy_version:
            return
        self.policy_version = self.context.document_follower.version
        shares = self.pipeline.context.shares
        self.pipeline = _build_pipeline(self.context)
        self.pipeline.context.shares = shares

    async def _update_workers(self) -> None:
        for owner in list(self.owners.values()):
            owner.update_links()
        self.supervisor.probe_quarantined(self.demands.pending_classes())
        self.pipeline.context.update_capacity(
            view
            for owner in self.owners.values()
            for view in owner.ledger.workers.values()
        )
        self.pipeline.context.shares.region_capacity = (
            self.context.capacities.region_capacity(self.context.region)
        )

    async def _publish_capacity(self) -> None:
        reports = [
            owner.capacity_report(0)
            for owner in self.owners.values()
            if owner.tenure.is_valid(now())
        ]
        for member in self.context.membership.members():
            for report in reports:
                self.context.peers.send(member.node, report)


def _serve_no_calls() -> None:
    """Do nothing; the default on a node that serves no calls."""


def _build_pipeline(context: NodeContext) -> Pipeline:
    document = context.document
    pipeline = Pipeline.from_options(document.policy, document.plugins.values())
    if isinstance(pipeline, Failure):
        logging.error('invalid policy, using the default: %s', pipeline.reason)
        pipeline = Pipeline.from_options(default_policy())
    if isinstance(pipeline, Failure):
        raise TypeError(pipeline.reason)
    return pipeline
