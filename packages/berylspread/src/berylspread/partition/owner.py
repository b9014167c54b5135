"""The owner of one partition, a rack's workers, for one tenure of its unit."""

from typing import Final, final

from berylspread.backend import BackendClient, SyncReply
from berylspread.kernel import Failure, now
from berylspread.limits import (
    Barrier,
    BookedWork,
    Booking,
    CapacityLedger,
    FreeIndex,
)
from berylspread.model import ZERO, Resources, TaskState, VmState
from berylspread.ownership import Tenure
from berylspread.partition.attempts import Attempt
from berylspread.partition.demands import DemandTable
from berylspread.partition.gang_holds import GangHolds
from berylspread.partition.messages import (
    CapacityReport,
    CommitAsk,
    PartitionInventory,
    PullReply,
    StopTasks,
    TaskGrant,
    UnitEpoch,
)
from berylspread.partition.puller import PullCallbacks, Puller
from berylspread.partition.reporter import HomeReporter
from berylspread.partition.reports import ReportReader
from berylspread.partition.worker_link import (
    EXCHANGE_TIMEOUT_S,
    UNREACHABLE_AFTER_FAILURES,
    LinkTiming,
    WorkerLink,
)
from berylspread.placement import DemandClass
from berylspread.runtime import NodeContext

#: Nothing is granted for this long after a takeover, because calls that the
#: previous owner admitted may still arrive at the workers.
SETTLE_S: Final = 0.5


