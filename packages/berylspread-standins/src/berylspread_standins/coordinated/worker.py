"""A worker that fences orders, holds leases on its own clock and lists ends."""

import asyncio
import contextlib
import math
from collections.abc import Callable
from typing import Final, final

from berylspread.coordinator.interface import (
    LATE,
    STALE_FENCE,
    STALE_RUN,
    EndedRow,
    OrderRefused,
    Outcome,
    Renewal,
    RunningRow,
    StartOrder,
    WorkerEntry,
    WorkerReport,
)
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, WorkerUnreachable
from berylspread_standins.coordinated.gangs import FAILS_AFTER_S, Gang, Gangs
from berylspread_standins.coordinated.lease import MS, WorkerClock, WorkerLease
from berylspread_standins.exchange import call_outside, detach

WHOLE_PERCENT: Final = 100
#: One way between a node and a worker, in seconds.
WAY_S: Final = 0.001
#: A client's time limit, in seconds.
TIMEOUT_S: Final = 0.8
STOP_S: Final = 0.2
#: Progress is made, and faults take effect, in steps of this length.
SLICE_S: Final = 0.05
#: How long a worker is down after a task has crashed it.
CRASH_DOWN_S: Final = 2.0

#: What a script's word, or the worker's own, is in a report.
OUTCOMES: Final = {
    'done': Outcome.succeeded,
    'failed': Outcome.failed,
    'stopped': Outcome.stopped,
    'lapsed': Outcome.lease_over,
    'crashed': Outcome.unknown,
    'broken': Outcome.gang_broken,
    'alone': Outcome.gang_incomplete,
}

#: How a run goes: seconds of work and outcome, by task name.
Script = Callable[[str], tuple[float, str]]


@final
class RunLog:
    """One run as the worker saw it; ``ended_at`` is ``None`` while it runs.

    ``noted_at`` is when its end was acknowledged, with no lease that lapsed in
    between.
    """

    __slots__ = (
        'ended_at',
        'left_s',
        'noted_at',
        'outcome',
        'run',
        'started_at',
        'task',
        'token',
        'work_s',
        'worker',
    )

    def __init__(
        self, worker: str, task: str, run: int, work_s: float = 0
    ) -> None:
        """Begin now; ``work_s`` is how long it takes."""
        #: The fencing token of the order.
        self.token = 0
        self.work_s = work_s
        self.left_s = work_s
        self.worker = worker
        self.task = task
        self.run = run
        self.started_at = now()
        self.ended_at: float | None = None
        self.noted_at: float | None = None
        self.outcome = ''

    @property
    def is_noted(self) -> bool:
        """Return whether its end was acknowledged before the lease lapsed."""
        return self.noted_at is not None

    def percent(self) -> int:
        """Return how much of the work is done."""
        if not self.work_s or math.isinf(self.work_s):
            return WHOLE_PERCENT
        return int(WHOLE_PERCENT * (1 - self.left_s / self.work_s))


@final
class OrderFaults:
    """What becomes of the orders to a worker; a test sets it.

    ``mute`` counts orders that are carried out and not answered, ``delay_s`` is
    how late those are.  They are lost with the worker's life unless they
    ``reach_next_life``.  ``way_s`` is how long orders are on their way, and
    ``refuse_as`` the cause for which all are refused.  Runs that are stopped
    together end ``stagger_s`` after each other, in the order of the tasks.
    A task whose outcome is ``crash`` ends the worker for ``crash_down_s``.
    Tasks take ``slowness`` times as long as the script says.
    """

    __slots__ = (
        'crash_down_s',
        'delay_s',
        'mute',
        'reach_next_life',
        'refuse_as',
        'slowness',
        'stagger_s',
        'way_s',
    )

    def __init__(self) -> None:
        """Begin without a fault."""
        self.mute = 0
        self.delay_s = 0.0
        self.reach_next_life = True
        self.way_s = WAY_S
        self.refuse_as = ''
        self.slowness = 1.0
        self.stagger_s = 0.0
        self.crash_down_s = CRASH_DOWN_S


