"""Failures as return values: registered types with a reason and fields.

A failure that is visible to a caller or an operator is returned, not raised.
Each type defines its HTTP status, its exit code, and whether the request may
have run.
"""

import enum
from typing import Any, ClassVar, Final, final

import msgspec

EXIT_INPUT: Final = 2
EXIT_REFUSED: Final = 3
EXIT_CONFLICT: Final = 4
EXIT_UNAVAILABLE: Final = 5
EXIT_UNKNOWN_OUTCOME: Final = 6


@final
class RunState(enum.Enum):
    """Whether a request has run, as far as a failure tells."""

    not_run = 'not-run'
    ran = 'ran'
    unknown = 'unknown'


class Failure:
    """Base class of failures; an instance is falsy."""

    __slots__ = ('fields', 'reason')

    name: ClassVar[str] = 'failure'
    http_status: ClassVar[int] = 500
    exit_code: ClassVar[int] = 1
    run_state: ClassVar[RunState] = RunState.not_run

    def __init__(self, reason: str, **fields: Any) -> None:
        """Store the reason and the fields, whose values must fit into JSON."""
        self.reason = reason
        self.fields = fields

    def __bool__(self) -> bool:
        """Return ``False``, as a failure takes the place of a result."""
        return False

    def __repr__(self) -> str:
        """Return the type's name, the reason and the fields."""
        return f'{self.name}({self.reason!r}, {self.fields!r})'

    def __eq__(self, other: object) -> bool:
        """Compare by type, reason and fields."""
        return (
            isinstance(other, Failure)
            and self.name == other.name
            and self.reason == other.reason
            and self.fields == other.fields
        )

    def __hash__(self) -> int:
        """Hash by type and reason."""
        return hash((self.name, self.reason))


_failures: Final[dict[str, type[Failure]]] = {}


def failure(cls: type[Failure]) -> type[Failure]:
    """Register a failure type under its ``name``; a class decorator."""
    registered = _failures.setdefault(cls.name, cls)
    if registered is not cls:
        raise TypeError(
            f'failure name {cls.name!r} is already used by {registered!r}'
        )
    return cls


def failure_types() -> dict[str, type[Failure]]:
    """Return the registered failure types by name."""
    return dict(_failures)


@final
class WireFailure(msgspec.Struct, frozen=True, tag='failure'):
    """A failure as it travels between processes."""

    name: str
    reason: str
    fields: dict[str, Any] = {}


def to_wire(value: Failure) -> WireFailure:
    """Encode a failure for a peer."""
    return WireFailure(value.name, value.reason, value.fields)


def from_wire(wire: WireFailure) -> Failure:
    """Decode a failure from a peer; an unknown type becomes ``Internal``."""
    cls = _failures.get(wire.name, Internal)
    return cls(wire.reason, **wire.fields)


@failure
class Internal(Failure):
    """A fault of this program; the program's log has the details."""

    name = 'internal'
    run_state = RunState.unknown


@failure
class InvalidInput(Failure):
    """An input value is malformed; the fields tell which one."""

    name = 'invalid-input'
    http_status = 400
    exit_code = EXIT_INPUT


@failure
class UnknownName(Failure):
    """A name is unknown; ``nearest`` may suggest a similar one."""

    name = 'unknown-name'
    http_status = 404
    exit_code = EXIT_INPUT


@failure
class Unauthenticated(Failure):
    """The key is missing, unknown or withdrawn."""

    name = 'unauthenticated'
    http_status = 401
    exit_code = EXIT_REFUSED


@failure
class Forbidden(Failure):
    """The key is valid but belongs to another team than the queue or job."""

    name = 'forbidden'
    http_status = 403
    exit_code = EXIT_REFUSED


@failure
class QuotaExceeded(Failure):
    """The team is at its upper limit."""

    name = 'quota-exceeded'
    http_status = 429
    exit_code = EXIT_REFUSED


@failure
class Overloaded(Failure):
    """A bounded queue is full, or the deadline cannot be met."""

    name = 'overloaded'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@failure
class DeadlineExceeded(Failure):
    """The deadline passed before the work was sent to a backend server."""

    name = 'deadline-exceeded'
    http_status = 504
    exit_code = EXIT_UNAVAILABLE


@failure
class NotRun(Failure):
    """The work has certainly not been started."""

    name = 'not-run'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@failure
class OutcomeUnknown(Failure):
    """The work was sent, but no complete reply was received."""

    name = 'outcome-unknown'
    http_status = 502
    exit_code = EXIT_UNKNOWN_OUTCOME
    run_state = RunState.unknown


@failure
class Unplaceable(Failure):
    """No worker could ever hold the work; ``dimension`` is what is exceeded."""

    name = 'unplaceable'
    http_status = 422
    exit_code = EXIT_REFUSED


@failure
class Conflict(Failure):
    """A compare-and-set failed, as another writer was first."""

    name = 'conflict'
    http_status = 409
    exit_code = EXIT_CONFLICT


@failure
class LogUnavailable(Failure):
    """The platform's log did not reply; an append may have taken effect."""

    name = 'log-unavailable'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE
    run_state = RunState.unknown


@failure
class LogGap(Failure):
    """The log no longer retains all records from the expected offset on."""

    name = 'log-gap'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@failure
class PeerUnreachable(Failure):
    """A peer did not reply in time; it may have processed the message."""

    name = 'peer-unreachable'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE
    run_state = RunState.unknown


@failure
class WorkerUnreachable(Failure):
    """A backend server did not reply; with ``sent``, the work may have run."""

    name = 'worker-unreachable'
    http_status = 502
    exit_code = EXIT_UNAVAILABLE
    run_state = RunState.unknown


@failure
class NotOwner(Failure):
    """This node has no authority over the unit; ``owner`` may name who has."""

    name = 'not-owner'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE


@failure
class StaleEpoch(Failure):
    """The epoch of the message is older than one that the receiver has seen."""

    name = 'stale-epoch'
    http_status = 409
    exit_code = EXIT_CONFLICT


@failure
class Draining(Failure):
    """The node or backend server is leaving and accepts no new work."""

    name = 'draining'
    http_status = 503
    exit_code = EXIT_UNAVAILABLE
