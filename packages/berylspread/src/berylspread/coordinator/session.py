"""The conversation with one worker: leases, starts, stops and ends.

A run leaves a worker's books only on proof: the worker lists its end; a report
that was asked for after the order was settled does not list it; the worker has
been restarted; or every lease that was asked for has passed on its clock.
"""

import asyncio
from collections.abc import Coroutine
from typing import Any, Final, Protocol, final

from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.fleet import UNHEALTHY_S, Run, Stage, Worker
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
    Renewal,
    RunningRow,
    StartOrder,
    WorkerReport,
    Workers,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure

#: What a renewal asks for.  It outlasts a change of the coordinator, about two
#: seconds, and bounds how long a lost worker's tasks wait.
LEASE_MS: Final = 4000
#: The same in seconds, of this and every earlier coordinator.
LONGEST_LEASE_S: Final = LEASE_MS / 1000
#: How long the worker may wait for an end before it answers a renewal.
WAIT_MS: Final = 900
#: The same while the outcome of an order is open.
OPEN_WAIT_MS: Final = 100
#: Ends that come closer together are fetched by one call.
GATHER_S: Final = 0.03
#: An order to start is void this long after it was sent, on the worker's clock;
#: shorter than the time by which orders have been seen to be delayed.
START_VALID_MS: Final = 1800
RETRY_S: Final = 0.2
#: A run whose order has no outcome by then is given up; an order has its own
#: time limit well below this.
ORDER_LIMIT_S: Final = 3.0
#: A stop is repeated if its run is still listed after this time; a worker needs
#: up to 400 ms.
STOP_REPEAT_S: Final = 0.8
#: How long a renewal waits for ends to be stored before it renews without
#: acknowledging them.
STORE_PATIENCE_S: Final = 0.5
#: Without a sign of its authority for this long, a coordinator lets the leases
#: run out, so that a successor can tell when they have.
AUTHORITY_S: Final = 6.0

#: Why a run left the books without an end that the worker listed.
GONE: Final = 'gone'
NEVER_BEGAN: Final = 'never-began'
RESTARTED: Final = 'worker-restarted'
LEASE_OVER: Final = 'lease-over'

#: Refusals after which the run has certainly not begun there.
NOT_BEGUN: Final = frozenset((LATE, NO_ROOM, NO_TICKET, UNHEALTHY))


class Owner(Protocol):
    """What a session tells the coordinator."""

    token: int
    log: DecisionLog

    def has_authority(self, grace_s: float) -> bool:
        """Return whether the authority was confirmed within the grace."""

    def ended(
        self, run: Run, outcome: str, checkpoint: str
    ) -> asyncio.Future[Failure | None] | None:
        """Note an end that the worker listed; the future tells it is stored."""

    def lost(self, run: Run, reason: str) -> None:
        """Note that a run is over without an end, or never began."""

    def refused(self, run: Run, cause: str) -> None:
        """Note that a worker refused to begin a run."""

    def observed(self, worker: Worker) -> None:
        """Note that a report has come."""


