"""Renews the leases of one worker and applies its reports.

Ends are acknowledged only to the life of the worker that has listed them.  The
next life under the same id counts its ends anew, and would forget those up to
the acknowledged number that it has not yet reported.

Leases count on the clock of the present life.  An order that bears the clock of
a former life holds for as long as the worker grants, as its clock began anew.
"""

import asyncio
import math
from typing import Final, final

from berylspread.coordinator.authority import AUTHORITY_GRACE_S
from berylspread.coordinator.contacts import UNKNOWN_LIFE
from berylspread.coordinator.fleet import MIN_CLOCK_RATE, Stage, Worker
from berylspread.coordinator.interface import (
    EndedRow,
    Renewal,
    WorkerApi,
    WorkerReport,
)
from berylspread.coordinator.model import MS_PER_S
from berylspread.coordinator.orders import (
    LEASE_OVER,
    RESTARTED,
    CoordinatorInterface,
    OrderSender,
    is_other_instance,
)
from berylspread.coordinator.report_waits import report_wait_s
from berylspread.coordinator.settlement import Settlement
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure

#: The lease that a renewal requests.  It outlasts a change of the coordinator,
#: which takes about two seconds, and bounds how long the tasks of a lost worker
#: wait.
LEASE_MS: Final = 4000
#: The same in seconds: the longest lease of this and any earlier coordinator.
MAX_LEASE_S: Final = LEASE_MS / 1000
#: Longest wait of a worker for outcomes before it replies, while the result of
#: an order is unknown.
PENDING_ORDER_WAIT_MS: Final = 100
#: A reply that is this late is taken as lost: seven times the round trip to the
#: other region.
REPLY_GRACE_S: Final = 0.3
#: The same after a failed renewal, for a worker that is only slow.
SLOW_REPLY_GRACE_S: Final = 0.8
#: Pause after a report with outcomes, so that one call fetches several.
OUTCOME_BATCH_DELAY_S: Final = 0.03
RETRY_S: Final = 0.2
#: Pause after the first failed renewal, when usually only a reply was lost.
FIRST_RETRY_S: Final = 0.02
#: How long a session waits for outcomes to be stored before it renews without
#: acknowledging them.
STORE_WAIT_S: Final = 0.5
#: Ends are acknowledged only this soon after a report; no worker is restarted
#: and completes a run in less.
LIFE_PROVEN_S: Final = 0.2
#: How long orders are on their way, but for those that are carried out late.
ORDER_TRANSIT_S: Final = 1.0
#: How long a session waits at a time for its first contact to be stored.
CONTACT_WAIT_S: Final = 0.1


