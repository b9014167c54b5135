"""How long a node trusts the keys that it has read from the log.

A withdrawn key has to stop within seconds on every node, also on one that
cannot read the log.  A withdrawal is confirmed to the operator once a majority
of the vouching electorate has read it.  A node trusts its keys while no such
withdrawal can be missing, which one of these shows:

- it read up to the log's end within the bound;
- one peer that did so has read no record about keys that this node has not;
- a majority of the electorate has read no such record: any majority shares a
  member with the one that confirmed a withdrawal.  This holds during an outage
  of the store, when nobody can read up to the end.
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
    """What a node has read of the log, as it answered.

    ``keys_offset`` is that of the newest record about keys that it has read;
    ``age_s`` how long ago its state was certainly complete.
    """

    node: NodeRef
    keys_offset: int
    age_s: float


@final
class VouchingElectorate(msgspec.Struct, frozen=True):
    """The nodes whose majority confirms withdrawals: the store's region's."""

    version: int = 0
    members: frozenset[NodeRef] = frozenset()

    def is_majority(self, nodes: Iterable[NodeRef]) -> bool:
        """Return whether more than half of the members are among the nodes."""
        return 2 * len(self.members.intersection(nodes)) > len(self.members)


@final
class KeyTrust:
    """Tells until when this node's keys are trusted, on the loop's clock.

    A majority's word counts for at most ``max_without_log_s`` seconds after
    the state was last complete, since electorates change through the log.
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
        """Trust keys for ``bound_s`` seconds after they were complete."""
        self.trust_duration_s = trust_duration_s
        self.max_without_log_s = max_without_log_s
        self.fresh_at = NEVER
        self.keys_offset = 0
        self.trusted_until = NEVER

    def is_trusted(self, now: float) -> bool:
        """Return whether keys may be accepted at ``now``."""
        return now < self.trusted_until

    def record_key_change(self, offset: int) -> None:
        """Note that the state has taken in a record about keys."""
        self.keys_offset = max(self.keys_offset, offset)

    def record_complete(self, fresh_at: float) -> None:
        """Note that the state was complete at a loop time."""
        self.fresh_at = max(self.fresh_at, fresh_at)
        self.extend_trust(fresh_at + self.trust_duration_s)

    def extend_trust(self, until: float) -> None:
        """Trust the keys until a loop time, if that is later than now."""
        self.trusted_until = max(self.trusted_until, until)

    def apply_vouchers(
        self,
        requested_at: float,
        vouchers: Iterable[Voucher],
        electorate: VouchingElectorate,
    ) -> None:
        """Take the answers to what was asked of the peers at ``asked_at``."""
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
