"""Vouchers of other nodes, by which keys stay trusted without the log."""

import asyncio
from collections.abc import Iterable
from typing import Final, final

from berylspread.config.key_trust import KeyTrust, Voucher, VouchingElectorate
from berylspread.config.keys import check_key
from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure, OutcomeUnknown, Unauthenticated
from berylspread.log.reader import LogReader
from berylspread.membership import Liveness, Membership
from berylspread.model import NodeRef
from berylspread.peers import Message, Peers, message

REQUEST_TIMEOUT_S: Final = 1.0
CHECK_INTERVAL_S: Final = 0.5
#: Vouchers are requested once less than this part of the duration is left.
RENEWAL_FRACTION: Final = 0.6
CONFIRM_INTERVAL_S: Final = 0.2


@message
class VoucherAsk(Message, frozen=True, tag=True):
    """Requests how far a node has read the log."""


@message
class VoucherReply(Message, frozen=True, tag=True):
    """How far the node has read the log, and its version of the electorate."""

    voucher: Voucher
    offset: int
    electorate_version: int


@final
class KeyGuard:
    """Checks keys against the state while they are trusted.

    ``store_region`` names the region whose electorate confirms withdrawals.
    """

    __slots__ = (
        'membership',
        'peers',
        'reader',
        'ref',
        'store_region',
        'trust',
    )

    def __init__(
        self,
        *,
        ref: NodeRef,
        reader: LogReader,
        peers: Peers,
        membership: Membership,
        store_region: str,
        trust_duration_s: float,
    ) -> None:
        """Register the handler of requests; ``run`` renews the trust."""
        self.ref = ref
        self.reader = reader
        self.peers = peers
        self.membership = membership
        self.store_region = store_region
        self.trust = KeyTrust(trust_duration_s)
        peers.register_handler(VoucherAsk, self.handle_request)

    def authenticate(self, text: str) -> str | Unauthenticated:
        """Return the team of a valid key, or why the key is refused."""
        self._update_trust()
        if not self.trust.is_trusted(now()):
            return Unauthenticated(
                'this node cannot tell whether the key was withdrawn',
                trusted_for_s=self.trust.trust_duration_s,
            )
        return check_key(self.reader.state.keys, text)

    async def handle_request(
        self, sender: NodeRef, request: VoucherAsk
    ) -> VoucherReply:
        """Return how far this node has read the log."""
        return VoucherReply(
            self._own_voucher(),
            self.reader.state.offset,
            self._current_electorate().version,
        )

    async def run(self) -> None:
        """Renew the trust whenever little of its duration is left."""
        while True:
            self._update_trust()
            remaining_s = self.trust.trusted_until - now()
            if remaining_s < self.trust.trust_duration_s * RENEWAL_FRACTION:
                await self.renew_trust()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def renew_trust(self) -> None:
        """Request vouchers from the peers and apply them."""
        requested_at = now()
        self._update_trust()
        electorate = self._current_electorate()
        replies = await self._request_vouchers(self._peers_to_query(electorate))
        vouchers = [
            reply.voucher
            for reply in replies
            if reply.electorate_version == electorate.version
        ]
        self.trust.apply_vouchers(
            requested_at, [self._own_voucher(), *vouchers], electorate
        )

    async def confirm_withdrawal(
        self, offset: int, timeout_s: float
    ) -> int | OutcomeUnknown:
        """Wait until a majority has read a withdrawal at ``offset``.

        Before that, a node that cannot read the log may still accept the key.
        Returns ``OutcomeUnknown`` after ``timeout_s`` seconds.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self._wait_for_majority(offset)
        except TimeoutError:
            return OutcomeUnknown(
                'the withdrawal is in the log, and no majority has read it yet',
                offset=offset,
            )
        return offset

    async def _wait_for_majority(self, offset: int) -> None:
        while True:
            if await self._has_majority_read(offset):
                return
            await asyncio.sleep(CONFIRM_INTERVAL_S)

    async def _has_majority_read(self, offset: int) -> bool:
        electorate = self._current_electorate()
        replies = await self._request_vouchers(self._peers_to_query(electorate))
        readers = [
            reply.voucher.node for reply in replies if reply.offset >= offset
        ]
        if self.reader.state.offset >= offset:
            readers.append(self.ref)
        return electorate.is_majority(readers)

    async def _request_vouchers(
        self, nodes: Iterable[str]
    ) -> list[VoucherReply]:
        replies = await asyncio.gather(
            *(
                self.peers.request(
                    node,
                    VoucherAsk(),
                    VoucherReply,
                    timeout_s=REQUEST_TIMEOUT_S,
                )
                for node in nodes
            )
        )
        return [reply for reply in replies if not isinstance(reply, Failure)]

    def _peers_to_query(self, electorate: VouchingElectorate) -> list[str]:
        """Return the electorate, or all nodes not dead if there is none yet."""
        nodes = {member.node for member in electorate.members} or {
            member.node
            for member in self.membership.members()
            if member.liveness is not Liveness.dead
        }
        return sorted(nodes - {self.ref.node})

    def _own_voucher(self) -> Voucher:
        return Voucher(
            self.ref,
            self.reader.state.keys.changed_offset,
            now() - self.reader.fresh_at,
        )

    def _current_electorate(self) -> VouchingElectorate:
        found = self.reader.state.units.electorate(self.store_region)
        if found is None:
            return VouchingElectorate()
        return VouchingElectorate(found.version, frozenset(found.members))

    def _update_trust(self) -> None:
        """Update the trust from how far this node has read the log."""
        self.trust.record_key_change(self.reader.state.keys.changed_offset)
        self.trust.record_complete(self.reader.fresh_at)
