"""How long a node trusts the keys that it has read from the log.

A withdrawn key must stop working within seconds on every node, also on one that
cannot read the log.  A withdrawal is confirmed to the operator once a majority
of the vouching electorate has read it.  A node trusts its keys while one of
these conditions shows that it has missed no such withdrawal:

- it read up to the end of the log within the trust duration;
- a peer that did so has read no record about keys that this node lacks;
- a majority of the electorate has read no such record: every majority shares a
  member with the one that confirmed a withdrawal.  This condition can also be
  met during an outage of the store, when no node can read up to the end.
"""

from collections.abc import Iterable
from typing import Final, final

import msgspec

from berylspread.kernel.clock import CLOCK_DRIFT
from berylspread.model import NodeRef

NEVER: Final = float('-inf')
MAX_WITHOUT_LOG_S: Final = 14_400.0


@final
class Voucher(msgspec.Struct, frozen=True):
    """How far a node had read the log when it replied.

    ``keys_offset`` is the offset of the newest record about keys that it had
    read; ``age_s`` is the time in seconds since its state was known to be
    complete.
    """

    node: NodeRef
    keys_offset: int
    age_s: float


@final
class VouchingElectorate(msgspec.Struct, frozen=True):
    """The nodes of the store's region, whose majority confirms withdrawals."""

    version: int = 0
    members: frozenset[NodeRef] = frozenset()

    def is_majority(self, nodes: Iterable[NodeRef]) -> bool:
        """Return whether more than half of the members are among the nodes."""
        return 2 * len(self.members.intersection(nodes)) > len(self.members)


@final
class KeyTrust:
    """Tracks until when this node trusts its keys, by the event loop's clock.

    Keys are trusted for ``trust_duration_s`` seconds after they were known to
    be complete.  The vouchers of a majority count for at most
    ``max_without_log_s`` seconds after the state was last complete, since
    electorates change through the log.
    """

    __slots__ = (
        'fresh_at',
        'keys_offset',
        'max_without_log_s',
        'trust_duration_s',
        'trusted_until',
    )

    def __init__(
        self,
        trust_duration_s: float,
        max_without_log_s: float = MAX_WITHOUT_LOG_S,
    ) -> None:
        self.trust_duration_s = trust_duration_s
        self.max_without_log_s = max_without_log_s
        self.fresh_at = NEVER
        self.keys_offset = 0
        self.trusted_until = NEVER

    def is_trusted(self, now: float) -> bool:
        """Return whether keys may be accepted at ``now``."""
        return now < self.trusted_until

    def record_key_change(self, offset: int) -> None:
        """Record the offset of a record about keys that the state includes."""
        self.keys_offset = max(self.keys_offset, offset)

    def record_complete(self, fresh_at: float) -> None:
        """Record that the state was complete at a loop time."""
        self.fresh_at = max(self.fresh_at, fresh_at)
        self.extend_trust(fresh_at + self.trust_duration_s)

    def extend_trust(self, until: float) -> None:
        """Trust the keys at least until a loop time."""
        self.trusted_until = max(self.trusted_until, until)

    def apply_vouchers(
        self,
        requested_at: float,
        vouchers: Iterable[Voucher],
        electorate: VouchingElectorate,
    ) -> None:
        """Apply the replies to a request that was sent at ``requested_at``."""
        agreeing = [
            voucher
            for voucher in vouchers
            if voucher.keys_offset <= self.keys_offset
        ]
        for voucher in agreeing:
            age_s = voucher.age_s * (1 + CLOCK_DRIFT)
            self.record_complete(requested_at - age_s)
        is_bounded = requested_at - self.fresh_at <= self.max_without_log_s
        nodes = [voucher.node for voucher in agreeing]
        if is_bounded and electorate.is_majority(nodes):
            self.extend_trust(requested_at + self.trust_duration_s)
