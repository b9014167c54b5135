"""The record of the leader, and the appends to its topic."""

import random
from collections.abc import Callable
from typing import Final, final

import msgspec

from berylspread.coordinator.claim_history import ClaimAge, ClaimHistory
from berylspread.coordinator.interface import KeyedStore, Producer
from berylspread.kernel.errors import Failure

LEADER_KEY: Final = 'leader'
CALL_TIMEOUT_S: Final = 1.0
#: A claim's sequence number is random below this bound, so that the store does
#: not take the claims of two nodes for repeats of each other.
CLAIM_SEQ_BOUND: Final = 1_000_000_000


@final
class LeaderRecord(msgspec.Struct, frozen=True, array_like=True):
    """The node that coordinates, its epoch and its address."""

    epoch: int
    node: str
    incarnation: int
    address: str
    released: bool = False

    def is_older_than(self, other: 'LeaderRecord') -> bool:
        """Return whether the other record follows this one."""
        return (self.epoch, self.released) < (other.epoch, other.released)


@final
class StoredLeader(msgspec.Struct, frozen=True, array_like=True):
    """A leader's record with the ages of the claims at its append.

    Earlier versions store none, and no contacts with workers.
    """

    epoch: int
    node: str
    incarnation: int
    address: str
    released: bool = False
    claims: tuple[ClaimAge, ...] | None = None

    @property
    def record(self) -> LeaderRecord:
        """Return the record without the ages."""
        return LeaderRecord(
            self.epoch,
            self.node,
            self.incarnation,
            self.address,
            self.released,
        )


_decoder: Final = msgspec.msgpack.Decoder(StoredLeader)


def decode_record(blob: bytes) -> StoredLeader:
    """Return the record in a value.

    Raises:
        msgspec.DecodeError: The value is no record of this version.

    """
    return _decoder.decode(blob)


@final
class Authority:
    """When the store last confirmed this node as the leader.

    ``clock`` returns seconds and counts the time for which the VM was
    suspended.
    """

    __slots__ = ('claimed_at', 'clock', 'confirmed_at')

    def __init__(self, clock: Callable[[], float]) -> None:
        self.clock = clock
        self.confirmed_at = 0.0
        #: When the newest claim was sent.
        self.claimed_at = 0.0

    def age_s(self) -> float:
        """Return seconds since the last confirmation."""
        return self.clock() - self.confirmed_at

    def begin_claim(self) -> None:
        """Record that a claim is being sent."""
        self.claimed_at = self.clock()

    def confirm_read(self, began_at: float) -> None:
        """Record that a read has returned the claim as the newest record.

        The claim was the newest when the store replied, which was later than
        the claim, also if the read had been waiting for long.
        """
        self.confirm(max(began_at, self.claimed_at))

    def confirm(self, sent_at: float) -> None:
        """Record that the store has confirmed a call sent at ``sent_at``."""
        self.confirmed_at = max(self.confirmed_at, sent_at)


@final
class RecordWriter:
    """Appends records of the leader; one producer numbers them."""

    __slots__ = ('claims', 'end', 'seq', 'store', 'topic')

    def __init__(
        self, store: KeyedStore, topic: str, claims: ClaimHistory
    ) -> None:
        self.store = store
        self.topic = topic
        self.claims = claims
        self.seq = 0
        #: Where the topic ended after the newest append of this node.
        self.end = 0

    async def claim(self, record: LeaderRecord, at: int) -> Failure | None:
        """Append the first record of an epoch if the topic ends at ``at``."""
        self.seq = random.randrange(1, CLAIM_SEQ_BOUND)
        return await self._append(record, at)

    async def renew(self, record: LeaderRecord) -> Failure | None:
        """Append another record of the same epoch."""
        self.seq += 1
        return await self._append(record, None)

    def resume_sequence(self, reply: Failure) -> bool:
        """Continue with the sequence number that the store expects, if any.

        An earlier append is lost or late if it expects another one.
        """
        expected = reply.fields.get('expected')
        if expected is None:
            return False
        self.seq = int(expected) - 1
        return True

    async def _append(
        self, record: LeaderRecord, at: int | None
    ) -> Failure | None:
        stored = StoredLeader(
            record.epoch,
            record.node,
            record.incarnation,
            record.address,
            record.released,
            self.claims.ages(),
        )
        reply = await self.store.append(
            self.topic,
            [(LEADER_KEY, msgspec.msgpack.encode(stored))],
            producer=Producer(LEADER_KEY, record.epoch, self.seq),
            at=at,
            timeout_s=CALL_TIMEOUT_S,
        )
        if isinstance(reply, Failure):
            return reply
        self.end = max(self.end, reply.end)
        return None