@final
class PartitionOwner:
    """Grants the capacity of a rack's workers and tracks what they run.

    The hooks of ``placer`` tell the node's placer when another round may place
    more.
    """

    __slots__ = (
        'acquired_at',
        'context',
        'demands',
        'gang_holds',
        'ledger',
        'links',
        'placer',
        'pull_callbacks',
        'pull_serial',
        'pullers',
        'reader',
        'reporter',
        'tenure',
        'timing',
        'unit',
        'workers',
    )

    def __init__(
        self,
        context: NodeContext,
        tenure: Tenure,
        workers: BackendClient,
        demands: DemandTable,
        placer: 'PlacerHooks',
    ) -> None:
        self.context = context
        self.tenure = tenure
        self.workers = workers
        self.demands = demands
        self.placer = placer
        self.unit = UnitEpoch(tenure.unit, tenure.epoch)
        self.timing = LinkTiming(context.document.timing.lease_s)
        self.ledger = CapacityLedger(tenure.unit, placer.index)
        self.acquired_at = now()
        self.reader = ReportReader(self.ledger, now() + SETTLE_S)
        self.reporter = HomeReporter(
            context, self.unit, demands, self._on_recorded
        )
        self.gang_holds = GangHolds(self.ledger)
        self.links: dict[str, WorkerLink] = {}
        self.pullers: dict[str, Puller] = {}
        self.pull_serial = 0
        self.pull_callbacks = PullCallbacks(
            start_task=self._start_granted,
            release_booking=self._release_booking,
            on_reply=self._on_pull_reply,
            is_current_epoch=self._is_current_epoch,
        )

    def close(self) -> None:
        """Close the links to the workers and stop pulling and reporting."""
        for link in self.links.values():
            link.close()
        for puller in self.pullers.values():
            puller.close()
        self.reporter.close()
        self.ledger.close()

    def update_links(self) -> None:
        """Open links to listed workers and close those to unlisted ones.

        Also expires leases and gang holds that have lapsed.
        """
        listed = {
            vm.vm_id: vm
            for vm in self.context.membership.workers(self.unit.unit)
        }
        for vm in listed.values():
            if vm.vm_id not in self.links:
                self.ledger.add_worker(vm)
                self._open_link(
                    WorkerLink(
                        vm,
                        self.tenure,
                        self.workers,
                        self.context.wall,
                        self.timing,
                    )
                )
            if vm.state is VmState.leaving:
                self.ledger.add_barrier(vm.vm_id, Barrier.leaving)
        for vm_id, link in list(self.links.items()):
            if vm_id not in listed:
                self._remove_worker(link)
        for link in self.links.values():
            self._expire_leases(link)
        self.gang_holds.expire()

    def book(
        self, worker: str, demand: DemandClass, *, probe: bool = False
    ) -> bool:
        """Book capacity for one task of a class and request it from its home.

        A probe may use a quarantined worker.  Returns whether the worker had
        room.
        """
        self.pull_serial += 1
        key = f'pull:{self.unit.epoch}.{self.pull_serial}'
        booked = self.ledger.book(
            worker,
            key,
            demand.shape,
            BookedWork(
                demand.team,
                demand.job_class,
                kind=demand.kind,
                priority=demand.priority,
                preemptible=demand.preemptible,
                started_at=now(),
                expected_end=_expected_end(demand.expected_run_s),
            ),
            probe=probe,
        )
        if isinstance(booked, Failure):
            return False
        self._puller_for(
            UnitEpoch(demand.home, demand.home_epoch)
        ).request_task(demand.class_id, key)
        return True

    def commit_gang(self, request: CommitAsk) -> bool:
        """Start the tasks of a gang in the capacity held for them.

        Returns ``False`` if too few holds are left.
        """
        bookings = self.gang_holds.commit(request.gang, request.grants)
        if bookings is None:
            return False
        by_key = {booking.key: booking for booking in bookings}
        for grant in request.grants:
            booking = by_key.get(str(grant.task))
            if booking is not None:
                self._send_start(request.home.unit, grant, booking)
        return True

    def stop_tasks(self, message: StopTasks) -> None:
        """Stop those of the tasks that run in this partition."""
        for task in message.tasks:
            name = str(task)
            for link in self.links.values():
                attempt = link.attempts.get(name)
                if attempt is not None and not attempt.is_ended:
                    self._stop_attempt(link, attempt, message.mode)

    def stop_booking(self, booking: Booking, mode: str) -> None:
        """Stop the task of a booking, if it runs in this partition."""
        link = self.links.get(booking.worker)
        attempt = link.attempts.get(booking.key) if link else None
        if link is not None and attempt is not None and not attempt.is_ended:
            self._stop_attempt(link, attempt, mode)

    def inventory(self, home: str) -> PartitionInventory:
        """Return the partition's tasks of one home."""
        return PartitionInventory(
            partition=self.unit,
            complete=self.is_complete,
            settled=now() > self._previous_leases_lapse_at(),
            adopted=sorted(self.reader.adopted),
            tasks=[
                attempt.to_held_task()
                for link in self.links.values()
                for attempt in link.attempts.values()
                if attempt.is_held_for(home)
            ],
        )

    @property
    def is_complete(self) -> bool:
        """Whether all workers have reported or the old leases have lapsed."""
        if now() > self._previous_leases_lapse_at():
            return True
        return bool(self.links) and self.links.keys() <= self.reader.adopted

    def capacity_report(self, waiting: int) -> CapacityReport:
        """Return the total and the free capacity of the workers.

        ``waiting`` is the number of calls that wait for a slot.
        """
        total, free, largest = ZERO, ZERO, ZERO
        for view in self.ledger.workers.values():
            total += view.capacity
            free += self.ledger.available(view.worker)
            largest = _elementwise_max(largest, view.capacity)
        return CapacityReport(
            self.unit, len(self.links), total, free, largest, waiting
        )

    def _previous_leases_lapse_at(self) -> float:
        return self.timing.lease_lapses_at(self.acquired_at, EXCHANGE_TIMEOUT_S)

    def _open_link(self, link: WorkerLink) -> None:
        link.on_reply = self._on_reply
        link.on_failure = self._on_failure
        self.links[link.vm.vm_id] = link
        link.open()

    def _on_reply(self, link: WorkerLink, reply: SyncReply) -> None:
        changed = self.reader.apply_reply(link, reply)
        for attempt in changed:
            self.reporter.enqueue(attempt)
            self.placer.on_attempt_changed(attempt)
        self.placer.on_capacity_freed()

    def _on_failure(self, link: WorkerLink) -> None:
        if link.failures >= UNREACHABLE_AFTER_FAILURES:
            self.ledger.add_barrier(link.vm.vm_id, Barrier.unknown)
        for attempt in link.attempts.values():
            if attempt.state is TaskState.pending and not attempt.reported:
                self.ledger.release(attempt.name)
                self.reporter.enqueue(attempt)
        self._expire_leases(link)

    def _expire_leases(self, link: WorkerLink) -> None:
        for attempt in self.reader.expire_leases(link):
            self.reporter.enqueue(attempt)

    def _remove_worker(self, link: WorkerLink) -> None:
        self.ledger.add_barrier(link.vm.vm_id, Barrier.leaving)
        if link.attempts:
            return
        link.close()
        self.links.pop(link.vm.vm_id)
        self.ledger.remove_worker(link.vm.vm_id)

    def _puller_for(self, home: UnitEpoch) -> Puller:
        puller = self.pullers.get(home.unit)
        if puller is not None and puller.home.epoch == home.epoch:
            return puller
        if puller is not None:
            puller.close()
        created = Puller(self.context, self.unit, home, self.pull_callbacks)
        self.pullers[home.unit] = created
        return created

    def _start_granted(
        self, home: UnitEpoch, grant: TaskGrant, key: str | None
    ) -> None:
        booking = None
        if key is not None and self._is_current_epoch(home):
            committed = self.ledger.commit(key, now(), as_key=str(grant.task))
            booking = None if isinstance(committed, Failure) else committed
        if booking is None:
            if key is not None:
                self.ledger.release(key)
            self._return_grant(home.unit, grant)
            return
        self._send_start(home.unit, grant, booking)

    def _send_start(
        self, home: str, grant: TaskGrant, booking: Booking
    ) -> None:
        booking.work.kind = grant.kind
        booking.work.team = grant.team
        link = self.links.get(booking.worker)
        if link is None:
            self.ledger.release(booking.key)
            self._return_grant(home, grant)
            return
        link.start_attempt(Attempt(grant, home, booking.worker))

    def _return_grant(self, home: str, grant: TaskGrant) -> None:
        attempt = Attempt(grant, home, '')
        attempt.change_state(TaskState.pending, reason='no room any more')
        self.reporter.enqueue(attempt)

    def _stop_attempt(
        self, link: WorkerLink, attempt: Attempt, mode: str
    ) -> None:
        if attempt in link.starts:
            link.starts.remove(attempt)
            self.ledger.release(attempt.name)
            attempt.change_state(
                TaskState.pending, reason='stopped before its start'
            )
            self.reporter.enqueue(attempt)
            return
        link.stop_task(attempt.name, mode)

    def _release_booking(self, key: str) -> None:
        self.ledger.release(key)
        self.placer.on_capacity_freed()

    def _on_pull_reply(self, home: UnitEpoch, reply: PullReply) -> None:
        self.placer.on_pull_reply(home, reply)

    def _is_current_epoch(self, home: UnitEpoch) -> bool:
        stored = self.demands.homes.get(home.unit)
        return stored is not None and stored.epoch == home.epoch

    def _on_recorded(self, attempt: Attempt) -> None:
        link = self.links.get(attempt.worker)
        if link is not None:
            link.acknowledge(attempt)
        self.placer.on_capacity_freed()


class PlacerHooks:
    """The hooks of a node's placer that its partition owners call."""

    index: FreeIndex

    def on_capacity_freed(self) -> None:
        """Handle that capacity may have become free."""

    def on_attempt_changed(self, attempt: Attempt) -> None:
        """Handle a new state of an attempt, which may be its outcome."""

    def on_pull_reply(self, home: UnitEpoch, reply: PullReply) -> None:
        """Handle the reply to a pull, which carries the home's demand."""


def _expected_end(expected_run_s: float) -> float | None:
    return now() + expected_run_s if expected_run_s else None


def _elementwise_max(left: Resources, right: Resources) -> Resources:
    return Resources(
        max(left.cpu_milli, right.cpu_milli),
        max(left.memory_mib, right.memory_mib),
        max(left.accelerators, right.accelerators),
        max(left.slots, right.slots),
    )
