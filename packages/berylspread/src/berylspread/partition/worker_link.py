"""The connection to one worker: starts, lease renewals, stops and reports.

Two asyncio tasks serve a worker: one renews all leases and waits for changes,
the other sends starts and stops when there are any.  Their replies may arrive
out of order; the worker's sequence number tells which is newer.
"""

import asyncio
from collections.abc import Callable
from typing import Final, final

from absl import logging

from berylspread.backend import (
    BackendClient,
    SyncReply,
    SyncRequest,
    TaskStart,
    TaskStop,
)
from berylspread.kernel import CLOCK_DRIFT, Failure, WallClock, now
from berylspread.kernel.errors import WorkerUnreachable
from berylspread.model import TaskState, Vm
from berylspread.ownership import Tenure
from berylspread.partition.attempts import Attempt

EXCHANGE_TIMEOUT_S: Final = 2.0
START_WINDOW_S: Final = 2.0
MIN_RETRY_S: Final = 0.2
MAX_RETRY_S: Final = 2.0
RENEWALS_PER_LEASE: Final = 4
#: After this many failed exchanges in a row the owner grants nothing more on
#: the worker until it replies.
UNREACHABLE_AFTER_FAILURES: Final = 2
INITIAL_PERIOD_S: Final = 1.0
INITIAL_WAIT_S: Final = 0.2


@final
class LinkTiming:
    """The length of a lease and the times derived from it, in seconds.

    A request waits up to ``wait_s`` for changes, so that a lease is renewed
    several times before it lapses.  No lease is renewed once a worker has not
    replied for ``max_silence_s``.
    """

    __slots__ = ('lease_s', 'max_silence_s', 'wait_s')

    def __init__(self, lease_s: float) -> None:
        self.lease_s = lease_s
        self.wait_s = lease_s / RENEWALS_PER_LEASE
        self.max_silence_s = lease_s / 2

    def lease_lapses_at(self, sent_at: float, timeout_s: float) -> float:
        """Return when a lease that a request renewed has certainly lapsed.

        The request may have arrived as late as its timeout, and the worker's
        clock may run slower by ``CLOCK_DRIFT``.  Times are loop seconds.
        """
        return sent_at + timeout_s + self.lease_s * (1 + CLOCK_DRIFT)


