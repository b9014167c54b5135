"""Sends orders to one worker: to start, stop and pace runs.

Each order is sent in a task of its own.  What its reply proves is reported to
the coordinator.
"""

import asyncio
import math
from collections.abc import Container, Coroutine
from typing import TYPE_CHECKING, Any, Final, Protocol, final

from berylspread.coordinator.authority import AUTHORITY_GRACE_S, EpochAuthority
from berylspread.coordinator.crashes import record_crash
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.fleet import AVOID_WORKER_S, Run, Stage, Worker
from berylspread.coordinator.interface import (
    LATE,
    NO_ROOM,
    NO_TICKET,
    OTHER_INSTANCE,
    STALE_FENCE,
    STALE_RUN,
    UNHEALTHY,
    EndedRow,
    OrderRefused,
    Outcome,
    RunningRow,
    StartOrder,
    WorkerApi,
)
from berylspread.coordinator.worker_bounds import WorkerBounds
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, WorkerUnreachable

if TYPE_CHECKING:
    from berylspread.coordinator.dependencies import CoordinatorDependencies

#: An order to start expires this long after it was sent, on the worker's clock.
#: Orders have been observed to be delayed for longer than that.
START_VALID_MS: Final = 1800
RETRY_S: Final = 0.2
#: The most orders to start that wait for a reply of one worker.  They are fewer
#: than the connections to it: an order that waits for one may time out unsent,
#: and would hold up renewals and stops.
MAX_STARTS_IN_FLIGHT: Final = 8
#: The most orders to stop that wait for a reply of one worker.
MAX_STOPS_IN_FLIGHT: Final = 64
#: Orders to start that are sent this long after the decision are logged.
LOGGED_DELAY_S: Final = 0.2
#: An order to start is sent this soon after the decision, or not at all.
MAX_START_DELAY_S: Final = 3.0
#: A stop is repeated if the run is still listed after this time; a worker needs
#: up to 400 ms to stop one.
STOP_REPEAT_S: Final = 0.8

#: Orders to start are decided on and sent only within this time after the last
#: proof of authority.  Other orders leave for as long as leases are renewed.
ORDER_GRACE_S: Final = 2.0

#: The result of an order that may not leave.
UNCONFIRMED: Final = WorkerUnreachable('no authority', sent=False)

#: Reasons for which a run is removed without an outcome from the worker.
GONE: Final = 'gone'
NEVER_BEGAN: Final = 'never-began'
RESTARTED: Final = 'worker-restarted'
LEASE_OVER: Final = 'lease-over'
NO_AUTHORITY: Final = 'no-authority'
DELAYED: Final = 'delayed'

#: Causes of refusals after which the run has certainly not started.
NOT_STARTED_CAUSES: Final = frozenset((LATE, NO_ROOM, NO_TICKET, UNHEALTHY))
#: Causes that would refuse the next order as well: the worker is unhealthy, or
#: what is known of its room or its clock is wrong until it reports.
AVOIDED_CAUSES: Final = frozenset((LATE, NO_ROOM, UNHEALTHY))


class LossRecorder(Protocol):
    """Keeps the losses of runs on silent workers."""

    def record(self, worker: Worker) -> None:
        """Record that a worker was silent until its leases were over."""

    def apply_report(self, worker: Worker) -> None:
        """Settle the losses of a worker that has reported."""

    def apply_end(
        self, worker: Worker, row: EndedRow
    ) -> asyncio.Future[Failure | None] | None:
        """Apply the end of a run that is not booked on the worker.

        The future, if any, is done once what follows from it is stored.
        """


class CoordinatorInterface(Protocol):
    """What a session needs of the coordinator."""

    token: int
    authority: EpochAuthority
    dependencies: 'CoordinatorDependencies'
    log: DecisionLog

    @property
    def worker_bounds(self) -> WorkerBounds:
        """What the platform guarantees of the workers."""

    @property
    def silent_losses(self) -> LossRecorder:
        """The losses of runs on silent workers."""

    def expected_s(self, run: Run) -> float:
        """Return the expected duration of a run in seconds."""

    def record_outcome(
        self, run: Run, outcome: Outcome, checkpoint: str
    ) -> asyncio.Future[Failure | None] | None:
        """Record an outcome that the worker listed.

        The future is done once the outcome is stored.
        """

    def record_lost_run(self, run: Run, reason: str) -> None:
        """Record that a run has been lost or has never started."""

    def record_contact(self, worker: Worker) -> asyncio.Future[Failure | None]:
        """Store that this coordinator extends a worker's leases from now on.

        Also stores whether the worker's life is settled, see ``contacts``.  The
        future is done once that is stored.
        """

    def record_refusal(self, run: Run, cause: str) -> None:
        """Record that a worker refused to start a run."""

    def on_report(self, worker: Worker) -> None:
        """Act on a worker's state after a report."""


