"""Sends requests from any node to the current coordinator."""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, Final, TypeGuard, TypeVar, final

from berylspread.coordinator.absence import CoordinatorAbsence
from berylspread.coordinator.decision_log import DecisionLog
from berylspread.coordinator.service import NotStored
from berylspread.kernel.clock import now
from berylspread.kernel.errors import (
    Failure,
    NotOwner,
    NotRun,
    OutcomeUnknown,
    PeerUnreachable,
)
from berylspread.peers import Message, Peers

ReplyT = TypeVar('ReplyT', bound=Message)

#: Pause before a request is sent again.  One that waits for a reply checks as
#: often whether another node coordinates by now.
CHECK_INTERVAL_S: Final = 0.1
#: Longest wait for one reply; a coordinator that does not reply may be down.
ATTEMPT_TIMEOUT_S: Final = 1.2
#: The part of the caller's time limit that is kept for returning the reply.
REPLY_MARGIN_S: Final = 0.15

#: Failures after which the same request is sent again.  Requests name the id of
#: a job, so a coordinator that gets one twice acts on it once.
RETRIABLE_FAILURES: Final = (NotOwner, NotStored, PeerUnreachable)


@final
class Attempts:
    """The attempts of one request, at most one pending at each node.

    An attempt at a node that has died is only over at its time limit, so the
    request is sent to the successor beside it.
    """

    __slots__ = ('count', 'may_have_run', 'pending', 'reason')

    def __init__(self) -> None:
        self.pending: dict[str, asyncio.Task[Any]] = {}
        self.count = 0
        #: Whether a failed attempt may have reached a coordinator.
        self.may_have_run = False
        self.reason = 'no coordinator is known or can be reached'

    def is_needed(self, node: str | None) -> TypeGuard[str]:
        """Return whether the request should be sent to a node now."""
        return node is not None and node not in self.pending

    def begin(self, node: str, attempt: Coroutine[Any, Any, Any]) -> None:
        """Start an attempt at a node."""
        self.count += 1
        self.pending[node] = asyncio.create_task(attempt)

    async def next_reply(self, timeout_s: float) -> Any:
        """Return the next reply or failure, ``None`` if none comes in time."""
        if not self.pending:
            await asyncio.sleep(timeout_s)
            return None
        done, _ = await asyncio.wait(
            self.pending.values(),
            timeout=timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        for node, attempt in list(self.pending.items()):
            if attempt in done:
                del self.pending[node]
                return self._record_reply(attempt.result())
        return None

    def cancel(self) -> None:
        """Stop waiting for the pending attempts."""
        for attempt in self.pending.values():
            attempt.cancel()

    def _record_reply(self, reply: Any) -> Any:
        if isinstance(reply, RETRIABLE_FAILURES):
            self.reason = reply.reason
            self.may_have_run = self.may_have_run or _may_have_run(reply)
        return reply


@final
class Gateway:
    """Repeats a request to the coordinator until the caller's deadline.

    The coordinator may change in the meantime.
    """

    __slots__ = (
        'absence',
        'find_leader',
        'is_isolated',
        'last_reply_at',
        'log',
        'on_failed_attempt',
        'peers',
    )

    def __init__(
        self,
        peers: Peers,
        find_leader: Callable[[], str | None],
        is_isolated: Callable[[], bool],
        on_failed_attempt: Callable[[], None],
        log: DecisionLog,
    ) -> None:
        """Set the callbacks.

        ``find_leader`` returns the node that coordinates, ``None`` if unknown.
        ``is_isolated`` returns whether neither the store nor a node responds.
        ``on_failed_attempt`` is called when the node that was taken for the
        coordinator cannot be reached or does not coordinate.
        """
        self.on_failed_attempt = on_failed_attempt
        self.peers = peers
        self.find_leader = find_leader
        self.is_isolated = is_isolated
        self.log = log
        self.absence = CoordinatorAbsence()
        #: When the coordinator last replied, in loop time.
        self.last_reply_at = now()

    async def send_request(
        self,
        body: Message,
        reply_type: type[ReplyT],
        *,
        request: str,
        timeout_s: float,
    ) -> ReplyT | Failure:
        """Return the coordinator's reply, or a failure if none came in time.

        The failure is ``NotRun`` if the request has certainly reached no
        coordinator, ``OutcomeUnknown`` if one may have acted on it.  A request
        that may have been acted on is repeated until the deadline, to learn its
        outcome.
        """
        began = now()
        deadline = began + timeout_s - REPLY_MARGIN_S
        attempts = Attempts()
        try:
            while attempts.pending or self._may_try(attempts, deadline):
                node = self.find_leader()
                if attempts.is_needed(node) and now() < deadline:
                    limit_s = min(ATTEMPT_TIMEOUT_S, deadline - now())
                    attempts.begin(
                        node,
                        self.peers.request(
                            node, body, reply_type, timeout_s=limit_s
                        ),
                    )
                reply: ReplyT | Failure | None = await attempts.next_reply(
                    CHECK_INTERVAL_S
                )
                if reply is None:
                    self._record_waiting(attempts, node)
                elif isinstance(reply, RETRIABLE_FAILURES):
                    self.on_failed_attempt()
                    self.absence.record_failure(node, now())
                    await asyncio.sleep(CHECK_INTERVAL_S)
                else:
                    self.last_reply_at = now()
                    self.absence.record_reply()
                    return reply
        finally:
            attempts.cancel()
        return self._give_up(request, body, attempts, now() - began)

    def _may_try(self, attempts: Attempts, deadline: float) -> bool:
        return now() < deadline and (attempts.may_have_run or self._may_wait())

    def _record_waiting(self, attempts: Attempts, node: str | None) -> None:
        if not attempts.pending:
            self.absence.record_failure(node, now())

    def _may_wait(self) -> bool:
        return not self.is_isolated() and self.absence.may_wait(
            self.find_leader(), now()
        )

    def _give_up(
        self,
        request: str,
        body: Message,
        attempts: Attempts,
        waited_s: float,
    ) -> Failure:
        self.log.write(
            'unanswered',
            request=request,
            kind=type(body).__name__,
            attempts=attempts.count,
            waited_s=round(waited_s, 3),
            may_have_run=attempts.may_have_run,
            reason=attempts.reason,
        )
        if attempts.may_have_run:
            return OutcomeUnknown(attempts.reason)
        return NotRun(attempts.reason)


def _may_have_run(failure: Failure) -> bool:
    return isinstance(failure, NotStored) or bool(failure.fields.get('sent'))
