"""The records of the log, and the batch that one append carries.

Records hold the facts that must survive the loss of nodes.  A batch carries
the id of its writer and the writer's sequence number.  A reader drops a batch
whose number is not greater than the writer's last one, since it is a retry of
an append whose reply was lost.
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
    """A new key of a team; the log stores only the digest of its secret."""

    key_id: str
    team: str
    digest: bytes
    label: str = ''
    created_at: float = 0.0


@final
class KeyWithdrawn(msgspec.Struct, frozen=True, tag=True):
    """A key was withdrawn and is no longer valid."""

    key_id: str
    withdrawn_at: float = 0.0


@final
class ElectorateChanged(msgspec.Struct, frozen=True, tag=True):
    """The next version of a region's electorate.

    Its members are the nodes that grant promises to owners.
    """

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
    """The owner released a unit and sends nothing more under its epoch."""

    unit: str
    epoch: int
    owner: NodeRef
    successor: str = ''


@final
class JobAccepted(msgspec.Struct, frozen=True, tag=True):
    """A job was accepted; the caller gets a reply once this is confirmed."""

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
    """A region's home moved part of a team's allotment to another region."""

    team: str
    source_region: str
    target_region: str
    amount: Resources


@final
class DrainRequested(msgspec.Struct, frozen=True, tag=True):
    """An operator requested the drain of a VM, or cancelled it (``undo``)."""

    vm: str
    undo: bool = False
    requested_at: float = 0.0


@final
class SnapshotPart(msgspec.Struct, frozen=True, tag=True):
    """One part of a snapshot.

    ``covers`` is the offset of the last entry that the snapshot includes.
    """

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
    """Encode a batch as the MessagePack body of one append."""
    return _encoder.encode(batch)


def decode_batch(blob: bytes) -> Batch:
    """Decode the batch of an entry.

    Raises ``msgspec.DecodeError`` if the bytes are malformed.
    """
    return _decoder.decode(blob)