@final
class WorkerLink:  # noqa: WPS230
    """The connection of a partition owner to one worker.

    ``on_reply`` is called with each reply that is not outdated, and
    ``on_failure`` after each exchange that failed.
    """

    __slots__ = (
        'acknowledged',
        'attempts',
        'failures',
        'last_reply_at',
        'on_failure',
        'on_reply',
        'opened_at',
        'sequence',
        'starts',
        'stops',
        'tasks',
        'tenure',
        'timing',
        'vm',
        'wake',
        'wall',
        'workers',
    )

    def __init__(
        self,
        vm: Vm,
        tenure: Tenure,
        workers: BackendClient,
        wall: WallClock,
        timing: LinkTiming,
    ) -> None:
        self.vm = vm
        self.tenure = tenure
        self.workers = workers
        self.wall = wall
        self.timing = timing
        self.attempts: dict[str, Attempt] = {}
        self.starts: list[Attempt] = []
        self.stops: dict[str, str] = {}
        self.acknowledged: set[str] = set()
        self.sequence = 0
        self.failures = 0
        self.last_reply_at = now()
        self.opened_at = now()
        self.wake = asyncio.Event()
        self.on_reply: Callable[[WorkerLink, SyncReply], None] = _ignore_reply
        self.on_failure: Callable[[WorkerLink], None] = _ignore_failure
        self.tasks: list[asyncio.Task[None]] = []

    def open(self) -> None:
        """Start the two asyncio tasks."""
        name = self.vm.vm_id
        self.tasks = [
            asyncio.create_task(self._sync_loop(), name=f'watch {name}'),
            asyncio.create_task(self._command_loop(), name=f'command {name}'),
        ]

    def close(self) -> None:
        """Cancel the two asyncio tasks."""
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()

    def start_attempt(self, attempt: Attempt) -> None:
        """Send the start of an attempt with the next command."""
        # The worker would forget this attempt for an earlier one.
        self.acknowledged.discard(attempt.name)
        self.attempts[attempt.name] = attempt
        attempt.started_at = now()
        attempt.lease_lapses_at = now()
        self.starts.append(attempt)
        self.wake.set()

    def stop_task(self, name: str, mode: str) -> None:
        """Send a stop with the next command.

        ``mode`` is ``stop``, ``checkpoint`` or ``throttle``.
        """
        self.stops[name] = mode
        self.wake.set()

    def acknowledge(self, attempt: Attempt) -> None:
        """Forget an ended attempt; the worker may, with the next exchange.

        The task may have been started again since.
        """
        if self.attempts.get(attempt.name, attempt) is attempt:
            self.attempts.pop(attempt.name, None)
            self.acknowledged.add(attempt.name)

    async def _sync_loop(self) -> None:
        while True:
            await self._wait_for_valid_tenure()
            reply = await self._exchange(
                SyncRequest(
                    unit=self.tenure.unit,
                    epoch=self.tenure.epoch,
                    renew=self._leases_to_renew(),
                    acknowledged=list(self.acknowledged),
                    lease_s=self.timing.lease_s,
                    not_after=self.wall.time() + EXCHANGE_TIMEOUT_S,
                    seen=self.sequence,
                    wait_s=self._wait_s(),
                )
            )
            if isinstance(reply, Failure):
                await asyncio.sleep(self._backoff_s())

    async def _command_loop(self) -> None:
        while True:
            await self.wake.wait()
            self.wake.clear()
            await self._wait_for_valid_tenure()
            starts, self.starts = self.starts, []
            stops, self.stops = self.stops, {}
            if not starts and not stops:
                continue
            await self._send_command(starts, stops)

    async def _send_command(
        self, starts: list[Attempt], stops: dict[str, str]
    ) -> None:
        # There must be no await between the caller's check of the tenure and
        # the send below.
        sent_at = now()
        not_after = self.wall.time() + min(
            START_WINDOW_S, self.tenure.valid_until - sent_at
        )
        for attempt in starts:
            attempt.start_may_arrive_until = (
                sent_at + EXCHANGE_TIMEOUT_S + START_WINDOW_S
            )
        reply = await self._exchange(
            SyncRequest(
                unit=self.tenure.unit,
                epoch=self.tenure.epoch,
                starts=[
                    self._to_task_start(item, not_after) for item in starts
                ],
                stops=[TaskStop(name, mode) for name, mode in stops.items()],
                lease_s=self.timing.lease_s,
                not_after=not_after,
            ),
            starting=starts,
        )
        if isinstance(reply, Failure):
            for name, mode in stops.items():
                self.stops.setdefault(name, mode)
            if not reply.fields.get('sent', True):
                self._return_unsent(starts)
            await asyncio.sleep(self._backoff_s())
            if self.stops:
                self.wake.set()

    def _return_unsent(self, starts: list[Attempt]) -> None:
        for attempt in starts:
            attempt.start_may_arrive_until = None
            attempt.change_state(TaskState.pending, reason='worker unreachable')
        self.on_failure(self)

    async def _exchange(
        self, request: SyncRequest, starting: list[Attempt] | None = None
    ) -> SyncReply | Failure:
        last_sequence = self.sequence
        timeout_s = request.wait_s + EXCHANGE_TIMEOUT_S
        lapses_at = self.timing.lease_lapses_at(now(), timeout_s)
        for attempt in self._attempts_to_renew(request, starting or []):
            attempt.lease_lapses_at = max(attempt.lease_lapses_at, lapses_at)
        try:
            async with asyncio.timeout(timeout_s):
                reply = await self.workers.sync(self.vm, request)
        except TimeoutError:
            reply = self._timed_out()
        if isinstance(reply, Failure):
            self.failures += 1
            self.on_failure(self)
            return reply
        self.failures = 0
        self.last_reply_at = now()
        self.acknowledged.difference_update(request.acknowledged)
        if last_sequence > reply.sequence:
            logging.warning('worker %s has restarted', self.vm.vm_id)
            self.sequence = reply.sequence
        if reply.sequence >= self.sequence:
            self.sequence = reply.sequence
            self.on_reply(self, reply)
        return reply

    def _timed_out(self) -> Failure:
        return WorkerUnreachable(
            f'worker {self.vm.vm_id} did not reply in time',
            worker=self.vm.vm_id,
            sent=True,
        )

    def _attempts_to_renew(
        self, request: SyncRequest, starting: list[Attempt]
    ) -> list[Attempt]:
        renewed = [
            self.attempts[name]
            for name in request.renew
            if name in self.attempts
        ]
        return renewed + starting

    def _leases_to_renew(self) -> list[str]:
        # A renewal without a reply may have arrived, which postpones the time
        # at which the lease has certainly lapsed.  So requests to a worker that
        # does not reply renew nothing.
        if now() - self.last_reply_at > self.timing.max_silence_s:
            return []
        return [
            name
            for name, attempt in self.attempts.items()
            if not attempt.is_ended
        ]

    def _to_task_start(self, attempt: Attempt, not_after: float) -> TaskStart:
        grant = attempt.grant
        return TaskStart(
            task=attempt.name,
            attempt=grant.attempt,
            team=grant.team,
            job_class=grant.job_class,
            shape=grant.shape,
            payload=grant.payload,
            lease_s=self.timing.lease_s,
            not_after=not_after,
            resume_from=grant.checkpoint,
        )

    async def _wait_for_valid_tenure(self) -> None:
        while not self.tenure.is_valid(now()):
            await asyncio.sleep(MIN_RETRY_S)

    def _wait_s(self) -> float:
        # After a takeover nothing is granted before the first reply that comes
        # after the previous owner's last calls have arrived, so the first
        # requests wait for a short time only.
        is_initial = now() < self.opened_at + INITIAL_PERIOD_S
        return INITIAL_WAIT_S if is_initial else self.timing.wait_s

    def _backoff_s(self) -> float:
        return min(MIN_RETRY_S * (1 << min(self.failures, 8)), MAX_RETRY_S)


def _ignore_reply(link: WorkerLink, reply: SyncReply) -> None:
    """Do nothing; the default until the owner sets its callback."""


def _ignore_failure(link: WorkerLink) -> None:
    """Do nothing; the default until the owner sets its callback."""
