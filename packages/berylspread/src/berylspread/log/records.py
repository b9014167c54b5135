"""The records of the log, and the batch that one append carries.

Every record is a fact that must outlive the nodes.  A batch names its writer
and the writer's sequence number.  A reader drops a batch whose number is not
above the writer's last one: it repeats an append whose answer was lost.
"""

from typing import Final, final

import msgspec

from berylspread.model import JobSpec, NodeRef, Resources, TaskEnd, TaskState


@final
class ConfigApplied(msgspec.Struct, frozen=True, tag=True):
    """A document for one environment; accepted if ``base`` is still in force.

    A version is the offset of the entry that carries the document; ``base`` is
    the version that the operator edited, 0 for the first.
    """

    environment: str
    base: int
    text: str
    author: str = ''
    note: str = ''
    applied_at: float = 0.0


@final
class KeyCreated(msgspec.Struct, frozen=True, tag=True):
    """A team's key; only the digest of its secret is kept."""

    key_id: str
    team: str
    digest: bytes
    label: str = ''
    created_at: float = 0.0


@final
class KeyWithdrawn(msgspec.Struct, frozen=True, tag=True):
    """A key stops working."""

    key_id: str
    withdrawn_at: float = 0.0


@final
class ElectorateChanged(msgspec.Struct, frozen=True, tag=True):
    """The nodes of a region that promise and consent, as one more version."""

    region: str
    version: int
    members: tuple[NodeRef, ...]


@final
class Claim(msgspec.Struct, frozen=True, tag=True):
    """A node claims a unit; the first claim of an epoch in log order wins."""

    unit: str
    epoch: int
    owner: NodeRef
    electorate_version: int


@final
class Release(msgspec.Struct, frozen=True, tag=True):
    """The owner gave a unit up and sends nothing more under its epoch."""

    unit: str
    epoch: int
    owner: NodeRef
    successor: str = ''


@final
class JobAccepted(msgspec.Struct, frozen=True, tag=True):
    """A job was accepted; the caller is told after this record is confirmed."""

    spec: JobSpec


@final
class JobCancelled(msgspec.Struct, frozen=True, tag=True):
    """A caller or operator cancelled a job."""

    job_id: str
    reason: str = ''


@final
class TasksStarted(msgspec.Struct, frozen=True, tag=True):
    """Tasks of a non-idempotent job are about to be started, once."""

    job_id: str
    indexes: tuple[int, ...]


@final
class TasksEnded(msgspec.Struct, frozen=True, tag=True):
    """Tasks of a job reached terminal states."""

    job_id: str
    ends: tuple[TaskEnd, ...]


@final
class JobEnded(msgspec.Struct, frozen=True, tag=True):
    """A job reached its terminal state."""

    job_id: str
    state: TaskState
    reason: str = ''
    ended_at: float = 0.0


@final
class AllotmentMoved(msgspec.Struct, frozen=True, tag=True):
    """A region's home gave part of a team's allotment to another region."""

    team: str
    source_region: str
    target_region: str
    amount: Resources


@final
class DrainRequested(msgspec.Struct, frozen=True, tag=True):
    """An operator wants a VM to take no new work, or lets it stay."""

    vm: str
    undo: bool = False
    requested_at: float = 0.0


@final
class SnapshotPart(msgspec.Struct, frozen=True, tag=True):
    """A part of the state after all entries up to and including ``covers``."""

    snapshot_id: str
    covers: int
    part: int
    parts: int
    blob: bytes


Record = (
    ConfigApplied
    | KeyCreated
    | KeyWithdrawn
    | ElectorateChanged
    | Claim
    | Release
    | JobAccepted
    | JobCancelled
    | TasksStarted
    | TasksEnded
    | JobEnded
    | AllotmentMoved
    | DrainRequested
    | SnapshotPart
)


@final
class Batch(msgspec.Struct, frozen=True):
    """The records of one append, which take effect together or not at all."""

    writer: str
    sequence: int
    records: list[Record]


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Batch)


def encode_batch(batch: Batch) -> bytes:
    """Return the bytes of one append."""
    return _encoder.encode(batch)


def decode_batch(blob: bytes) -> Batch:
    """Return an entry's batch; raise ``msgspec.DecodeError`` if malformed."""
    return _decoder.decode(blob)
