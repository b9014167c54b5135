"""Ownership by claims in the log and promises of the electorate."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import Final, final

from berylspread.kernel.clock import now
from berylspread.kernel.errors import NotOwner
from berylspread.log.folds import Electorate
from berylspread.log.records import Claim, ElectorateChanged, Release
from berylspread.model import NodeRef
from berylspread.ownership.authority import Authority
from berylspread.ownership.claiming import Claimant
from berylspread.ownership.consent_collector import ConsentCollector
from berylspread.ownership.electing import Elector
from berylspread.ownership.electorate_member import ElectorateMember
from berylspread.ownership.fleet import Fleet, MembershipView
from berylspread.ownership.handover import Handover
from berylspread.ownership.holdings import Holdings
from berylspread.ownership.interface import Tenure, TenureListener
from berylspread.ownership.liveness_query import LivenessQuery
from berylspread.ownership.messages import (
    ConsentAsk,
    ConsentReply,
    KnownElectorate,
)
from berylspread.ownership.planner import Planner, UnitSource
from berylspread.ownership.promise_exchange import PromiseExchange
from berylspread.ownership.settings import OwnershipSettings
from berylspread.ownership.view import LogAppender, LogView
from berylspread.peers import Peers

PROMISE_EXTENSION: Final = 'promise'

Regions = Callable[[], Sequence[str]]


@final
class LogOwnership:
    """Which node owns a unit, and whether this node may act on it.

    ``promise_exchange`` must be added to the heartbeats as the extension
    ``PROMISE_EXTENSION``, and ``run`` must run.  The parameter ``units``
    returns the units of a region, ``regions`` returns all regions.
    """

    __slots__ = (
        'authority',
        'claimant',
        'consent_collector',
        'elector',
        'electorate_member',
        'fleet',
        'handover',
        'holdings',
        'log',
        'planner',
        'promise_exchange',
        'ref',
        'region',
        'regions',
        'settings',
    )

    def __init__(  # noqa: WPS211
        self,
        ref: NodeRef,
        region: str,
        peers: Peers,
        membership: MembershipView,
        log: LogView,
        appender: LogAppender,
        units: UnitSource,
        regions: Regions,
        settings: OwnershipSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        """Follow the log from its current offset; own nothing."""
        settings = settings or OwnershipSettings()
        self.ref = ref
        self.region = region
        self.log = log
        self.regions = regions
        self.settings = settings
        self.fleet = Fleet(membership)
        self.electorate_member = ElectorateMember(ref, log, settings.terms)
        self.authority = Authority(settings.terms)
        self.holdings = Holdings(
            ref, self.electorate_member.record_stopped_tenure
        )
        self.consent_collector = ConsentCollector(
            peers, log, self.fleet, settings
        )
        self.planner = Planner(log, self.fleet, units, settings.terms)
        self.promise_exchange = PromiseExchange(
            ref,
            self.electorate_member,
            self.authority,
            self.holdings,
            self.fleet,
        )
        liveness_query = LivenessQuery(
            ref, peers, self.planner.is_live_owner, settings.ask_timeout_s
        )
        self.elector = Elector(
            ref,
            region,
            log,
            appender,
            self.fleet,
            self.consent_collector,
            liveness_query,
            settings,
        )
        self.claimant = Claimant(
            liveness_query,
            appender,
            self.planner,
            self.consent_collector,
            self.authority,
            self.holdings,
            settings,
            rng or random.Random(),
        )
        self.handover = Handover(
            peers,
            log,
            appender,
            self.planner,
            self.claimant,
            self.holdings,
            settings,
        )
        self.consent_collector.on_reply = self.claimant.begin_tenures
        self._subscribe(peers)

    def tenure(self, unit: str) -> Tenure | NotOwner:
        """Return this node's valid tenure, or an error that names the owner."""
        holding = self.holdings.by_unit.get(unit)
        tenure = holding.tenure if holding else None
        if tenure is not None and tenure.is_valid(now()):
            return tenure
        owner = self.owner(unit)
        return NotOwner(
            f'this node has no authority over {unit}',
            unit=unit,
            owner=owner[0].node if owner else '',
        )

    def owner(self, unit: str) -> tuple[NodeRef, int] | None:
        """Return the owner and epoch of a unit's newest claim, if any."""
        claim = self.log.claim(unit)
        return (claim.owner, claim.epoch) if claim else None

    def owned(self) -> list[Tenure]:
        """Return this node's tenures, also those that are not valid now."""
        return list(self.holdings.tenures())

    def on_acquire(self, listener: TenureListener) -> None:
        """Call a listener with each tenure when it begins."""
        self.holdings.acquire_listeners.append(listener)

    def on_lose(self, listener: TenureListener) -> None:
        """Call a listener with each tenure when it has ended for good."""
        self.holdings.lose_listeners.append(listener)

    async def release_all(self) -> None:
        """Hand all units over to successors, as part of a graceful stop."""
        await self.handover.release_all()

    async def run(self) -> None:
        """Claim units, renew promises and hand units over until cancelled."""
        self._apply_snapshot()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._renew_own_promises())
            group.create_task(self.claimant.run(self._claimable_regions))
            group.create_task(self.claimant.run_waiting())
            group.create_task(self.elector.run(self._claimable_regions))
            group.create_task(self.handover.run_balancing())

    def _subscribe(self, peers: Peers) -> None:
        self.log.subscribe(Claim, self._on_claim)
        self.log.subscribe(Release, self._on_claim)
        self.log.subscribe(ElectorateChanged, self._on_electorate)
        self.log.on_restore(self._apply_snapshot)
        peers.register_handler(ConsentAsk, self._handle_consent_request)

    def _on_claim(self, _offset: int, record: Claim | Release) -> None:
        self._apply_claim(record.unit)

    def _apply_claim(self, unit: str) -> None:
        """Apply a unit's newest claim.

        This node's tenure ends first, so that its consent to the claim can
        say that it has stopped.
        """
        claim = self.log.claim(unit)
        if claim is None:
            return
        self.holdings.apply_claim(
            claim, self.electorate_member.claims.get(unit)
        )
        self.electorate_member.apply_claim(claim)
        if claim.owner == self.ref:
            self.claimant.claim_won.set()

    def _on_electorate(self, _offset: int, record: ElectorateChanged) -> None:
        electorate = self.log.electorate(record.region)
        if electorate is not None:
            self._apply_electorate(electorate)

    def _apply_electorate(self, electorate: Electorate) -> None:
        self.electorate_member.apply_electorate(electorate)
        self.consent_collector.record_electorate(electorate)
        is_newer = self.authority.add_electorate(
            KnownElectorate(
                electorate.region, electorate.version, electorate.members
            )
        )
        if is_newer:
            for member in electorate.members:
                self.fleet.membership.send_heartbeat_now(member.node)

    def _apply_snapshot(self) -> None:
        """Apply all claims and electorates, as after a snapshot."""
        for electorate in self.log.electorates():
            self._apply_electorate(electorate)
        for claim in self.log.claims():
            self._apply_claim(claim.unit)

    async def _renew_own_promises(self) -> None:
        while True:
            self.promise_exchange.renew_own_promises()
            self.claimant.begin_tenures()
            await asyncio.sleep(self.settings.tick_s)

    def _claimable_regions(self) -> list[str]:
        """Return the regions that this node may claim in."""
        eligible = self.electorate_member.is_eligible(self.region)
        if self.handover.is_leaving or not eligible:
            return []
        regions = self.regions()
        return [
            region
            for region in sorted({self.region, *regions})
            if self.fleet.responsible_region(region, regions) == self.region
        ]

    async def _handle_consent_request(
        self, _source: NodeRef, body: ConsentAsk
    ) -> ConsentReply:
        await self.log.wait_for_offset(body.offset, body.wait_s)
        return self.electorate_member.consent_reply(body)