@final
class OrderSender:
    """Sends orders to one worker and records their results."""

    __slots__ = (
        'coordinator',
        'start_slots',
        'stop_slots',
        'tasks',
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
        self.tasks: set[asyncio.Task[None]] = set()
        self.start_slots = asyncio.Semaphore(MAX_STARTS_IN_FLIGHT)
        self.stop_slots = asyncio.Semaphore(MAX_STOPS_IN_FLIGHT)

    def close(self) -> None:
        """Cancel the orders in flight."""
        for task in list(self.tasks):
            task.cancel()

    def start(self, run: Run, ticket: str) -> None:
        """Order a start; the run's record must be stored."""
        self._spawn(self._send_start(run, ticket))

    def stop(self, run: Run, reason: str) -> None:
        """Order a stop, repeatedly until the worker lists the outcome.

        It does not leave while the authority is not confirmed.
        """
        if not run.stop_reason:
            run.stop_reason = reason
            self._spawn(self._send_stop(run))

    def set_pace(self, run: Run, percent: int) -> None:
        """Order a run to work at a percentage of its speed."""
        run.pace_percent = percent
        self._spawn(self._send_pace(run, percent))

    def stop_stray(self, row: RunningRow) -> None:
        """Order a stop of a stray run, once.

        The next report lists a run whose stop has not left.
        """
        self._spawn(self._send_stray_stop(row))

    def report_all_lost(self, reason: str) -> None:
        """Report every run of the worker as lost to the coordinator."""
        if reason == LEASE_OVER:
            self.coordinator.silent_losses.record(self.worker)
        elif not self.worker.is_leaving:
            self.record_crash(reason)
        for run in list(self.worker.runs.values()):
            self.coordinator.record_lost_run(run, reason)

    def record_crash(self, reason: str, survivors: Container[str] = ()) -> None:
        """Count the end of the worker's life against the tasks that it ran."""
        run_count = len(self.worker.runs)
        if not run_count:
            return
        starting = record_crash(self.worker, survivors)
        self.coordinator.log.write(
            'worker-lost',
            worker=self.worker.name,
            reason=reason,
            runs=run_count,
            starting=starting,
        )

    async def _send_start(self, run: Run, ticket: str) -> None:
        async with self.start_slots:
            if run.stop_reason or not self._is_on_worker(run):
                # Its stop settles it, or it has been settled.
                return
            self._log_if_delayed(run)
            if self._is_outdated(run):
                self.coordinator.record_lost_run(run, DELAYED)
                return
            # A process that is suspended after this line sends an expiry that
            # is too early; after the next one it would be too late.
            moment = now()
            if not self.coordinator.authority.is_confirmed(ORDER_GRACE_S):
                # A successor may take the run for over from now on.
                self.coordinator.record_lost_run(run, NO_AUTHORITY)
                return
            reply = await self._request_start(run, ticket, moment)
        if not self._is_on_worker(run):
            return
        if isinstance(reply, int):
            if run.confirmed_at is None:
                # Progress counts from the reply: the order may have taken long.
                run.progress.record_start(now())
            run.confirmed_at = now()
            run.record_running()
        elif isinstance(reply, OrderRefused):
            self._handle_refusal(run, str(reply.fields.get('cause')))
        elif reply.fields.get('sent') is False:
            self.coordinator.record_lost_run(run, NEVER_BEGAN)
        else:
            self._handle_no_reply(run, reply)

    def _is_outdated(self, run: Run) -> bool:
        """Return whether what was asked at the decision may no longer hold."""
        is_late = now() - run.since > MAX_START_DELAY_S
        is_other_life = run.task.worker_born_ms != self.worker.born_ms
        zones = self.coordinator.dependencies.policies.closed_zones
        may_start = zones.may_start(self.worker.entry.zone)
        return is_late or is_other_life or not may_start

    def _log_if_delayed(self, run: Run) -> None:
        delay_s = now() - run.since
        if delay_s >= LOGGED_DELAY_S:
            age_s = self.coordinator.authority.age_s()
            self.coordinator.log.write(
                'start-delayed',
                task=run.task.name,
                run=run.number,
                worker=self.worker.name,
                delay_s=round(delay_s, 3),
                authority_age_s=round(age_s, 3) if math.isfinite(age_s) else -1,
            )

    def _is_on_worker(self, run: Run) -> bool:
        return self.worker.runs.get(run.task.name) is run

    async def _request_start(
        self, run: Run, ticket: str, moment: float
    ) -> int | Failure:
        worker = self.worker
        order = StartOrder(
            task=run.task.name,
            run=run.number,
            payload=run.task.step.job.spec.payload,
            until_ms=worker.clock.lower_bound_ms(moment) + START_VALID_MS,
            token=self.coordinator.token,
            checkpoint=run.task.checkpoint,
            ticket=ticket,
        )
        worker.lease_until_ms = max(worker.lease_until_ms, order.until_ms)
        news = worker.last_news()
        reply = await self.worker_api.start(worker.entry, order)
        if is_other_instance(reply) and worker.last_news() != news:
            # Only this order is void.
            return WorkerUnreachable('refused at a former address', sent=False)
        return reply

    def _handle_refusal(self, run: Run, cause: str) -> None:
        if cause in NOT_STARTED_CAUSES:
            if cause in AVOIDED_CAUSES:
                self.worker.avoid_until = now() + AVOID_WORKER_S
            self.coordinator.record_refusal(run, cause)
        elif cause == STALE_RUN:
            # It has already ended there; the next report lists its outcome.
            run.confirmed_at = now()
        elif cause == STALE_FENCE:
            self.coordinator.log.write(
                'fenced', worker=self.worker.name, token=self.coordinator.token
            )
        elif cause == OTHER_INSTANCE:
            self.report_all_lost(RESTARTED)
            self.worker.is_present = False

    def _handle_no_reply(self, run: Run, failure: Failure) -> None:
        run.stage = Stage.uncertain
        run.since = now()
        self.worker.avoid_until = now() + AVOID_WORKER_S
        self.coordinator.log.write(
            'start-unanswered',
            task=run.task.name,
            run=run.number,
            worker=self.worker.name,
            reason=failure.reason,
        )

    async def _send_stop(self, run: Run) -> None:
        worker = self.worker
        while worker.runs.get(run.task.name) is run:
            async with self.stop_slots:
                born_ms = worker.born_ms
                reply = await self._request_stop(run.task.name, run.number)
            if isinstance(reply, Failure):
                await asyncio.sleep(RETRY_S)
                continue
            if worker.born_ms == born_ms:
                run.start_prevented_at = now()
            await asyncio.sleep(STOP_REPEAT_S)

    async def _send_stray_stop(self, row: RunningRow) -> None:
        async with self.stop_slots:
            reply = await self._request_stop(row.task, row.run)
        self.coordinator.log.write(
            'stray-stopped',
            task=row.task,
            run=row.run,
            worker=self.worker.name,
            sent=reply is not UNCONFIRMED,
            answered=not isinstance(reply, Failure),
            born_ms=self.worker.born_ms,
        )

    async def _request_stop(self, task: str, run: int) -> int | Failure:
        if not self._may_change_runs():
            return UNCONFIRMED
        return await self.worker_api.stop(
            self.worker.entry, task, run, self.coordinator.token
        )

    async def _send_pace(self, run: Run, percent: int) -> None:
        reply: int | Failure = UNCONFIRMED
        if self._may_change_runs():
            reply = await self.worker_api.set_pace(
                self.worker.entry,
                run.task.name,
                run.number,
                percent,
                self.coordinator.token,
            )
        if isinstance(reply, Failure):
            # The pace is decided again after the next report.
            run.pace_percent = -1

    def _may_change_runs(self) -> bool:
        """Return whether the authority suffices to stop and to pace runs."""
        # Who still extends the leases of runs must be able to stop them.
        return self.coordinator.authority.is_confirmed(AUTHORITY_GRACE_S)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def is_other_instance(reply: object) -> bool:
    """Return whether another instance than the worker refused a call."""
    return (
        isinstance(reply, OrderRefused)
        and reply.fields.get('cause') == OTHER_INSTANCE
    )
