"""Sends requests from any node to the current coordinator."""

import asyncio
from collections.abc import Callable
from typing import Final, TypeVar, final

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

#: Pause before a request is sent again, to the node that coordinates by then.
RETRY_S: Final = 0.1
#: Longest wait for one reply; a coordinator that does not reply may be down.
ATTEMPT_TIMEOUT_S: Final = 1.2
#: The part of the caller's time limit that is kept for returning the reply.
REPLY_MARGIN_S: Final = 0.15

#: Failures after which the same request is sent again.  Requests name the id of
#: a job, so a coordinator that gets one twice acts on it once.
RETRIABLE_FAILURES: Final = (NotOwner, NotStored, PeerUnreachable)


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
        was_sent = False
        attempts = 0
        reason = 'no coordinator is known or can be reached'
        while now() < deadline and (was_sent or self._may_wait()):
            node = self.find_leader()
            if node is not None:
                attempts += 1
                reply = await self.peers.request(
                    node,
                    body,
                    reply_type,
                    timeout_s=min(ATTEMPT_TIMEOUT_S, deadline - now()),
                )
                if not isinstance(reply, RETRIABLE_FAILURES):
                    self.last_reply_at = now()
                    self.absence.record_reply()
                    return reply
                reason = reply.reason
                self.on_failed_attempt()
                was_sent = was_sent or _may_have_run(reply)
            self.absence.record_failure(node, now())
            await asyncio.sleep(RETRY_S)
        return self._give_up(
            request,
            body,
            attempts=attempts,
            waited_s=now() - began,
            was_sent=was_sent,
            reason=reason,
        )

    def _may_wait(self) -> bool:
        return not self.is_isolated() and self.absence.may_wait(now())

    def _give_up(
        self,
        request: str,
        body: Message,
        *,
        attempts: int,
        waited_s: float,
        was_sent: bool,
        reason: str,
    ) -> Failure:
        self.log.write(
            'unanswered',
            request=request,
            kind=type(body).__name__,
            attempts=attempts,
            waited_s=round(waited_s, 3),
            may_have_run=was_sent,
            reason=reason,
        )
        if was_sent:
            return OutcomeUnknown(reason)
        return NotRun(reason)


def _may_have_run(failure: Failure) -> bool:
    return isinstance(failure, NotStored) or bool(failure.fields.get('sent'))