@final
class WorkerStandin:  # noqa: WPS230
    """One worker; its faults are attributes that a test sets.

    ``is_cut`` loses calls before they arrive, and their callers know after
    ``loss_s`` at most; while ``is_down`` there is no process that could carry
    one out.
    ``mute_reports`` counts reports that are lost on their way back.
    ``is_still`` lets no run get on; ``fails_all`` lets all that begins fail.
    Members of the ``gangs`` that it is told of work and end only together.
    """

    __slots__ = (
        'ended',
        'entry',
        'fails_all',
        'gangs',
        'has_ended',
        'history',
        'is_cut',
        'is_down',
        'is_still',
        'lease',
        'loss_s',
        'mute_reports',
        'number',
        'orders',
        'poisoned',
        'running',
        'script',
        'token',
        'unacknowledged',
    )

    def __init__(self, entry: WorkerEntry, script: Script) -> None:
        """Start empty."""
        self.entry = entry
        self.lease = WorkerLease()
        self.is_down = False
        #: Set while there are ends that are not acknowledged.
        self.has_ended = asyncio.Event()
        #: The runs of these ends, by number.
        self.unacknowledged: dict[int, RunLog] = {}
        self.script = script
        self.history: list[RunLog] = []
        self.is_cut = False
        self.loss_s = math.inf
        self.is_still = False
        self.fails_all = False
        self.gangs = Gangs()
        self.mute_reports = 0
        self.orders = OrderFaults()
        self.token = 0
        self.number = 0
        self.running: dict[str, RunLog] = {}
        self.ended: list[EndedRow] = []
        self.poisoned: dict[str, int] = {}

    @property
    def lease_until_ms(self) -> int:
        """Return until when the lease holds, by the worker's clock."""
        return self.lease.until_ms

    @property
    def lapses(self) -> list[float]:
        """Return when leases have lapsed, by the loop's time."""
        return self.lease.lapses

    def restart(self, clock: WorkerClock | None = None) -> None:
        """Lose everything and begin another life under the same id.

        Without a new clock, the former one begins anew.
        """
        for name in list(self.running):
            self._end(name, 'crashed')
        self._forget()
        self.lease.reset(clock)
        self.is_down = False
        self.entry = _reborn(self.entry)

    def vanish(self) -> None:
        """Lose everything, and be away until a restart, if there is any."""
        for name in list(self.running):
            self._end(name, 'crashed')
        self.is_cut = True
        self.is_down = True

    async def start(self, order: StartOrder) -> int | Failure:
        """Take an order to start."""
        return await self._exchange(lambda: self._start(order))

    async def stop(self, task: str, run: int, token: int) -> int | Failure:
        """Take an order to stop."""
        return await self._exchange(lambda: self._stop(task, run, token))

    async def renew(self, renewal: Renewal) -> WorkerReport | Failure:
        """Renew the leases; answer at an end or after the wait."""
        if self.is_cut:
            limit_s = renewal.wait_ms / MS + renewal.patience_s
            return await _lose(min(limit_s, self.loss_s))
        await asyncio.sleep(WAY_S)
        if renewal.token < self.token:
            return OrderRefused('fence', cause=STALE_FENCE)
        self.token = renewal.token
        self.lease.hold(renewal.until_ms)
        self._acknowledge(renewal.acked)
        asked_at = now()
        born_ms = self.entry.born_ms
        await self._wait(renewal.wait_ms / MS)
        is_lost = self.is_cut or self.entry.born_ms != born_ms
        if is_lost or (self.mute_reports and self.ended):
            self.mute_reports = max(self.mute_reports - 1, 0)
            gone_s = now() - asked_at
            limit_s = renewal.wait_ms / MS + renewal.patience_s - gone_s
            return await _lose(min(limit_s, self.loss_s))
        return await self._report()

    async def _report(self) -> WorkerReport:
        await asyncio.sleep(WAY_S)
        return WorkerReport(
            clock_ms=self.clock_ms(),
            born_ms=self.entry.born_ms,
            running=[
                RunningRow(name, log.run, '', log.percent())
                for name, log in self.running.items()
            ],
            ended=list(self.ended),
        )

    def clock_ms(self) -> int:
        """Return the worker's steady clock."""
        return self.lease.clock.read_ms()

    def _acknowledge(self, acked: int) -> None:
        self.ended = [row for row in self.ended if row.seq > acked]
        numbers = [each for each in self.unacknowledged if each <= acked]
        for number in numbers:
            log = self.unacknowledged.pop(number)
            ended_at = now() if log.ended_at is None else log.ended_at
            if not self.has_lapsed(ended_at, now()):
                log.noted_at = now()
        if not self.ended:
            self.has_ended.clear()

    def _forget(self) -> None:
        self.token = 0
        self.number = 0
        self.running.clear()
        self.ended.clear()
        self.unacknowledged.clear()
        self.has_ended.clear()
        self.poisoned.clear()

    async def _exchange(
        self, carry_out: Callable[[], int | Failure]
    ) -> int | Failure:
        if self.is_cut:
            return await _lose()
        await asyncio.sleep(self.orders.way_s)
        if self.orders.mute > 0:
            self.orders.mute -= 1
            detach(self._carry_out_late(carry_out, self.orders.delay_s))
            return await _lose()
        if self.is_down:
            return await _lose()
        reply = carry_out()
        await asyncio.sleep(WAY_S)
        return reply

    async def _carry_out_late(
        self, carry_out: Callable[[], int | Failure], delay_s: float
    ) -> None:
        born_ms = self.entry.born_ms
        await asyncio.sleep(delay_s)
        is_same_life = born_ms == self.entry.born_ms
        if not self.is_down and (self.orders.reach_next_life or is_same_life):
            carry_out()

    def _start(self, order: StartOrder) -> int | Failure:
        cause = self._refusal(order)
        if cause == STALE_RUN:
            self.lease.hold(order.until_ms)
        if cause:
            return OrderRefused(cause, cause=cause)
        self.token = order.token
        known = self.running.get(order.task)
        if known is not None:
            return self.clock_ms()
        self.lease.hold(order.until_ms)
        work_s, outcome = self.script(order.task)
        if self.fails_all:
            outcome = 'failed'
        if (order.task, order.run) in self.gangs.failing:
            work_s, outcome = FAILS_AFTER_S, 'failed'
        work_s *= self.orders.slowness
        log = RunLog(self.entry.worker, order.task, order.run, work_s)
        log.token = order.token
        self.running[order.task] = log
        self.history.append(log)
        detach(self._work(log, outcome))
        return self.clock_ms()

    def _refusal(self, order: StartOrder) -> str:
        if self.orders.refuse_as:
            return self.orders.refuse_as
        if order.token < self.token:
            return STALE_FENCE
        if order.until_ms < self.clock_ms():
            return LATE
        known = self.running.get(order.task)
        if known is not None and known.run == order.run:
            return ''
        if order.run <= self.poisoned.get(order.task, 0):
            return STALE_RUN
        return ''

    def _stop(self, task: str, run: int, token: int) -> int | Failure:
        if token < self.token:
            return OrderRefused('fence', cause=STALE_FENCE)
        self.token = token
        self.poisoned[task] = max(self.poisoned.get(task, 0), run)
        log = self.running.get(task)
        if log is not None and log.run <= run:
            detach(self._end_later(task, log))
        return self.clock_ms()

    async def _end_later(self, task: str, log: RunLog) -> None:
        index = int(task.rpartition('.')[-1])
        await asyncio.sleep(STOP_S + index * self.orders.stagger_s)
        if self.running.get(task) is log:
            self._end(task, 'stopped')

    async def _work(self, log: RunLog, outcome: str) -> None:
        if self.running.get(log.task) is not log:
            # The worker has crashed right after the start.
            return
        gang = self.gangs.join(self, log)
        while self.running.get(log.task) is log:
            lease_s = self.lease.left_s()
            end = self._next_end(log, gang, lease_s, outcome)
            if end == 'lapsed' and self.lease.kill_s:
                await asyncio.sleep(self.lease.kill_s)
            if end:
                self._end_run(log, end)
                return
            await self._work_on(log, gang, lease_s)

    async def _work_on(
        self, log: RunLog, gang: Gang | None, lease_s: float
    ) -> None:
        works = not self.is_still and (gang is None or gang.is_whole())
        needed_s = log.left_s if works and log.left_s > 0 else SLICE_S
        slice_s = min(lease_s, needed_s, SLICE_S)
        await asyncio.sleep(max(slice_s, WAY_S))
        if works:
            log.left_s -= slice_s

    def _next_end(
        self, log: RunLog, gang: Gang | None, lease_s: float, outcome: str
    ) -> str:
        """Return how a run ends now, or nothing if it goes on."""
        if lease_s <= 0 and log.left_s > 0:
            return 'lapsed'
        has_worked = log.left_s <= 0
        if gang is None or (has_worked and outcome != 'done'):
            return outcome if has_worked else ''
        return gang.end_of(log)

    def _end_run(self, log: RunLog, end: str) -> None:
        if end == 'crash':
            detach(_crash(self))
            return
        for worker, member in self.gangs.peers_of(log, end):
            worker.end_member(member, end)
        self.end_member(log, end)

    def end_member(self, log: RunLog, end: str) -> None:
        """End a run, unless it has ended."""
        if self.running.get(log.task) is log:
            self._end(log.task, end)

    def _end(self, task: str, outcome: str) -> None:
        log = self.running.pop(task)
        log.ended_at = now()
        log.outcome = outcome
        gang = self.gangs.find(log)
        if gang is not None and outcome != 'done':
            gang.is_broken = True
        self.number += 1
        self.poisoned[task] = max(self.poisoned.get(task, 0), log.run)
        self.ended.append(
            EndedRow(self.number, task, log.run, OUTCOMES[outcome], '')
        )
        self.unacknowledged[self.number] = log
        self.has_ended.set()

    def has_lapsed(self, since: float, until: float) -> bool:
        """Return whether a lease lapsed between two of the loop's times."""
        self.lease.note_lapse()
        return any(since <= at <= until for at in self.lease.lapses)

    async def _wait(self, wait_s: float) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await self.has_ended.wait()