@final
class Session:
    """Renews one worker's leases and settles the runs that are over."""

    __slots__ = (
        'contact_stored',
        'coordinator',
        'delivered_seq',
        'orders',
        'pending_store',
        'reported_at',
        'settlement',
        'settles_at',
        'worker',
        'worker_api',
    )

    def __init__(
        self,
        worker: Worker,
        worker_api: WorkerApi,
        coordinator: CoordinatorInterface,
    ) -> None:
        self.worker = worker
        self.worker_api = worker_api
        self.coordinator = coordinator
        self.orders = OrderSender(worker, worker_api, coordinator)
        self.settlement = Settlement(worker, self.orders, coordinator)
        #: Done once it is stored that this coordinator extends the leases.
        self.contact_stored: asyncio.Future[Failure | None] | None = None
        #: When the worker's life is settled, see ``contacts``; ``None`` if it
        #: is.
        self.settles_at: float | None = None
        #: Done once every recorded outcome is stored.
        self.pending_store: asyncio.Future[Failure | None] | None = None
        #: The last acknowledged end of which the worker has been told.
        self.delivered_seq = 0
        #: When the worker last reported, in loop time.
        self.reported_at = -math.inf

    async def run(self) -> None:
        """Renew the leases and fetch outcomes until the worker is gone."""
        while not self._is_retired():
            await self._wait_for_contact()
            # Leases count from here: a process that is suspended after the
            # check of its authority must not grant longer ones.
            sent_at = now()
            if not self.coordinator.authority.is_confirmed(AUTHORITY_GRACE_S):
                await asyncio.sleep(RETRY_S)
                continue
            renewal = self._build_renewal(sent_at)
            news = self.worker.last_news()
            report = await self.worker_api.renew(self.worker.entry, renewal)
            if isinstance(report, Failure):
                await self._handle_failed_renewal(report, news)
                continue
            self.reported_at = now()
            self.delivered_seq = max(self.delivered_seq, renewal.acked)
            await self._apply_report(report, sent_at)

    async def _wait_for_contact(self) -> None:
        """Wait a little for the first contact to be stored."""
        stored = self.contact_stored
        if stored is None:
            return
        if not stored.done():
            await asyncio.wait((stored,), timeout=CONTACT_WAIT_S)
        elif stored.result() is not None:
            # The store refused it; the next report is another contact.
            self.contact_stored = None

    def _may_extend_leases(self) -> bool:
        stored = self.contact_stored
        return (
            self.worker.is_reachable
            and stored is not None
            and stored.done()
            and stored.result() is None
        )

    def _record_contact(self, report: WorkerReport) -> None:
        """Record the first report of a worker to this coordinator.

        Until that is stored, no lease is extended: a successor counts from the
        end of the last epoch that may have extended one.
        """
        worker = self.worker
        if self.contact_stored is None:
            # The worker refuses earlier coordinators from now on; the leases
            # that they were granted are no longer than this.
            longest_ms = LEASE_MS
            if not worker.is_settled(report.born_ms):
                longest_ms = self.coordinator.worker_bounds.max_lease_ms
                self._unsettle()
            worker.lease_until_ms = max(
                worker.lease_until_ms, report.clock_ms + longest_ms
            )
            if self.settles_at is None:
                worker.former_leases.settled_born_ms = report.born_ms
            self.contact_stored = self.coordinator.record_contact(worker)
        elif self.settles_at is not None and now() >= self.settles_at:
            self.settles_at = None
            worker.former_leases.settled_born_ms = report.born_ms
            self.coordinator.record_contact(worker)

    def _unsettle(self) -> None:
        """Assume the longest lease until none of a former life can be left."""
        longest_s = self.coordinator.worker_bounds.max_lease_ms / MS_PER_S
        self.settles_at = now() + ORDER_TRANSIT_S + longest_s / MIN_CLOCK_RATE
        self.worker.former_leases.settled_born_ms = UNKNOWN_LIFE

    def _is_retired(self) -> bool:
        worker = self.worker
        return (
            not worker.is_present
            and not worker.is_reachable
            and not worker.runs
            and not worker.stray_tasks
        )

    def _build_renewal(self, moment: float) -> Renewal:
        worker = self.worker
        until_ms = 0
        # A renewal that may not arrive must not extend the lease: that of a
        # worker that is gone would never expire.
        if self._may_extend_leases():
            until_ms = worker.clock.lower_bound_ms(moment) + LEASE_MS
            worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        has_pending_order = (
            until_ms == 0
            or worker.stray_tasks
            or any(
                run.stop_reason or run.stage is Stage.uncertain
                for run in worker.runs.values()
            )
        )
        return Renewal(
            token=self.coordinator.token,
            acked=worker.acked_seq if self._is_life_proven() else 0,
            until_ms=until_ms,
            wait_ms=PENDING_ORDER_WAIT_MS
            if has_pending_order and until_ms
            else self._report_wait_ms(),
            patience_s=REPLY_GRACE_S
            if worker.is_reachable
            else SLOW_REPLY_GRACE_S,
        )

    def _report_wait_ms(self) -> int:
        # A number that is withheld needs another report at once.
        is_withheld = self._has_undelivered_seq() and not self._is_life_proven()
        if not self.worker.is_reachable or is_withheld:
            return 0
        if self.contact_stored is not None and not self._may_extend_leases():
            # The leases need another renewal soon.
            return 0
        wait_s = report_wait_s(self.worker, self.coordinator.expected_s, now())
        return int(wait_s * MS_PER_S)

    async def _handle_failed_renewal(
        self, failure: Failure, news: tuple[object, ...]
    ) -> None:
        worker = self.worker
        is_replaced = is_other_instance(failure) and worker.last_news() == news
        if worker.is_reachable:
            self.coordinator.log.write(
                'worker-unreachable', worker=worker.name, reason=failure.reason
            )
        pause_s = FIRST_RETRY_S if worker.is_reachable else RETRY_S
        worker.is_reachable = False
        if is_replaced:
            self._give_up(RESTARTED)
            worker.is_present = False
        elif self._is_lease_over():
            self._give_up(LEASE_OVER)
        await asyncio.sleep(pause_s)

    def _give_up(self, reason: str) -> None:
        """Apply that nothing runs on the worker any more."""
        self.orders.report_all_lost(reason)
        self.worker.stray_tasks = frozenset()

    def _is_lease_over(self) -> bool:
        """Return whether the worker has killed what ran under any lease."""
        worker = self.worker
        bounds = self.coordinator.worker_bounds
        kill_s = bounds.max_stop_ms / MS_PER_S / MIN_CLOCK_RATE
        expired_by = now() - kill_s
        if not worker.may_have_unsettled_life():
            return worker.lease_is_over(expired_by)
        extra_s = bounds.max_lease_ms / MS_PER_S
        if worker.clock.observed_at is None:
            # The wait for inherited leases includes one on the own clock.
            extra_s -= MAX_LEASE_S
        return worker.lease_is_over(expired_by - extra_s / MIN_CLOCK_RATE)

    async def _apply_report(self, report: WorkerReport, sent_at: float) -> None:
        worker = self.worker
        if not worker.is_reachable:
            self.coordinator.log.write('worker-reachable', worker=worker.name)
        self._detect_restart(report)
        worker.clock.observe(report.clock_ms, now())
        worker.is_reachable = True
        self._record_contact(report)
        if self.settlement.lists_order_of_other_life(report):
            self._assume_longest_lease(report.clock_ms)
        stored = self.settlement.apply_outcomes(report.ended)
        listed = self.settlement.apply_running(report.running)
        if not report.more:
            self.settlement.settle_omitted(listed, sent_at)
        self.coordinator.on_report(worker)
        self.pending_store = stored or self.pending_store
        await self._acknowledge(report.ended)
        if report.ended:
            await asyncio.sleep(OUTCOME_BATCH_DELAY_S)

    def _assume_longest_lease(self, granted_ms: int) -> None:
        """Apply that the worker may have granted its longest lease.

        ``granted_ms`` is the latest time for that, in ms on its clock.
        """
        worker = self.worker
        longest_ms = self.coordinator.worker_bounds.max_lease_ms
        worker.lease_until_ms = max(
            worker.lease_until_ms, granted_ms + longest_ms
        )

    def _detect_restart(self, report: WorkerReport) -> None:
        worker = self.worker
        if worker.born_ms and report.born_ms != worker.born_ms:
            # Runs that the report omits are over.  Runs that it lists were
            # ordered on the former life's clock.
            worker.acked_seq = 0
            self.delivered_seq = 0
            self.settlement.forget_life()
            worker.lease_until_ms = 0
            # An order to the former life may still be on its way.
            transit_ms = int(ORDER_TRANSIT_S * MS_PER_S)
            self._assume_longest_lease(report.clock_ms + transit_ms)
            worker.forget_prevented_starts()
            self._unsettle()
            if self.contact_stored is not None:
                self.contact_stored = self.coordinator.record_contact(worker)
            self.coordinator.log.write(
                'worker-restarted', worker=worker.name, born_ms=report.born_ms
            )
            # Both lists are of the new life.
            self.orders.record_crash(
                RESTARTED,
                {row.task for row in report.running}
                | {row.task for row in report.ended},
            )
        worker.born_ms = report.born_ms
        self.coordinator.silent_losses.apply_report(worker)

    def _is_life_proven(self) -> bool:
        return now() - self.reported_at <= LIFE_PROVEN_S

    def _has_undelivered_seq(self) -> bool:
        return self.worker.acked_seq > self.delivered_seq

    async def _acknowledge(
        self,
        rows: list[EndedRow],
    ) -> None:
        # The next renewal delivers the number in any case, without a wait for
        # the store that would make this report too old for it.
        if not rows or self._has_undelivered_seq():
            return
        if self.pending_store is not None:
            # This also covers outcomes that an earlier report listed: they are
            # stored when this future is done.
            done, _ = await asyncio.wait(
                (self.pending_store,), timeout=STORE_WAIT_S
            )
            if not done or self.pending_store.result() is not None:
                return
            self.pending_store = None
        self.worker.acked_seq = max(row.seq for row in rows)
