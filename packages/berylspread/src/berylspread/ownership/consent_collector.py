"""Collects the consents that a claimant waits for."""

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, final

from berylspread.kernel.clock import now
from berylspread.kernel.errors import Failure
from berylspread.log.folds import Electorate
from berylspread.model import NodeRef
from berylspread.ownership.fleet import Fleet
from berylspread.ownership.messages import (
    ConsentAsk,
    ConsentReply,
    UnitEpoch,
)
from berylspread.ownership.rules import (
    FOREVER,
    NEVER,
    electorate_expired_from,
    majority_refuses_from,
    refused_from,
)
from berylspread.ownership.settings import OwnershipSettings
from berylspread.ownership.view import LogView
from berylspread.peers import Peers


@final
class ConsentCollector:
    """Requests consents to claims and keeps the replies of the members.

    ``claim_refusals`` keeps for each claim and member the time from which the
    member has no promise to older owners outstanding; ``version_refusals``
    the same for each electorate and promises under older versions.
    ``predecessor_stopped`` holds the claims whose previous owner has stopped.
    """

    __slots__ = (
        'claim_refusals',
        'electorate_read_at',
        'fleet',
        'log',
        'on_reply',
        'peers',
        'predecessor_stopped',
        'settings',
        'version_refusals',
    )

    def __init__(
        self,
        peers: Peers,
        log: LogView,
        fleet: Fleet,
        settings: OwnershipSettings,
    ) -> None:
        self.peers = peers
        self.log = log
        self.fleet = fleet
        self.settings = settings
        self.claim_refusals: dict[UnitEpoch, dict[NodeRef, float]] = {}
        self.predecessor_stopped: set[UnitEpoch] = set()
        self.version_refusals: dict[tuple[str, int], dict[NodeRef, float]] = {}
        self.electorate_read_at: dict[tuple[str, int], float] = {}
        self.on_reply: Callable[[], None] = _do_nothing

    def record_electorate(self, electorate: Electorate) -> None:
        """Record that this node has read an electorate now."""
        key = (electorate.region, electorate.version)
        self.electorate_read_at.setdefault(key, now())
        for table in (self.version_refusals, self.electorate_read_at):
            _forget_older_versions(table, electorate)

    def forget_claim(self, claimed: UnitEpoch) -> None:
        """Drop the consents to a claim."""
        self.claim_refusals.pop(claimed, None)
        self.predecessor_stopped.discard(claimed)

    def refused_from(self, claimed: UnitEpoch, electorate: Electorate) -> float:
        """Return from when no owner before a claim holds a majority."""
        if claimed in self.predecessor_stopped:
            return NEVER
        refusals = self.claim_refusals.get(claimed, {})
        return majority_refuses_from(
            self._refusal_times(electorate.members, refusals),
            len(electorate.members),
        )

    def established_from(self, electorate: Electorate) -> float:
        """Return from when no owner holds a majority of an older version."""
        if electorate.version == 1:
            return NEVER
        key = (electorate.region, electorate.version)
        refusals = self.version_refusals.get(key, {})
        refused = majority_refuses_from(
            self._refusal_times(electorate.previous, refusals),
            len(electorate.previous),
        )
        read_at = self.electorate_read_at.get(key, FOREVER)
        return min(
            refused, electorate_expired_from(read_at, self.settings.terms)
        )

    async def request_consents(
        self,
        electorate: Electorate,
        claims: tuple[UnitEpoch, ...],
        owners: Iterable[NodeRef],
        offset: int,
    ) -> None:
        """Request consents of members, previous members and old owners.

        Processes that are dead or unknown to membership are skipped.
        """
        nodes = {*electorate.members, *electorate.previous, *owners}
        request = ConsentAsk(
            electorate.region,
            electorate.version,
            offset,
            self.settings.consent_wait_s,
            claims,
        )
        await asyncio.gather(
            *(
                self._request_consent(ref, request)
                for ref in sorted(nodes)
                if self.fleet.is_present(ref)
            )
        )

    async def _request_consent(self, ref: NodeRef, request: ConsentAsk) -> None:
        reply = await self.peers.request(
            ref.node,
            request,
            ConsentReply,
            timeout_s=request.wait_s + self.settings.ask_timeout_s,
        )
        if isinstance(reply, Failure) or reply.incarnation != ref.incarnation:
            return
        terms = self.settings.terms
        if reply.eligible and reply.version >= request.version:
            refusals = self.version_refusals.setdefault(
                (request.region, request.version), {}
            )
            refusals[ref] = refused_from(now(), reply.older_remaining_s, terms)
        for consent in reply.consents:
            claimed = UnitEpoch(consent.unit, consent.epoch)
            if consent.predecessor_stopped:
                self.predecessor_stopped.add(claimed)
            if reply.eligible and reply.version == request.version:
                self.claim_refusals.setdefault(claimed, {})[ref] = refused_from(
                    now(), consent.remaining_s, terms
                )
        self.on_reply()

    def _refusal_times(
        self, members: Iterable[NodeRef], refusals: dict[NodeRef, float]
    ) -> list[float]:
        """Return from when each member refuses, by reply or by its end."""
        return [
            min(
                refusals.get(member, FOREVER),
                self.fleet.departed_promises_end_at(
                    member, self.settings.terms
                ),
            )
            for member in members
        ]


def _forget_older_versions(
    table: dict[tuple[str, int], Any], electorate: Electorate
) -> None:
    """Drop the entries of versions before the one just read."""
    for region, version in list(table):
        if region == electorate.region and version < electorate.version:
            del table[region, version]


def _do_nothing() -> None:
    """Ignore a reply."""