@final
class Session:
    """Keeps one worker's leases and carries the orders to it."""

    __slots__ = (
        'failures',
        'owner',
        'storing',
        'tasks',
        'worker',
        'workers',
    )

    def __init__(self, worker: Worker, workers: Workers, owner: Owner) -> None:
        """Take the worker's books; nothing is sent before ``run``."""
        self.worker = worker
        self.workers = workers
        self.owner = owner
        self.tasks: set[asyncio.Task[None]] = set()
        self.failures = 0
        #: Done once every end that was noted is stored.
        self.storing: asyncio.Future[Failure | None] | None = None

    async def run(self) -> None:
        """Renew the leases and fetch ends until the worker is gone."""
        while not self._is_retired():
            if not self.owner.has_authority(AUTHORITY_S):
                await asyncio.sleep(RETRY_S)
                continue
            sent_at = now()
            report = await self.workers.renew(
                self.worker.entry, self._renewal()
            )
            if isinstance(report, Failure):
                await self._missed(report)
                continue
            await self._take(report, sent_at)

    def close(self) -> None:
        """Cancel the orders that are under way."""
        for task in list(self.tasks):
            task.cancel()

    def start(self, run: Run, ticket: str) -> None:
        """Send the order to start a run whose record is stored."""
        self._spawn(self._start(run, ticket))

    def stop(self, run: Run, reason: str) -> None:
        """Stop a run, and repeat that until the worker lists its end."""
        if not run.stopping:
            run.stopping = reason
            self._spawn(self._stop(run))

    def pace(self, run: Run, percent: int) -> None:
        """Let a run work at a share of its speed."""
        run.pace = percent
        self._spawn(self._pace(run, percent))

    def settle_missing(self, listed: set[str], sent_at: float) -> None:
        """Decide on the runs that a report asked for at ``sent_at`` omits."""
        for name, run in list(self.worker.runs.items()):
            if name not in listed:
                self._settle(run, sent_at)

    def _is_retired(self) -> bool:
        worker = self.worker
        return not worker.present and not worker.reachable and not worker.runs

    def _renewal(self) -> Renewal:
        worker = self.worker
        until_ms = 0
        # A renewal that may not arrive must not move the end of the lease: it
        # would never be over for a worker that is gone.
        if worker.clock.at is not None and worker.reachable:
            until_ms = worker.clock.read(now()) + LEASE_MS
            worker.lease_until_ms = max(worker.lease_until_ms, until_ms)
        is_open = (
            until_ms == 0
            or worker.strays
            or any(
                run.stopping or run.stage is Stage.uncertain
                for run in worker.runs.values()
            )
        )
        return Renewal(
            token=self.owner.token,
            acked=worker.acked,
            until_ms=until_ms,
            wait_ms=OPEN_WAIT_MS if is_open and until_ms else self._wait_ms(),
        )

    def _wait_ms(self) -> int:
        return WAIT_MS if self.worker.clock.at is not None else 0

    async def _missed(self, failure: Failure) -> None:
        worker = self.worker
        self.failures += 1
        is_other = (
            isinstance(failure, OrderRefused)
            and failure.fields.get('cause') == OTHER_INSTANCE
        )
        if worker.reachable:
            self.owner.log.write(
                'worker-unreachable', worker=worker.name, reason=failure.reason
            )
        worker.reachable = False
        if is_other:
            self._lose_all(RESTARTED)
            worker.present = False
        elif worker.lease_is_over(now()):
            self._lose_all(LEASE_OVER)
        await asyncio.sleep(RETRY_S)

    def _lose_all(self, reason: str) -> None:
        for run in list(self.worker.runs.values()):
            if run.since <= now():
                self.owner.lost(run, reason)

    async def _take(self, report: WorkerReport, sent_at: float) -> None:
        worker = self.worker
        self.failures = 0
        if not worker.reachable:
            self.owner.log.write('worker-reachable', worker=worker.name)
        self._note_life(report)
        worker.clock.observe(report.clock_ms, now())
        worker.reachable = True
        worker.heard_at = now()
        stored = self._take_ended(report.ended)
        listed = self._take_running(report.running)
        if not report.more:
            self.settle_missing(listed, sent_at)
        self.owner.observed(worker)
        self.storing = stored or self.storing
        await self._acknowledge(report.ended)
        if report.ended:
            await asyncio.sleep(GATHER_S)

    def _note_life(self, report: WorkerReport) -> None:
        worker = self.worker
        if worker.born_ms and report.born_ms != worker.born_ms:
            self._lose_all(RESTARTED)
            worker.acked = 0
            worker.lease_until_ms = 0
        worker.born_ms = report.born_ms

    def _take_ended(
        self, rows: list[EndedRow]
    ) -> asyncio.Future[Failure | None] | None:
        stored = None
        for row in rows:
            run = self.worker.runs.get(row.task)
            if row.number <= self.worker.acked or run is None:
                continue
            if run.number == row.run:
                run.begin()
                stored = self.owner.ended(run, row.outcome, row.checkpoint)
        return stored

    def _take_running(self, rows: list[RunningRow]) -> set[str]:
        listed = set()
        strays = 0
        for row in rows:
            run = self.worker.runs.get(row.task)
            if run is None or run.number != row.run:
                strays += 1
                self._spawn(self._stop_stray(row))
            else:
                listed.add(row.task)
                _refresh(run, row)
        self.worker.strays = strays
        return listed

    def _settle(self, run: Run, sent_at: float) -> None:
        """Decide on a run that a report asked for at ``sent_at`` omits."""
        # An inherited run's order bore a lower token than the report's request.
        if run.stage is Stage.inherited or _before(run.answered_at, sent_at):
            self.owner.lost(run, GONE)
        elif _before(run.poisoned_at, sent_at):
            self.owner.lost(run, NEVER_BEGAN)
        elif run.stage is Stage.uncertain and run.since <= sent_at:
            self.stop(run, 'unanswered')
        elif run.since + ORDER_LIMIT_S <= sent_at:
            # Its record is still being stored, or its order has failed here.
            self.stop(run, 'not-ordered')

    async def _acknowledge(
        self,
        rows: list[EndedRow],
    ) -> None:
        if not rows:
            return
        if self.storing is not None:
            # Also for ends that an earlier report listed: they are not stored
            # before this future is done.
            done, _ = await asyncio.wait(
                (self.storing,), timeout=STORE_PATIENCE_S
            )
            if not done or self.storing.result() is not None:
                return
            self.storing = None
        self.worker.acked = max(row.number for row in rows)

    async def _start(self, run: Run, ticket: str) -> None:
        worker = self.worker
        order = StartOrder(
            task=run.task.name,
            run=run.number,
            payload=run.task.step.job.spec.payload,
            until_ms=worker.clock.read(now()) + START_VALID_MS,
            token=self.owner.token,
            checkpoint=run.task.checkpoint,
            ticket=ticket,
        )
        worker.lease_until_ms = max(worker.lease_until_ms, order.until_ms)
        reply = await self.workers.start(worker.entry, order)
        if worker.runs.get(run.task.name) is not run:
            return
        if isinstance(reply, int):
            run.answered_at = now()
            run.begin()
        elif isinstance(reply, OrderRefused):
            self._refused(run, str(reply.fields.get('cause')))
        elif reply.fields.get('sent') is False:
            self.owner.lost(run, NEVER_BEGAN)
        else:
            self._unanswered(run, reply)

    def _refused(self, run: Run, cause: str) -> None:
        if cause in NOT_BEGUN:
            if cause == UNHEALTHY:
                self.worker.avoid_until = now() + UNHEALTHY_S
            self.owner.refused(run, cause)
        elif cause == STALE_RUN:
            # It ended there already; the next report tells how.
            run.answered_at = now()
        elif cause == STALE_FENCE:
            self.owner.log.write(
                'fenced', worker=self.worker.name, token=self.owner.token
            )
        elif cause == OTHER_INSTANCE:
            self._lose_all(RESTARTED)
            self.worker.present = False

    def _unanswered(self, run: Run, failure: Failure) -> None:
        run.stage = Stage.uncertain
        run.since = now()
        self.worker.avoid_until = now() + UNHEALTHY_S
        self.owner.log.write(
            'start-unanswered',
            task=run.task.name,
            run=run.number,
            worker=self.worker.name,
            reason=failure.reason,
        )

    async def _stop(self, run: Run) -> None:
        worker = self.worker
        while worker.runs.get(run.task.name) is run:
            reply = await self.workers.stop(
                worker.entry, run.task.name, run.number, self.owner.token
            )
            if isinstance(reply, Failure):
                await asyncio.sleep(RETRY_S)
                continue
            run.poisoned_at = now()
            await asyncio.sleep(STOP_REPEAT_S)

    async def _stop_stray(self, row: RunningRow) -> None:
        reply = await self.workers.stop(
            self.worker.entry, row.task, row.run, self.owner.token
        )
        self.owner.log.write(
            'stray-stopped',
            task=row.task,
            run=row.run,
            worker=self.worker.name,
            answered=not isinstance(reply, Failure),
        )

    async def _pace(self, run: Run, percent: int) -> None:
        reply = await self.workers.pace(
            self.worker.entry,
            run.task.name,
            run.number,
            percent,
            self.owner.token,
        )
        if isinstance(reply, Failure):
            # The next report decides again.
            run.pace = -1

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _refresh(run: Run, row: RunningRow) -> None:
    run.percent = row.percent
    run.figure = row.figure
    if row.checkpoint:
        run.task.checkpoint = row.checkpoint
    if run.answered_at is None:
        run.answered_at = now()
    run.begin()


def _before(moment: float | None, limit: float) -> bool:
    # The loop's time is the same all through one of its turns: what happened at
    # the same time may have come after.
    return moment is not None and moment < limit