@final
class WorkerPool:
    """Calls to the workers by entry; implements ``Workers``."""

    __slots__ = ('by_name', 'is_cut')

    def __init__(self, by_name: dict[str, WorkerStandin]) -> None:
        """Take the workers; ``is_cut`` loses one node's calls."""
        self.by_name = by_name
        self.is_cut = False

    async def start(
        self, entry: WorkerEntry, order: StartOrder
    ) -> int | Failure:
        """Order a start."""
        worker = self._find(entry)
        return await call_outside(worker.start(order) if worker else _lose())

    async def stop(
        self, entry: WorkerEntry, task: str, run: int, token: int
    ) -> int | Failure:
        """Order a stop."""
        worker = self._find(entry)
        return await call_outside(
            worker.stop(task, run, token) if worker else _lose()
        )

    async def renew(
        self, entry: WorkerEntry, renewal: Renewal
    ) -> WorkerReport | Failure:
        """Renew the leases."""
        worker = self._find(entry)
        return await call_outside(worker.renew(renewal) if worker else _lose())

    async def set_pace(
        self, entry: WorkerEntry, task: str, run: int, percent: int, token: int
    ) -> int | Failure:
        """Set a run's pace; nothing here depends on it."""
        worker = self._find(entry)
        return WorkerUnreachable('none') if worker is None else 0

    def _find(self, entry: WorkerEntry) -> WorkerStandin | None:
        if self.is_cut or not entry.address:
            return None
        return self.by_name.get(entry.worker)


async def _crash(worker: WorkerStandin) -> None:
    """Let a worker lose everything, and begin another life after a while."""
    worker.vanish()
    await asyncio.sleep(worker.orders.crash_down_s)
    worker.restart()
    worker.is_cut = False


async def _lose(limit_s: float = TIMEOUT_S) -> Failure:
    await asyncio.sleep(limit_s)
    return WorkerUnreachable('no answer', sent=True)


def _reborn(entry: WorkerEntry) -> WorkerEntry:
    return WorkerEntry(
        worker=entry.worker,
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        is_ready=entry.is_ready,
        capacity=entry.capacity,
        rack=entry.rack,
        labels=entry.labels,
        born_ms=entry.born_ms + 1,
    )
