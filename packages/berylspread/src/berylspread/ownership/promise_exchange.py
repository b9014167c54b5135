"""Exchange of promises with the heartbeats."""

from typing import Final, final

import msgspec

from berylspread.kernel.clock import now
from berylspread.model import NodeRef
from berylspread.ownership.authority import Authority
from berylspread.ownership.electorate_member import ElectorateMember
from berylspread.ownership.fleet import Fleet
from berylspread.ownership.holdings import Holdings
from berylspread.ownership.messages import PromiseReply, PromiseRequest

_encoder: Final = msgspec.msgpack.Encoder()
_request_decoder: Final = msgspec.msgpack.Decoder(PromiseRequest)
_reply_decoder: Final = msgspec.msgpack.Decoder(PromiseReply)


@final
class PromiseExchange:
    """Requests, grants and records promises, as a heartbeat extension.

    There is one promise for each pair of nodes and region.  A node requests
    promises even while it owns nothing, so that it can act at once when it
    takes over a unit.
    """

    __slots__ = (
        'authority',
        'electorate_member',
        'fleet',
        'holdings',
        'ref',
    )

    def __init__(
        self,
        ref: NodeRef,
        electorate_member: ElectorateMember,
        authority: Authority,
        holdings: Holdings,
        fleet: Fleet,
    ) -> None:
        self.ref = ref
        self.electorate_member = electorate_member
        self.authority = authority
        self.holdings = holdings
        self.fleet = fleet

    def build_request(self, node: str) -> bytes:
        """Return the request for a peer's promises; empty for a non-member."""
        versions = {
            region: self.authority.newest_version(region)
            for region in self.authority.regions_with_member(node)
        }
        return (
            _encoder.encode(self._build_request(versions)) if versions else b''
        )

    def handle_request(self, source: NodeRef, blob: bytes) -> bytes:
        """Return the reply to a peer's request, with the promises granted."""
        request = _request_decoder.decode(blob)
        self.fleet.record_suspended(source, suspended=request.suspended)
        return _encoder.encode(
            self.electorate_member.grant_promises(source, request)
        )

    def handle_reply(
        self, source: NodeRef, sent_at: float, blob: bytes
    ) -> None:
        """Record the promises in a peer's reply."""
        self._apply_reply(source, sent_at, _reply_decoder.decode(blob))

    def renew_own_promises(self) -> None:
        """Renew this node's promises to itself, by the same rules."""
        versions = {
            region: self.authority.newest_version(region)
            for region in self.authority.regions_with_member(self.ref.node)
        }
        reply = self.electorate_member.grant_promises(
            self.ref, self._build_request(versions)
        )
        self._apply_reply(self.ref, now(), reply)

    def _build_request(self, versions: dict[str, int]) -> PromiseRequest:
        return PromiseRequest(
            self.electorate_member.log.offset(),
            versions,
            self.holdings.is_suspended(),
        )

    def _apply_reply(
        self,
        source: NodeRef,
        sent_at: float,
        reply: PromiseReply,
    ) -> None:
        for claim in reply.superseding_claims:
            self.holdings.supersede(claim.unit, claim.epoch)
        for electorate in reply.newer_electorates:
            if self.authority.add_electorate(electorate):
                self._send_heartbeats_now(electorate.members)
        self.authority.record_promises(source, sent_at, reply)
        for region in reply.granted:
            self.holdings.extend_tenures(
                region, self.authority.valid_until(region)
            )

    def _send_heartbeats_now(self, members: tuple[NodeRef, ...]) -> None:
        for member in members:
            self.fleet.membership.send_heartbeat_now(member.node)
