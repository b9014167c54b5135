"""Authentication of callers and operators; authorization for queues."""

import hashlib
import hmac
from typing import Final, final

from berylspread.config import QueueSection
from berylspread.config.vouching import KeyGuard
from berylspread.kernel import now
from berylspread.kernel.errors import (
    Failure,
    Forbidden,
    Unauthenticated,
    UnknownName,
)
from berylspread.kernel.registry import nearest
from berylspread.runtime import NodeContext

BEARER_PREFIX: Final = 'bearer '


@final
class Caller:
    """The team that a request's key belongs to, or an anonymous caller."""

    __slots__ = ('team',)

    def __init__(self, team: str = '') -> None:
        """Store the team's name; empty for an anonymous caller."""
        self.team = team

    @property
    def is_authenticated(self) -> bool:
        """Whether the request carried a valid key."""
        return bool(self.team)


ANONYMOUS: Final = Caller()


@final
class AccessControl:
    """Checks keys and queue permissions against the state of the log."""

    __slots__ = ('context', 'keys')

    def __init__(self, context: NodeContext, keys: KeyGuard) -> None:
        self.context = context
        self.keys = keys

    def identify_caller(self, authorization: str) -> Caller | Failure:
        """Return the caller that an ``Authorization`` header identifies.

        Without the header, the caller is anonymous.
        """
        if not authorization:
            return ANONYMOUS
        text = parse_bearer_token(authorization)
        if isinstance(text, Failure):
            return text
        team = self.keys.authenticate(text)
        return team if isinstance(team, Failure) else Caller(team)

    def require_team(self, authorization: str) -> Caller | Failure:
        """Return the caller, or a failure if the request has no valid key."""
        caller = self.identify_caller(authorization)
        if isinstance(caller, Failure) or caller.is_authenticated:
            return caller
        return Unauthenticated('a key is required: Authorization: Bearer KEY')

    def authorize_queue(
        self, authorization: str, name: str
    ) -> tuple[Caller, QueueSection] | Failure:
        """Return the caller and the queue, or why the caller may not use it.

        An open queue accepts anonymous callers, and any caller while this node
        cannot verify keys.  Otherwise, it refuses an invalid key, too.
        """
        queue = self.context.document.queue(name)
        caller = self.identify_caller(authorization)
        if queue is not None and queue.open:
            if isinstance(caller, Failure) and not self._are_keys_trusted():
                caller = ANONYMOUS
            return caller if isinstance(caller, Failure) else (caller, queue)
        if isinstance(caller, Failure):
            return caller
        if not caller.is_authenticated:
            return Unauthenticated(
                'a key is required: Authorization: Bearer KEY', queue=name
            )
        if queue is None:
            return self._unknown_queue(name, caller)
        if queue.team != caller.team:
            return Forbidden(
                'the key is of another team than the queue',
                queue=name,
                team=caller.team,
            )
        return caller, queue

    def _are_keys_trusted(self) -> bool:
        return self.keys.trust.is_trusted(now())

    def _unknown_queue(self, name: str, caller: Caller) -> UnknownName:
        usable = [
            label
            for label, queue in self.context.document.queues.items()
            if queue.open or queue.team == caller.team
        ]
        return UnknownName(
            f'no queue is called {name!r}',
            kind='queue',
            key=name,
            nearest=nearest(name, usable),
        )


@final
class OperatorAccess:
    """Checks operator tokens against the digests in the settings."""

    __slots__ = ('digests',)

    def __init__(self, digests: tuple[str, ...]) -> None:
        """Store SHA-256 digests in hex; an empty tuple refuses every token."""
        self.digests = tuple(digest.lower() for digest in digests)

    def check_token(self, authorization: str) -> Failure | None:
        """Return why the token is refused, or ``None`` if it is valid."""
        text = parse_bearer_token(authorization)
        if isinstance(text, Failure):
            return text
        digest = hashlib.sha256(text.encode()).hexdigest()
        # Every digest is compared, so that timing doesn't reveal which matched.
        matches = [hmac.compare_digest(digest, valid) for valid in self.digests]
        if any(matches):
            return None
        return Unauthenticated("the operator's token is invalid")


def parse_bearer_token(authorization: str) -> str | Unauthenticated:
    """Return the token of an ``Authorization: Bearer`` header."""
    scheme, text = (
        authorization[: len(BEARER_PREFIX)],
        authorization[len(BEARER_PREFIX) :],
    )
    if scheme.lower() != BEARER_PREFIX or not text.strip():
        return Unauthenticated(
            'malformed header; expected Authorization: Bearer KEY'
        )
    return text.strip()
