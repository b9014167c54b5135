"""Gathers the consents that a claimant waits for."""

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
    """What members have told this node about claims and electorates.

    ``refusals`` keeps from when each member holds no promise to the owners
    before a claim, ``older`` the same for the versions before an electorate.
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
        """Start with no answers."""
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
        """Remember when this node read an electorate."""
        key = (electorate.region, electorate.version)
        self.electorate_read_at.setdefault(key, now())
        for table in (self.version_refusals, self.electorate_read_at):
            _forget_older_versions(table, electorate)

    def forget_claim(self, claimed: UnitEpoch) -> None:
        """Drop the answers about a claim."""
        self.claim_refusals.pop(claimed, None)
        self.predecessor_stopped.discard(claimed)

    def refused_from(self, claimed: UnitEpoch, electorate: Electorate) -> float:
        """Return from when no owner before a claim has a majority."""
        if claimed in self.predecessor_stopped:
            return NEVER
        told = self.claim_refusals.get(claimed, {})
        return majority_refuses_from(
            self._refusal_times(electorate.members, told),
            len(electorate.members),
        )

    def established_from(self, electorate: Electorate) -> float:
        """Return from when no owner has a majority of an older version."""
        if electorate.version == 1:
            return NEVER
        key = (electorate.region, electorate.version)
        told = self.version_refusals.get(key, {})
        refused = majority_refuses_from(
            self._refusal_times(electorate.previous, told),
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
        """Ask the members, those of the version before, and old owners."""
        asked = {*electorate.members, *electorate.previous, *owners}
        ask = ConsentAsk(
            electorate.region,
            electorate.version,
            offset,
            self.settings.consent_wait_s,
            claims,
        )
        await asyncio.gather(
            *(
                self._request_consent(ref, ask)
                for ref in sorted(asked)
                if self.fleet.is_present(ref)
            )
        )

    async def _request_consent(self, ref: NodeRef, ask: ConsentAsk) -> None:
        reply = await self.peers.request(
            ref.node,
            ask,
            ConsentReply,
            timeout_s=ask.wait_s + self.settings.ask_timeout_s,
        )
        if isinstance(reply, Failure) or reply.incarnation != ref.incarnation:
            return
        terms = self.settings.terms
        if reply.eligible and reply.version >= ask.version:
            told = self.version_refusals.setdefault(
                (ask.region, ask.version), {}
            )
            told[ref] = refused_from(now(), reply.older_remaining_s, terms)
        for consent in reply.consents:
            claimed = UnitEpoch(consent.unit, consent.epoch)
            if consent.predecessor_stopped:
                self.predecessor_stopped.add(claimed)
            if reply.eligible and reply.version == ask.version:
                self.claim_refusals.setdefault(claimed, {})[ref] = refused_from(
                    now(), consent.remaining_s, terms
                )
        self.on_reply()

    def _refusal_times(
        self, members: Iterable[NodeRef], told: dict[NodeRef, float]
    ) -> list[float]:
        """Return each member's time; an ended process refuses too."""
        return [
            min(
                told.get(member, FOREVER),
                self.fleet.departed_promises_end_at(
                    member, self.settings.terms
                ),
            )
            for member in members
        ]


def _forget_older_versions(
    table: dict[tuple[str, int], Any], electorate: Electorate
) -> None:
    """Drop what is known of versions before the one just read."""
    for region, version in list(table):
        if region == electorate.region and version < electorate.version:
            del table[region, version]


def _do_nothing() -> None:
    """Take no notice of an answer."""
