"""Operators' actions on documents and keys, for the daemon and the CLI."""

import re
from collections.abc import Mapping
from typing import Final, final

import msgspec

from berylspread.config.checks import (
    check_change,
    check_environment,
    check_usage,
    parse_document,
)
from berylspread.config.document import Document, InvalidDocument
from berylspread.config.environments import PRODUCTION, TRIAL
from berylspread.config.keys import NewKey, make_key
from berylspread.config.vouching import KeyGuard
from berylspread.kernel.clock import WallClock
from berylspread.kernel.errors import (
    Conflict,
    Failure,
    UnknownName,
)
from berylspread.kernel.registry import nearest
from berylspread.log.appender import Appender
from berylspread.log.folds import DocumentVersion, TeamKey
from berylspread.log.reader import LogReader
from berylspread.log.records import ConfigApplied, KeyWithdrawn
from berylspread.log.state import ClusterState
from berylspread.model import Resources

READ_BACK_TIMEOUT_S: Final = 5.0
CONFIRM_TIMEOUT_S: Final = 5.0
_ENVIRONMENT_NAME: Final = re.compile(
    r'(^\[environment\][^\[]*?^\s*name\s*[=:]\s*)(\w+)', re.MULTILINE
)


@final
class Submission(msgspec.Struct, frozen=True):
    """A document that an operator submits.

    ``base`` is the version that it is based on, 0 for the first document.
    """

    environment: str
    base: int
    text: str
    author: str
    note: str = ''


@final
class Operations:
    """Applies documents, and creates and withdraws keys, through the log."""

    __slots__ = ('appender', 'guard', 'reader', 'wall')

    def __init__(
        self,
        appender: Appender,
        reader: LogReader,
        guard: KeyGuard,
        wall: WallClock,
    ) -> None:
        self.appender = appender
        self.reader = reader
        self.guard = guard
        self.wall = wall

    async def apply(
        self,
        submission: Submission,
        used: Mapping[str, Resources] | None = None,
    ) -> DocumentVersion | Failure:
        """Put a document in force if its base version is in force.

        Returns ``InvalidDocument`` with every error, or a ``Conflict`` with the
        version in force and its author.  ``used`` is what each team has in use;
        a limit below it is an error.
        """
        problem = check_submission(
            submission,
            used or {},
            self._running_document(submission.environment),
        )
        if problem is not None:
            return problem
        conflict = _base_conflict(self.reader.state, submission)
        if conflict is not None:
            return conflict
        record = ConfigApplied(
            submission.environment,
            submission.base,
            submission.text,
            submission.author,
            submission.note,
            self.wall.time(),
        )
        offset = await self.appender.append(record)
        if isinstance(offset, Failure):
            return offset
        reached = await self.reader.wait_for_offset(offset, READ_BACK_TIMEOUT_S)
        if isinstance(reached, Failure):
            return _not_read_back(reached, offset)
        return _find_outcome(self.reader.state, record)

    async def promote(
        self, trial_version: int, base: int, author: str, note: str = ''
    ) -> DocumentVersion | Failure:
        """Put the trial document in force in production.

        Both versions are those that the operator has seen, so that a document
        that has changed since is not promoted.
        """
        trial = self.reader.state.configs.version_in_force(TRIAL)
        if trial is None or trial.version != trial_version:
            return _not_in_force(TRIAL, trial_version, trial)
        text = _ENVIRONMENT_NAME.sub(rf'\g<1>{PRODUCTION}', trial.text, count=1)
        note = note or f'promoted from {TRIAL} {trial_version}'
        return await self.apply(
            Submission(PRODUCTION, base, text, author, note)
        )

    def _running_document(self, environment: str) -> Document | None:
        state = self.reader.state
        is_running = environment == PRODUCTION and state.config_version
        return state.document if is_running else None

    def history(self, environment: str) -> tuple[DocumentVersion, ...]:
        """Return the retained versions, oldest first."""
        return self.reader.state.configs.history(environment)

    async def create_key(self, team: str, label: str = '') -> NewKey | Failure:
        """Create a key for a team; its text is not stored."""
        teams = self.reader.state.document.teams
        if team not in teams:
            return UnknownName(
                f'no team is called {team!r}',
                key=team,
                nearest=nearest(team, teams),
            )
        key = make_key(team, label, self.wall.time())
        offset = await self.appender.append(key.record)
        return offset if isinstance(offset, Failure) else key

    async def withdraw_key(self, key_id: str) -> TeamKey | Failure:
        """Withdraw a key; return once a majority has read the withdrawal.

        From then on, every node stops accepting the key within the trust
        duration.  Returns ``OutcomeUnknown`` if the withdrawal is in the log,
        but no majority is known to have read it.
        """
        key = self.reader.state.keys.find_key(key_id)
        if key is None:
            return UnknownName(f'no key is called {key_id!r}', key=key_id)
        offset = await self.appender.append(
            KeyWithdrawn(key_id, self.wall.time())
        )
        if isinstance(offset, Failure):
            return offset
        confirmed = await self.guard.confirm_withdrawal(
            offset, CONFIRM_TIMEOUT_S
        )
        if isinstance(confirmed, Failure):
            return confirmed
        return self.reader.state.keys.find_key(key_id) or key


def check_submission(
    submission: Submission,
    used: Mapping[str, Resources],
    current: Document | None = None,
) -> InvalidDocument | None:
    """Return every error in a document that an operator submits.

    ``used`` is what each team has in use, ``current`` the document that the
    system runs with.
    """
    source = submission.environment
    document = parse_document(source, submission.text)
    if isinstance(document, InvalidDocument):
        return document
    errors = check_usage(document, used)
    if current is not None:
        errors.extend(check_change(current, document))
    errors.extend(check_environment(document, submission.environment))
    return InvalidDocument.from_errors(source, errors) if errors else None


def _base_conflict(
    state: ClusterState, submission: Submission
) -> Conflict | None:
    current = state.configs.version_in_force(submission.environment)
    in_force = current.version if current else 0
    if in_force == submission.base:
        return None
    return _not_in_force(submission.environment, submission.base, current)


def _not_in_force(
    environment: str, base: int, current: DocumentVersion | None
) -> Conflict:
    return Conflict(
        f'{environment} version {base} is not in force',
        environment=environment,
        base=base,
        version=current.version if current else 0,
        author=current.author if current else '',
    )


def _find_outcome(
    state: ClusterState, record: ConfigApplied
) -> DocumentVersion | Conflict:
    """Return the record's version, or a conflict if another document won.

    Only one version can follow a base, so the version is found by its base.
    Its offset does not identify it: that of a retried append may be the offset
    of the second copy.
    """
    history = state.configs.history(record.environment)
    winner = next(
        (found for found in history if found.base == record.base), None
    )
    if winner is not None and (winner.author, winner.applied_at) == (
        record.author,
        record.applied_at,
    ):
        return winner
    return _not_in_force(record.environment, record.base, winner)


def _not_read_back(failure: Failure, offset: int) -> Failure:
    return type(failure)(
        'the document is in the log, and this node has not read it yet',
        offset=offset,
        may_have_applied=True,
    )
